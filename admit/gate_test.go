package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/object"
)

// Guards against a draining target that still admits new or queued calls, and
// against a drain that does not wait for the calls in flight.
func TestDrainRefusesQueuedAndNewCalls(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, QueueLength: 1, QueueTimeout: time.Minute})
	running, err := g.Enter(context.Background(), object.WorkBid)
	is.NoErr(err)
	queued := make(chan error)
	go func() {
		_, err := g.Enter(context.Background(), object.WorkBid)
		queued <- err
	}()
	waitQueued(g, 1)
	g.Drain()
	is.True(errorx.IsOfType(<-queued, errdefs.NotRun))
	_, err = g.Enter(context.Background(), object.WorkBid)
	is.True(errorx.IsOfType(err, errdefs.NotRun))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errorx.IsOfType(g.Wait(ended), errdefs.Timeout)) // one call is in flight
	running.Release()
	running.Release() // has no effect
	is.NoErr(g.Wait(context.Background()))
	is.Equal(g.Load(), 0.0)
}

// waitQueued blocks until n calls are queued.
func waitQueued(g *Gate, n int) {
	for g.Stats().Queued != n {
		time.Sleep(100 * time.Microsecond)
	}
}

// deadlineOnlyContext is a context that has a deadline but does not end at it.
type deadlineOnlyContext struct {
	context.Context
	deadline time.Time
}

func (u deadlineOnlyContext) Deadline() (time.Time, bool) { return u.deadline, true }

// Guards against a queued call that is answered only after its deadline.
func TestQueuedCallIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueTimeout: time.Minute})
		running, err := g.Enter(t.Context(), object.WorkBid)
		is.NoErr(err)
		start := time.Now()
		_, err = g.Enter(deadlineOnlyContext{t.Context(), start.Add(time.Second)}, object.WorkBid)
		is.True(errorx.IsOfType(err, errdefs.NotRun))
		is.Equal(time.Since(start), time.Second)
		running.Release()
		is.Equal(g.Load(), 0.0)
	})
}

// Guards against refusals that cost more than admitted calls.
func TestRefusalAllocatesNothing(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1, QueueLength: -1})
	_, err := g.Enter(t.Context(), object.WorkBid)
	is.NoErr(err)
	n := testing.AllocsPerRun(1000, func() { g.Enter(context.Background(), object.WorkPage) })
	is.Equal(n, 0.0)
}

func BenchmarkEnterRelease(b *testing.B) {
	g := New(Options{Slots: 1000})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			t, _ := g.Enter(context.Background(), object.WorkBid)
			t.Release()
		}
	})
}

func BenchmarkRefuse(b *testing.B) {
	g := New(Options{Slots: 1, QueueLength: -1})
	g.Enter(context.Background(), object.WorkBid)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			g.Enter(context.Background(), object.WorkPage)
		}
	})
}

// Guards against pages that are refused only after the queue timeout when calls
// of higher priority take all slots.
func TestOverloadRefusesPagesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueLength: 10, QueueTimeout: time.Second})
		running, err := g.Enter(t.Context(), object.WorkBid)
		is.NoErr(err)
		start := time.Now()
		refused := make(chan time.Duration, 1)
		go func() {
			_, err := g.Enter(context.Background(), object.WorkPage)
			is.True(errorx.IsOfType(err, errdefs.NotRun))
			refused <- time.Since(start)
		}()
		for range 10 { // keeps a bid ahead of the page at all times
			next := make(chan *Ticket)
			go func() {
				t, _ := g.Enter(context.Background(), object.WorkBid)
				next <- t
			}()
			time.Sleep(50 * time.Millisecond)
			running.Release()
			running = <-next
		}
		is.Equal(<-refused, 150*time.Millisecond) // the first release of a slot after overloadInterval
		running.Release()
	})
}
