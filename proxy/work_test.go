package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"
	"pgregory.net/rapid"

	"siskingw/admit"
	"siskingw/object"
	"siskingw/snapshot"
)

// Guards against call attributes, such as priority, target time and class, that
// change between the caller's and the target's node.
func TestWorkPassesBetweenNodes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	w := work{class: "bids", service: "floor", priority: 1, targetTime: now.Add(800 * time.Millisecond),
		idempotent: true, allowLate: true, elsewhere: true, caller: "house"}
	got := parseWork(w.format(), now, object.WorkPage)
	is.True(got.targetTime.Sub(w.targetTime).Abs() < 5*time.Millisecond)
	got.targetTime = w.targetTime
	is.Equal(got, w)
	w = work{class: "bids"}
	is.Equal(parseWork(w.format(), now, object.WorkPage), w)
}

// Guards against names that change between nodes, or that end a header: the target's
// node would refuse the call as one of another service.
func TestNamesPassBetweenNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{"lot_photos", "Lots; 100%", "%2F", "a,b;c", " a ", "\r\n"}))
		w := work{class: name.Draw(t, "class"), service: name.Draw(t, "service"), caller: name.Draw(t, "caller"),
			organisation: name.Draw(t, "organisation"), weight: 2}
		want := w
		if len(w.class) > maxClassBytes {
			want.class = classLabel(w.class)
		}
		v, organisation := w.format(), w.formatOrganisation()
		if !httpguts.ValidHeaderFieldValue(v) || !httpguts.ValidHeaderFieldValue(organisation) ||
			strings.TrimSpace(v) != v || strings.TrimSpace(organisation) != organisation {
			t.Fatalf("%q and %q are no header values", v, organisation)
		}
		got := parseWork(v, time.Now(), object.WorkBid)
		got.parseOrganisation(organisation)
		if got != want {
			t.Fatalf("%+v arrived as %+v", want, got)
		}
	})
}

// Guards against a route name that makes the header of every call too large.
func TestClassIsBounded(t *testing.T) {
	is := is.New(t)
	a, b := work{class: strings.Repeat("a", 1000)}, work{class: strings.Repeat("a", 1001)}
	is.True(len(a.format()) < 2*maxClassBytes)
	is.True(a.format() != b.format()) // classes are told apart
}

// Guards against a gate state that changes between nodes, and against malformed
// values that are accepted.
func TestGateStatePassesBetweenNodes(t *testing.T) {
	is := is.New(t)
	g := gateState{
		report: admit.Report{CallsAhead: [admit.Priorities]int{9, 12, 40}, ServiceTime: 250 * time.Millisecond, Slowness: 2.5,
			RefusedShare: [admit.Priorities]float64{0, 0.25, 0.5}},
		classServiceTime: 80 * time.Millisecond, handlingTime: 312 * time.Microsecond,
		link: admit.LinkReport{PendingBytes: 3 << 20, Rate: 2.5e6}, sendBacklog: 90 * time.Millisecond,
	}
	is.Equal(parseGateState(g.format()), g)
	for _, bad := range []string{"", "1;2", "1;2;3;4;5;6;7;8;9;10;11;12;x", "-1;2;3;4;5;6;7;8;9;10;11;12;13", "1;2;3;4;5;6;7;8;9;10;11;12;13;14"} {
		is.Equal(parseGateState(bad), gateState{})
	}
}

// Guards against header values from other nodes that cause a panic, give a call a
// negative priority or add a metric label.
func FuzzNodeHeaders(f *testing.F) {
	f.Add("1;800;rl;bids;floor;house", "9;12;40;250000;80000;312;3145728;2500000;90000;100;0;250;500")
	f.Add(";;;;;", ";;;;;;;;;;;;")
	f.Fuzz(func(t *testing.T, w, g string) {
		if got := parseWork(w, time.Now(), object.WorkBid); got.priority < 0 {
			t.Errorf("%q has priority %d", w, got.priority)
		}
		if s := parseGateState(g); s != (gateState{}) && parseGateState(s.format()) != s {
			t.Errorf("%q changes when it is formatted again", g)
		}
		if c := parseCause(w); !knownCauses[c] {
			t.Errorf("%q is parsed as the unknown cause %q", w, c)
		}
	})
}

// Guards against callers of refused calls that retry all at once, after the target
// latency has passed, or although the call may have run.
func TestRetryAfterLeavesTimeForRetry(t *testing.T) {
	is := is.New(t)
	c := &call{deadline: time.Now().Add(3 * time.Second), work: work{targetTime: time.Now().Add(time.Second)}}
	f := notRun(causeAllFull, "full", nil)
	first, last := retryAfter(c, f, 0), retryAfter(c, f, 1)
	is.True(first > 100*time.Millisecond && last < 600*time.Millisecond && last > 2*first)
	c.work.targetTime = time.Now().Add(-time.Second)
	is.True(retryAfter(c, f, 1) < time.Second) // a third of the time left to the deadline
	is.Equal(retryAfter(c, mayHaveRun(causeAnswerLost, "lost", nil), 1), time.Duration(0))
	is.Equal(retryAfter(c, badRequest("bad"), 1), time.Duration(0))
}

// Guards against a split that is correct only on average: a service with a quarter
// of the weight must get exactly one of every four calls.
func TestSplitIsEven(t *testing.T) {
	is := is.New(t)
	weightedRoute := func(service string, weight int) snapshot.WeightedRoute {
		return snapshot.WeightedRoute{Weight: weight, Route: &snapshot.ResolvedRoute{ServiceName: service}}
	}
	routes := []snapshot.WeightedRoute{weightedRoute("new", 25), weightedRoute("old", 75), weightedRoute("none", 0)}
	s := &splitter{currentWeight: make(map[string]int)}
	for range 50 {
		got := make(map[string]int)
		for range 4 {
			got[s.next(routes).Route.ServiceName]++
		}
		is.Equal(got, map[string]int{"new": 1, "old": 3})
	}
}

// Guards against a size estimate of 0 for a call on a route without known response
// sizes.
func TestResponseSizeFollowsResponses(t *testing.T) {
	is := is.New(t)
	var s responseSize
	c := &call{r: &http.Request{ContentLength: 1000}}
	is.Equal(s.expectedBytes(c), exchangeOverheadBytes+1000)
	for range 100 {
		s.observe(5000)
	}
	is.Equal(s.expectedBytes(c), exchangeOverheadBytes+6000)
}
