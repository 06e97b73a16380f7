package balance

import (
	"math"
	"slices"
	"time"
)

// Calls leave a locality in proportion to its load per slot: none up to the
// start of a range, all of them from its end. The range keeps the share steady
// although the load answers late. The own failure domain has no waiting calls
// before calls leave it, because its neighbours are 1 ms away; the region has,
// because another region is 20 ms away and its traffic is paid.
const (
	domainSpillFrom = 0.7
	domainSpillTo   = 1.0
	regionSpillFrom = 0.9
	regionSpillTo   = 1.2
	// loadHalfLife is the time in which the smoothed load makes half of a change.
	loadHalfLife = 100 * time.Millisecond
)

// inherit takes over the smoothed loads of the localities that old has as well.
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
		}
	}
}

// refresh works out the load and the highest ramp of every locality.
func (t *table) refresh(now int64, maxAge time.Duration, panicking bool) {
	for _, l := range t.localities() {
		age := float64(max(now-l.loadAt.Load(), 0))
		weight := 1 - math.Exp2(-age/float64(loadHalfLife))
		load := l.currentLoad()
		load += weight * (l.measure(now, maxAge, panicking) - load)
		l.load.Store(math.Float64bits(load))
		l.loadAt.Store(now)
		l.storeMaxRamp(now)
		l.storeMedians(now, maxAge)
	}
	t.suspects.storeMaxRamp(now)
	t.unreachable.storeMaxRamp(now)
}

// storeMaxRamp finds the endpoint that is furthest in its slow start.
func (l *locality) storeMaxRamp(now int64) {
	highest := minRamp
	for _, e := range l.endpoints {
		if !e.bad(now) {
			highest = max(highest, e.ramp(now))
		}
	}
	l.maxRamp.Store(math.Float64bits(highest))
}

// storeMedians works out what is usual in the locality. The median is not moved
// by one target that reports a wrong load.
func (l *locality) storeMedians(now int64, maxAge time.Duration) {
	var reports, paces []float64
	for _, e := range l.endpoints {
		if r := e.reported(now, maxAge); r > 0 {
			reports = append(reports, r)
		}
		if p := math.Float64frombits(e.pace.Load()); p > 0 {
			paces = append(paces, p)
		}
	}
	l.report.Store(math.Float64bits(median(reports)))
	l.pace.Store(math.Float64bits(median(paces)))
}

// median returns the middle value, or 0 without values.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// A reported load may differ from what the durations of calls suggest by
// reportFactor. Durations count up to paceLimit times the usual, in powers of 2.
const (
	reportFactor = 1.25
	paceLimit    = 2.0
)

// bound limits a reported load to what the durations of the endpoint's calls
// suggest: the usual load of the locality, times how much slower the calls are
// than usual. A report thereby decides only between targets whose calls look
// alike, and a false one moves few calls.
func (l *locality) bound(e *endpoint, reported float64) float64 {
	usual := math.Float64frombits(l.report.Load())
	pace, usualPace := math.Float64frombits(e.pace.Load()), math.Float64frombits(l.pace.Load())
	if reported == 0 || usual == 0 || pace == 0 || usualPace == 0 {
		return min(reported, badFullness)
	}
	slower := math.Exp2(min(max(pace-usualPace, -paceLimit), paceLimit))
	return min(max(reported, usual*slower/reportFactor), usual*slower*reportFactor)
}

// localities returns the localities of alive endpoints.
func (t *table) localities() []*locality {
	return append(t.near[:len(t.near):len(t.near)], t.regions...)
}

// measure returns the load per slot of the locality's usable endpoints.
// Endpoints that look bad count as full, so that their calls go elsewhere,
// unless ejection has stopped.
func (l *locality) measure(now int64, maxAge time.Duration, panicking bool) float64 {
	var sum float64
	for _, e := range l.endpoints {
		full := e.fullness(now, maxAge)
		if !panicking && e.bad(now) {
			full = badFullness
		}
		sum += e.slots() * full
	}
	return sum / l.slots
}

// fullness returns the load per slot of one endpoint as far as this node can
// tell: the highest of its own calls in flight, fresh reports, and failures.
func (e *endpoint) fullness(now int64, maxAge time.Duration) float64 {
	own := float64(e.inFlight.Load()) / e.slots()
	shown := badFullness * e.shown(now)
	return min(max(own, shown, e.reported(now, maxAge)), badFullness)
}

// badFullness is the load per slot that a failing endpoint counts with; above
// regionSpillTo, so that a locality of failing endpoints passes all calls on.
const badFullness = 1.5

func (l *locality) currentLoad() float64 { return math.Float64frombits(l.load.Load()) }

// spill returns the share of calls that the locality passes on, 0..1.
func (l *locality) spill() float64 {
	return min(max((l.currentLoad()-l.spillFrom)/(l.spillTo-l.spillFrom), 0), 1)
}

// left returns the slots that the locality has left for calls from elsewhere.
func (l *locality) left() float64 { return l.slots * max(1-l.spill(), 0) }

// panics reports whether so many endpoints look bad, or so few look ready, that
// ejection stops. Failing targets are then avoided only by their score.
func (t *table) panics(ej ejection, minReady int, now int64) bool {
	bad := 0
	for _, e := range t.all {
		if e.bad(now) {
			bad++
		}
	}
	return bad*100 > ej.percent*len(t.all) || bad > 0 && len(t.all)-bad < minReady
}
