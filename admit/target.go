package admit

import (
	"context"
	"time"

	"siskingw/errdefs"
	"siskingw/lateness"
)

// Work describes a call whose route has a target latency: the time within which
// a response has its full value.
type Work struct {
	Class      string    // calls of one class have similar service times; usually the route
	Priority   int       // 0 is the highest
	TargetTime time.Time // when the target latency is over and a response begins to lose value
	// Late marks a call that is wanted although it is expected to miss its
	// target latency. It runs only when no call that can meet its own is queued.
	Late bool
	// Organisation is the name of the one on whose behalf the call is made; empty for none.
	Organisation string
	// Weight is the organisation's share of the slots relative to other organisations of the
	// same priority; 0 counts as 1.
	Weight float64
	// Nested marks a call that a target makes while it runs another call. Refusing
	// it wastes the work already done for that one.
	Nested bool
	// Elsewhere marks a call that its caller's node sends to another target when
	// this one refuses it. Report.RefusedShare does not count such a refusal.
	Elsewhere bool
}

// countable reports whether a refusal of the work says that its caller was refused.
func (w Work) countable() bool { return !w.Nested && !w.Elsewhere }

const (
	// maxOverloadMissProbability is the highest probability, 0..1, of missing
	// the target latency with which a call is queued under overload. A call
	// above it is refused, so that its caller can try another target or fail at
	// once: longer queues make more calls late without raising the throughput.
	maxOverloadMissProbability = 0.08
	// minQueuePerSlot is the queue length, as a share of the slots, below which
	// maxOverloadMissProbability does not apply, only maxMissProbability.
	// Without a minimum queue a slow target would be idle between the calls
	// that it is offered.
	minQueuePerSlot = 0.25
	// maxMissProbability is the probability, 0..1, of missing the target
	// latency or the deadline above which a call is not worth queueing.
	maxMissProbability = 0.5
)

var (
	errLate         = errdefs.NotRun.New("call would miss its target latency")
	errLateNoChance = errdefs.NotRun.New("late call has no chance while others wait")
)

// Admit admits a call with a target latency, depending on its probability to
// meet it. It waits in the queue while no slot is free, and returns a NotRun
// error when the call is refused or ctx ends first. Release must be called on the
// returned ticket.
func (g *Gate) Admit(ctx context.Context, work Work) (*Ticket, error) {
	now := g.opts.Now()
	p := work.Rank()
	deadline := deadlineOf(ctx)
	if work.Nested && !deadline.IsZero() {
		work.TargetTime = deadline // only the answer's absence costs the call that waits for it
	}
	g.mu.Lock()
	if err := g.workRefusal(ctx, work, p, now); err != nil {
		g.stats.ByPriority[p].Refused++
		if work.countable() {
			g.countNew(p, true, now)
		}
		g.mu.Unlock()
		return nil, err
	}
	if g.inFlight < g.opts.Slots && g.queued == 0 {
		t := g.admit(p, work.Class, now, deadline)
		g.organisations.add(work.Organisation, work.Weight, t.expected, now)
		if !work.Nested {
			g.countNew(p, false, now)
		}
		g.mu.Unlock()
		return t, nil
	}
	w := &waiter{
		priority: p, queuedAt: now, targetTime: work.TargetTime, deadline: deadline,
		class: work.Class, late: work.Late, nested: work.Nested, elsewhere: work.Elsewhere, done: make(chan struct{}),
		organisation: work.Organisation, weight: work.Weight, overShare: g.organisations.exceeded(work.Organisation, now)}
	if !g.makeRoom(p, w) {
		g.mu.Unlock()
		return nil, errQueueFull
	}
	g.enqueue(w)
	targetLeft := w.targetTime.Sub(now)
	maxWait := targetLeft + g.opts.QueueTimeout // without a deadline
	if !w.deadline.IsZero() {
		maxWait = w.deadline.Sub(now) - g.classTime(w.class, now)
	}
	late := w.late
	g.publish()
	g.mu.Unlock()
	if !late {
		if t, err, done := g.waitInTime(ctx, w, min(targetLeft, maxWait)); done {
			return t, err
		}
		maxWait -= targetLeft
	}
	return g.wait(ctx, w, maxWait)
}

// waitInTime waits until w is admitted or refused, for maxWait at most. done is
// false when w stays queued after that, as a late call.
func (g *Gate) waitInTime(ctx context.Context, w *waiter, maxWait time.Duration) (t *Ticket, err error, done bool) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.ticket, w.err, true
	case <-timer.C:
	case <-ctx.Done():
		t, err = g.wait(ctx, w, 0)
		return t, err, true
	}
	g.mu.Lock()
	if !w.late && g.queueOf(w).remove(w) {
		g.requeueOrRefuse(w, g.opts.Now())
		g.publish()
	}
	g.mu.Unlock()
	select {
	case <-w.done:
		return w.ticket, w.err, true
	default:
		return nil, nil, false
	}
}

// requeueOrRefuse handles a call that was removed from its queue because it is
// expected to miss its target latency. Without recent refusals slots become free
// soon, and the call is queued again as a late one; otherwise it is refused,
// because calls that can meet their target latency take the slots. g.mu must be
// held.
func (g *Gate) requeueOrRefuse(w *waiter, now time.Time) {
	if w.late || !g.cooledDown(now) {
		g.refuse(w, errLate)
		return
	}
	w.late = true
	g.queueOf(w).insert(w)
}

// overloadCooldown is the time without refusals for lateness after which an
// overload is considered over. The queue length does not show its end, because
// refusals keep the queue short.
const overloadCooldown = 2 * overloadInterval

// cooledDown reports whether no call was refused for lateness during
// overloadCooldown.
func (g *Gate) cooledDown(now time.Time) bool { return now.Sub(g.lateRefusedAt) >= overloadCooldown }

// Check returns the NotRun error with which the gate would refuse a call whose
// body needs the duration arrival to arrive, or nil. It takes no slot and leaves
// Stats unchanged.
func (g *Gate) Check(work Work, deadline time.Time, arrival time.Duration) error {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return errDraining
	}
	serviceTime := g.classTime(work.Class, now)
	if lateness.Probability(arrival+serviceTime, deadline.Sub(now)) > maxMissProbability {
		return errDeadline
	}
	if !work.Late && lateness.Probability(arrival+serviceTime, work.TargetTime.Sub(now)) > maxMissProbability {
		return errLate
	}
	return g.workRefusal(context.Background(), work, work.Rank(), now)
}

// workRefusal returns the reason to refuse a call before it is queued, or nil. As
// in earlyRefusal, no call is refused because of its estimated times while a slot
// is free. g.mu must be held.
func (g *Gate) workRefusal(ctx context.Context, work Work, p int, now time.Time) error {
	switch {
	case g.draining:
		return errDraining
	case ctx.Err() != nil:
		return errCallerGone
	case g.inFlight < g.opts.Slots && g.queued == 0:
		return nil
	}
	serviceTime := g.classTime(work.Class, now)
	ahead := g.queuedAhead(p, &waiter{targetTime: work.TargetTime, nested: work.Nested,
		overShare: g.organisations.exceeded(work.Organisation, now)})
	wait := g.waitBehind(ahead, p, now)
	if deadline, ok := ctx.Deadline(); ok && lateness.Probability(wait+serviceTime, deadline.Sub(now)) > maxMissProbability {
		return errDeadline
	}
	if work.Nested || !g.overloaded(now) && g.cooledDown(now) {
		return nil // without overload a late response is better than none
	}
	if work.Late {
		return errLateNoChance
	}
	missProbability := lateness.Probability(wait+serviceTime, work.TargetTime.Sub(now))
	if RefusedUnderOverload(missProbability, float64(ahead), float64(g.opts.Slots)) {
		g.lateRefusedAt = now
		return errLate
	}
	return nil
}

// RefusedUnderOverload reports whether an overloaded gate refuses a call that misses
// its target latency with the given probability behind ahead queued calls. The
// callers' nodes use it to send a call that was refused where it is not refused again.
func RefusedUnderOverload(missProbability, ahead, slots float64) bool {
	return missProbability > maxMissProbability ||
		missProbability > maxOverloadMissProbability && ahead >= minQueuePerSlot*slots
}

// queuedAhead returns the number of queued calls that are served before a new
// call of priority p. g.mu must be held.
func (g *Gate) queuedAhead(p int, call *waiter) int {
	n := 0
	for i := range p {
		n += g.queues[i].len()
	}
	for _, w := range g.queues[p].waiters {
		if call.before(w) {
			break
		}
		n++
	}
	return n
}

// maxHigherPriorityShare limits the share of the slots, 0..1, that calls of higher
// priority are assumed to take while a call waits.
const maxHigherPriorityShare = 0.75

// waitBehind estimates how long a new call of priority p waits for a slot: for
// the calls ahead of it, and for those of higher priority that arrive while it
// waits. g.mu must be held.
func (g *Gate) waitBehind(ahead, p int, now time.Time) time.Duration {
	if g.inFlight < g.opts.Slots && g.queued == 0 {
		return 0
	}
	higherPriorityShare := g.workShareAbove(p)
	serviceTime := float64(g.estimatedServiceTime(now)) * g.slowness.factor(now)
	wait := float64(ahead+1) * serviceTime / float64(g.opts.Slots)
	return time.Duration(wait / (1 - min(higherPriorityShare, maxHigherPriorityShare)))
}

// inFlightAgeFactor multiplies the mean age of the calls in flight to estimate
// their service time: a call in flight is half-way through on average, and long
// calls are more often in flight than short ones.
const inFlightAgeFactor = 1.3

// estimatedServiceTime estimates the service time on the machine as usual from the
// completed calls and from the age of those in flight, so that a target that
// becomes slow is detected before its calls end. g.mu must be held.
func (g *Gate) estimatedServiceTime(now time.Time) time.Duration {
	mean := g.classTimes.all.duration()
	if n := g.unanswered(); n > 0 && g.expectedSum <= 0 {
		return max(mean, time.Duration(inFlightAgeFactor*float64(g.ageSum(now))/float64(n)))
	}
	return time.Duration(float64(mean) * g.overrun(now))
}

// ageSum returns the sum of the ages of the calls in flight whose response has not
// begun. g.mu must be held.
func (g *Gate) ageSum(now time.Time) time.Duration {
	return time.Duration(g.unanswered())*now.Sub(g.epoch) - g.startTimeSum
}

// overrun returns by what factor, at least 1, the calls in flight exceed the
// service times expected of them, beyond the slowness that the target states. It
// compares each call with its own class, because the calls in flight are mostly of
// the long ones. g.mu must be held.
func (g *Gate) overrun(now time.Time) float64 {
	if g.expectedSum <= 0 {
		return 1
	}
	usual := float64(g.classTimes.all.duration()) // one more call as usual: a single long one proves little
	ratio := (inFlightAgeFactor*float64(g.ageSum(now)) + usual) / (float64(g.expectedSum) + usual)
	return max(ratio/g.slowness.factor(now), 1)
}

// expireLate removes the queued calls that are expected to miss their target
// latency from their queues, and requeues or refuses them. g.mu must be held.
func (g *Gate) expireLate(now time.Time) {
	for i := range g.queues {
		q := &g.queues[i]
		for q.len() > 0 {
			w := q.waiters[0]
			if w.targetTime.IsZero() || lateness.Probability(g.classTime(w.class, now), w.targetTime.Sub(now)) <= maxMissProbability {
				break
			}
			g.requeueOrRefuse(q.popFirst(), now)
		}
	}
}

// Report is the state of a gate as it is sent to other nodes.
type Report struct {
	// CallsAhead is, by priority, the number of calls ahead of a new call: those in
	// flight, and those queued with its priority or a higher one.
	CallsAhead  [Priorities]int
	ServiceTime time.Duration // expected service time of all calls on the machine as usual
	Slowness    float64       // how long work takes there now, relative to that; at least 1
	// RefusedShare is, by priority, the share 0..1 of the new work of that
	// priority and the higher ones that the gate has refused lately. A call that
	// was then sent to another target does not count as refused here.
	RefusedShare [Priorities]float64
}

// Priorities is the number of priorities that a gate distinguishes; calls of
// lower priority count with the last one.
const Priorities = numPriorities

// ClassServiceTime returns the expected service time of a class, or 0 before a
// call of it has completed.
func (g *Gate) ClassServiceTime(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.classTimes.byClass[class]; e != nil {
		return time.Duration(float64(e.duration()) * g.overrun(g.opts.Now()))
	}
	return 0
}

// Report returns the current state of the gate.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	r := Report{ServiceTime: g.estimatedServiceTime(now), Slowness: g.slowness.factor(now)}
	for i, n := range g.newWork {
		r.RefusedShare[i] = n.shareAt(now)
	}
	calls := g.inFlight
	for i := range numPriorities {
		calls += g.queues[i].len()
		r.CallsAhead[i] = calls
	}
	return r
}

// ExpectedWait estimates how long a new call of the priority would be queued
// behind all queued calls of the same or a higher priority.
func (g *Gate) ExpectedWait(priority int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := min(max(priority, 0), numPriorities-1)
	return g.waitBehind(g.queuedAhead(p, &waiter{targetTime: farFuture}), p, g.opts.Now())
}

// farFuture is later than any target time.
var farFuture = time.Unix(1<<40, 0)

// classServiceTimes estimates service times by class of calls.
type classServiceTimes struct {
	all     ewma
	byClass map[string]*ewma
}

// maxClasses limits the number of classes with an estimate of their own. All are
// dropped when it is reached: a configuration with more routes than that has few
// kinds of work.
const maxClasses = 256

func (c *classServiceTimes) add(class string, d time.Duration) {
	c.all.add(float64(d))
	if class == "" {
		return
	}
	e := c.byClass[class]
	if e == nil {
		if c.byClass == nil || len(c.byClass) >= maxClasses {
			c.byClass = make(map[string]*ewma)
		}
		e = new(ewma)
		c.byClass[class] = e
	}
	e.add(float64(d))
}

// of returns the expected service time of a class; that of all calls while the
// class is unknown.
func (c *classServiceTimes) of(class string) time.Duration {
	if e := c.byClass[class]; e != nil {
		return e.duration()
	}
	return c.all.duration()
}
