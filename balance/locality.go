package balance

import (
	"math"
	"slices"
	"time"
)

// updateMaxRamp updates the highest slow start ramp of the endpoints.
func (l *locality) updateMaxRamp(now int64) {
	highest := minRamp
	for _, e := range l.endpoints {
		if !e.ejected(now) {
			highest = max(highest, e.ramp(now))
		}
	}
	l.maxRamp.Store(math.Float64bits(highest))
}

// updateMedians updates the median reported load and latency of the locality. A
// median is robust against one target that reports a wrong load.
func (l *locality) updateMedians(now int64, maxAge time.Duration) {
	var loads, logLatencies []float64
	for _, e := range l.endpoints {
		if r := e.reportedLoad(now, maxAge); r > 0 {
			loads = append(loads, r)
		}
		if p := math.Float64frombits(e.logLatency.Load()); p > 0 {
			logLatencies = append(logLatencies, p)
		}
	}
	l.medianLoad.Store(math.Float64bits(median(loads)))
	l.medianLogLatency.Store(math.Float64bits(median(logLatencies)))
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

// maxReportedLoadFactor is the factor by which a reported load may differ from the
// load that the latency suggests. maxLogLatencyDiff limits, in powers of 2, the
// ratio of a target's latency to the median.
const (
	maxReportedLoadFactor = 1.25
	maxLogLatencyDiff     = 2.0
)

// boundReportedLoad limits a reported load to the range that the latency of the
// endpoint's calls suggests: the median load of the locality, times the ratio of
// the latency to the median one. Reports thus decide only between targets of
// similar latency, and a wrong report moves few calls.
func (l *locality) boundReportedLoad(e *endpoint, reported float64) float64 {
	medianLoad := math.Float64frombits(l.medianLoad.Load())
	logLatency, medianLogLatency := math.Float64frombits(e.logLatency.Load()),
		math.Float64frombits(l.medianLogLatency.Load())
	if reported == 0 || medianLoad == 0 || logLatency == 0 || medianLogLatency == 0 {
		return min(reported, maxAssumedLoad)
	}
	latencyRatio := math.Exp2(min(max(logLatency-medianLogLatency, -maxLogLatencyDiff), maxLogLatencyDiff))
	return min(max(reported, medianLoad*latencyRatio/maxReportedLoadFactor), medianLoad*latencyRatio*maxReportedLoadFactor)
}

// localities returns the localities with alive endpoints, the near ones first.
func (t *table) localities() []*locality {
	return append(t.near[:len(t.near):len(t.near)], t.otherRegions...)
}

// needsPanicMode reports whether so many endpoints are ejected, or so few are
// left, that ejections are ignored. Failing targets are then avoided only by their
// score.
func (t *table) needsPanicMode(ej ejectionConfig, minReady int, now int64) bool {
	ejected := 0
	for _, e := range t.alive {
		if e.ejected(now) {
			ejected++
		}
	}
	return ejected*100 > ej.maxPercent*len(t.alive) || ejected > 0 && len(t.alive)-ejected < minReady
}
