package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// Each call has the weight callWeight, and the rate halves every
// evidenceHalfLife. Below negligibleEvidence it is 0, so that a target without
// calls is tried again about 2 s after one bad call. Without that threshold a
// target was left out forever: an idle target with any rate above 0 has a worse
// score than every other idle target.
const (
	callWeight         = 0.2
	evidenceHalfLife   = 500 * time.Millisecond
	negligibleEvidence = 0.01
)

// evidence is an exponentially decaying average, 0..1, of the share of bad calls.
type evidence struct {
	value atomic.Uint64 // float64 bits
	at    atomic.Int64  // last update, ns of the balancer's clock
}

// level returns the average, 0..1, at now.
func (v *evidence) level(now int64) float64 {
	x := math.Float64frombits(v.value.Load())
	if x == 0 {
		return 0
	}
	age := max(now-v.at.Load(), 0)
	x *= math.Exp2(-float64(age) / float64(evidenceHalfLife))
	if x < negligibleEvidence {
		return 0
	}
	return x
}

// add moves the average towards 1 for a bad call and towards 0 for a good one.
func (v *evidence) add(bad bool, now int64) {
	x := v.level(now)
	if x == 0 && !bad {
		return // avoids a write in the common case
	}
	x -= callWeight * x
	if bad {
		x += callWeight
	}
	v.value.Store(math.Float64bits(x))
	v.at.Store(now)
}
