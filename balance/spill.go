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
	// domainTargetLoad is the target load per slot of the own failure domain. It
	// keeps calls out of queues, since other failure domains are 1 ms away.
	domainTargetLoad = 0.85
	// regionTargetLoad is the target load per slot of the own region. It lets
	// calls queue before they leave the region, since another region is 20 ms
	// away and the traffic to it is charged.
	regionTargetLoad = 1.0

	spillProportionalGain = 0.2 // share per unit of load above the target
	spillIntegralGain     = 0.4 // share per second and unit of load above the target
	// maxSpill keeps some calls in the locality, so that its load stays known.
	maxSpill = 0.95
	// maxSpillStep limits the time that one refresh integrates after a pause.
	maxSpillStep = 200 * time.Millisecond

	// loadHalfLife is the half-life of the moving average of the load.
	loadHalfLife = 100 * time.Millisecond

	// Other regions get calls in proportion to their slots, times their load per
	// slot below regionFull. That factor is never less than minSpare, so that
	// their load stays known.
	regionFull = 1.2
	minSpare   = 0.05

	// maxAssumedLoad is the highest load per slot that is assumed of an endpoint.
	maxAssumedLoad = 3.0
)

// copyState copies the state of the localities that exist in old as well.
func (t *table) copyState(old *table) {
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
func (t *table) refresh(now int64, maxAge time.Duration, panicMode bool) {
	t.updateMean(now)
	step := time.Duration(0)
	for _, l := range t.localities() {
		age := time.Duration(max(now-l.loadAt.Load(), 0))
		step = min(age, maxSpillStep)
		weight := 1 - math.Exp2(-float64(age)/float64(loadHalfLife))
		load := l.currentLoad()
		l.load.Store(math.Float64bits(load + weight*(l.observedLoad(now, maxAge, panicMode)-load)))
		l.loadAt.Store(now)
		l.updateMaxRamp(now)
		l.updateMedians(now, maxAge)
	}
	t.suspects.updateMaxRamp(now)
	t.unreachable.updateMaxRamp(now)
	t.updateSpill(step, now, panicMode)
}

// updateSpill updates the share of calls that spills over from each near locality,
// the farthest first.
func (t *table) updateSpill(step time.Duration, now int64, panicMode bool) {
	next, known := t.remoteLoad()
	for i := len(t.near) - 1; i >= 0; i-- {
		l := t.near[i]
		spill := 0.0
		if known {
			excessLoad := l.currentLoad() - max(l.targetLoad, next)
			l.integral = min(max(l.integral+spillIntegralGain*excessLoad*step.Seconds(), 0), maxSpill)
			spill = min(max(l.integral+spillProportionalGain*excessLoad, 0), maxSpill)
			spill = max(spill, l.minFailedShare(now, panicMode))
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
	for _, l := range t.otherRegions {
		sum += l.slots * l.currentLoad()
		slots += l.slots
	}
	return sum / max(slots, 1), slots > 0
}

// observedLoad returns the mean load per slot of the endpoints whose load is known
// and that are not ejected; 0 when there is none.
func (l *locality) observedLoad(now int64, maxAge time.Duration, panicMode bool) float64 {
	var sum, slots float64
	for _, e := range l.endpoints {
		localLoad := float64(e.inFlight.Load()) / e.slots()
		load := min(max(localLoad, e.reportedLoad(now, maxAge)), maxAssumedLoad)
		if load == 0 || !panicMode && e.ejected(now) {
			continue
		}
		sum += e.slots() * load
		slots += e.slots()
	}
	return sum / max(slots, 1)
}

// minFailedShare returns the lowest share of failed calls, 0..1, of any endpoint
// of the locality: calls spill over at once when none of its endpoints works.
func (l *locality) minFailedShare(now int64, panicMode bool) float64 {
	lowest := 1.0
	for _, e := range l.endpoints {
		if panicMode || !e.ejected(now) {
			lowest = min(lowest, e.failed.value(now))
		}
	}
	return lowest
}

func (l *locality) currentLoad() float64 { return math.Float64frombits(l.load.Load()) }

// spillShare returns the share of calls, 0..1, that spills over to the next
// localities.
func (l *locality) spillShare() float64 { return math.Float64frombits(l.spill.Load()) }

// spareSlots returns the number of slots that a region has left for calls from
// other regions.
func (l *locality) spareSlots() float64 { return l.slots * max(regionFull-l.currentLoad(), minSpare) }
