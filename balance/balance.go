// Package balance selects the target of a call: the nearest locality with
// capacity first, then the better of two random targets, leaving out targets
// that fail. It keeps state only for the services that the node calls.
package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/faults"
	"siskingw/member"
	"siskingw/object"
)

// Defaults of Options.
const (
	DefaultSlowStart  = 10 * time.Second
	DefaultLoadMaxAge = time.Second
	DefaultIdleTime   = time.Minute
)

// Options sets the times of a balancer. Zero values select the defaults.
type Options struct {
	SlowStart  time.Duration    // time in which a new target's share of calls ramps up
	LoadMaxAge time.Duration    // age from which reported load is ignored
	IdleTime   time.Duration    // time without calls after which a service's state is dropped
	Now        func() time.Time // clock; nil for time.Now
	OnEject    func(Ejection)   // told when a target is left out and when it is trusted again; may be nil
	Rand       func() uint64    // source of random bits, safe for concurrent use; nil for math/rand/v2
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

// Ejection is a change of what the balancer believes of a target.
type Ejection struct {
	Target      *member.Record
	For         time.Duration // how long it is left out; 0 when it is trusted again
	Failures    uint32        // in a row
	Unreachable bool          // no connection could be made
}

// Balancer selects targets. All methods may be used concurrently. Pick and Done
// take no lock unless the endpoints of the service changed.
type Balancer struct {
	view     member.View
	opts     Options
	start    time.Time
	services sync.Map // announced service name to *service
	sweepAt  atomic.Int64
	links    linkTimes
}

// New returns a balancer that selects among the endpoints of view.
func New(view member.View, opts Options) *Balancer {
	opts = opts.withDefaults()
	b := &Balancer{view: view, opts: opts, start: opts.Now()}
	b.sweepAt.Store(int64(opts.IdleTime))
	return b
}

// Picked is one selected target. Done must be called once when the call ended.
type Picked struct {
	Record   *member.Record
	Late     float64 // probability that a call picked with a Demand is late
	balancer *Balancer
	endpoint *endpoint
	ejection ejection
	done     atomic.Bool
}

// Report tells what one call showed about its target. The zero Report shows
// nothing: the target was selected, but not called.
type Report struct {
	Failed      bool          // the target failed: 5xx, broken connection or timeout
	Refused     bool          // the target's gate refused the call as not run
	Unreachable bool          // no connection could be made; ejects at once
	Load        float64       // calls in flight and queued per slot as the response reports; 0 when it reports none
	Duration    time.Duration // time from the first byte sent to the end of the response

	// What the endpoint's node reports of its gate; Service is 0 when it does not.
	Calls   [admit.Priorities]int // that a new call of each priority finds before it
	Service time.Duration         // expected service time of all calls
	Class   string                // of this call
	OfClass time.Duration         // expected service time of the class at the endpoint; 0 when not known
	Handled time.Duration         // time that the call spent at the endpoint's node
	Link    admit.LinkReport
}

// now returns the ns since the balancer was made.
func (b *Balancer) now() int64 { return int64(b.opts.Now().Sub(b.start)) }

// Pick selects a target that announces set.Announce and is not in skip, which
// holds node ids. It returns a NotRun error when none is left.
//
//siskingw:step choose
func (b *Balancer) Pick(set *object.EndpointSetSpec, spec *object.EjectionSpec, skip []string) (*Picked, error) {
	now := b.now()
	s := b.service(set.Announce, now)
	t := s.current(b, now)
	c := choice{b: b, now: now, skip: skip}
	ej := newEjection(spec)
	c.panicking = now < s.badUntil.Load() && t.panics(ej, set.MinReady, now)
	if c.panicking != s.panicking.Load() {
		s.panicking.Store(c.panicking)
	}
	e := c.pick(t)
	if e == nil {
		return nil, faults.NotRun.New("service %q has no endpoint left", set.Announce)
	}
	e.inFlight.Add(1)
	return &Picked{Record: e.record.Load(), balancer: b, endpoint: e, ejection: ej}, nil
}

// Done records the end of the call. Only the first call has an effect.
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
	p.endpoint.observeState(r, now)
	p.endpoint.service.ratios.add(r)
	if r.Handled > 0 {
		p.balancer.links.add(distance(p.balancer.view.Self(), p.Record), r.Duration-r.Handled)
	}
}

// Services returns the number of services for which state is kept.
func (b *Balancer) Services() int {
	n := 0
	b.services.Range(func(any, any) bool { n++; return true })
	return n
}

// service returns the state for an announced name and marks it used.
func (b *Balancer) service(announce string, now int64) *service {
	if now >= b.sweepAt.Load() {
		b.sweep(now)
	}
	v, ok := b.services.Load(announce)
	if !ok {
		v, _ = b.services.LoadOrStore(announce, newService(announce, b.opts))
	}
	s := v.(*service)
	if now-s.usedAt.Load() > int64(time.Second) { // avoids a write for each call
		s.usedAt.Store(now)
	}
	return s
}

// sweep drops the services that were not called for the idle time.
func (b *Balancer) sweep(now int64) {
	due := b.sweepAt.Load()
	if now < due || !b.sweepAt.CompareAndSwap(due, now+int64(b.opts.IdleTime)) {
		return
	}
	b.services.Range(func(name, v any) bool {
		s := v.(*service)
		if now-s.usedAt.Load() > int64(b.opts.IdleTime) && !s.busy() {
			b.services.Delete(name)
		}
		return true
	})
}
