package proxy

import (
	"sync"

	"siskingw/snapshot"
)

// splitter distributes the calls of one route over its services by weight, as
// evenly as possible (smooth weighted round robin).
type splitter struct {
	mu            sync.Mutex
	currentWeight map[string]int // current weight by service name
}

// next returns the share whose service gets the next call.
func (s *splitter) next(shares []snapshot.Share) snapshot.Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, totalWeight := -1, 0
	for i, share := range shares {
		name := share.Route.ServiceName
		s.currentWeight[name] += share.Weight
		totalWeight += share.Weight
		if share.Weight > 0 && (best < 0 || s.currentWeight[name] > s.currentWeight[shares[best].Route.ServiceName]) {
			best = i
		}
	}
	best = max(best, 0)
	s.currentWeight[shares[best].Route.ServiceName] -= totalWeight
	return shares[best]
}

// splitterOf returns the state of a split route.
func (o *Outbound) splitterOf(route string) *splitter {
	if s, ok := o.splitters.Load(route); ok {
		return s.(*splitter)
	}
	s, _ := o.splitters.LoadOrStore(route, &splitter{currentWeight: make(map[string]int)})
	return s.(*splitter)
}
