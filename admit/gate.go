// Package admit implements admission control at the target's node. A gate
// admits at most as many concurrent calls as the target has slots, queues a
// bounded number of calls for a bounded time, and refuses the rest early and
// cheaply, lowest priority first.
package admit

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/errdefs"
	"siskingw/object"
)

// Defaults of Options.
const (
	DefaultSlots        = 8
	DefaultQueueTimeout = 250 * time.Millisecond
	// defaultQueuePerSlot is the default queue length in calls per slot: two.
	defaultQueuePerSlot = 2
)

// Discipline is the queueing discipline: it selects which waiting call of a
// priority is admitted next.
type Discipline int

// The queueing disciplines. CoDel is the default: at 2 and 5 times the capacity
// all three have the same goodput, but the 99th percentile latency of admitted
// calls is about 37 ms with CoDel, 70 to 160 ms with FIFO and 70 to 170 ms with
// LIFO, and LIFO refuses calls only after the queue timeout
// (docs/measurements-load.md).
const (
	// CoDel admits the oldest call. While the gate is overloaded, it refuses
	// calls that have waited longer than a tenth of the queue timeout.
	CoDel Discipline = iota
	// FIFO admits the call that has waited longest.
	FIFO
	// LIFO admits the newest call while the gate is overloaded, else the oldest.
	LIFO
)

const (
	// overloadInterval is how long the queue must stay non-empty before the
	// gate is considered overloaded. Shorter intervals react to single bursts.
	overloadInterval = 100 * time.Millisecond
	// codelWaitDivisor divides the queue timeout to give the longest wait that
	// CoDel allows under overload.
	codelWaitDivisor = 10
)

// Options sets the limits of a gate. Zero values select the defaults.
type Options struct {
	Slots        int           // concurrent calls that the target runs
	Connections  int           // concurrent connections that the target accepts; 0 for no limit
	QueueLength  int           // queued calls of all priorities together; negative for no queue
	QueueTimeout time.Duration // longest time that a call waits in the queue
	Discipline   Discipline
	Now          func() time.Time // clock; nil for time.Now
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections > 0 {
		o.Slots = min(o.Slots, o.Connections)
	}
	if o.QueueLength == 0 {
		o.QueueLength = defaultQueuePerSlot * o.Slots
	}
	o.QueueLength = max(o.QueueLength, 0)
	if o.QueueTimeout <= 0 {
		o.QueueTimeout = DefaultQueueTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Refusals. They are preallocated because capturing a stack trace for each
// refusal costs more than admitting a call.
var (
	errDraining     = errdefs.NotRun.New("target is draining")
	errQueueFull    = errdefs.NotRun.New("target's queue is full")
	errQueueTooLong = errdefs.NotRun.New("call would wait longer than the queue timeout")
	errDeadline     = errdefs.NotRun.New("call cannot be answered before its deadline")
	errQueueTimeout = errdefs.NotRun.New("call waited longer than the queue timeout")
	errDisplaced    = errdefs.NotRun.New("call gave up its queue place to more important work")
	errCallerGone   = errdefs.NotRun.New("caller gave up while the call was queued")
)

// Gate is the admission controller of one target. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu            sync.Mutex
	inFlight      int
	queued        int
	queues        [numPriorities]queue
	lateQueues    [numPriorities]queue // calls expected to miss their target latency; served after all others
	draining      bool
	queuedSince   time.Time           // since when the queue is non-empty; zero when it is empty
	serviceTimes  [numPriorities]ewma // ns, by priority
	classTimes    classServiceTimes   // service times by class on the machine as usual
	slowness      slowness            // of the target's machine
	organisations organisationShares
	workDone      [numPriorities]ewma    // ns of service time per completed call of any priority, by priority
	newWork       [numPriorities]newWork // of each priority and the higher ones
	deadlines     []time.Time            // deadlines of the calls in flight that have one, in no order
	lateRefusedAt time.Time              // last refusal of a call because it would miss its target latency
	answered      int                    // calls in flight whose response is passed on, see Ticket.Answered
	startTimeSum  time.Duration          // sum over the other calls in flight of their start times since epoch
	expectedSum   time.Duration          // sum over the other calls in flight of the service times expected of them
	epoch         time.Time
	idle          chan struct{} // closed when inFlight and queued become zero; nil unless Wait is called
	stats         Stats

	load atomic.Uint64 // float64 bits of the value that Load returns
}

// New returns a gate that admits calls.
func New(opts Options) *Gate {
	g := &Gate{opts: opts.withDefaults()}
	g.epoch = g.opts.Now()
	return g
}

// Ticket is an admitted call, which holds one slot until Release.
type Ticket struct {
	gate       *Gate
	priority   int
	class      string
	admittedAt time.Time     // when the call was admitted
	deadline   time.Time     // zero for none
	slowness   float64       // of the target's machine when the call was admitted
	expected   time.Duration // service time expected of the call when it was admitted
	answeredAt time.Time     // see Answered; guarded by the gate's mutex
	received   time.Duration // see Received
	released   atomic.Bool
}

// Enter admits a call of the given kind of work, without a target latency. It
// waits in the queue while no slot is free, and returns a NotRun error when the
// call is refused or ctx ends first. Release must be called on the returned
// ticket.
//
//siskingw:step admit
func (g *Gate) Enter(ctx context.Context, kind object.WorkKind) (*Ticket, error) {
	now := g.opts.Now()
	p := priority(kind)
	g.mu.Lock()
	if err := g.earlyRefusal(ctx, p, now); err != nil {
		g.stats.ByPriority[p].Refused++
		g.mu.Unlock()
		return nil, err
	}
	if g.inFlight < g.opts.Slots && g.queued == 0 {
		t := g.admit(p, "", now, deadlineOf(ctx))
		g.mu.Unlock()
		return t, nil
	}
	if !g.makeRoom(p, &waiter{}) {
		g.mu.Unlock()
		return nil, errQueueFull
	}
	w := &waiter{priority: p, queuedAt: now, done: make(chan struct{})}
	w.deadline, _ = ctx.Deadline()
	g.enqueue(w)
	g.publish()
	g.mu.Unlock()
	return g.wait(ctx, w, g.opts.QueueTimeout)
}

// earlyRefusal returns the reason to refuse a call before it is queued, or nil.
// While a slot is free, no call is refused because of its estimated times: the
// estimates are learned from admitted calls and would never be corrected
// otherwise. g.mu must be held.
func (g *Gate) earlyRefusal(ctx context.Context, p int, now time.Time) error {
	if g.draining {
		return errDraining
	}
	if ctx.Err() != nil {
		return errCallerGone
	}
	if g.inFlight < g.opts.Slots {
		return nil
	}
	wait := g.expectedWait(p)
	if wait > g.allowedWait(now) {
		g.refuseBelow(p) // they would wait longer still
		return errQueueTooLong
	}
	if deadline, ok := ctx.Deadline(); ok && deadline.Sub(now.Add(wait)) < g.serviceTimes[p].duration() {
		return errDeadline
	}
	return nil
}

// missesDeadline reports whether a queued call is expected to miss its deadline
// when it starts now.
func (g *Gate) missesDeadline(w *waiter, now time.Time) bool {
	serviceTime := g.serviceTimes[w.priority].duration()
	if !w.targetTime.IsZero() {
		serviceTime = g.classTime(w.class, now)
	}
	return w.deadline.Sub(now) < serviceTime
}

// expectedWait estimates the queueing time of a new call of priority p while all
// slots are taken: the total service time of the calls ahead of it, divided by
// the number of slots.
func (g *Gate) expectedWait(p int) time.Duration {
	var work time.Duration
	for i := range p + 1 {
		work += time.Duration(g.queues[i].len()) * g.serviceTimes[i].duration()
	}
	return work / time.Duration(g.opts.Slots)
}

// admit takes a slot for a call of the class with the deadline, zero for none. g.mu must be
// held.
func (g *Gate) admit(p int, class string, now, deadline time.Time) *Ticket {
	expected := g.classTimes.of(class)
	g.inFlight++
	g.expectedSum += expected
	g.startTimeSum += now.Sub(g.epoch)
	g.stats.ByPriority[p].Admitted++
	if !deadline.IsZero() {
		g.deadlines = append(g.deadlines, deadline)
	}
	g.publish()
	return &Ticket{gate: g, priority: p, class: class, admittedAt: now, deadline: deadline,
		slowness: g.slowness.factor(now), expected: expected}
}

// deadlineOf returns the deadline of ctx, or the zero time.
func deadlineOf(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// Release frees the slot and admits queued calls. Only the first call has an
// effect.
func (t *Ticket) Release() {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	g := t.gate
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if t.answeredAt.IsZero() {
		g.forgetAge(t)
	} else {
		g.answered--
	}
	if i := slices.Index(g.deadlines, t.deadline); i >= 0 {
		g.deadlines = slices.Delete(g.deadlines, i, i+1)
	}
	serviceTime := g.usualTime(t, now)
	g.serviceTimes[t.priority].add(float64(serviceTime))
	g.addWorkDone(t.priority, t.serviceTime(now))
	g.classTimes.add(t.class, serviceTime)
	g.dispatch(now)
	g.publish()
}

// Drain refuses all queued and new calls. Calls in flight continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, q := range g.queuesInOrder() {
		for w := q.popFirst(); w != nil; w = q.popFirst() {
			g.refuse(w, errDraining)
		}
	}
	g.publish()
}

// queuesInOrder returns the queues in the order in which they are served: by
// priority, then the late ones by priority.
func (g *Gate) queuesInOrder() [2 * numPriorities]*queue {
	var qs [2 * numPriorities]*queue
	for i := range numPriorities {
		qs[i], qs[numPriorities+i] = &g.queues[i], &g.lateQueues[i]
	}
	return qs
}

// Wait blocks until no call is in flight or queued. It returns a Timeout error
// when ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	g.mu.Lock()
	if g.inFlight == 0 && g.queued == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return errdefs.Timeout.Wrap(ctx.Err(), "calls are still in flight")
	}
}

// Load returns the number of calls in flight and queued per slot.
func (g *Gate) Load() float64 { return math.Float64frombits(g.load.Load()) }

// publish updates the state that Load and Wait observe. g.mu must be held.
func (g *Gate) publish() {
	g.load.Store(math.Float64bits(float64(g.inFlight+g.queued) / float64(g.opts.Slots)))
	if g.inFlight == 0 && g.queued == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}
