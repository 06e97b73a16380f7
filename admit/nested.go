package admit

import (
	"sync"
	"time"
)

// Rank returns the priority with which the work is queued. Nested calls go before all new
// work: a refused one wastes what its parent has already cost, and they are short.
func (w Work) Rank() int {
	if w.Nested {
		return 0
	}
	return min(max(w.Priority, 0), numPriorities-1)
}

// LatestDeadline returns the latest deadline of the calls in flight; zero when
// none of them has one.
func (g *Gate) LatestDeadline() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var latest time.Time
	for _, d := range g.deadlines {
		if d.After(latest) {
			latest = d
		}
	}
	return latest
}

// addWorkDone records the service time of a completed call. g.mu must be held.
func (g *Gate) addWorkDone(p int, d time.Duration) {
	for i := range g.workDone {
		v := 0.0
		if i == p {
			v = float64(d)
		}
		g.workDone[i].add(v)
	}
}

// workShareAbove returns the share of the target's time, 0..1, that calls of a
// higher priority than p have taken lately. Their number would overstate it:
// nested calls are many and short. g.mu must be held.
func (g *Gate) workShareAbove(p int) float64 {
	above, all := 0.0, 0.0
	for i, w := range g.workDone {
		all += w.value
		if i < p {
			above += w.value
		}
	}
	if all <= 0 {
		return 0
	}
	return above / all
}

const (
	// nestedScore is the score from which the calls of a route count as nested.
	nestedScore = 8
	// maxNestedScore bounds the score, so that a route that callers begin to use
	// is recognised after a few calls.
	maxNestedScore = 64
	// foreignPenalty is subtracted from the score for a call that no running call
	// can have made. Callers' calls have later deadlines than at least half of
	// the running ones; a nested call only looks foreign when its parent was
	// cancelled.
	foreignPenalty = 16
	// maxNestedRoutes limits the number of routes with a score; all are dropped
	// when it is reached.
	maxNestedRoutes = 4096
	// nestedSlack allows for the rounding of deadlines on the wire.
	nestedSlack = 5 * time.Millisecond
)

// NestedRoutes recognises the routes whose calls the target of this instance
// makes while it runs other calls. Such a call states no parent, but it ends at
// its parent's deadline at the latest, and there is none while the target is
// idle. It is safe for concurrent use.
type NestedRoutes struct {
	mu     sync.Mutex
	scores map[string]int
}

// Observe records a call on the route, made through this instance with the given
// deadline, and reports whether the route's calls are nested. latest is the latest
// deadline of the calls that the target runs, zero for none.
func (n *NestedRoutes) Observe(route string, deadline, latest time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.scores == nil || len(n.scores) > maxNestedRoutes {
		n.scores = make(map[string]int)
	}
	score := n.scores[route] + 1
	if latest.IsZero() || deadline.After(latest.Add(nestedSlack)) {
		score = max(score-foreignPenalty, -foreignPenalty)
	}
	n.scores[route] = min(score, maxNestedScore)
	return n.scores[route] >= nestedScore
}
