package proxy

import (
	"net/http"
	"time"
)

// The advised retry delay is a random share of the time that is left. Without the
// delay a retry would meet the same queue; without the random part all retries
// would arrive together. The limits below are shares from 0 to 1.
const (
	// minRetryShare and maxRetryShare limit the share of the time left to the
	// target latency, while the call can still meet it.
	minRetryShare = 0.2
	maxRetryShare = 0.5
	// maxLateRetryShare limits the share of the time left to the deadline once the
	// target latency has passed. Callers ignore a delay beyond a third of it.
	maxLateRetryShare = 0.3
	// minStartRetryShare and maxStartRetryShare limit the share of the time left to
	// the deadline for a node that has just started. It refuses calls for some
	// tenths of a second, so the delay is close to the longest one that callers
	// accept: an earlier retry would be refused as well.
	minStartRetryShare = 0.22
	maxStartRetryShare = 0.32
)

// minStartRetry and maxStartRetry cap the delay for calls with long deadlines: a
// node serves within that time of its start, and a longer delay would make calls
// late that can still be in time.
const (
	minStartRetry = 350 * time.Millisecond
	maxStartRetry = time.Second
)

// retryAfter returns the delay after which the caller of a refused call should
// retry, or 0 for no advice. random is from 0 to 1.
func retryAfter(c *call, f *refusal, random float64) time.Duration {
	if f.cause == causeQuota {
		return min(f.retryAfter, time.Duration(maxLateRetryShare*float64(max(c.timeLeft(), 0))))
	}
	if f.outcome != OutcomeNotRun || f.status != http.StatusServiceUnavailable {
		return 0
	}
	if f.cause == causeNoConfig || f.cause == causeNoEndpoint {
		left := float64(max(c.timeLeft(), 0))
		shortest := min(minStartRetryShare*left, float64(minStartRetry))
		longest := min(maxStartRetryShare*left, float64(maxStartRetry))
		return time.Duration(shortest + random*(longest-shortest))
	}
	if left := time.Until(c.work.targetTime); !c.work.targetTime.IsZero() && left > 0 {
		return time.Duration((minRetryShare + (maxRetryShare-minRetryShare)*random) * float64(left))
	}
	return time.Duration(maxLateRetryShare * random * float64(max(c.timeLeft(), 0)))
}
