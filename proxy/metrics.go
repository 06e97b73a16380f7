package proxy

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskingw/object"
)

// side is the handler that a metric belongs to.
type side int

const (
	sideOutbound side = iota
	sideInbound
	sideCount
)

var sideNames = [sideCount]string{"outbound", "inbound"}

// Result of a call, as an index into Metrics.calls.
const (
	endAnswered = iota
	endNotRun
	endUnknown
	endAborted // the response broke off
	endCount
)

var endNames = [endCount]string{"answered", OutcomeNotRun, OutcomeUnknown, "aborted"}

var kinds = [...]object.WorkKind{object.WorkBid, object.WorkUpload, object.WorkPage}

// Metrics holds the metrics of both handlers. A nil *Metrics records nothing.
type Metrics struct {
	calls    [sideCount][len(kinds)][endCount]*metrics.Counter
	duration [sideCount][len(kinds)]*metrics.Histogram
	added    [sideCount]*metrics.Histogram
	refusals [sideCount]map[cause]*metrics.Counter
	waits    *metrics.Histogram
	tries    [triesCount]*metrics.Counter
}

// Result of a retry decision, as an index into Metrics.tries.
const (
	triesFree    = iota // retried without charge: the target had not seen the call
	triesRepeat         // retried and charged to the budget
	triesRefused        // not retried
	triesCount
)

var triesNames = [triesCount]string{"free", "repeat", "refused"}

// NewMetrics registers the proxy's metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{waits: set.NewHistogram("siskingw_gate_wait_seconds")}
	for i, name := range triesNames {
		m.tries[i] = set.NewCounter(fmt.Sprintf(`siskingw_call_retries_total{result=%q}`, name))
	}
	for s, sideName := range sideNames {
		m.added[s] = set.NewHistogram(fmt.Sprintf(`siskingw_call_added_seconds{side=%q}`, sideName))
		m.refusals[s] = make(map[cause]*metrics.Counter)
		for _, why := range causes {
			m.refusals[s][why] = set.GetOrCreateCounter(fmt.Sprintf(`siskingw_refusals_total{side=%q,cause=%q}`, sideName, why))
		}
		for k, kind := range kinds {
			m.duration[s][k] = set.NewHistogram(fmt.Sprintf(`siskingw_call_seconds{side=%q,kind=%q}`, sideName, kind))
			for e, end := range endNames {
				m.calls[s][k][e] = set.NewCounter(fmt.Sprintf(
					`siskingw_calls_total{side=%q,kind=%q,outcome=%q}`, sideName, kind, end))
			}
		}
	}
	return m
}

// observe records a call that ends now; f is nil if it got a response. The added
// time is the time in the handler without the wait for the next hop's response
// header.
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
	took := time.Since(c.start)
	m.duration[s][k].Update(took.Seconds())
	if f == nil {
		m.added[s].Update((took - c.waited).Seconds())
		return
	}
	if counter := m.refusals[s][f.cause]; counter != nil {
		counter.Inc()
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

// retry counts a retry decision.
func (m *Metrics) retry(result int) {
	if m != nil {
		m.tries[result].Inc()
	}
}

// wait records the time that a call waited for admission by the target's gate.
func (m *Metrics) wait(d time.Duration) {
	if m != nil {
		m.waits.Update(d.Seconds())
	}
}
