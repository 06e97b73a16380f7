package admit

import (
	"context"
	"time"

	"siskingw/faults"
	"siskingw/lateness"
)

// Work describes a call whose route has a target latency: the time within which
// an answer has its full value.
type Work struct {
	Class    string    // calls of one class have similar service times; usually the route
	Priority int       // 0 is the highest
	Target   time.Time // when the target latency is over and an answer begins to lose value
	// Late marks a call that is wanted although it is expected to miss its
	// target latency. It runs only when no call that can meet its own is queued.
	Late bool
}

const (
	// maxLateShare is the highest probability, 0..1, of missing the target
	// latency with which a call is queued under overload. A call above it is
	// refused, so that its caller can try another target or fail at once:
	// longer queues make more calls late without raising the throughput.
	maxLateShare = 0.08
	// keepBusy is the queue length, as a share of the slots, below which
	// maxLateShare does not apply, only hopelessShare. Without a minimum queue
	// a slow target would be idle between the calls that it is offered.
	keepBusy = 0.25
	// hopelessShare is the probability, 0..1, of missing the target latency or
	// the deadline above which a call is not worth queueing.
	hopelessShare = 0.5
)

var (
	errLate     = faults.NotRun.New("call would miss its target latency")
	errNoChance = faults.NotRun.New("late call has no chance while others wait")
)

// Admit admits a call with a target latency, depending on its probability to
// meet it. It waits in the queue while no slot is free, and returns a NotRun
// error when the call is refused or ctx ends first. Leave must be called on the
// returned ticket.
func (g *Gate) Admit(ctx context.Context, work Work) (*Ticket, error) {
	now := g.opts.Now()
	p := min(max(work.Priority, 0), kinds-1)
	g.mu.Lock()
	if err := g.refuseWork(ctx, work, p, now); err != nil {
		g.stats.Kinds[p].Refused++
		g.mu.Unlock()
		return nil, err
	}
	if g.inFlight < g.opts.Slots && g.queued == 0 {
		t := g.admit(p, now)
		t.class = work.Class
		g.mu.Unlock()
		return t, nil
	}
	if !g.makeRoom(p, work.Late) {
		g.mu.Unlock()
		return nil, errQueueFull
	}
	w := &waiter{priority: p, since: now, target: work.Target, class: work.Class, late: work.Late, done: make(chan struct{})}
	w.deadline, _ = ctx.Deadline()
	g.enqueue(w)
	inTime, longest := w.target.Sub(now), w.deadline.Sub(now)-g.classTime.of(w.class)
	late := w.late
	g.publish()
	g.mu.Unlock()
	if !late {
		if t, err, done := g.waitInTime(ctx, w, min(inTime, longest)); done {
			return t, err
		}
		longest -= inTime
	}
	return g.wait(ctx, w, longest)
}

// waitInTime waits until w is admitted or refused, for the longest wait at most.
// done is false when w stays queued after that, as a late call.
func (g *Gate) waitInTime(ctx context.Context, w *waiter, longest time.Duration) (t *Ticket, err error, done bool) {
	timer := time.NewTimer(longest)
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
		g.miss(w, g.opts.Now())
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

// miss handles a call that was removed from its queue because it is expected to
// miss its target latency. Without recent refusals slots become free soon, and
// the call is queued again as a late one; otherwise it is refused, because calls
// that can meet their target latency take the slots. g.mu must be held.
func (g *Gate) miss(w *waiter, now time.Time) {
	if w.late || !g.calm(now) {
		g.refuse(w, errLate)
		return
	}
	w.late = true
	g.queueOf(w).insert(w)
}

// calmAfter is the time without refusals for lateness after which an overload is
// considered over. The queue length does not show its end, because refusals keep
// the queue short.
const calmAfter = 2 * overloadInterval

// calm reports whether no call was refused for lateness during calmAfter.
func (g *Gate) calm(now time.Time) bool { return now.Sub(g.refusedAt) >= calmAfter }

// Check returns the NotRun error with which the gate would refuse a call whose
// body takes the arrival time to transfer, or nil. It takes no slot and leaves
// Stats unchanged.
func (g *Gate) Check(work Work, deadline time.Time, arrival time.Duration) error {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return errDraining
	}
	service := g.classTime.of(work.Class)
	if lateness.Share(arrival+service, deadline.Sub(now)) > hopelessShare {
		return errDeadline
	}
	if !work.Late && lateness.Share(arrival+service, work.Target.Sub(now)) > hopelessShare {
		return errLate
	}
	p := min(max(work.Priority, 0), kinds-1)
	return g.refuseWork(context.Background(), work, p, now)
}

// refuseWork returns the reason to refuse a call before it is queued, or nil. As
// in refuseEarly, no call is refused because of its estimated times while a slot
// is free. g.mu must be held.
func (g *Gate) refuseWork(ctx context.Context, work Work, p int, now time.Time) error {
	switch {
	case g.draining:
		return errDraining
	case ctx.Err() != nil:
		return errCanceled
	case g.inFlight < g.opts.Slots && g.queued == 0:
		return nil
	}
	service := g.classTime.of(work.Class)
	ahead := g.ahead(p, work.Target)
	wait := g.waitBehind(ahead, p, now)
	if deadline, ok := ctx.Deadline(); ok && lateness.Share(wait+service, deadline.Sub(now)) > hopelessShare {
		return errDeadline
	}
	if !g.overloaded(now) && g.calm(now) {
		return nil // without overload a late answer is better than none
	}
	if work.Late {
		return errNoChance
	}
	share := lateness.Share(wait+service, work.Target.Sub(now))
	if share > hopelessShare || share > maxLateShare && float64(ahead) >= keepBusy*float64(g.opts.Slots) {
		g.refusedAt = now
		return errLate
	}
	return nil
}

// ahead returns the number of queued calls that are served before a new call of
// priority p with the given target time. g.mu must be held.
func (g *Gate) ahead(p int, target time.Time) int {
	n := 0
	for i := range p {
		n += g.queues[i].len()
	}
	for _, w := range g.queues[p].waiters {
		if target.Before(w.target) {
			break
		}
		n++
	}
	return n
}

// maxOvertaken limits the share of the slots, 0..1, that calls of higher priority
// are assumed to take while a call waits.
const maxOvertaken = 0.75

// waitBehind estimates how long a new call of priority p waits for a slot: for
// the calls ahead of it, and for those of higher priority that arrive while it
// waits. g.mu must be held.
func (g *Gate) waitBehind(ahead, p int, now time.Time) time.Duration {
	if g.inFlight < g.opts.Slots && g.queued == 0 {
		return 0
	}
	overtaken := 0.0
	for i := range p {
		overtaken += g.admitted[i].value
	}
	wait := float64(ahead+1) * float64(g.service(now)) / float64(g.opts.Slots)
	return time.Duration(wait / (1 - min(overtaken, maxOvertaken)))
}

// ageFactor multiplies the mean age of the calls in flight to estimate their
// service time: a call in flight is half-way through on average, and long calls
// are more often in flight than short ones.
const ageFactor = 1.3

// service estimates the service time from the completed calls and from the age
// of those in flight, so that a target that becomes slow is detected before its
// calls end. g.mu must be held.
func (g *Gate) service(now time.Time) time.Duration {
	mean := g.classTime.all.duration()
	if g.inFlight == 0 {
		return mean
	}
	age := now.Sub(g.epoch) - g.startSum/time.Duration(g.inFlight)
	return max(mean, time.Duration(ageFactor*float64(age)))
}

// expireTargets removes the queued calls that are expected to miss their target
// latency from their queues and passes them to miss. g.mu must be held.
func (g *Gate) expireTargets(now time.Time) {
	for i := range g.queues {
		q := &g.queues[i]
		for q.len() > 0 {
			w := q.waiters[0]
			if w.target.IsZero() || lateness.Share(g.classTime.of(w.class), w.target.Sub(now)) <= hopelessShare {
				break
			}
			g.miss(q.popOldest(), now)
		}
	}
}

// Report is the state of a gate as it is sent to other nodes.
type Report struct {
	// Calls is, by priority, the number of calls ahead of a new call: those in
	// flight, and those queued with its priority or a higher one.
	Calls   [Priorities]int
	Service time.Duration // expected service time of all calls
}

// Priorities is the number of priorities that a gate distinguishes; calls of
// lower priority count with the last one.
const Priorities = kinds

// ServiceOf returns the expected service time of a class, or 0 before a call of
// it has completed.
func (g *Gate) ServiceOf(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.classTime.byClass[class]; e != nil {
		return e.duration()
	}
	return 0
}

// Report returns the current state of the gate.
func (g *Gate) Report() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Report{Service: g.service(g.opts.Now())}
	calls := g.inFlight
	for i := range kinds {
		calls += g.queues[i].len()
		r.Calls[i] = calls
	}
	return r
}

// ExpectedWait estimates how long a new call of the priority would be queued
// behind all queued calls of the same or a higher priority.
func (g *Gate) ExpectedWait(priority int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := min(max(priority, 0), kinds-1)
	return g.waitBehind(g.ahead(p, farFuture), p, g.opts.Now())
}

// farFuture is later than any target time.
var farFuture = time.Unix(1<<40, 0)

// classes estimates service times by class of calls.
type classes struct {
	all     ewma
	byClass map[string]*ewma
}

// maxClasses limits the number of classes with an estimate of their own. All are
// dropped when it is reached: a configuration with more routes than that has few
// kinds of work.
const maxClasses = 256

func (c *classes) add(class string, d time.Duration) {
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
func (c *classes) of(class string) time.Duration {
	if e := c.byClass[class]; e != nil {
		return e.duration()
	}
	return c.all.duration()
}
