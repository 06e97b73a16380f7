// Package soak runs real nodes as processes on loopback, beside stand-ins of the
// platform's store and of targets, injects faults from outside of them, and
// checks what callers and targets see against the promises of the system.
package soak

import (
	"slices"
	"sync"
	"time"
)

// attempt is one request of a caller, as the caller saw it.
type attempt struct {
	id         string
	node       int // number of the instance
	life       int // of its node's processes
	method     string
	path       string
	repeatable bool
	deadline   time.Duration
	sent       time.Time
	left       time.Time // when the caller gave up; zero if it did not
	ended      time.Time
	status     int    // 0 for a connection that ended without an answer
	own        bool   // the answer is the system's own, not a target's
	wrong      string // what is wrong with a 2xx answer; "" for nothing
	version    uint64 // version whose route the request asks for; 0 for none
}

// arrival is one request at a target.
type arrival struct {
	id       string
	target   string // id of its start
	at       time.Time
	deadline time.Duration // as the target was told
	other    bool          // it expects another target, which this one answers with 421
	wrong    string        // what differs from what the caller sent
}

// departure is the acknowledged end of a target's work.
type departure struct {
	target string
	acked  time.Time
}

// span is a time in which something was disturbed.
type span struct {
	from, to time.Time // to is zero while it lasts
	what     string
	planned  bool
	node     int // number of the instance; -1 for all
}

// publication is one version of the configuration, acknowledged by the store.
type publication struct {
	version uint64
	acked   time.Time
}

// record holds everything that was seen in one run. Its methods are safe for
// concurrent use.
type record struct {
	mu           sync.Mutex
	attempts     map[string]*attempt
	arrivals     []arrival
	runs         map[string]int // by id of the attempt
	departures   []departure
	publications []publication
	spans        []*span
	graceless    []string // processes that did not end within their grace
}

func newRecord() *record {
	return &record{attempts: make(map[string]*attempt), runs: make(map[string]int)}
}

func (r *record) begin(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[a.id] = a
}

// end notes how an attempt ended. change runs under the record's lock.
func (r *record) end(a *attempt, change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	a.ended = time.Now()
}

// of returns a copy of the attempt with the id.
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

// ran adds runs of attempts.
func (r *record) ran(counts map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range counts {
		r.runs[id] += n
	}
}

// disturb notes a disturbance. node is -1 for all instances. The returned
// function ends it.
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

// calm reports whether nothing disturbed the instance from one time to another.
// With planned, planned work counts as a disturbance too.
func (r *record) calm(node int, from, to time.Time, planned bool) bool {
	return !slices.ContainsFunc(r.spans, func(s *span) bool {
		return (s.node < 0 || node < 0 || s.node == node) && (planned || !s.planned) &&
			s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}

// sameProcess reports whether the instance's node was left alone from one time
// to another, so that one process answered in between.
func (r *record) sameProcess(node int, from, to time.Time) bool {
	return !slices.ContainsFunc(r.spans, func(s *span) bool {
		return s.node == node && s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
	})
}
