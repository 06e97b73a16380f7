package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/member"
	"siskingw/object"
)

// Defaults of object.EjectionSpec and constants of outlier ejection.
const (
	defaultConsecutiveFailures = 5 // consecutive failures that eject a target
	defaultBaseTime            = time.Second
	defaultMaxPercent          = 30 // of the endpoints; panic mode begins above it
	// maxBackoffExponent limits the exponential backoff to 32 times the base time.
	maxBackoffExponent = 5
	// probationCalls is the number of successful calls after an ejection that
	// readmit the target and reset the backoff.
	probationCalls = 10
)

// ejectionConfig is an EjectionSpec with the defaults applied.
type ejectionConfig struct {
	failures   uint32
	baseTime   time.Duration
	maxPercent int
}

func newEjectionConfig(spec *object.EjectionSpec) ejectionConfig {
	e := ejectionConfig{failures: defaultConsecutiveFailures, baseTime: defaultBaseTime, maxPercent: defaultMaxPercent}
	if spec == nil {
		return e
	}
	if spec.ConsecutiveFailures > 0 {
		e.failures = uint32(spec.ConsecutiveFailures)
	}
	if spec.BaseMs > 0 {
		e.baseTime = time.Duration(spec.BaseMs) * time.Millisecond
	}
	if spec.MaxPercent > 0 {
		e.maxPercent = spec.MaxPercent
	}
	return e
}

// endpoint is the state of one target at this node. Times are in ns of the
// balancer's clock.
type endpoint struct {
	service       *service
	record        atomic.Pointer[member.Record]
	inFlight      atomic.Int64 // calls of this node
	slowStartFrom atomic.Int64 // begin of slow start
	ejectedUntil  atomic.Int64 // end of the last ejection; 0 after probation and before any ejection

	load   atomic.Uint64 // float64 bits of the smoothed reported load, calls per slot
	loadAt atomic.Int64  // last report; 0 before the first

	logLatencyAt atomic.Int64  // last update of logLatency
	logLatency   atomic.Uint64 // float64 bits of the moving average of log2 of the latency in ns; 0 without calls

	gateState atomic.Pointer[gateState] // last reported state of the gate; nil before the first report

	classTimes classTimes // last reported service times by class

	failedOrRefused badShare // share of calls that failed or were refused
	failed          badShare // share of calls that failed

	mu                 sync.Mutex   // guards changes of the fields below; locked only for failures and probation
	failures           uint32       // consecutive failures
	backoffExponent    uint32       // of the next ejection
	probationCallsLeft atomic.Int32 // successful calls that are left until the target is readmitted
	failing            atomic.Bool  // failures > 0
}

// slots returns the number of concurrent calls that the target runs.
func (e *endpoint) slots() float64 { return float64(max(e.record.Load().Slots, 1)) }

// ejected reports whether the target is ejected at now.
func (e *endpoint) ejected(now int64) bool { return now < e.ejectedUntil.Load() }

// ramp returns the share of its calls, 0..1, that the target gets in slow start.
func (e *endpoint) ramp(now int64) float64 {
	elapsed := now - e.slowStartFrom.Load()
	if elapsed >= e.service.slowStart {
		return 1
	}
	return max(minRamp, float64(elapsed)/float64(e.service.slowStart))
}

// minRamp is the share of its calls, 0..1, that a target gets when slow start
// begins.
const minRamp = 0.05

// reportedLoad returns the smoothed reported load in calls per slot, or 0 when the
// last report is older than maxAge.
func (e *endpoint) reportedLoad(now int64, maxAge time.Duration) float64 {
	at := e.loadAt.Load()
	if at == 0 || now-at > int64(maxAge) {
		return 0
	}
	return math.Float64frombits(e.load.Load())
}

// observe records the result of one call.
func (e *endpoint) observe(r Report, ej ejectionConfig, now int64, random func() uint64) {
	e.addReportedLoad(r.Load, now)
	failed := r.Failed || r.Unreachable
	if !failed && !r.Refused && r.Duration > 0 {
		e.addLatency(r.Duration, now)
	}
	e.failedOrRefused.add(failed || r.Refused, now)
	e.failed.add(failed, now)
	switch {
	case failed:
		e.fail(r.Unreachable, ej, now, random)
	case !r.Refused && (e.failing.Load() || e.probationCallsLeft.Load() > 0):
		e.succeed(now)
	}
}

// reportedLoadHalfLife is the half-life of reported load in its moving average. A
// single report predicts the load at the next call poorly: it is the number of
// calls in the target's slots at one moment.
const reportedLoadHalfLife = 200 * time.Millisecond

// addReportedLoad adds a reported load to its moving average; 0 and invalid values
// are ignored.
func (e *endpoint) addReportedLoad(load float64, now int64) {
	if !(load > 0 && load <= math.MaxFloat64) {
		return
	}
	now = max(now, 1)
	if at := e.loadAt.Load(); at > 0 {
		old := math.Float64frombits(e.load.Load())
		load += (old - load) * math.Exp2(-float64(now-at)/float64(reportedLoadHalfLife))
	}
	e.load.Store(math.Float64bits(load))
	e.loadAt.Store(now)
}

// A call has at least the weight minLatencyWeight in the moving average of the
// latency, and up to maxLatencyWeight after a time without calls, so that a target
// that was slow is soon known to have recovered. The average is of logarithms, so
// that one upload among pages does not make a target look slow.
const (
	minLatencyWeight = 0.05
	maxLatencyWeight = 0.25
	latencyHalfLife  = 2 * time.Second
)

// addLatency adds the latency of a successful call to its moving average.
func (e *endpoint) addLatency(d time.Duration, now int64) {
	v := math.Log2(float64(d))
	if old := math.Float64frombits(e.logLatency.Load()); old > 0 {
		gap := float64(now - e.logLatencyAt.Load())
		weight := 1 - math.Exp2(-gap/float64(latencyHalfLife))
		v = old + min(max(weight, minLatencyWeight), maxLatencyWeight)*(v-old)
	}
	e.logLatency.Store(math.Float64bits(v))
	e.logLatencyAt.Store(now)
}

// fail counts a failure and ejects the target after enough consecutive failures,
// or at once when it is unreachable or on probation.
func (e *endpoint) fail(unreachable bool, ej ejectionConfig, now int64, random func() uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ejected(now) {
		return // calls in flight at the time of the ejection do not extend it
	}
	e.failures++
	e.failing.Store(true)
	if e.failures < ej.failures && !unreachable && e.probationCallsLeft.Load() == 0 {
		return
	}
	failures := e.failures
	length := int64(ej.baseTime) << min(e.backoffExponent, maxBackoffExponent)
	length += int64(random() % uint64(length/4+1)) // jitter: the callers' nodes must not all return at once
	e.backoffExponent = min(e.backoffExponent+1, maxBackoffExponent)
	e.failures = 0
	e.failing.Store(false)
	e.probationCallsLeft.Store(probationCalls)
	e.slowStartFrom.Store(now + length)
	e.ejectedUntil.Store(now + length)
	e.service.extendEjections(now + length)
	e.notifyEject(Ejection{Duration: time.Duration(length), Failures: failures, Unreachable: unreachable})
}

// notifyEject reports an ejection or a readmission to Options.OnEject.
func (e *endpoint) notifyEject(change Ejection) {
	if e.service.onEject != nil {
		change.Target = e.record.Load()
		e.service.onEject(change)
	}
}

// succeed resets the consecutive failures and, after enough successful calls,
// ends the probation and readmits the target. An ejected target gets calls in
// panic mode.
func (e *endpoint) succeed(now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = 0
	e.failing.Store(false)
	if e.probationCallsLeft.Load() > 0 && e.probationCallsLeft.Add(-1) == 0 {
		e.backoffExponent = 0
		e.slowStartFrom.Store(min(e.slowStartFrom.Load(), now))
		e.ejectedUntil.Store(0)
		e.notifyEject(Ejection{})
	}
}
