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
		c.work.targetTime = now.Add(target)
	}
	return c
}

// Guards against callers that use up their retries while a whole fleet restarts
// under traffic: they retry at once, or after a tenth of a second, while the node
// still has no configuration or knows no target.
func TestCallersReturnWhenAStartingNodeServes(t *testing.T) {
	is := is.New(t)
	for _, why := range []cause{causeNoConfig, causeNoEndpoint} {
		for _, random := range []float64{0, 0.5, 1} {
			after := retryAfter(refusedCall(1500*time.Millisecond, 400*time.Millisecond), notRun(why, "starting", nil), random)
			is.True(after >= 320*time.Millisecond) // after a third of a second most nodes are ready
			is.True(after < 500*time.Millisecond)  // callers accept a delay of up to a third of their timeout
		}
	}
}

// Pattern: return of all callers after a loss of power, with deadlines far above the
// target latency. Guards against callers that are told to come back only when their
// call is late, and against callers that come back all at once.
func TestCallersOfAStartingNodeReturnInTime(t *testing.T) {
	is := is.New(t)
	for _, why := range []cause{causeNoConfig, causeNoEndpoint} {
		c := refusedCall(5*time.Second, 1200*time.Millisecond)
		first, last := retryAfter(c, notRun(why, "starting", nil), 0), retryAfter(c, notRun(why, "starting", nil), 1)
		is.True(first >= 320*time.Millisecond)
		is.True(last <= time.Second)
		is.True(last-first > 500*time.Millisecond)
	}
}

// Guards against callers that retry after their target latency, or all at the same
// moment, when every target is full for a short time.
func TestRetryAfterMeetsTargetLatency(t *testing.T) {
	is := is.New(t)
	c := refusedCall(1500*time.Millisecond, 400*time.Millisecond)
	first, last := retryAfter(c, notRun("late", "", nil), 0), retryAfter(c, notRun("late", "", nil), 1)
	is.True(first > 50*time.Millisecond)
	is.True(last < 250*time.Millisecond)
	is.True(last-first > 100*time.Millisecond)
}
