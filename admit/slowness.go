package admit

import (
	"math"
	"time"
)

// slowness is how long work takes on the target's machine, relative to the usual
// time, as the target has stated it last. Machines that are shared with others
// change it several times a second. The zero value is the usual time.
type slowness struct {
	excess float64   // above 1
	at     time.Time // of the last statement
}

const (
	// slownessHalfLife is the half-life of a statement: a busy neighbour is
	// gone after some tenths of a second.
	slownessHalfLife = 300 * time.Millisecond
	// maxSlowness bounds what a target can state.
	maxSlowness = 20.0
)

// factor returns the slowness at now, at least 1.
func (s slowness) factor(now time.Time) float64 {
	if s.excess <= 0 {
		return 1
	}
	return 1 + s.excess*math.Exp2(-max(now.Sub(s.at), 0).Seconds()/slownessHalfLife.Seconds())
}

// ObserveSlowness records how long work takes on the target's machine relative to
// the usual time, as the target states it in a response; 0 for no statement.
func (g *Gate) ObserveSlowness(factor float64) {
	if factor <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowness = slowness{excess: min(max(factor, 1), maxSlowness) - 1, at: g.opts.Now()}
}

// classTime returns the expected service time of a class on the target's machine
// as it is at now. g.mu must be held.
func (g *Gate) classTime(class string, now time.Time) time.Duration {
	return time.Duration(float64(g.classTimes.of(class)) * g.slowness.factor(now))
}

// usualTime returns the service time that a call which has just completed would
// have had on the machine as usual. g.mu must be held.
func (g *Gate) usualTime(t *Ticket, now time.Time) time.Duration {
	factor := (t.slowness + g.slowness.factor(now)) / 2
	return time.Duration(float64(t.serviceTime(now)) / max(factor, 1))
}
