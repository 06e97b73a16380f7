package admit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

// Priorities of the calls in these tests.
const (
	priorityBid  = 0
	priorityRead = 2
)

// loadGenerator generates calls that hold a slot for a fixed time.
type loadGenerator struct {
	gate          *Gate
	serviceTime   time.Duration
	targetLatency time.Duration
	outcomes      chan outcome
	sent          atomic.Int64 // calls started
}

type outcome struct {
	priority int
	refused  bool
	latency  time.Duration // from arrival to completion or refusal
}

func newLoadGenerator(slots int, serviceTime, targetLatency time.Duration) *loadGenerator {
	return &loadGenerator{gate: New(Options{Slots: slots, QueueLength: 8 * slots}),
		serviceTime: serviceTime, targetLatency: targetLatency, outcomes: make(chan outcome, 1<<16)}
}

// start starts one call.
func (l *loadGenerator) start(work Work) {
	l.sent.Add(1)
	start, serviceTime := time.Now(), l.serviceTime
	if work.TargetTime.IsZero() {
		work.TargetTime = start.Add(l.targetLatency)
	}
	go func() {
		ctx := deadlineOnlyContext{context.Background(), start.Add(4 * l.targetLatency)}
		t, err := l.gate.Admit(ctx, work)
		if err == nil {
			time.Sleep(serviceTime)
			t.Release()
		}
		l.outcomes <- outcome{work.Priority, err != nil, time.Since(start)}
	}()
}

// startEvery starts one call per interval for the given length of time.
func (l *loadGenerator) startEvery(interval, length time.Duration, work Work) {
	for range length / interval {
		l.start(work)
		time.Sleep(interval)
	}
}

// waitOutcomes waits for all calls and returns their outcomes by priority.
func (l *loadGenerator) waitOutcomes() (byPriority [numPriorities][]outcome) {
	for range l.sent.Load() {
		o := <-l.outcomes
		byPriority[o.priority] = append(byPriority[o.priority], o)
	}
	return byPriority
}

// countOutcomes returns the number of calls answered in time, answered late, and refused.
func countOutcomes(outcomes []outcome, targetLatency time.Duration) (inTime, late, refused int) {
	for _, o := range outcomes {
		switch {
		case o.refused:
			refused++
		case o.latency <= targetLatency:
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
func TestOverloadAnswersInTimeOrRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(8, 200*time.Millisecond, 800*time.Millisecond) // 40 calls a second
		l.startEvery(12500*time.Microsecond, 20*time.Second, Work{Class: "read", Priority: priorityRead})
		inTime, late, refused := countOutcomes(l.waitOutcomes()[priorityRead], l.targetLatency)
		t.Log(inTime, late, refused)
		is.True(inTime > 19*40) // of 20 s at full utilization
		is.True(late <= inTime/20)
		is.Equal(inTime+late+refused, 1600)
	})
}

// Calls of high priority during an overload by others. Guards against bids that
// are refused or late because reads arrived first.
func TestHighPriorityCallsAreServedDuringOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(8, 200*time.Millisecond, 800*time.Millisecond)
		go l.startEvery(50*time.Millisecond, 10*time.Second, Work{Class: "bid", Priority: priorityBid}) // half of the slots
		time.Sleep(time.Millisecond)
		l.startEvery(15*time.Millisecond, 10*time.Second, Work{Class: "read", Priority: priorityRead})
		time.Sleep(time.Second)
		got := l.waitOutcomes()
		inTime, late, refused := countOutcomes(got[priorityBid], l.targetLatency)
		t.Log(inTime, late, refused)
		is.True(inTime >= 198)
		readsInTime, _, _ := countOutcomes(got[priorityRead], l.targetLatency)
		is.True(readsInTime > 150) // the other half of the slots
	})
}

// A short burst. Guards against refusals of calls that could run soon: without
// sustained overload, an answer that is a little late is better than none.
func TestShortBurstIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(8, 200*time.Millisecond, 400*time.Millisecond)
		for range 20 {
			l.start(Work{Class: "read", Priority: priorityRead})
		}
		_, _, refused := countOutcomes(l.waitOutcomes()[priorityRead], l.targetLatency)
		is.Equal(refused, 0)
	})
}

// A target that becomes slow. Guards against a service time estimate that changes
// only after the slow calls have completed.
func TestSlowTargetIsDetectedBeforeItsCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(4, 100*time.Millisecond, 800*time.Millisecond)
		l.startEvery(50*time.Millisecond, 2*time.Second, Work{Class: "read", Priority: priorityRead})
		is.True(l.gate.Report().ServiceTime < 150*time.Millisecond)
		l.serviceTime = 2 * time.Second
		for range 4 {
			l.start(Work{Class: "read", Priority: priorityRead})
		}
		time.Sleep(time.Second)
		is.True(l.gate.Report().ServiceTime > time.Second)
		l.waitOutcomes()
	})
}

// Calls with a short target latency, made by another service to build a page, and
// uploads with a long one. Guards against a queue ordered by arrival, in which the
// page waits for uploads.
func TestShortTargetLatencyIsServedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueLength: 10})
		running, err := g.Admit(context.Background(), Work{Priority: priorityRead, TargetTime: time.Now().Add(time.Second)})
		is.NoErr(err)
		var order []string
		admit := func(class string, target time.Duration) {
			t, err := g.Admit(context.Background(), Work{Class: class, Priority: priorityRead, TargetTime: time.Now().Add(target)})
			is.NoErr(err)
			order = append(order, class)
			t.Release()
		}
		go admit("upload", 2*time.Second)
		synctest.Wait()
		go admit("call", 200*time.Millisecond)
		synctest.Wait()
		running.Release()
		synctest.Wait()
		is.Equal(order, []string{"call", "upload"})
	})
}

// Guards against late calls that take a slot from calls that can be in time, and
// against late calls that are refused while slots are free.
func TestLateCallsRunLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(2, 100*time.Millisecond, 400*time.Millisecond)
		late := Work{Class: "read", Priority: priorityBid, TargetTime: time.Now().Add(-time.Millisecond), Late: true}
		l.start(late)
		_, _, refused := countOutcomes(l.waitOutcomes()[priorityBid], time.Hour)
		is.Equal(refused, 0) // the gate is idle
		l = newLoadGenerator(2, 100*time.Millisecond, 400*time.Millisecond)
		go l.startEvery(25*time.Millisecond, 3*time.Second, Work{Class: "read", Priority: priorityRead}) // twice the capacity
		time.Sleep(time.Second)
		for range 10 {
			l.start(late)
		}
		time.Sleep(4 * time.Second)
		_, _, refused = countOutcomes(l.waitOutcomes()[priorityBid], time.Hour)
		is.Equal(refused, 10)
	})
}

// Guards against an upload that is refused only after its body was transferred.
func TestCheckRefusesBeforeTheBodyArrives(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1})
	now := time.Now()
	work := Work{Class: "upload", Priority: priorityBid, TargetTime: now.Add(500 * time.Millisecond)}
	is.NoErr(g.Check(work, now.Add(2*time.Second), 100*time.Millisecond))
	is.True(errorx.IsOfType(g.Check(work, now.Add(2*time.Second), time.Second), errdefs.NotRun))
	is.Equal(g.Stats().InFlight, 0)
}

// Guards against a call without a deadline that is refused at once when it finds
// no free slot.
func TestCallWithoutDeadlineIsQueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1})
		running, err := g.Admit(context.Background(), Work{TargetTime: time.Now().Add(time.Second)})
		is.NoErr(err)
		time.AfterFunc(500*time.Millisecond, running.Release)
		queued, err := g.Admit(context.Background(), Work{TargetTime: time.Now().Add(time.Second)})
		is.NoErr(err)
		queued.Release()
		running, err = g.Admit(context.Background(), Work{TargetTime: time.Now().Add(time.Second)})
		is.NoErr(err)
		defer running.Release()
		started := time.Now()
		_, err = g.Admit(context.Background(), Work{TargetTime: time.Now().Add(time.Second)})
		is.True(errorx.IsOfType(err, errdefs.NotRun))
		is.Equal(time.Since(started), time.Second+DefaultQueueTimeout)
	})
}
