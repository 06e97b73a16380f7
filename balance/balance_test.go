package balance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/member"
)

// Guards against a call that is not reported as not run when no endpoint is left.
func TestPickWithoutEndpointIsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, Options{})
	_, err := f.b.Pick(&f.set, nil, nil)
	is.True(errorx.IsOfType(err, errdefs.NotRun))
	f = newFixture(1, Options{})
	_, err = f.b.Pick(&f.set, nil, []string{"sask-1-0", "sask-2-0", "alta-1-0", "mani-1-0"})
	is.True(errorx.IsOfType(err, errdefs.NotRun))
}

// scenario is a check of one rule, with a defect that the check must detect.
type scenario struct {
	guards string // the failure that the check guards against
	opts   Options
	check  func(f *fixture) error
	defect func(f *fixture) // injects the defect
}

var scenarios = map[string]scenario{
	"own failure domain first": {
		guards: "charged traffic while the own failure domain has free slots",
		check: func(f *fixture) error {
			got := f.holdCalls(6) // of 8 slots
			return want(got["sask-1"] == 6, "calls went to %v", got)
		},
		defect: func(f *fixture) { f.view.self.FailureDomain = "sask-3" },
	},
	"spillover in proportion to slots": {
		guards: "calls that leave the region too early or overload the smaller region",
		check: func(f *fixture) error {
			for i := range 4 {
				f.view.set(f.record(fmt.Sprintf("alta-1-more-%d", i), "alta-1"))
			}
			got := f.holdCalls(30)
			near := got["sask-1"] + got["sask-2"]
			far := got["alta-1"] + got["mani-1"]
			if near < 14 || near > 18 { // of 16 slots
				return fmt.Errorf("%d calls in the own region: %v", near, got)
			}
			return want(got["alta-1"] > got["mani-1"] && far == 30-near, "alta has three times the slots of mani: %v", got)
		},
		defect: func(f *fixture) { f.view.unreachable["sask-2"] = true },
	},
	"no draining members, suspects last": {
		guards: "new calls to a member that is leaving or may be dead",
		check: func(f *fixture) error {
			f.view.setState("sask-1-0", member.Draining)
			f.view.setState("sask-1-1", member.Suspect)
			got := f.calls(200, time.Millisecond, succeeding)
			if got["sask-1-0"]+got["sask-1-1"] > 0 {
				return fmt.Errorf("calls went to %v", got)
			}
			for _, r := range slices.Clone(f.view.records) {
				if r.ID != "sask-1-1" {
					f.view.setState(r.ID, member.Draining)
				}
			}
			got = f.calls(10, time.Millisecond, succeeding)
			return want(got["sask-1-1"] == 10, "only a suspect is left: %v", got)
		},
		defect: func(f *fixture) { f.view.generation -= 100; f.view.frozen = true },
	},
	"unreachable failure domain last": {
		guards: "calls to a failure domain that is known to be unreachable",
		check: func(f *fixture) error {
			f.view.unreachable["sask-2"], f.view.unreachable["alta-1"], f.view.unreachable["mani-1"] = true, true, true
			f.view.generation++
			got := f.calls(100, time.Millisecond, failing("sask-1-0"))
			if got["sask-1-0"]+got["sask-1-1"] != 100 {
				return fmt.Errorf("calls went to %v", got)
			}
			id := f.call(0, succeeding, "sask-1-0", "sask-1-1")
			return want(id != "", "no target picked although unreachable ones are left")
		},
		defect: func(f *fixture) { f.view.self.FailureDomain = "alta-1" },
	},
	"ejection and backoff": {
		guards: "calls that keep going to a failing target, or ejections whose length does not grow",
		check: func(f *fixture) error {
			bad := failing("sask-1-0")
			f.eject(bad)
			first := f.timeUntilRetried("sask-1-0", bad)
			second := f.timeUntilRetried("sask-1-0", bad)
			third := f.timeUntilRetried("sask-1-0", bad)
			if first < 800*time.Millisecond || second < 2*time.Second || third < 4*time.Second {
				return fmt.Errorf("tried again after %v, %v, %v", first, second, third)
			}
			return want(third < time.Minute, "not tried again for %v", third)
		},
		defect: func(f *fixture) {
			f.mapReport = func(_ string, r Report) Report { return Report{Refused: r.Failed} }
		},
	},
	"slow start after ejection": {
		guards: "a full share of calls right after an ejection, or a target that never gets it back",
		check: func(f *fixture) error {
			f.eject(failing("sask-1-0"))
			f.timeUntilRetried("sask-1-0", succeeding)
			early := f.calls(200, time.Millisecond, succeeding)
			f.now = f.now.Add(DefaultSlowStart)
			late := f.calls(200, time.Millisecond, succeeding)
			return want(early["sask-1-0"] < 40 && late["sask-1-0"] > 60, "%d of 200 calls at first, %d later",
				early["sask-1-0"], late["sask-1-0"])
		},
		defect: func(f *fixture) {
			f.b.opts.SlowStart = 1
		},
	},
	"unreachable target": {
		guards: "further calls to a process that refuses connections",
		check: func(f *fixture) error {
			f.calls(20, time.Millisecond, func(id string) Report { return Report{Unreachable: id == "sask-1-0"} })
			id := f.call(time.Millisecond, succeeding, "sask-1-1")
			return want(id == "sask-2-0" || id == "sask-2-1", "%s picked", id)
		},
		defect: func(f *fixture) {
			f.mapReport = func(_ string, r Report) Report { return Report{Failed: r.Unreachable} }
			f.ejection.ConsecutiveFailures = 1000
		},
	},
	"panic mode": {
		guards: "ejections that leave too few targets for the calls",
		check: func(f *fixture) error {
			// Six of eight fail, which starts panic mode; the failing ones still score lower.
			bad := failing("sask-1-0", "sask-1-1", "sask-2-0", "sask-2-1", "alta-1-0", "alta-1-1")
			f.eject(bad)
			got := f.calls(400, 10*time.Millisecond, succeeding)
			return want(got["sask-1-0"]+got["sask-1-1"] > 200, "calls avoid the own failure domain: %v", got)
		},
		defect: func(f *fixture) { f.ejection.MaxPercent = 100; f.ejection.BaseMs = 60_000 },
	},
	"minimum of ready targets": {
		guards: "ejections that leave fewer targets than minReady",
		check: func(f *fixture) error {
			f.ejection.MaxPercent, f.ejection.BaseMs = 100, 60_000
			f.eject(failing("sask-1-0"))
			got := f.calls(400, 10*time.Millisecond, succeeding)
			return want(got["sask-1-0"] > 50, "%v, although all 8 must stay ready", got)
		},
		defect: func(f *fixture) { f.set.MinReady = 7 },
	},
	"slow start": {
		guards: "a target that gets its full share of calls right after its start",
		check: func(f *fixture) error {
			f.call(0, succeeding)
			f.view.set(f.record("sask-1-new", "sask-1"))
			cold := f.calls(300, time.Millisecond, succeeding)["sask-1-new"]
			f.now = f.now.Add(DefaultSlowStart)
			warm := f.calls(300, time.Millisecond, succeeding)["sask-1-new"]
			return want(cold < 30 && warm > 60, "%d of 300 calls during slow start, %d after it", cold, warm)
		},
		defect: func(f *fixture) { f.b.opts.SlowStart = 1 },
	},
	"expired load reports": {
		guards: "a selection by load that was reported more than 1 s ago",
		check: func(f *fixture) error {
			full := func(id string) Report {
				if id == "sask-1-0" {
					return Report{Load: 3}
				}
				return Report{Load: 0.1}
			}
			fresh := f.calls(100, time.Millisecond, full)["sask-1-0"]
			f.now = f.now.Add(DefaultLoadMaxAge + time.Millisecond)
			old := 0
			for range 100 { // ends the calls without a report
				p, err := f.b.Pick(&f.set, nil, []string{"sask-2-0", "sask-2-1"})
				if err != nil {
					return err
				}
				if p.Record.ID == "sask-1-0" {
					old++
				}
				p.endpoint.inFlight.Add(-1)
			}
			return want(fresh < 10 && old > 30, "%d of 100 calls with fresh reports, %d with old ones", fresh, old)
		},
		defect: func(f *fixture) { f.b.opts.LoadMaxAge = time.Hour },
	},
	"refusals outweigh reported load": {
		guards: "preference for a target that reports no load but refuses its calls",
		check: func(f *fixture) error {
			wrongReport := func(id string) Report {
				if id == "sask-1-0" {
					return Report{Refused: true, Load: 0.01}
				}
				return Report{Load: 0.7}
			}
			got := f.calls(300, time.Millisecond, wrongReport)
			return want(got["sask-1-0"] < 60, "%d of 300 calls went to the target with the wrong report", got["sask-1-0"])
		},
		defect: func(f *fixture) {
			f.mapReport = func(_ string, r Report) Report { r.Refused = false; return r }
		},
	},
	"wrong load reports move few calls": {
		guards: "a healthy target that gets no calls because it reports too high a load",
		check: func(f *fixture) error {
			for i := range 6 {
				f.view.set(f.record(fmt.Sprintf("sask-1-more-%d", i), "sask-1"))
			}
			f.now = f.now.Add(DefaultSlowStart)
			got := make(map[string]int)
			var inFlight []*Picked
			for range 4000 { // 16 calls in flight on 32 slots
				p, err := f.b.Pick(&f.set, nil, nil)
				if err != nil {
					return err
				}
				got[p.Record.ID]++
				f.now = f.now.Add(time.Millisecond)
				if inFlight = append(inFlight, p); len(inFlight) > 16 {
					f.done(inFlight[0], Report{Load: f.reportedLoad(inFlight[0]), Duration: 16 * time.Millisecond})
					inFlight = inFlight[1:]
				}
			}
			return want(got["sask-1-0"] > 4000/8/2, "%d of 4000 calls", got["sask-1-0"])
		},
		defect: func(f *fixture) {
			f.mapReport = func(_ string, r Report) Report { r.Duration = 0; return r }
		},
	},
	"slow target": {
		guards: "preference for a slow target that reports a low load, or one that is not used again after it recovered",
		check: func(f *fixture) error {
			slow := func(ms time.Duration) func(string) Report {
				return func(id string) Report {
					if id == "sask-1-0" {
						return Report{Load: 0.01, Duration: ms * time.Millisecond}
					}
					return Report{Load: 0.5, Duration: 10 * time.Millisecond}
				}
			}
			before := f.calls(400, 10*time.Millisecond, slow(100))["sask-1-0"]
			f.calls(1000, 10*time.Millisecond, slow(1))
			after := f.calls(400, 10*time.Millisecond, slow(1))["sask-1-0"]
			return want(before < 60 && after > 150, "%d of 400 calls while slow, %d after recovery", before, after)
		},
		defect: func(f *fixture) {
			f.mapReport = func(_ string, r Report) Report { r.Duration = 10 * time.Millisecond; return r }
		},
	},
	"state of idle services is removed": {
		guards: "state that grows with the number of services ever called",
		check: func(f *fixture) error {
			f.call(0, succeeding)
			p, err := f.b.Pick(&f.set, nil, nil)
			if err != nil {
				return err
			}
			f.now = f.now.Add(3 * DefaultIdleTime)
			f.set.Announce = "inspection-house"
			f.call(0, succeeding)
			inFlight := f.b.Services()
			f.done(p, Report{})
			f.now = f.now.Add(DefaultIdleTime + time.Second)
			f.call(0, succeeding)
			return want(inFlight == 2 && f.b.Services() == 1, "%d services with a call in flight, %d without",
				inFlight, f.b.Services())
		},
		defect: func(f *fixture) { f.b.opts.IdleTime = time.Hour; f.b.sweepAt.Store(1 << 60) },
	},
}

// eject makes calls for 30 s, in which a failing target fails often enough to be
// ejected, and for up to a minute more until a target is ejected.
func (f *fixture) eject(outcome func(string) Report) {
	end := f.now.Add(30 * time.Second)
	for f.now.Before(end) || f.now.Before(end.Add(time.Minute)) && !f.ejected() {
		f.call(5*time.Millisecond, outcome)
	}
}

// ejected reports whether any target is ejected.
func (f *fixture) ejected() bool {
	v, _ := f.b.services.Load(f.set.Announce)
	return slices.ContainsFunc(v.(*service).table.Load().alive, func(e *endpoint) bool { return e.ejected(f.b.now()) })
}

// reportedLoad returns the load that a target reports: too high a value for the
// first target, the true one for the others.
func (f *fixture) reportedLoad(p *Picked) float64 {
	if p.Record.ID == "sask-1-0" {
		return 10
	}
	return 0.5
}

// timeUntilRetried makes calls and returns the time until the target is called again.
func (f *fixture) timeUntilRetried(id string, outcome func(string) Report) time.Duration {
	start := f.now
	for f.now.Sub(start) < 5*time.Minute {
		if f.call(5*time.Millisecond, outcome) == id {
			break
		}
	}
	return f.now.Sub(start)
}

func want(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

// Guards against the failure that each scenario names, and against checks that do
// not detect the injected defect.
func TestScenarios(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2, s.opts)
			if name == "minimum of ready targets" {
				f.set.MinReady = 8
			}
			if err := s.check(f); err != nil {
				t.Fatalf("guards against %s: %v", s.guards, err)
			}
			f = newFixture(2, s.opts)
			s.defect(f)
			if err := s.check(f); err == nil {
				t.Fatal("the check did not detect the injected defect")
			}
		})
	}
}

// Guards against data races and leaked in-flight counts while endpoints change.
func TestConcurrentCallsAndChanges(t *testing.T) {
	is := is.New(t)
	f := newFixture(4, Options{})
	view := &lockedView{fakeView: f.view}
	b := New(view, Options{})
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := range 2000 {
				p, err := b.Pick(&f.set, nil, nil)
				if err != nil {
					t.Error(err)
					return
				}
				p.Done(Report{Failed: (i+w)%7 == 0, Load: 0.5})
				p.Done(Report{Failed: true}) // has no effect
			}
		})
	}
	for i := range 200 {
		view.change(func(v *fakeView) { v.setState(v.records[i%8].ID, member.State(1+i%3)) })
	}
	wg.Wait()
	v, _ := b.services.Load(f.set.Announce)
	is.True(!v.(*service).busy())
}

// Guards against allocations per call beyond the returned value.
func TestPickAllocatesOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, Options{})
	b := New(f.view, Options{})
	n := testing.AllocsPerRun(1000, func() {
		p, _ := b.Pick(&f.set, nil, nil)
		p.Done(Report{Load: 0.5})
	})
	is.True(n <= 1)
}

func BenchmarkPickDone(b *testing.B) {
	f := newFixture(8, Options{})
	bal := New(f.view, Options{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, _ := bal.Pick(&f.set, nil, nil)
			p.Done(Report{Load: 0.5})
		}
	})
}

// Measures a call while members of other services change all the time.
func BenchmarkPickDoneWithChanges(b *testing.B) {
	f := newFixture(250, Options{})
	bal := New(f.view, Options{})
	b.ReportAllocs()
	for b.Loop() {
		f.view.generation++
		p, _ := bal.Pick(&f.set, nil, nil)
		p.Done(Report{Load: 0.5})
	}
}
