package member

import (
	"math/rand/v2"
	"time"
)

// incarnationRandomBits keeps two processes with one id apart even when the
// clock was set back in between: an idempotency key names its owner's
// incarnation and must never fit another process.
const incarnationRandomBits = 20

// NewIncarnation returns an incarnation that rises with the time of the
// process's start, in ms, and ends in random bits.
func NewIncarnation(started time.Time) uint64 {
	return uint64(started.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// Started returns when the process of the record started, by its own clock and
// at the latest: an incarnation may have been raised above that of a former
// process.
func (r *Record) Started() time.Time {
	return time.UnixMilli(int64(r.Incarnation >> incarnationRandomBits))
}
