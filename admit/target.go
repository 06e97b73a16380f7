package admit

import (
	"context"
	"time"

	"siskingw/faults"
	"siskingw/lateness"
)

// Work is a call whose route states a target latency: the time within which an
// answer has its full value.
type Work struct {
	Class    string    // calls of one class take about as long; usually the route
	Priority int       // 0 is the most important
	Target   time.Time // when an answer begins to lose value
	// Late states that the call is wanted although it will probably miss its
	// target. It runs when nothing that can be in time waits.
	Late bool
}

const (
	// maxLateShare is the share of calls that may miss their target: a call
	// that is more likely to miss it is refused, so that its caller finds a
	// better place or knows at once. Queues that make more calls late do not
	// let the target finish more of them.
	maxLateShare = 0.08
	// keepBusy is the part of the slots for which calls may wait in any case,
	// unless they are hopeless: a slow target would otherwise stand idle
	// between the calls that it is offered.
	keepBusy = 0.25
	// hopelessShare is the probability of missing the target from which a
	// waiting call is refused.
	hopelessShare = 0.5
)

var (
	errLate     = faults.NotRun.New("call would miss its target latency")
	errNoChance = faults.NotRun.New("late call has no chance while others wait")
)

// Admit admits a call like Enter, by its chance to be in time. It returns a
// NotRun error when the call is refused or ctx ends first. The caller must call
// Leave on the ticket.
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

// waitInTime waits for the answer for w until it is hopeless. done is false when
// w then waits on as late work.
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

// miss takes a call that will hardly meet its target any more and is in no
// queue. While the gate has refused nothing lately, slots become free soon and
// the call waits on as late work; otherwise it is refused, because others that
// can be in time take the slots. The gate is locked.
func (g *Gate) miss(w *waiter, now time.Time) {
	if w.late || !g.calm(now) {
		g.refuse(w, errLate)
		return
	}
	w.late = true
	g.queueOf(w).insert(w)
}

// calmAfter is the time without refusals after which an overload counts as over.
// The queue alone does not show it: refusals keep the queue short.
const calmAfter = 2 * overloadInterval

// calm reports whether no work was refused lately because it would be late.
func (g *Gate) calm(now time.Time) bool { return now.Sub(g.refusedAt) >= calmAfter }

// Check returns the reason for which the gate would refuse a call whose body
// arrives after the given time, or nil.
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
// with Enter, a call is never refused for expected times while a slot is free.
// The gate is locked.
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
		return nil // a late answer is better than none while slots become free
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

// ahead returns the number of queued calls that are served before a new one of
// priority p with the target time. The gate is locked.
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

// maxOvertaken bounds the part of the slots that more important calls are
// expected to take while a call waits.
const maxOvertaken = 0.75

// waitBehind estimates how long a new call of priority p waits for a slot behind
// the calls ahead, and behind the more important ones that arrive meanwhile. The
// gate is locked.
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

// ageFactor turns the mean age of the calls in flight into an estimate of their
// service time: a call is seen half-way through on average, longer ones more
// often than short ones.
const ageFactor = 1.3

// service estimates the service time from the calls that ended and, so that a
// target that has become slow is seen before its calls end, from the age of
// those in flight. The gate is locked.
func (g *Gate) service(now time.Time) time.Duration {
	mean := g.classTime.all.duration()
	if g.inFlight == 0 {
		return mean
	}
	age := now.Sub(g.epoch) - g.startSum/time.Duration(g.inFlight)
	return max(mean, time.Duration(ageFactor*float64(age)))
}

// expireTargets takes the waiting calls that will hardly meet their target any
// more out of their queues. The gate is locked.
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

// Report is the state of a gate as other nodes use it.
type Report struct {
	// Calls is the number of calls that a new call of each priority finds before
	// it: in flight, and queued with its priority or a higher one.
	Calls   [Priorities]int
	Service time.Duration // expected service time
}

// Priorities is the number of priorities that the gate tells apart; less
// important work counts with the last.
const Priorities = kinds

// ServiceOf returns the expected service time of a class, or 0 before the gate
// has seen a call of it.
func (g *Gate) ServiceOf(class string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.classTime.byClass[class]; e != nil {
		return e.duration()
	}
	return 0
}

// Report returns the state of the gate.
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

// ExpectedWait estimates how long a new call of the priority would wait.
func (g *Gate) ExpectedWait(priority int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := min(max(priority, 0), kinds-1)
	return g.waitBehind(g.ahead(p, farFuture), p, g.opts.Now())
}

// farFuture is after every target time.
var farFuture = time.Unix(1<<40, 0)

// classes estimates service times by class.
type classes struct {
	all     ewma
	byClass map[string]*ewma
}

// maxClasses bounds the classes with an estimate of their own; a configuration
// with more routes than that has few classes of work.
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

// of returns the expected service time of a class.
func (c *classes) of(class string) time.Duration {
	if e := c.byClass[class]; e != nil {
		return e.duration()
	}
	return c.all.duration()
}
