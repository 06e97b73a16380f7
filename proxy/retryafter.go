package proxy

import (
	"net/http"
	"time"
)

// The advised retry delay is a random share of the time that is left. Without the
// delay a retry would meet the same queue; without the random part all retries
// would arrive together. The limits below are shares from 0 to 1.
const (
	// earliestReturn and latestReturn limit the share of the time left to the
	// target latency, while the call can still meet it.
	earliestReturn = 0.2
	latestReturn   = 0.5
	// latestLateReturn limits the share of the time left to the deadline once the
	// target latency has passed. Callers ignore a delay beyond a third of it.
	latestLateReturn = 0.3
	// startReturn and latestStartReturn limit the share of the time left to the
	// deadline for a node that has just started. It refuses calls for some tenths
	// of a second, so the delay is close to the longest one that callers accept:
	// an earlier retry would be refused as well.
	startReturn       = 0.22
	latestStartReturn = 0.32
)

// returnAfter returns the delay after which the caller of a refused call should
// retry, or 0 for no advice. random is from 0 to 1.
func returnAfter(c *call, f *refusal, random float64) time.Duration {
	if f.outcome != OutcomeNotRun || f.status != http.StatusServiceUnavailable {
		return 0
	}
	if f.cause == causeNoConfig || f.cause == causeNoEndpoint {
		return time.Duration((startReturn + (latestStartReturn-startReturn)*random) * float64(max(c.left(), 0)))
	}
	if left := time.Until(c.work.target); !c.work.target.IsZero() && left > 0 {
		return time.Duration((earliestReturn + (latestReturn-earliestReturn)*random) * float64(left))
	}
	return time.Duration(latestLateReturn * random * float64(max(c.left(), 0)))
}
