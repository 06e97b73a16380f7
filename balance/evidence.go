package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// A call moves evidence by callWeight, and it halves every evidenceHalfLife.
// Below negligibleEvidence it counts as 0, so that a target that gets no calls is
// tried again: about 2 s after one bad call. Evidence without that bound kept a
// target out for ever, because an idle target with any evidence lost against
// every idle target without.
const (
	callWeight         = 0.2
	evidenceHalfLife   = 500 * time.Millisecond
	negligibleEvidence = 0.01
)

// evidence is a decaying average, 0..1, of how many calls were bad.
type evidence struct {
	value atomic.Uint64 // float64 bits
	at    atomic.Int64
}

// level returns the average at now.
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
		return // the usual case writes nothing
	}
	x -= callWeight * x
	if bad {
		x += callWeight
	}
	v.value.Store(math.Float64bits(x))
	v.at.Store(now)
}
