package balance

import (
	"math"
	"slices"
	"time"
)

// storeMaxRamp updates the highest slow start ramp of the endpoints.
func (l *locality) storeMaxRamp(now int64) {
	highest := minRamp
	for _, e := range l.endpoints {
		if !e.bad(now) {
			highest = max(highest, e.ramp(now))
		}
	}
	l.maxRamp.Store(math.Float64bits(highest))
}

// storeMedians updates the median reported load and latency of the locality. A
// median is robust against one target that reports a wrong load.
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

// median returns the median (the upper one of an even number of values), or 0
// without values. It sorts v.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// reportFactor is the factor by which a reported load may differ from the load
// that the latency suggests. paceLimit limits, in powers of 2, the ratio of a
// target's latency to the median.
const (
	reportFactor = 1.25
	paceLimit    = 2.0
)

// bound limits a reported load to the range that the latency of the endpoint's
// calls suggests: the median load of the locality, times the ratio of the latency
// to the median one. Reports thus decide only between targets of similar latency,
// and a wrong report moves few calls.
func (l *locality) bound(e *endpoint, reported float64) float64 {
	usual := math.Float64frombits(l.report.Load())
	pace, usualPace := math.Float64frombits(e.pace.Load()), math.Float64frombits(l.pace.Load())
	if reported == 0 || usual == 0 || pace == 0 || usualPace == 0 {
		return min(reported, badFullness)
	}
	slower := math.Exp2(min(max(pace-usualPace, -paceLimit), paceLimit))
	return min(max(reported, usual*slower/reportFactor), usual*slower*reportFactor)
}

// localities returns the localities with alive endpoints, the near ones first.
func (t *table) localities() []*locality {
	return append(t.near[:len(t.near):len(t.near)], t.regions...)
}

// panics reports whether panic mode begins: so many endpoints are ejected, or so
// few are left, that ejections are ignored. Failing targets are then avoided only
// by their score.
func (t *table) panics(ej ejection, minReady int, now int64) bool {
	bad := 0
	for _, e := range t.all {
		if e.bad(now) {
			bad++
		}
	}
	return bad*100 > ej.percent*len(t.all) || bad > 0 && len(t.all)-bad < minReady
}
