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
	best, totalWeight := s.choose(routes)
	for _, route := range routes {
		s.currentWeight[route.Route.ServiceName] += route.Weight
	}
	s.currentWeight[routes[best].Route.ServiceName] -= totalWeight
	return routes[best]
}

// peek returns the index of the route that next would return.
func (s *splitter) peek(routes []snapshot.WeightedRoute) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, _ := s.choose(routes)
	return best
}

// choose returns the index of the next route and the sum of the weights. s.mu must
// be held.
func (s *splitter) choose(routes []snapshot.WeightedRoute) (best, totalWeight int) {
	best = -1
	highest := 0
	for i, route := range routes {
		totalWeight += route.Weight
		w := s.currentWeight[route.Route.ServiceName] + route.Weight
		if route.Weight > 0 && (best < 0 || w > highest) {
			best, highest = i, w
		}
	}
	return max(best, 0), totalWeight
}

// splitterOf returns the splitter of a route; the first use creates it.
func (o *Outbound) splitterOf(route string) *splitter {
	if s, ok := o.splitters.Load(route); ok {
		return s.(*splitter)
	}
	s, _ := o.splitters.LoadOrStore(route, &splitter{currentWeight: make(map[string]int)})
	return s.(*splitter)
}
