package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 2, 10, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// promises returns the number of violations by guarantee.
func promises(r *record) map[string]int {
	n := make(map[string]int)
	for _, v := range r.check() {
		n[v.Promise]++
	}
	return n
}

func answered(id string, status int) *attempt {
	return &attempt{id: id, method: "POST", path: "/bids/" + id, deadline: longWait, sent: after(10 * time.Second), ended: after(10*time.Second + 100*time.Millisecond), status: status, life: 1}
}

// Guards against a check that misses a violation: each case violates exactly one
// guarantee.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	for promise, prepare := range map[string]func(r *record){
		"at most once": func(r *record) {
			r.attempts["a"] = answered("a", 200)
			r.runs["a"] = 2
		},
		"true refusal": func(r *record) {
			r.attempts["a"] = answered("a", 503)
			r.runs["a"] = 1
		},
		"right answer": func(r *record) {
			a := answered("a", 200)
			a.wrong = "a 2xx response without a target's signature"
			r.attempts["a"] = a
		},
		"unchanged request": func(r *record) {
			r.arrivals = []arrival{{id: "nobody", at: after(0)}}
		},
		"nothing lost around planned work": func(r *record) {
			r.attempts["a"] = answered("a", 0)
			r.runs["a"] = 1
			r.spans = []*span{{from: after(9 * time.Second), planned: true, node: 0}}
		},
		"no work for a leaving target": func(r *record) {
			r.attempts["a"] = answered("a", 200)
			r.departures = []departure{{"i-1", after(0)}}
			r.arrivals = []arrival{{id: "a", target: "i-1", at: after(10 * time.Second)}}
		},
		"in force in time": func(r *record) {
			r.publications = []publication{{7, after(5 * time.Second)}}
			a := answered("a", 404)
			a.version = 7
			r.attempts["a"] = a
		},
		"no way back": func(r *record) {
			a, b := answered("a", 200), answered("b", 404)
			a.version, b.version = 7, 7
			b.sent = after(11 * time.Second)
			r.attempts["a"], r.attempts["b"] = a, b
		},
		"stop within the grace": func(r *record) { r.graceless = []string{"n-1"} },
		"budget of repeats": func(r *record) {
			r.attempts["a"] = answered("a", 200)
			for i := range 2 * budgetSlack {
				r.arrivals = append(r.arrivals, arrival{id: "a", at: after(10*time.Second + time.Duration(i)*time.Millisecond)})
			}
		},
		"deadline": func(r *record) {
			r.attempts["a"] = answered("a", 200)
			for range manyOver + 1 {
				r.arrivals = append(r.arrivals, arrival{id: "a", at: after(10 * time.Second), deadline: 2 * longWait})
			}
		},
		"callers that left": func(r *record) {
			a := answered("a", 0)
			a.left = after(10 * time.Second)
			r.attempts["a"] = a
			for range fewArrivals + 1 {
				r.arrivals = append(r.arrivals, arrival{id: "a", at: after(11 * time.Second)})
			}
		},
	} {
		t.Run(promise, func(t *testing.T) {
			is := is.New(t)
			r := newRecord()
			prepare(r)
			is.Equal(len(promises(r)), 1)
			is.True(promises(r)[promise] > 0)
		})
	}
}

// Guards against false violations: time bounds must not be checked for an
// instance during a fault or shortly after it.
func TestDisturbedInstancesAreExcused(t *testing.T) {
	is := is.New(t)
	r := newRecord()
	r.publications = []publication{{7, after(5 * time.Second)}}
	a := answered("a", 404)
	a.version = 7
	lost := answered("b", 0)
	r.attempts["a"], r.attempts["b"], r.runs["b"] = a, lost, 1
	r.spans = []*span{{from: after(7 * time.Second), to: after(8 * time.Second), node: 0}}
	is.Equal(len(r.check()), 0)
	r.spans[0].node = 1 // another instance: a fault there excuses only the lost response
	is.Equal(promises(r), map[string]int{"in force in time": 1})
	r.spans = nil
	is.Equal(len(promises(r)), 2)
}
