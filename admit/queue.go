package admit

import (
	"context"
	"slices"
	"time"

	"siskingw/object"
)

// numPriorities is the number of priorities; 0 is the highest.
const numPriorities = 3

// priority maps a kind of work to its priority; unknown kinds get the lowest,
// like pages.
func priority(kind object.WorkKind) int {
	switch kind {
	case object.WorkBid:
		return 0
	case object.WorkUpload:
		return 1
	}
	return numPriorities - 1
}

// waiter is one queued call. The gate's mutex guards all fields but done.
type waiter struct {
	priority     int
	queuedAt     time.Time
	deadline     time.Time     // zero for none
	targetTime   time.Time     // when its target latency is over; zero for none
	class        string        // see Work.Class
	late         bool          // the call is in one of the late queues
	nested       bool          // see Work.Nested
	elsewhere    bool          // see Work.Elsewhere
	organisation string        // see Work.Organisation
	weight       float64       // see Work.Weight
	overShare    bool          // the organisation had used more than its share when the call was queued
	ticket       *Ticket       // set when the call is admitted
	err          error         // set when the call is refused
	done         chan struct{} // closed after ticket or err is set
}

// queue holds the waiters of one priority in the order kept by insert.
type queue struct{ waiters []*waiter }

func (q *queue) len() int { return len(q.waiters) }

// popFirst removes and returns the first waiter; nil when the queue is empty.
func (q *queue) popFirst() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[0]
	q.waiters = slices.Delete(q.waiters, 0, 1)
	return w
}

// popLast removes and returns the last waiter; nil when the queue is empty.
func (q *queue) popLast() *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	w := q.waiters[len(q.waiters)-1]
	q.waiters = slices.Delete(q.waiters, len(q.waiters)-1, len(q.waiters))
	return w
}

// remove removes w and reports whether it was in the queue.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// makeRoom reports whether a new call of priority p can be queued. When the
// queues are full, it displaces a queued call of lower priority; if there is
// none, it counts the new call as refused. g.mu must be held.
func (g *Gate) makeRoom(p int, call *waiter) bool {
	if g.queued < g.opts.QueueLength || g.displace(p, call.late) || g.displaceOverShare(p, call) {
		return true
	}
	g.stats.ByPriority[p].Refused++
	return false
}

// enqueue adds a waiter to its queue. g.mu must be held.
func (g *Gate) enqueue(w *waiter) {
	if g.queued == 0 {
		g.queuedSince = w.queuedAt
	}
	g.queueOf(w).insert(w)
	g.queued++
}

// insert adds a waiter and keeps the queue ordered: calls with a target latency
// by target time (earliest deadline first), other calls by arrival.
func (q *queue) insert(w *waiter) {
	i := len(q.waiters)
	for ; i > 0 && w.before(q.waiters[i-1]); i-- {
	}
	q.waiters = slices.Insert(q.waiters, i, w)
}

// before reports whether w must precede o: w is nested and o is not, or the organisation
// of o alone has used more than its share, or both have a target latency, and that
// of w is over earlier.
func (w *waiter) before(o *waiter) bool {
	if w.nested != o.nested {
		return w.nested
	}
	if w.overShare != o.overShare {
		return o.overShare
	}
	return !w.targetTime.IsZero() && !o.targetTime.IsZero() && w.targetTime.Before(o.targetTime)
}

// displace refuses one queued call to make room for a new one of priority p and
// reports whether it found one: the newest late call, else the newest call of
// the lowest priority below p. A late call displaces nothing. g.mu must be held.
func (g *Gate) displace(p int, late bool) bool {
	for i := numPriorities - 1; i >= 0 && !late; i-- {
		if w := g.lateQueues[i].popLast(); w != nil {
			g.refuse(w, errDisplaced)
			return true
		}
	}
	for i := numPriorities - 1; i > p && !late; i-- {
		if victim := g.queues[i].popLast(); victim != nil {
			g.refuse(victim, errDisplaced)
			return true
		}
	}
	return false
}

// displaceOverShare refuses the newest queued call of priority p whose organisation has
// used more than its share, to make room for a call of another organisation. g.mu must be
// held.
func (g *Gate) displaceOverShare(p int, call *waiter) bool {
	n := g.queues[p].len()
	if call.late || call.overShare || n == 0 || !g.queues[p].waiters[n-1].overShare {
		return false
	}
	g.refuse(g.queues[p].popLast(), errDisplaced)
	return true
}

// wait blocks until w is admitted or refused, and refuses it itself after maxWait
// or when ctx ends. It returns exactly one of a ticket and an error.
func (g *Gate) wait(ctx context.Context, w *waiter, maxWait time.Duration) (*Ticket, error) {
	if !w.deadline.IsZero() {
		maxWait = min(maxWait, w.deadline.Sub(w.queuedAt)) // ctx may have a deadline but never end at it
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	var reason error
	select {
	case <-w.done:
		return w.ticket, w.err
	case <-timer.C:
		reason = errQueueTimeout
	case <-ctx.Done():
		reason = errCallerGone
	}
	g.mu.Lock()
	if g.queueOf(w).remove(w) {
		g.refuse(w, reason)
		g.publish()
	}
	g.mu.Unlock()
	return w.ticket, w.err
}

// queueOf returns the queue of a waiter by its priority and lateness.
func (g *Gate) queueOf(w *waiter) *queue {
	if w.late {
		return &g.lateQueues[w.priority]
	}
	return &g.queues[w.priority]
}

// refuse fails a waiter that was removed from its queue. g.mu must be held.
func (g *Gate) refuse(w *waiter, reason error) {
	w.err = reason
	g.stats.ByPriority[w.priority].Refused++
	if !w.nested && !w.elsewhere {
		g.countNew(w.priority, true, g.opts.Now())
	}
	g.wake(w)
}

// refuseBelow refuses the queued calls of a lower priority than p. g.mu must be
// held.
func (g *Gate) refuseBelow(p int) {
	for i := p + 1; i < numPriorities; i++ {
		for w := g.queues[i].popLast(); w != nil; w = g.queues[i].popLast() {
			g.refuse(w, errQueueTooLong)
		}
	}
	g.publish()
}

// wake wakes a waiter that was removed from its queue and whose ticket or err
// is set. g.mu must be held.
func (g *Gate) wake(w *waiter) {
	g.queued--
	if g.queued == 0 {
		g.queuedSince = time.Time{}
	}
	close(w.done)
}

// dispatch fills free slots from the queues in order of priority. g.mu must be
// held.
func (g *Gate) dispatch(now time.Time) {
	g.expire(now)
	for g.inFlight < g.opts.Slots && g.queued > 0 {
		w := g.nextWaiter(now)
		if w == nil {
			return
		}
		w.ticket = g.admit(w.priority, w.class, now, w.deadline)
		if !w.nested {
			g.countNew(w.priority, false, now)
		}
		g.organisations.add(w.organisation, w.weight, w.ticket.expected, now)
		g.wake(w)
	}
}

// expire refuses queued calls without a target latency that have waited longer
// than allowed, and requeues or refuses those that are expected to miss theirs.
// Without it, calls behind work of higher priority would be refused only after
// the queue timeout. g.mu must be held.
func (g *Gate) expire(now time.Time) {
	allowed := g.allowedWait(now)
	for i := range g.queues {
		q := &g.queues[i]
		for q.len() > 0 && q.waiters[0].targetTime.IsZero() && now.Sub(q.waiters[0].queuedAt) > allowed {
			g.refuse(q.popFirst(), errQueueTimeout)
		}
	}
	g.expireLate(now)
}

// nextWaiter removes and returns the waiter to admit, and refuses those before it
// that can no longer be answered before their deadline. It returns nil when the
// queues are empty. g.mu must be held.
func (g *Gate) nextWaiter(now time.Time) *waiter {
	for _, q := range g.queuesInOrder() {
		for q.len() > 0 {
			w := g.popNext(q, now)
			if w.deadline.IsZero() || !g.missesDeadline(w, now) {
				return w
			}
			g.refuse(w, errDeadline)
		}
	}
	return nil
}

// popNext removes and returns the next waiter of a non-empty queue according to
// the queueing discipline.
func (g *Gate) popNext(q *queue, now time.Time) *waiter {
	if g.opts.Discipline == LIFO && g.overloaded(now) && q.waiters[0].targetTime.IsZero() {
		return q.popLast()
	}
	return q.popFirst()
}

// allowedWait returns how long a call admitted at now may have been queued.
func (g *Gate) allowedWait(now time.Time) time.Duration {
	if g.opts.Discipline == CoDel && g.overloaded(now) {
		return g.opts.QueueTimeout / codelWaitDivisor
	}
	return g.opts.QueueTimeout
}

// overloaded reports whether the queue has been non-empty for longer than
// overloadInterval.
func (g *Gate) overloaded(now time.Time) bool {
	return !g.queuedSince.IsZero() && now.Sub(g.queuedSince) > overloadInterval
}
