package balance

import (
	"math"
	"slices"
)

// choice is the selection of an endpoint for one call.
type choice struct {
	b         *Balancer
	now       int64    // ns of the balancer's clock
	skip      []string // node ids
	panicking bool     // panic mode: ejections are ignored
}

// maxDraws limits the random draws for each of the two candidates. After that a
// linear scan finds a usable endpoint if there is one.
const maxDraws = 4

// reportWeight is the weight of reported load in the score relative to the
// node's own calls in flight. Both are in calls per slot.
const reportWeight = 0.5

// evidenceScore is the penalty, in calls per slot, of a target whose calls all
// fail or are refused.
const evidenceScore = 4.0

// pick selects an endpoint; nil when none is left.
func (c *choice) pick(t *table) *endpoint {
	if l := c.locality(t); l != nil {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	for _, l := range t.near {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	if l := c.region(t); l != nil {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	return c.last(t)
}

// last selects an endpoint when no healthy one with capacity is left: first in
// full other regions, then among suspects, ejected endpoints, and unreachable
// failure domains.
func (c *choice) last(t *table) *endpoint {
	for _, l := range t.regions {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	if e := c.twoChoices(t.suspects); e != nil {
		return e
	}
	c.panicking = true
	for _, l := range t.localities() {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	if e := c.twoChoices(t.suspects); e != nil {
		return e
	}
	return c.twoChoices(t.unreachable)
}

// locality selects the locality of the call. It returns nil when the call spills
// over from the near localities and there is no other region.
func (c *choice) locality(t *table) *locality {
	for _, l := range t.near {
		if len(c.skip) > 0 && l.currentLoad() > l.target {
			continue // a retry of a refused call is more likely to be admitted elsewhere
		}
		spill := l.passes()
		if spill == 0 || spill < 1 && c.float() >= spill {
			return l
		}
	}
	return c.region(t)
}

// region selects another region at random, weighted by its spare slots.
func (c *choice) region(t *table) *locality {
	var sum float64
	for _, l := range t.regions {
		sum += l.left()
	}
	if sum <= 0 {
		return nil
	}
	at := c.float() * sum
	for _, l := range t.regions {
		if at -= l.left(); at < 0 {
			return l
		}
	}
	return nil
}

// twoChoices returns the better of two random usable endpoints; nil when there is
// none.
func (c *choice) twoChoices(l *locality) *endpoint {
	if len(l.endpoints) == 0 {
		return nil
	}
	x := c.draw(l, nil)
	if x == nil || len(l.endpoints) == 1 {
		return x
	}
	y := c.draw(l, x)
	if y == nil || c.score(l, x) <= c.score(l, y) {
		return x
	}
	return y
}

// draw returns a random usable endpoint other than not. Endpoints in slow start
// are weighted by their ramp relative to the highest ramp of the locality, so
// that calls are spread evenly when the whole locality is in slow start.
func (c *choice) draw(l *locality, not *endpoint) *endpoint {
	n := len(l.endpoints)
	highest := math.Float64frombits(l.maxRamp.Load())
	for range maxDraws {
		e := l.endpoints[c.intn(n)]
		if e == not || !c.usable(e) {
			continue
		}
		if e.bad(c.now) {
			return e // panic mode; slow start begins only after the ejection
		}
		if ramp := e.ramp(c.now); ramp >= highest || c.float()*highest < ramp {
			return e
		}
	}
	return c.scan(l, not)
}

// scan returns the first usable endpoint other than not, starting at a random
// position; nil when there is none.
func (c *choice) scan(l *locality, not *endpoint) *endpoint {
	n := len(l.endpoints)
	at := c.intn(n)
	for i := range n {
		if e := l.endpoints[(at+i)%n]; e != not && c.usable(e) {
			return e
		}
	}
	return nil
}

// usable reports whether the endpoint can be selected: it is neither skipped nor,
// outside panic mode, ejected.
func (c *choice) usable(e *endpoint) bool {
	if !c.panicking && e.bad(c.now) {
		return false
	}
	return len(c.skip) == 0 || !slices.Contains(c.skip, e.record.Load().ID)
}

// score returns the score of an endpoint of l in calls per slot; lower is better.
func (c *choice) score(l *locality, e *endpoint) float64 {
	own := float64(e.inFlight.Load()) / e.slots()
	reported := l.bound(e, e.reported(c.now, c.b.opts.LoadMaxAge))
	return own + evidenceScore*e.shown.level(c.now) + reportWeight*reported
}

// intn returns a random number in [0, n).
func (c *choice) intn(n int) int { return int(c.b.opts.Rand() >> 1 % uint64(n)) }

// float returns a random number in [0, 1).
func (c *choice) float() float64 { return float64(c.b.opts.Rand()>>11) / (1 << 53) }
