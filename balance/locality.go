package balance

import (
	"math"
	"slices"
	"time"
)

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
