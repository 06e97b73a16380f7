package member

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits keeps two processes with the same id apart even when
// the clock was set back in between: an idempotency key contains the
// incarnation of its owner and must never match another process.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation that increases with the start time of
// the process, in ms, and ends in random bits.
func NewIncarnation(started time.Time) uint64 {
	return uint64(started.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// Started returns the latest time at which the process of the record can have
// started, by that process's own clock. It may lie after the real start because
// an incarnation can be raised above that of an earlier process.
func (r *Record) Started() time.Time {
	return time.UnixMilli(int64(r.Incarnation >> incarnationRandomBits))
}
