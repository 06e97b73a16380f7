package proxy

import (
	"fmt"
	"slices"
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
	callAnswered = iota
	callNotRun
	callUnknown
	callAborted // the response broke off
	callResultCount
)

var callResultNames = [callResultCount]string{"answered", OutcomeNotRun, OutcomeUnknown, "aborted"}

var kinds = [...]object.WorkKind{object.WorkBid, object.WorkUpload, object.WorkPage, object.WorkDownload}

// Metrics holds the metrics of both handlers. A nil *Metrics records nothing.
type Metrics struct {
	calls     [sideCount][len(kinds)][callResultCount]*metrics.Counter
	duration  [sideCount][len(kinds)]*metrics.Histogram
	overhead  [sideCount]*metrics.Histogram
	refusals  [sideCount]map[cause]*metrics.Counter
	gateWaits *metrics.Histogram
	linkWaits *metrics.Histogram
	nested    *metrics.Counter
	returning *metrics.Counter
	retries   [retryResultCount]*metrics.Counter
	arrivals  [arrivalResultCount]*metrics.Counter
	spread    *metrics.Histogram
}

// What became of a call that arrived at the target's gate, as an index into
// Metrics.arrivals.
const (
	arrivalAtOnce           = iota // admitted or refused without waiting
	arrivalWaited                  // waited
	arrivalWaitedBesideRoom        // waited although another target of the failure domain had room
	arrivalHandedOn                // handed on to another target
	arrivalResultCount
)

var arrivalResultNames = [arrivalResultCount]string{"at_once", "waited", "waited_beside_room", "handed_on"}

// observeSpread records the difference between the highest and the lowest known load
// per slot of the targets of a service in the failure domain.
func (m *Metrics) observeSpread(spread float64) {
	if m != nil {
		m.spread.Update(spread)
	}
}

// countArrival counts a call that arrived at the target's gate.
func (m *Metrics) countArrival(result int) {
	if m != nil {
		m.arrivals[result].Inc()
	}
}

// Result of a retry decision, as an index into Metrics.retries.
const (
	retryFree    = iota // retried without charge: the target had not seen the call
	retryCharged        // retried and charged to the budget
	retryDenied         // not retried, see noRetryReason
	retryResultCount
)

var retryResultNames = [retryResultCount]string{"free", "repeat", "refused"}

// NewMetrics registers the proxy's metrics in set. It panics if set already holds
// them.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		gateWaits: set.NewHistogram("siskingw_gate_wait_seconds"),
		linkWaits: set.NewHistogram("siskingw_link_wait_seconds"),
		nested:    set.NewCounter("siskingw_nested_calls_total"),
		spread:    set.NewHistogram("siskingw_load_spread"),
		returning: set.NewCounter("siskingw_returning_calls_total"),
	}
	for i, name := range retryResultNames {
		m.retries[i] = set.NewCounter(fmt.Sprintf(`siskingw_call_retries_total{result=%q}`, name))
	}
	for i, name := range arrivalResultNames {
		m.arrivals[i] = set.NewCounter(fmt.Sprintf(`siskingw_gate_arrivals_total{result=%q}`, name))
	}
	for s, sideName := range sideNames {
		m.overhead[s] = set.NewHistogram(fmt.Sprintf(`siskingw_call_added_seconds{side=%q}`, sideName))
		m.refusals[s] = make(map[cause]*metrics.Counter)
		for _, c := range allCauses {
			m.refusals[s][c] = set.GetOrCreateCounter(fmt.Sprintf(`siskingw_refusals_total{side=%q,cause=%q}`, sideName, c))
		}
		for k, kind := range kinds {
			m.duration[s][k] = set.NewHistogram(fmt.Sprintf(`siskingw_call_seconds{side=%q,kind=%q}`, sideName, kind))
			for r, result := range callResultNames {
				m.calls[s][k][r] = set.NewCounter(fmt.Sprintf(
					`siskingw_calls_total{side=%q,kind=%q,outcome=%q}`, sideName, kind, result))
			}
		}
	}
	return m
}

// observe records a call that ends now; f is nil if it got a response. Its
// overhead is the time in the handler without the wait for the next hop's
// response header. A call of an unknown kind counts as a page.
func (m *Metrics) observe(s side, c *call, f *refusal) {
	if m == nil {
		return
	}
	k := slices.Index(kinds[:], c.kind)
	if k < 0 {
		k = slices.Index(kinds[:], object.WorkPage)
	}
	m.calls[s][k][callResultOf(f)].Inc()
	took := time.Since(c.start)
	m.duration[s][k].Update(took.Seconds())
	if f == nil {
		m.overhead[s].Update((took - c.upstreamWait).Seconds())
		return
	}
	if counter := m.refusals[s][f.cause]; counter != nil {
		counter.Inc()
	}
}

func callResultOf(f *refusal) int {
	switch {
	case f == nil:
		return callAnswered
	case f.aborted:
		return callAborted
	case f.outcome == OutcomeNotRun:
		return callNotRun
	}
	return callUnknown
}

// countRetry counts a retry decision.
func (m *Metrics) countRetry(result int) {
	if m != nil {
		m.retries[result].Inc()
	}
}

// observeLinkWait records the time that a response waited for its turn on the
// instance's link.
func (m *Metrics) observeLinkWait(d time.Duration) {
	if m != nil {
		m.linkWaits.Update(d.Seconds())
	}
}

// countNested counts a call that the target of this instance made while it ran
// another one.
func (m *Metrics) countNested() {
	if m != nil {
		m.nested.Inc()
	}
}

// countReturning counts a call that its caller made again after a refusal.
func (m *Metrics) countReturning() {
	if m != nil {
		m.returning.Inc()
	}
}

// observeGateWait records the time that a call waited for admission by the
// target's gate.
func (m *Metrics) observeGateWait(d time.Duration) {
	if m != nil {
		m.gateWaits.Update(d.Seconds())
	}
}
