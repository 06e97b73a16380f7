package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// Each call has the weight badShareCallWeight, and a share halves every
// badShareHalfLife. Below negligibleBadShare it is 0, so that a target without
// calls is tried again about 2 s after one bad call. Without that threshold a
// target was left out forever: an idle target with any share above 0 has a worse
// score than every other idle target.
const (
	badShareCallWeight = 0.2
	badShareHalfLife   = 500 * time.Millisecond
	negligibleBadShare = 0.01
)

// badShare is an exponentially decaying average, 0..1, of the share of bad calls.
type badShare struct {
	bits      atomic.Uint64 // float64 bits
	updatedAt atomic.Int64  // last update, ns of the balancer's clock
}

// value returns the average, 0..1, at now.
func (v *badShare) value(now int64) float64 {
	x := math.Float64frombits(v.bits.Load())
	if x == 0 {
		return 0
	}
	age := max(now-v.updatedAt.Load(), 0)
	x *= math.Exp2(-float64(age) / float64(badShareHalfLife))
	if x < negligibleBadShare {
		return 0
	}
	return x
}

// add moves the average towards 1 for a bad call and towards 0 for a good one.
func (v *badShare) add(bad bool, now int64) {
	x := v.value(now)
	if x == 0 && !bad {
		return // avoids a write in the common case
	}
	x -= badShareCallWeight * x
	if bad {
		x += badShareCallWeight
	}
	v.bits.Store(math.Float64bits(x))
	v.updatedAt.Store(now)
}
