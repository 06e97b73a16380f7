package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/faults"
)

// Priorities of the calls in these tests.
const (
	bids  = 0
	reads = 2
)

// load generates calls that hold a slot for a fixed time.
type load struct {
	gate    *Gate
	service time.Duration // service time of a call
	target  time.Duration // target latency
	done    chan outcome
	sent    int // calls started
}

type outcome struct {
	priority int
	refused  bool
	after    time.Duration // from arrival to completion or refusal
}

func newLoad(slots int, service, target time.Duration) *load {
	return &load{gate: New(Options{Slots: slots, QueueLength: 8 * slots}), service: service, target: target, done: make(chan outcome, 1<<16)}
}

// call starts one call.
func (l *load) call(work Work) {
	l.sent++
	start := time.Now()
	if work.Target.IsZero() {
		work.Target = start.Add(l.target)
	}
	go func() {
		ctx := untimed{context.Background(), start.Add(4 * l.target)}
		t, err := l.gate.Admit(ctx, work)
		if err == nil {
			time.Sleep(l.service)
			t.Leave()
		}
		l.done <- outcome{work.Priority, err != nil, time.Since(start)}
	}()
}

// every starts one call per interval for the given length of time.
func (l *load) every(interval, length time.Duration, work Work) {
	for range length / interval {
		l.call(work)
		time.Sleep(interval)
	}
}

// results waits for all calls and returns their outcomes by priority.
func (l *load) results() (byPriority [kinds][]outcome) {
	for range l.sent {
		o := <-l.done
		byPriority[o.priority] = append(byPriority[o.priority], o)
	}
	return byPriority
}

// count returns the number of calls answered in time, answered late, and refused.
func count(outcomes []outcome, target time.Duration) (inTime, late, refused int) {
	for _, o := range outcomes {
		switch {
		case o.refused:
			refused++
		case o.after <= target:
			inTime++
		default:
			late++
		}
	}
	return inTime, late, refused
}

// Sustained overload by one class. Guards against queues so long that every
// admitted call is late, against an underused target, and against refusals that
// come too late to try another target.
func TestOverloadAnswersInTimeOrRefusesSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(8, 200*time.Millisecond, 800*time.Millisecond) // 40 calls a second
		l.every(12500*time.Microsecond, 20*time.Second, Work{Class: "read", Priority: reads})
		inTime, late, refused := count(l.results()[reads], l.target)
		t.Log(inTime, late, refused)
		is.True(inTime > 19*40) // of 20 s at full utilization
		is.True(late <= inTime/20)
		is.Equal(inTime+late+refused, 1600)
	})
}

// Calls of high priority during an overload by others. Guards against bids that
// are refused or late because reads arrived first.
func TestUrgentCallsAreServedWithinAnOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(8, 200*time.Millisecond, 800*time.Millisecond)
		go l.every(50*time.Millisecond, 10*time.Second, Work{Class: "bid", Priority: bids}) // half of the slots
		time.Sleep(time.Millisecond)
		l.every(15*time.Millisecond, 10*time.Second, Work{Class: "read", Priority: reads})
		time.Sleep(time.Second)
		got := l.results()
		inTime, late, refused := count(got[bids], l.target)
		t.Log(inTime, late, refused)
		is.True(inTime >= 198)
		readsInTime, _, _ := count(got[reads], l.target)
		is.True(readsInTime > 150) // the other half of the slots
	})
}

// A short burst. Guards against refusals of calls that could run soon: without
// sustained overload, an answer that is a little late is better than none.
func TestShortBurstIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(8, 200*time.Millisecond, 400*time.Millisecond)
		for range 20 {
			l.call(Work{Class: "read", Priority: reads})
		}
		_, _, refused := count(l.results()[reads], l.target)
		is.Equal(refused, 0)
	})
}

// A target that becomes slow. Guards against a service time estimate that changes
// only after the slow calls have completed.
func TestSlowTargetIsSeenBeforeItsCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(4, 100*time.Millisecond, 800*time.Millisecond)
		l.every(50*time.Millisecond, 2*time.Second, Work{Class: "read", Priority: reads})
		is.True(l.gate.Report().Service < 150*time.Millisecond)
		l.service = 2 * time.Second
		for range 4 {
			l.call(Work{Class: "read", Priority: reads})
		}
		time.Sleep(time.Second)
		is.True(l.gate.Report().Service > time.Second)
		l.results()
	})
}

// Calls with a short target latency, made by another service to build a page, and
// uploads with a long one. Guards against a queue ordered by arrival, in which the
// page waits for uploads.
func TestShortTargetGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueLength: 10})
		running, err := g.Admit(context.Background(), Work{Priority: reads, Target: time.Now().Add(time.Second)})
		is.NoErr(err)
		var order []string
		admit := func(class string, target time.Duration) {
			t, err := g.Admit(context.Background(), Work{Class: class, Priority: reads, Target: time.Now().Add(target)})
			is.NoErr(err)
			order = append(order, class)
			t.Leave()
		}
		go admit("upload", 2*time.Second)
		synctest.Wait()
		go admit("call", 200*time.Millisecond)
		synctest.Wait()
		running.Leave()
		synctest.Wait()
		is.Equal(order, []string{"call", "upload"})
	})
}

// Guards against late calls that take a slot from calls that can be in time, and
// against late calls that are refused while slots are free.
func TestLateWorkRunsLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoad(2, 100*time.Millisecond, 400*time.Millisecond)
		late := Work{Class: "read", Priority: bids, Target: time.Now().Add(-time.Millisecond), Late: true}
		l.call(late)
		_, _, refused := count(l.results()[bids], time.Hour)
		is.Equal(refused, 0) // the gate is idle
		l = newLoad(2, 100*time.Millisecond, 400*time.Millisecond)
		go l.every(25*time.Millisecond, 3*time.Second, Work{Class: "read", Priority: reads}) // twice the capacity
		time.Sleep(time.Second)
		for range 10 {
			l.call(late)
		}
		time.Sleep(4 * time.Second)
		_, _, refused = count(l.results()[bids], time.Hour)
		is.Equal(refused, 10)
	})
}

// Guards against an upload that is refused only after its body was transferred.
func TestCheckRefusesBeforeTheBodyArrives(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1})
	now := time.Now()
	work := Work{Class: "upload", Priority: bids, Target: now.Add(500 * time.Millisecond)}
	is.NoErr(g.Check(work, now.Add(2*time.Second), 100*time.Millisecond))
	is.True(errorx.IsOfType(g.Check(work, now.Add(2*time.Second), time.Second), faults.NotRun))
	is.Equal(g.Stats().InFlight, 0)
}
