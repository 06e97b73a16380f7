package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that are wasted because a call that the target made during
// them was refused: at 3 times the capacity, nested calls that take a third of it
// must all be served, and the rest of the capacity must go to new work.
func TestNestedCallsAreServedDuringOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLoadGenerator(10, 100*time.Millisecond, 400*time.Millisecond)
		go l.startEvery(30*time.Millisecond, 3*time.Second, Work{Priority: priorityRead, Nested: true})
		l.startEvery(4*time.Millisecond, 3*time.Second, Work{Priority: 1})
		synctest.Wait()
		outcomes := l.waitOutcomes()
		_, _, refused := countOutcomes(outcomes[priorityRead], 400*time.Millisecond)
		is.Equal(refused, 0)
		inTime, _, _ := countOutcomes(outcomes[1], 400*time.Millisecond)
		is.True(inTime > 150) // 200 fit beside the nested calls
	})
}

// Guards against a nested call that is refused because it is late although its
// parent still waits for it, and against one that is queued beyond its deadline.
func TestOnlyItsDeadlineRefusesANestedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueLength: 4})
		busy, err := g.Admit(t.Context(), Work{TargetTime: time.Now().Add(time.Second)})
		is.NoErr(err)
		time.AfterFunc(200*time.Millisecond, busy.Release)
		work := Work{TargetTime: time.Now().Add(50 * time.Millisecond), Nested: true}
		ctx := deadlineOnlyContext{t.Context(), time.Now().Add(400 * time.Millisecond)}
		ticket, err := g.Admit(ctx, work)
		is.NoErr(err)
		defer ticket.Release()
		start := time.Now()
		_, err = g.Admit(deadlineOnlyContext{t.Context(), start.Add(300 * time.Millisecond)}, work)
		is.True(err != nil)
		is.True(time.Since(start) <= 300*time.Millisecond)
	})
}

// Guards against new work of a lower priority that is starved because many short
// nested calls are taken for most of the target's time.
func TestWorkShareIsByTimeNotByNumber(t *testing.T) {
	is := is.New(t)
	g := New(Options{Slots: 1})
	for range 100 {
		for range 4 {
			g.addWorkDone(0, 10*time.Millisecond)
		}
		g.addWorkDone(1, 160*time.Millisecond)
	}
	share := g.workShareAbove(1)
	is.True(share > 0.1 && share < 0.35) // 0.2 of the time, 0.8 of the calls
}

// Guards against callers' calls that overtake others as nested ones, and against
// nested calls that are not recognised: only calls that never outlive the calls
// in flight are nested.
func TestNestedRoutesAreRecognised(t *testing.T) {
	is := is.New(t)
	var n NestedRoutes
	now := time.Unix(0, 0)
	parent := now.Add(time.Second)
	nested := false
	for i := range 100 {
		nested = n.Observe("lookup", now.Add(500*time.Millisecond), parent)
		is.Equal(nested, i+1 >= nestedScore)
		own := parent.Add(-time.Millisecond)
		if i%8 == 0 {
			own = parent.Add(100 * time.Millisecond)
		}
		is.True(!n.Observe("page", own, parent))
	}
	for range maxNestedScore/foreignPenalty + 1 {
		nested = n.Observe("lookup", now.Add(time.Millisecond), time.Time{}) // the target is idle
	}
	is.True(!nested)
}
