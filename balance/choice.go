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
	panicMode bool     // panic mode: ejections are ignored
	versions  VersionRule
}

// maxDraws limits the random draws for each of the two candidates. After that a
// linear scan finds a usable endpoint if there is one.
const maxDraws = 4

// reportedLoadWeight is the weight of reported load in the score relative to the
// node's own calls in flight. Both are in calls per slot.
const reportedLoadWeight = 0.5

// badCallPenalty is the penalty, in calls per slot, of a target whose calls all
// fail or are refused.
const badCallPenalty = 4.0

// pick selects an endpoint; nil when none is left.
func (c *choice) pick(t *table) *endpoint {
	if l := c.chooseLocality(t); l != nil {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	for _, l := range t.near {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	if l := c.chooseRegion(t); l != nil {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	return c.lastResort(t)
}

// lastResort selects an endpoint when no healthy one with capacity is left: first
// in full other regions, then among suspects, ejected endpoints, and unreachable
// failure domains.
func (c *choice) lastResort(t *table) *endpoint {
	for _, l := range t.otherRegions {
		if e := c.twoChoices(l); e != nil {
			return e
		}
	}
	if e := c.twoChoices(t.suspects); e != nil {
		return e
	}
	c.panicMode = true
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

// chooseLocality selects the locality of the call. It returns nil when the call
// spills over from the near localities and there is no other region.
func (c *choice) chooseLocality(t *table) *locality {
	for _, l := range t.near {
		if len(c.skip) > 0 && l.currentLoad() > l.targetLoad {
			continue // a retry of a refused call is more likely to be admitted elsewhere
		}
		spill := l.spillShare()
		if spill == 0 || spill < 1 && c.float() >= spill {
			return l
		}
	}
	return c.chooseRegion(t)
}

// chooseRegion selects another region at random, weighted by its spare slots; nil
// when there is none.
func (c *choice) chooseRegion(t *table) *locality {
	var sum float64
	for _, l := range t.otherRegions {
		sum += l.spareSlots()
	}
	if sum <= 0 {
		return nil
	}
	at := c.float() * sum
	for _, l := range t.otherRegions {
		if at -= l.spareSlots(); at < 0 {
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

// draw returns a random usable endpoint other than exclude. Endpoints in slow
// start are weighted by their ramp relative to the highest ramp of the locality,
// so that calls are spread evenly when the whole locality is in slow start.
func (c *choice) draw(l *locality, exclude *endpoint) *endpoint {
	n := len(l.endpoints)
	highest := math.Float64frombits(l.maxRamp.Load())
	for range maxDraws {
		e := l.endpoints[c.intn(n)]
		if e == exclude || !c.usable(e) {
			continue
		}
		if e.ejected(c.now) {
			return e // panic mode; slow start begins only after the ejection
		}
		if ramp := e.ramp(c.now); ramp >= highest || c.float()*highest < ramp {
			return e
		}
	}
	return c.scan(l, exclude)
}

// scan returns the first usable endpoint other than exclude, starting at a random
// position; nil when there is none.
func (c *choice) scan(l *locality, exclude *endpoint) *endpoint {
	n := len(l.endpoints)
	at := c.intn(n)
	for i := range n {
		if e := l.endpoints[(at+i)%n]; e != exclude && c.usable(e) {
			return e
		}
	}
	return nil
}

// usable reports whether the endpoint can be selected: it is neither skipped nor,
// outside panic mode, ejected.
func (c *choice) usable(e *endpoint) bool {
	if !c.panicMode && e.ejected(c.now) || !c.allowed(e) {
		return false
	}
	return len(c.skip) == 0 || !slices.Contains(c.skip, e.record.Load().ID)
}

// score returns the score of an endpoint of l in calls per slot; lower is better.
func (c *choice) score(l *locality, e *endpoint) float64 {
	localLoad := float64(e.inFlight.Load()) / e.slots()
	reported := l.boundReportedLoad(e, e.reportedLoad(c.now, c.b.opts.LoadMaxAge))
	return localLoad + badCallPenalty*e.failedOrRefused.value(c.now) + reportedLoadWeight*reported
}

// intn returns a random number in [0, n).
func (c *choice) intn(n int) int { return int(c.b.opts.Rand() >> 1 % uint64(n)) }

// float returns a random number in [0, 1).
func (c *choice) float() float64 { return float64(c.b.opts.Rand()>>11) / (1 << 53) }
