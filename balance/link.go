package balance

import (
	"math"
	"time"

	"siskingw/admit"
)

// responseWait returns how long a large response waits for the link of the
// endpoint's instance, given the time after which the target has completed it. The
// reported backlog shrinks with the age of the report.
func (c *choice) responseWait(e *endpoint, d Demand, complete time.Duration) time.Duration {
	s := e.gateState.Load()
	if s == nil || d.Bytes < admit.LargeResponse {
		return 0
	}
	return max(s.sendBacklog-time.Duration(c.now-s.linkedAt)-complete, 0)
}

// slownessHalfLife is the half-life of the reported slowness of a target's machine:
// a busy neighbour is gone after some tenths of a second.
const slownessHalfLife = 300 * time.Millisecond

// slowness returns how long work takes on the target's machine now, relative to the
// usual time, as far as it was reported lately; at least 1.
func (c *choice) slowness(e *endpoint) float64 {
	s := e.gateState.Load()
	if s == nil || s.slowness <= 1 {
		return 1
	}
	return 1 + (s.slowness-1)*math.Exp2(-float64(c.now-s.linkedAt)/float64(slownessHalfLife))
}
