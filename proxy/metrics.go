package proxy

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskingw/object"
)

// side is the handler that a figure belongs to.
type side int

const (
	sideOutbound side = iota
	sideInbound
	sideCount
)

var sideNames = [sideCount]string{"outbound", "inbound"}

// How a call ended, as an index of the counters.
const (
	endAnswered = iota
	endNotRun
	endUnknown
	endAborted // the answer was cut
	endCount
)

var endNames = [endCount]string{"answered", OutcomeNotRun, OutcomeUnknown, "aborted"}

var kinds = [...]object.WorkKind{object.WorkBid, object.WorkUpload, object.WorkPage}

// Metrics counts calls by side, kind and outcome. A nil *Metrics counts nothing.
type Metrics struct {
	calls   [sideCount][len(kinds)][endCount]*metrics.Counter
	added   [sideCount]*metrics.Histogram
	retries *metrics.Counter
}

// NewMetrics registers the metrics of the proxy in the set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{retries: set.NewCounter("siskingw_call_retries_total")}
	for s, sideName := range sideNames {
		m.added[s] = set.NewHistogram(fmt.Sprintf(`siskingw_call_added_seconds{side=%q}`, sideName))
		for k, kind := range kinds {
			for e, end := range endNames {
				m.calls[s][k][e] = set.NewCounter(fmt.Sprintf(
					`siskingw_calls_total{side=%q,kind=%q,outcome=%q}`, sideName, kind, end))
			}
		}
	}
	return m
}

// observe counts a call that ends now. The time added is the time in the
// handler without the wait for the next hop's answer.
func (m *Metrics) observe(s side, c *call, f *refusal) {
	if m == nil {
		return
	}
	k := len(kinds) - 1
	for i, kind := range kinds {
		if c.kind == kind {
			k = i
		}
	}
	m.calls[s][k][endOf(f)].Inc()
	if f == nil {
		m.added[s].Update((time.Since(c.start) - c.waited).Seconds())
	}
}

func endOf(f *refusal) int {
	switch {
	case f == nil:
		return endAnswered
	case f.aborted:
		return endAborted
	case f.outcome == OutcomeNotRun:
		return endNotRun
	}
	return endUnknown
}

// retry counts a call that is sent again.
func (m *Metrics) retry() {
	if m != nil {
		m.retries.Inc()
	}
}
