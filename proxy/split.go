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

// next returns the route whose service gets the next call: the first one if all
// weights are 0. routes must not be empty.
func (s *splitter) next(routes []snapshot.WeightedRoute) snapshot.WeightedRoute {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, totalWeight := -1, 0
	for i, route := range routes {
		name := route.Route.ServiceName
		s.currentWeight[name] += route.Weight
		totalWeight += route.Weight
		if route.Weight > 0 && (best < 0 || s.currentWeight[name] > s.currentWeight[routes[best].Route.ServiceName]) {
			best = i
		}
	}
	best = max(best, 0)
	s.currentWeight[routes[best].Route.ServiceName] -= totalWeight
	return routes[best]
}

// splitterOf returns the splitter of a route; the first use creates it.
func (o *Outbound) splitterOf(route string) *splitter {
	if s, ok := o.splitters.Load(route); ok {
		return s.(*splitter)
	}
	s, _ := o.splitters.LoadOrStore(route, &splitter{currentWeight: make(map[string]int)})
	return s.(*splitter)
}
