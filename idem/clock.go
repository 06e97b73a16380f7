package idem

import "time"

// processClock returns a clock that starts from the wall time and then advances
// only by monotonic time, so that a step of the wall clock cannot make the
// ledger forget a key early.
func processClock() func() time.Time {
	start := time.Now()
	wall := start.Round(0) // drops the monotonic reading
	return func() time.Time { return wall.Add(time.Since(start)) }
}
