package idem

import "time"

// monotonicClock returns a clock that starts at the wall time and then advances by
// monotonic time only. A step of the wall clock therefore cannot make the ledger
// expire a key early.
func monotonicClock() func() time.Time {
	start := time.Now()
	wall := start.Round(0) // drops the monotonic reading
	return func() time.Time { return wall.Add(time.Since(start)) }
}
