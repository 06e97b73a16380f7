package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// observe feeds p with a nested call every 10 ms for the given time and returns the
// time at the end.
func observe(p *Parents, now time.Time, length time.Duration, refused func(i int) bool, met, own Report) time.Time {
	for i := range int(length / (10 * time.Millisecond)) {
		now = now.Add(10 * time.Millisecond)
		p.Observe(refused(i), met, own, now)
	}
	return now
}

// admitted returns how many of 100 calls of a priority are admitted.
func admitted(p *Parents, priority int, now time.Time) int {
	n := 0
	for range 100 {
		if p.Admit(Work{Priority: priority}, now) == nil {
			n++
		}
	}
	return n
}

func never(int) bool { return false }

// Guards against less urgent work that is served while the calls that it leads to
// displace more urgent work, against limiting it more than that, and against a
// limit that stays after the overload.
func TestParentsYieldToMoreUrgentWork(t *testing.T) {
	is := is.New(t)
	var p Parents
	met := Report{RefusedShare: [Priorities]float64{0, 0.6, 0.6}} // of priority 1 and higher
	own := Report{RefusedShare: [Priorities]float64{0, 0, 0.2}}
	now := observe(&p, time.Unix(0, 0), 4*time.Second, never, met, own)
	n := admitted(&p, priorityRead, now)
	is.True(n > 55 && n < 65) // 0.4 refused here, 0.2 by the gate
	is.Equal(admitted(&p, 1, now), 100)
	is.Equal(p.Admit(Work{Priority: priorityRead, Nested: true}, now), nil)
	now = observe(&p, now, 4*time.Second, never, Report{}, Report{})
	is.True(admitted(&p, priorityRead, now) > 95)
	var none *Parents
	is.NoErr(none.Admit(Work{}, now))
}

// Guards against runs that are wasted because half of the calls that they need are
// refused, and against a limit that shuts a service off, so that nothing shows when
// there is room again.
func TestParentsAreLimitedWhenTheirCallsAreRefused(t *testing.T) {
	is := is.New(t)
	var p Parents
	now := observe(&p, time.Unix(0, 0), 4*time.Second, func(i int) bool { return i%2 == 0 }, Report{}, Report{})
	n := admitted(&p, 0, now)
	is.True(n > 45 && n < 60)
	now = observe(&p, now, 4*time.Second, func(int) bool { return true }, Report{}, Report{})
	is.True(admitted(&p, 0, now) >= 100*minParentShare)
	var err error
	for i := 0; err == nil && i < 10; i++ {
		err = p.Admit(Work{}, now)
	}
	is.Equal(Cause(err), "parent")
}

// Guards against a gate that reports the callers which other targets then served as
// refused: each of them is refused at up to three targets on its way, and parents would
// be limited although their calls and the more urgent ones are served.
func TestCallsThatGoElsewhereAreNotReportedAsRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	g := New(Options{Slots: 1, Now: func() time.Time { return now }})
	ask := func(elsewhere bool) {
		ctx := deadlineOnlyContext{t.Context(), now.Add(time.Hour)}
		_, err := g.Admit(ctx, Work{Class: "page", Priority: 1, TargetTime: now, Elsewhere: elsewhere})
		is.True(err != nil)
	}
	ticket, err := g.Admit(deadlineOnlyContext{t.Context(), now.Add(time.Hour)}, Work{Class: "page", TargetTime: now.Add(time.Hour)})
	is.NoErr(err)
	now = now.Add(100 * time.Millisecond)
	ticket.Release()
	ticket, err = g.Admit(deadlineOnlyContext{t.Context(), now.Add(time.Hour)}, Work{Class: "page", TargetTime: now.Add(time.Hour)})
	is.NoErr(err)
	defer ticket.Release()
	g.lateRefusedAt = now // an overload is going on
	for range 40 {
		ask(true)
	}
	is.Equal(g.Report().RefusedShare, [Priorities]float64{})
	for range 40 {
		ask(false)
	}
	share := g.Report().RefusedShare
	is.Equal(share[0], 0.0)
	is.True(share[1] > 0.8 && share[2] > 0.8)
}

// Guards against admission that counts on the usual speed of a machine whose
// neighbours take it: the stated slowness scales the expected times, fades when it
// is not stated again, and does not enter what is learnt for usual times.
func TestStatedSlownessScalesExpectedTimes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	g := New(Options{Slots: 1, Now: func() time.Time { return now }})
	run := func(d time.Duration) {
		ticket, err := g.Admit(deadlineOnlyContext{t.Context(), now.Add(time.Hour)},
			Work{Class: "page", TargetTime: now.Add(time.Hour)})
		is.NoErr(err)
		now = now.Add(d)
		ticket.Release()
	}
	run(100 * time.Millisecond)
	g.ObserveSlowness(0) // states nothing
	is.Equal(g.classTime("page", now), 100*time.Millisecond)
	g.ObserveSlowness(2.5)
	is.Equal(g.classTime("page", now), 250*time.Millisecond)
	is.Equal(g.Report().Slowness, 2.5)
	is.Equal(g.ClassServiceTime("page"), 100*time.Millisecond)
	run(250 * time.Millisecond)
	is.True(g.ClassServiceTime("page") < 110*time.Millisecond)
	now = now.Add(10 * slownessHalfLife)
	is.True(g.classTime("page", now) < 110*time.Millisecond)
}
