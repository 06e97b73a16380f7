package admit

import "time"

// Stats is a snapshot of a gate's counters.
type Stats struct {
	ByPriority [numPriorities]PriorityStats // bid, upload, page
	InFlight   int                          // calls that hold a slot now
	Queued     int                          // calls that wait for a slot now
}

// Slots returns the number of calls that the gate admits at the same time.
func (g *Gate) Slots() int { return g.opts.Slots }

// HasRoom reports whether a new call would be admitted without waiting.
func (g *Gate) HasRoom() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight < g.opts.Slots && g.queued == 0
}

// PriorityStats counts the calls of one priority since the gate was created.
type PriorityStats struct {
	Admitted uint64
	Refused  uint64 // at once or after waiting in the queue
}

// Stats returns a copy of the counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.InFlight, s.Queued = g.inFlight, g.queued
	return s
}

// ewmaWeight is the weight of a new sample, 0..1.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving average that starts at its first
// sample.
type ewma struct {
	value       float64
	initialized bool
}

// duration returns the average of samples in ns; 0 before the first one.
func (e *ewma) duration() time.Duration { return time.Duration(e.value) }

func (e *ewma) add(v float64) {
	if !e.initialized {
		e.value, e.initialized = v, true
		return
	}
	e.value += ewmaWeight * (v - e.value)
}
