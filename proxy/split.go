package proxy

import (
	"sync"

	"siskingw/snapshot"
)

// splitter distributes the calls of one route over its services by weight, as
// evenly as possible (smooth weighted round robin).
type splitter struct {
	mu     sync.Mutex
	credit map[string]int // current weight by service name
}

// next returns the share whose service gets the next call.
func (s *splitter) next(shares []snapshot.Share) snapshot.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, sum := -1, 0
	for i, share := range shares {
		name := share.Route.ServiceName
		s.credit[name] += share.Weight
		sum += share.Weight
		if share.Weight > 0 && (best < 0 || s.credit[name] > s.credit[shares[best].Route.ServiceName]) {
			best = i
		}
	}
	best = max(best, 0)
	s.credit[shares[best].Route.ServiceName] -= sum
	return shares[best]
}

// splitter returns the state of a split route.
func (o *Outbound) splitter(route string) *splitter {
	if s, ok := o.splitters.Load(route); ok {
		return s.(*splitter)
	}
	s, _ := o.splitters.LoadOrStore(route, &splitter{credit: make(map[string]int)})
	return s.(*splitter)
}
