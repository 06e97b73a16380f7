package balance

import (
	"math"
	"time"
)

// Calls spill over from a near locality when its load per slot is above a target
// and above the load of the next localities. A proportional-integral controller
// sets the share that spills over: reports are delayed, and a share proportional
// to the load alone oscillated between all and nothing (1,673 of 3,600 calls/s
// stayed in a failure domain whose callers made 4,320).
const (
	// domainTarget is the target load per slot of the own failure domain. It
	// keeps calls out of queues, since other failure domains are 1 ms away.
	domainTarget = 0.85
	// regionTarget is the target load per slot of the own region. It lets calls
	// queue before they leave the region, since another region is 20 ms away
	// and the traffic to it is charged.
	regionTarget = 1.0

	spillProportional = 0.2 // share per unit of load above the target
	spillIntegral     = 0.4 // share per second and unit of load above the target
	// maxSpill keeps some calls in the locality, so that its load stays known.
	maxSpill = 0.95
	// maxSpillStep limits the time that one refresh integrates after a pause.
	maxSpillStep = 200 * time.Millisecond

	// loadHalfLife is the half-life of the moving average of the load.
	loadHalfLife = 100 * time.Millisecond

	// Other regions get calls in proportion to their slots, times their load per
	// slot below regionFull. That factor is never less than minLeft, so that
	// their load stays known.
	regionFull = 1.2
	minLeft    = 0.05

	// badFullness is the highest load per slot that is assumed of an endpoint.
	badFullness = 3.0
)

// inherit copies the state of the localities that exist in old as well.
func (t *table) inherit(old *table) {
	if old == nil {
		return
	}
	previous := make(map[*endpoint]*locality)
	for _, l := range old.localities() {
		for _, e := range l.endpoints {
			previous[e] = l
		}
	}
	for _, l := range t.localities() {
		if p := previous[l.endpoints[0]]; p != nil {
			l.load.Store(p.load.Load())
			l.loadAt.Store(p.loadAt.Load())
			l.integral = p.integral
		}
	}
}

// refresh updates the load of every locality and the share of calls that spills
// over from the near ones. The service's mutex must be held.
func (t *table) refresh(now int64, maxAge time.Duration, panicking bool) {
	step := time.Duration(0)
	for _, l := range t.localities() {
		age := time.Duration(max(now-l.loadAt.Load(), 0))
		step = min(age, maxSpillStep)
		weight := 1 - math.Exp2(-float64(age)/float64(loadHalfLife))
		load := l.currentLoad()
		l.load.Store(math.Float64bits(load + weight*(l.measure(now, maxAge, panicking)-load)))
		l.loadAt.Store(now)
		l.storeMaxRamp(now)
		l.storeMedians(now, maxAge)
	}
	t.suspects.storeMaxRamp(now)
	t.unreachable.storeMaxRamp(now)
	t.share(step, now, panicking)
}

// share updates the share of calls that spills over from each near locality, the
// farthest first.
func (t *table) share(step time.Duration, now int64, panicking bool) {
	next, known := t.remoteLoad()
	for i := len(t.near) - 1; i >= 0; i-- {
		l := t.near[i]
		spill := 0.0
		if known {
			over := l.currentLoad() - max(l.target, next)
			l.integral = min(max(l.integral+spillIntegral*over*step.Seconds(), 0), maxSpill)
			spill = min(max(l.integral+spillProportional*over, 0), maxSpill)
			spill = max(spill, l.failing(now, panicking))
			next = min(next, l.currentLoad())
		} else {
			next, known = l.currentLoad(), true
		}
		l.spill.Store(math.Float64bits(spill))
	}
}

// remoteLoad returns the load per slot of the other regions together; known is
// false without any.
func (t *table) remoteLoad() (load float64, known bool) {
	var sum, slots float64
	for _, l := range t.regions {
		sum += l.slots * l.currentLoad()
		slots += l.slots
	}
	return sum / max(slots, 1), slots > 0
}

// measure returns the mean load per slot of the endpoints whose load is known and
// that are not ejected; 0 when there is none.
func (l *locality) measure(now int64, maxAge time.Duration, panicking bool) float64 {
	var sum, slots float64
	for _, e := range l.endpoints {
		own := float64(e.inFlight.Load()) / e.slots()
		load := min(max(own, e.reported(now, maxAge)), badFullness)
		if load == 0 || !panicking && e.bad(now) {
			continue
		}
		sum += e.slots() * load
		slots += e.slots()
	}
	return sum / max(slots, 1)
}

// failing returns the lowest share of failed calls, 0..1, of any endpoint of the
// locality: calls spill over at once when none of its endpoints works.
func (l *locality) failing(now int64, panicking bool) float64 {
	least := 1.0
	for _, e := range l.endpoints {
		if panicking || !e.bad(now) {
			least = min(least, e.failed.level(now))
		}
	}
	return least
}

func (l *locality) currentLoad() float64 { return math.Float64frombits(l.load.Load()) }

// passes returns the share of calls, 0..1, that spills over.
func (l *locality) passes() float64 { return math.Float64frombits(l.spill.Load()) }

// left returns the number of slots that a region has left for calls from other
// regions.
func (l *locality) left() float64 { return l.slots * max(regionFull-l.currentLoad(), minLeft) }
