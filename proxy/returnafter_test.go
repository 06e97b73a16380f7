package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func refusedCall(deadline, target time.Duration) *call {
	now := time.Now()
	c := &call{deadline: now.Add(deadline)}
	if target > 0 {
		c.work.target = now.Add(target)
	}
	return c
}

// Load: a whole fleet restarts under traffic. Guards against callers that come
// back at once, or after a tenth of a second, while the node still has no
// configuration or knows no target, and that have then used up their retries.
func TestCallersReturnWhenAStartingNodeServes(t *testing.T) {
	is := is.New(t)
	for _, why := range []cause{causeNoConfig, causeNoEndpoint} {
		for _, random := range []float64{0, 0.5, 1} {
			after := returnAfter(refusedCall(1500*time.Millisecond, 400*time.Millisecond), notRun(why, "starting", nil), random)
			is.True(after >= 320*time.Millisecond) // at a third of a second most nodes serve
			is.True(after < 500*time.Millisecond)  // callers follow advice up to a third of their time
		}
	}
}

// Load: every target is full for a moment. Guards against callers that return
// after their target latency, or all at the same moment.
func TestCallersReturnInTimeWhenTargetsAreFull(t *testing.T) {
	is := is.New(t)
	c := refusedCall(1500*time.Millisecond, 400*time.Millisecond)
	first, last := returnAfter(c, notRun("late", "", nil), 0), returnAfter(c, notRun("late", "", nil), 1)
	is.True(first > 50*time.Millisecond)
	is.True(last < 250*time.Millisecond)
	is.True(last-first > 100*time.Millisecond)
}
