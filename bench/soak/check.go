package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the checked guarantees, as the platform documents them.
const (
	contactTime  = 3 * time.Second         // after the end of a fault, until time bounds are checked again
	drainTime    = 2500 * time.Millisecond // a deregistered target may still get requests
	convergeTime = 2500 * time.Millisecond // from the publication of a version until every node serves it
	rollbackTime = 250 * time.Millisecond  // requests this close may be served in either order
	graceTime    = 6 * time.Second         // from SIGTERM to the exit of a node
	routeTimeout = 1500 * time.Millisecond // timeout of every route in the stand-in's configuration
	leftTime     = 500 * time.Millisecond  // from a caller's cancellation until no target gets the request
	budgetRatio  = 0.2                     // retries per request, in each window
	budgetSlack  = 60                      // retries allowed on top of the ratio
	budgetWindow = 10 * time.Second
	deadlineOver = 500 * time.Millisecond // tolerated excess of the deadline that a target is told
	// fewArrivals is how many requests may arrive at a target after their caller
	// canceled them, manyOver how many may state a deadline above the tolerance.
	fewArrivals = 3
	manyOver    = 20
)

// Violation is one observation that breaks a guarantee.
type Violation struct {
	Promise string
	Detail  string
}

// check returns the violations in the record.
func (r *record) check() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Violation
	add := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	late, over := 0, 0
	for _, a := range r.arrivals {
		if a.wrong != "" {
			add("unchanged request", "%s at %s: %s", a.id, a.target, a.wrong)
		}
		at, ok := r.attempts[a.id]
		if !ok {
			add("unchanged request", "%q at %s: no caller sent it", a.id, a.target)
			continue
		}
		calm := r.calm(at.node, a.at.Add(-contactTime), a.at, true)
		if !at.left.IsZero() && a.at.After(at.left.Add(leftTime)) && calm {
			late++
		}
		if a.deadline > at.deadline-a.at.Sub(at.sent)+deadlineOver && calm {
			over++
		}
		for _, d := range r.departures {
			if !a.other && d.target == a.target && a.at.After(d.acked.Add(drainTime)) {
				add("no work for a leaving target", "%s reached %s %v after its departure was acknowledged", a.id, a.target, a.at.Sub(d.acked))
			}
		}
	}
	if late > fewArrivals {
		add("callers that left", "%d requests arrived more than %v after their caller canceled them", late, leftTime)
	}
	if over > manyOver {
		add("deadline", "%d requests reached a target with a deadline longer than the time left", over)
	}
	for _, a := range r.attempts {
		r.checkAttempt(a, r.runs[a.id], add)
	}
	r.checkVersions(add)
	r.checkBudget(add)
	for _, p := range r.graceless {
		add("stop within the grace", "%s", p)
	}
	return found
}

// checkAttempt checks one attempt and how many times a target ran it.
func (r *record) checkAttempt(a *attempt, runs int, add func(promise, format string, args ...any)) {
	if !a.repeatable && runs > 1 {
		add("at most once", "%s ran %d times", a.id, runs)
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		if !a.repeatable && runs > 0 {
			add("true refusal", "%s got status %d, but a target ran it", a.id, a.status)
		}
	}
	if a.wrong != "" {
		add("right answer", "%s: %s", a.id, a.wrong)
	}
	// Without faults, also during planned operations, a request that a target
	// started gets its response.
	ended := a.status == 0 || a.own && (a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout)
	if ended && a.left.IsZero() && runs > 0 && a.ended.Sub(a.sent) < min(a.deadline, routeTimeout) &&
		r.calm(-1, a.sent.Add(-contactTime), a.ended, false) {
		add("nothing lost around planned work", "%s at node %d ended with status %d after %v, although a target ran it", a.id, a.node, a.status, a.ended.Sub(a.sent))
	}
}

// checkVersions checks that every version is in force within convergeTime of its
// publication, and that no node process returns to an older version.
func (r *record) checkVersions(add func(promise, format string, args ...any)) {
	type life struct{ node, life int }
	seen := make(map[life][]*attempt)
	for _, a := range r.attempts {
		if a.version == 0 || a.status == 0 {
			continue
		}
		if a.status != http.StatusNotFound {
			k := life{a.node, a.life}
			seen[k] = append(seen[k], a)
			continue
		}
		i := slices.IndexFunc(r.publications, func(p publication) bool { return p.version == a.version })
		if i >= 0 && a.sent.After(r.publications[i].acked.Add(convergeTime)) && r.calm(a.node, a.sent.Add(-contactTime), a.ended, true) {
			add("in force in time", "node %d answered 404 for a route of version %d, %v after it was published", a.node, a.version, a.sent.Sub(r.publications[i].acked))
		}
	}
	for _, a := range r.attempts {
		if a.version == 0 || a.status != http.StatusNotFound {
			continue
		}
		for _, s := range seen[life{a.node, a.life}] {
			if s.version >= a.version && a.sent.After(s.ended.Add(rollbackTime)) && r.sameProcess(a.node, s.sent, a.ended) {
				add("no way back", "node %d answered 404 for a route of version %d, %v after it had served version %d", a.node, a.version, a.sent.Sub(s.ended), s.version)
				break
			}
		}
	}
}

// checkBudget checks that the retries in every window stay within the retry
// budget. The number of requests is the largest of the window itself and the
// windows that start half a window and a whole window earlier.
func (r *record) checkBudget(add func(promise, format string, args ...any)) {
	if len(r.arrivals) == 0 {
		return
	}
	arrivals := slices.Clone(r.arrivals)
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	first := make(map[string]bool)
	var repeats []time.Time
	for _, a := range arrivals {
		if first[a.id] {
			repeats = append(repeats, a.at)
		}
		first[a.id] = true
	}
	const step = time.Second
	last := arrivals[len(arrivals)-1].at
	for from := arrivals[0].at; from.Before(last); from = from.Add(step) {
		to := from.Add(budgetWindow)
		n, most := 0, 0
		for _, at := range repeats {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		for _, back := range []time.Duration{0, budgetWindow / 2, budgetWindow} {
			sent := 0
			for _, a := range r.attempts {
				if !a.sent.Before(from.Add(-back)) && a.sent.Before(to.Add(-back)) {
					sent++
				}
			}
			most = max(most, sent)
		}
		if float64(n) > budgetRatio*float64(most)+budgetSlack {
			add("budget of repeats", "%d retries of %d requests in %v", n, most, budgetWindow)
			return
		}
	}
}
