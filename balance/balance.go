// Package balance implements the load balancing of calls at the caller's node. It
// selects the nearest locality with capacity, then the better of two random
// targets in it (power of two choices), and ejects failing targets (outlier
// detection). Calls with a target latency go to the target with the least
// expected loss instead, see Demand. State is kept only for the services that
// the node calls.
package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
)

// Defaults of Options.
const (
	DefaultSlowStart  = 10 * time.Second
	DefaultLoadMaxAge = time.Second
	DefaultIdleTime   = time.Minute
)

// Options configures a balancer. Zero values select the defaults.
type Options struct {
	SlowStart  time.Duration    // time over which the share of calls of a new target ramps up
	LoadMaxAge time.Duration    // age above which reported load is ignored
	IdleTime   time.Duration    // time without calls after which a service's state is dropped
	Now        func() time.Time // clock; nil for time.Now
	OnEject    func(Ejection)   // called when a target is ejected and when it is readmitted; may be nil
	Rand       func() uint64    // source of random bits, must be safe for concurrent use; nil for math/rand/v2
}

func (o Options) withDefaults() Options {
	if o.SlowStart <= 0 {
		o.SlowStart = DefaultSlowStart
	}
	if o.LoadMaxAge <= 0 {
		o.LoadMaxAge = DefaultLoadMaxAge
	}
	if o.IdleTime <= 0 {
		o.IdleTime = DefaultIdleTime
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Uint64
	}
	return o
}

// Ejection reports that a target was ejected or readmitted.
type Ejection struct {
	Target      *member.Record
	Duration    time.Duration // length of the ejection; 0 when the target is readmitted
	Failures    uint32        // consecutive failures that led to the ejection
	Unreachable bool          // the last failure was that no connection could be established
}

// Balancer selects targets. It is safe for concurrent use. For a call without a
// target latency, Pick and Done take no lock unless the call fails or the
// endpoints of the service changed.
type Balancer struct {
	view             member.View
	opts             Options
	start            time.Time
	services         sync.Map     // announced service name to *service
	sweepAt          atomic.Int64 // next sweep, ns of the balancer's clock
	networkLatencies networkLatencies
}

// New returns a balancer that selects among the endpoints of view.
func New(view member.View, opts Options) *Balancer {
	opts = opts.withDefaults()
	b := &Balancer{view: view, opts: opts, start: opts.Now()}
	b.sweepAt.Store(int64(opts.IdleTime))
	return b
}

// Picked is the selected target of one call. Done must be called once when the
// call ends.
type Picked struct {
	Record *member.Record // record of the target's node
	Late   float64        // probability, 0..1, that the call misses its target latency; 0 for Pick
	Missed float64        // probability, 0..1, that the call misses its deadline; 0 for Pick
	// LateIdle is the probability, 0..1, that the call misses its target latency
	// there if no other call is ahead of it; 0 for Pick and for large responses.
	LateIdle float64
	Full     bool // the target probably has no slot for a call that is late at any target
	balancer *Balancer
	endpoint *endpoint
	ejection ejectionConfig
	done     atomic.Bool
}

// Report is the result of one call as the balancer uses it. The zero Report
// means that the target was selected but not called.
type Report struct {
	Failed      bool          // the call failed at the target: 5xx, broken connection or timeout
	Refused     bool          // the target's node refused the call as not run
	Unreachable bool          // no connection could be established; ejects the target at once
	Load        float64       // calls in flight and queued per slot as stated in the response; 0 for not stated
	Duration    time.Duration // time from the first byte sent to the end of the response

	// State of the gate as stated by the endpoint's node; ServiceTime is 0 when it
	// stated none.
	CallsAhead       [admit.Priorities]int // calls ahead of a new call, by its priority
	ServiceTime      time.Duration         // expected service time of all calls
	Class            string                // class of this call
	ClassServiceTime time.Duration         // expected service time of the class at the endpoint; 0 for unknown
	HandlingTime     time.Duration         // time that the call spent at the endpoint's node
	Link             admit.LinkReport      // link of the endpoint's instance
	Slowness         float64               // how long work takes there now relative to ServiceTime; 0 for unknown
	SendBacklog      time.Duration         // until that link has sent the responses of the calls admitted so far
}

// now returns the ns since the balancer was created.
func (b *Balancer) now() int64 { return int64(b.opts.Now().Sub(b.start)) }

// Pick selects a target that announces set.Announce and whose node id is not in
// skip, for a call without a target latency. A nil spec selects the default
// ejection settings. It returns a NotRun error when no target is left.
//
//siskingw:step choose
func (b *Balancer) Pick(set *object.EndpointSetSpec, spec *object.EjectionSpec, skip []string) (*Picked, error) {
	now := b.now()
	s := b.service(set.Announce, now)
	t := s.currentTable(b, now)
	c := choice{b: b, now: now, skip: skip}
	ej := newEjectionConfig(spec)
	c.panicMode = now < s.ejectionsUntil.Load() && t.needsPanicMode(ej, set.MinReady, now)
	if c.panicMode != s.panicMode.Load() {
		s.panicMode.Store(c.panicMode)
	}
	e := c.pick(t)
	if e == nil {
		return nil, errdefs.NotRun.New("service %q has no endpoint left", set.Announce)
	}
	e.inFlight.Add(1)
	return &Picked{Record: e.record.Load(), balancer: b, endpoint: e, ejection: ej}, nil
}

// Done records the result of the call. Only the first call has an effect.
func (p *Picked) Done(r Report) {
	if !p.done.CompareAndSwap(false, true) {
		return
	}
	p.endpoint.inFlight.Add(-1)
	if r == (Report{}) {
		return
	}
	now := p.balancer.now()
	p.endpoint.observe(r, p.ejection, now, p.balancer.opts.Rand)
	p.endpoint.observeGateState(r, now)
	p.endpoint.service.classTimes.add(r, now)
	p.endpoint.classTimes.add(r, now)
	if r.HandlingTime > 0 {
		p.balancer.networkLatencies.add(distance(p.balancer.view.Self(), p.Record), r.Duration-r.HandlingTime)
	}
}

// Services returns the number of services whose state is kept.
func (b *Balancer) Services() int {
	n := 0
	b.services.Range(func(any, any) bool { n++; return true })
	return n
}

// service returns the state of an announced service and marks it as used.
func (b *Balancer) service(announce string, now int64) *service {
	if now >= b.sweepAt.Load() {
		b.sweep(now)
	}
	v, ok := b.services.Load(announce)
	if !ok {
		v, _ = b.services.LoadOrStore(announce, newService(announce, b.opts))
	}
	s := v.(*service)
	if now-s.lastUsed.Load() > int64(time.Second) { // avoids a write per call
		s.lastUsed.Store(now)
	}
	return s
}

// sweep removes the services that have not been called for the idle time.
func (b *Balancer) sweep(now int64) {
	due := b.sweepAt.Load()
	if now < due || !b.sweepAt.CompareAndSwap(due, now+int64(b.opts.IdleTime)) {
		return
	}
	b.services.Range(func(name, v any) bool {
		s := v.(*service)
		if now-s.lastUsed.Load() > int64(b.opts.IdleTime) && !s.busy() {
			b.services.Delete(name)
		}
		return true
	})
}
