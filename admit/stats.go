package admit

import "time"

// Stats counts what the gate did, by priority (bid, upload, page).
type Stats struct {
	Kinds    [kinds]KindStats
	InFlight int
	Queued   int
}

// KindStats counts the calls of one kind.
type KindStats struct {
	Admitted uint64
	Refused  uint64
}

// Stats returns a copy of the counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.InFlight, s.Queued = g.inFlight, g.queued
	return s
}

// ewmaWeight is the weight of a new value in the moving average.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving average; the first value sets it.
type ewma struct {
	value float64
	set   bool
}

// duration returns the average of values that were added in ns.
func (e *ewma) duration() time.Duration { return time.Duration(e.value) }

func (e *ewma) add(v float64) {
	if !e.set {
		e.value, e.set = v, true
		return
	}
	e.value += ewmaWeight * (v - e.value)
}
