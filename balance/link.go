package balance

import (
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
	return max(s.sendBacklog-time.Duration(c.now-s.reportedAt)-complete, 0)
}
