// Package soak runs node processes on loopback addresses with stand-ins for the
// platform's store and the targets, injects faults from outside the processes, and
// checks the guarantees of the system against what callers and targets observe.
package soak

import (
	"slices"
	"sync"
	"time"
)

// attempt is one request as its caller observed it.
type attempt struct {
	id         string
	node       int // number of the instance
	life       int // restarts of the node before it was sent
	method     string
	path       string
	repeatable bool
	deadline   time.Duration
	sent       time.Time
	left       time.Time // when the caller canceled it; zero if it did not
	ended      time.Time
	status     int    // 0 if no complete response arrived
	own        bool   // the response does not carry a target's signature
	wrong      string // how the response differs from the expected one; "" if it does not
	version    uint64 // version that added the requested route; 0 for a route of every version
}

// arrival is one request as a target received it.
type arrival struct {
	id       string
	target   string // id of the target's process
	at       time.Time
	deadline time.Duration // time left, as stated to the target
	other    bool          // it is meant for another target; this one answers with 421
	wrong    string        // how the request differs from what its caller sent; "" if it does not
}

// departure is a deregistration of a target that its node acknowledged.
type departure struct {
	target string
	acked  time.Time
}

// span is the time during which a fault was present.
type span struct {
	from, to time.Time // to is zero until the fault ends
	what     string
	planned  bool
	node     int // number of the instance; -1 for all
}

// publication is one configuration version that the store acknowledged.
type publication struct {
	version uint64
	acked   time.Time
}

// record holds all observations of one run. Methods that change it are safe for
// concurrent use.
type record struct {
	mu           sync.Mutex
	attempts     map[string]*attempt
	arrivals     []arrival
	runs         map[string]int // how many times targets ran an attempt, by its id
	departures   []departure
	publications []publication
	spans        []*span
	graceless    []string // nodes that did not exit cleanly within graceTime of SIGTERM
}

func newRecord() *record {
	return &record{attempts: make(map[string]*attempt), runs: make(map[string]int)}
}

func (r *record) begin(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.id] = a
}

// end records the end of an attempt. change is called with the lock held and sets
// the result.
func (r *record) end(a *attempt, change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	a.ended = time.Now()
}

// of returns a copy of the attempt with the id, and whether it exists.
func (r *record) of(id string) (attempt, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.attempts[id]
	if !ok {
		return attempt{}, false
	}
	return *a, true
}

func (r *record) arrive(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// ran adds counts, by attempt id, to the numbers of runs.
func (r *record) ran(counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range counts {
		r.runs[id] += n
	}
}

// disturb records the start of a fault; node is -1 for a fault of all instances.
// The returned function records its end.
func (r *record) disturb(what string, planned bool, node int) func() {
	s := &span{from: time.Now(), what: what, planned: planned, node: node}
	r.mu.Lock()
	r.spans = append(r.spans, s)
	r.mu.Unlock()
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.to = time.Now()
	}
}

// calm reports whether the instance had no fault between the two times; -1 stands
// for any instance. If planned is set, planned operations count as faults too. The
// lock must be held.
func (r *record) calm(node int, from, to time.Time, planned bool) bool {
	return !slices.ContainsFunc(r.spans, func(s *span) bool {
		return (s.node < 0 || node < 0 || s.node == node) && (planned || !s.planned) &&
			s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// sameProcess reports whether no fault or planned operation of the instance itself
// took place between the two times, so that one process answered throughout. The
// lock must be held.
func (r *record) sameProcess(node int, from, to time.Time) bool {
	return !slices.ContainsFunc(r.spans, func(s *span) bool {
		return s.node == node && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}
