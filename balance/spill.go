package balance

import (
	"math"
	"time"
)

// Calls leave a near locality when its load per slot is above a target and above
// the load of the next ones. The share that leaves follows the load with a
// proportional and an integral part: reports are late, and a share that depended
// on the load alone swung between all and nothing (1,673 of 3,600 calls/s stayed
// in a failure domain whose callers made 4,320).
const (
	// domainTarget keeps calls of the own failure domain out of queues; its
	// neighbours are 1 ms away.
	domainTarget = 0.85
	// regionTarget lets calls wait in the region before they leave it; another
	// region is 20 ms away and its traffic is paid.
	regionTarget = 1.0

	spillProportional = 0.2 // share per load above the target
	spillIntegral     = 0.4 // share per second and load above the target
	// maxSpill leaves some calls, so that the load stays known.
	maxSpill = 0.95
	// maxSpillStep bounds the time that one refresh counts after a pause.
	maxSpillStep = 200 * time.Millisecond

	// loadHalfLife is the time in which the smoothed load makes half of a change.
	loadHalfLife = 100 * time.Millisecond

	// Regions get overflow in proportion to their slots below regionFull, and
	// never less than minLeft of them, so that their load stays known.
	regionFull = 1.2
	minLeft    = 0.05

	// badFullness bounds the load per slot that an endpoint counts with.
	badFullness = 3.0
)

// inherit takes over the state of the localities that old has as well.
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

// refresh works out the load of every locality and the share of calls that the
// near ones pass on. The service is locked.
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

// share works out what each near locality passes on, the farthest first.
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

// remoteLoad returns the load per slot of the other regions, if there are any.
func (t *table) remoteLoad() (load float64, known bool) {
	var sum, slots float64
	for _, l := range t.regions {
		sum += l.slots * l.currentLoad()
		slots += l.slots
	}
	return sum / max(slots, 1), slots > 0
}

// measure returns the load per slot of the endpoints whose load is known and
// that are not left out; 0 when there is none.
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

// failing returns how far all endpoints of the locality fail, 0..1: the calls of
// a locality leave it at once when none of its endpoints works.
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

// passes returns the share of calls that the locality passes on, 0..1.
func (l *locality) passes() float64 { return math.Float64frombits(l.spill.Load()) }

// left returns the slots that a region has left for calls from elsewhere.
func (l *locality) left() float64 { return l.slots * max(regionFull-l.currentLoad(), minLeft) }
