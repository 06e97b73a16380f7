package evenload

import (
	"math"
	"sync"
	"time"
)

const (
	// steadyWeight is the weight of one call in the average of the service time:
	// about 20 calls. With a tenth the average varied by 15% from chance alone,
	// and all callers preferred the target that had just been lucky; with a
	// fiftieth, targets with few slots noticed too late that they had turned slow.
	steadyWeight = 0.05
	// suddenChange is the ratio of the recent service time to the average from
	// which the recent one is stated: the target has turned slow or fast.
	suddenChange = 1.5
	// slownessHalfLife is the half-life of a stated slowness: neighbours on a
	// machine come and go within a second.
	slownessHalfLife = 300 * time.Millisecond
	// maxSlowness is the highest slowness, and its inverse the lowest, that is
	// believed.
	maxSlowness = 10.0
)

// Meter measures a target's speed from the calls that it ended and from what it
// states about its machine. It is safe for concurrent use. Times are ns of the
// reader's clock.
type Meter struct {
	mu         sync.Mutex
	usual      float64 // service time on a machine of usual speed, ns; 0 before the first call
	slowness   float64 // last stated; 0 for none
	slownessAt int64
}

// Ended records a call to which the target responded after took, other than with a
// failure. slowness is what the target stated with its response, 0 for nothing.
func (m *Meter) Ended(took time.Duration, slowness float64, now int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	factor := 1.0
	if slowness > 0 {
		factor = min(max(slowness, 1/maxSlowness), maxSlowness)
		m.slowness, m.slownessAt = factor, now
	}
	sample := float64(took) / factor
	if m.usual == 0 {
		m.usual = sample
	}
	m.usual += steadyWeight * (sample - m.usual)
}

// ServiceTime returns the expected service time of the next call. recent is the
// one that the last few calls show; it is returned before the first call and when
// it differs so much that the target has changed.
func (m *Meter) ServiceTime(recent time.Duration, now int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usual == 0 {
		return recent
	}
	factor := 1.0
	if m.slowness > 0 {
		factor += (m.slowness - 1) * math.Exp2(-float64(max(now-m.slownessAt, 0))/float64(slownessHalfLife))
	}
	expected := m.usual * factor
	if r := float64(recent); r > suddenChange*expected || r > 0 && r < expected/suddenChange {
		return recent
	}
	return time.Duration(expected)
}
