package proxy

import (
	"net/http"
	"time"
)

// Callers that are refused come back after a random part of the time that is
// left, so that they neither meet the same queue again nor each other.
const (
	// earliestReturn and latestReturn bound the part of the time to the target
	// latency, while the call can still be in time.
	earliestReturn = 0.2
	latestReturn   = 0.5
	// latestLateReturn bounds the part of the time to the deadline afterwards;
	// callers ignore advice beyond a third of it.
	latestLateReturn = 0.3
	// A node that has just started refuses calls for some tenths of a second.
	// Callers come back in the last part of the time for which they follow
	// advice, rather than to be refused once more.
	startReturn       = 0.22
	latestStartReturn = 0.32
)

// returnAfter returns when the caller of a refused call should come back, or 0
// for no advice. random is from 0 to 1.
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
