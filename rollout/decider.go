package rollout

import (
	"time"

	"siskingw/store"
)

const (
	// storeRetry is the pause after a failed call to the store. It doubles with each
	// failure up to maxStoreRetry: refused calls are paid for as well.
	storeRetry    = 300 * time.Millisecond
	maxStoreRetry = 1200 * time.Millisecond
	// standbyDelay is how long each further decider leaves a write to those before
	// it. The compare-and-swap makes two writes harmless, but each call is paid for.
	standbyDelay = 700 * time.Millisecond
	// maxGap is the time without a step after which a decider reads the status
	// again: another one has decided meanwhile.
	maxGap = 2 * time.Second
	// learnTime is how long a decider that takes over an order leaves it undecided: the
	// nodes that know a later phase state it within a second. It is also the time for
	// which the old targets must be unknown to count as gone.
	learnTime = 3 * time.Second
)

// Facts is what a decider learns from its node for one step.
type Facts struct {
	Known    Directive // directive in force
	HasKnown bool
	Survey   Survey
	BaseIdle bool
	Verdict  Verdict // on the order's version
	InForce  string  // version in force if no directive states it
	Index    int     // number of deciders before this one
}

// Actions is what the node does after a step.
type Actions struct {
	Announce *Directive // state it in the note; nil while the decider does not know the status
	Decided  *Input     // input of a new decision, for the log; nil for none
	Read     bool       // read the status and call ReadDone
	Write    *Status    // write the status in place of that at its Position and call WriteDone
	// Kept is the status in the store, once, if it needs no change in a later era.
	Kept *Status
}

// Decider carries out one order on one node. Every node that watches the store has
// one. It is not safe for concurrent use.
type Decider struct {
	order     Order
	first     store.Position // at which the order was read first
	last      store.Position // at which it was read last, at lastAt
	lastAt    time.Time
	replacing bool // first is the position of a later reading, as the order replaces another one
	seen      time.Time
	learnFrom time.Time     // when it saw the order, or the store last began an era
	age       time.Duration // of the order when this decider saw it

	statusKnown bool
	status      *Status        // in the store; nil for none
	statusAt    store.Position // of the last write to the status's key; zero for none
	busy        bool           // a call to the store is under way
	outdated    bool           // the result of that call is of an earlier era
	unconfirmed bool           // the store may not have the status
	recorded    State          // final state that the store has had; 0 for none
	retryAt     time.Time
	retryAfter  time.Duration // pause after the next failed call; 0 for storeRetry

	known     Directive
	stepAt    time.Time // when known became the directive in force
	wanted    State     // state that this decider wants to write
	wantedAt  time.Time
	steppedAt time.Time
	goneSince time.Time // since when no target but the new ones is known; zero if one is
}

// NewDecider returns the decider of an order that its node sees at now. A store with eras
// may have lost the status of a roll-out that others know to be done.
func NewDecider(o Order, now time.Time) *Decider {
	return &Decider{order: o, first: o.Position, last: o.Position, lastAt: now, seen: now, learnFrom: now, unconfirmed: o.Position.Era() != 0}
}

// Order returns the order.
func (d *Decider) Order() Order { return d.order }

// Repeat records that the order was read again at a position of a later era of the store.
func (d *Decider) Repeat(at store.Position, now time.Time) { d.last, d.lastAt = at, now }

// Recheck records that a later era of the store has begun: it may have lost the status.
// After delay the decider reads the status, and writes it again if it needs to. The delay
// must be long enough for what other nodes know about the order to arrive.
func (d *Decider) Recheck(now time.Time, delay time.Duration) {
	d.learnFrom = now
	d.statusKnown, d.unconfirmed, d.outdated = false, true, d.busy
	if next := now.Add(delay); next.After(d.retryAt) {
		d.retryAt = next
	}
}

// identify sets the position that identifies the order: that of the roll-out which it
// continues, if a directive or the status in the store is of an earlier era.
func (d *Decider) identify(f Facts, now time.Time) {
	o := d.order
	o.Position = d.first
	if f.HasKnown && d.replaces(f.Known.Target, f.Known.Order, now) ||
		d.status != nil && d.replaces(d.status.Version, d.status.Order, now) {
		d.first, d.replacing = d.last, true
		o.Position = d.last
	}
	switch {
	case f.HasKnown && o.continues(f.Known.Target, f.Known.Order):
		o.Position = f.Known.Order
	case d.status != nil && !d.replacing && o.continues(d.status.Version, d.status.Order):
		o.Position = d.status.Order
	}
	d.order = o
}

// replaces reports whether the order replaces one for another version at a later position
// than its own: it was read after that. In a later era it may come from the copy; the
// operator has written a later one again by the end of learnTime.
func (d *Decider) replaces(version string, at store.Position, now time.Time) bool {
	return version != d.order.Version && at.After(d.first) && d.last.After(at) &&
		(!d.last.InLaterEra(at) || now.Sub(d.lastAt) >= learnTime)
}

// Step decides. The node calls it regularly while it watches the store.
func (d *Decider) Step(f Facts, now time.Time) Actions {
	if now.Sub(d.steppedAt) > maxGap && !d.busy {
		d.statusKnown = false
	}
	if !f.Survey.onlyNew() {
		d.goneSince = time.Time{}
	} else if d.goneSince.IsZero() || now.Sub(d.steppedAt) > maxGap {
		d.goneSince = now
	}
	d.steppedAt = now
	d.identify(f, now)
	if d.busy || now.Before(d.retryAt) {
		return Actions{}
	}
	if f.HasKnown && f.Known.Order.Same(d.order.Position) && f.Known.Phase == Done && !d.unconfirmed {
		return Actions{Announce: &f.Known} // the store has it
	}
	if !d.statusKnown {
		d.busy = true
		return Actions{Read: true}
	}
	in := d.input(f, now)
	out := Decide(in)
	var a Actions
	if out.Announce {
		a.Announce = &out.Directive
		if !in.HasKnown || out.Directive.Supersedes(in.Known) {
			a.Decided = &in
			// Otherwise the next tick, which sees the directive in force, would
			// start the time of this step.
			d.known, d.stepAt = out.Directive, now
		}
	}
	if out.Write == nil && d.unconfirmed {
		d.unconfirmed, a.Kept = false, d.status
	}
	if d.isTurn(out.Write, f.Index, now) {
		d.busy = true
		a.Write = out.Write
		a.Write.Position = d.statusAt
	}
	return a
}

// input returns the input of the decision.
func (d *Decider) input(f Facts, now time.Time) Input {
	if f.Known != d.known {
		d.known, d.stepAt = f.Known, now
	}
	return Input{
		Order: d.order, Read: d.last, Stored: d.status, Known: f.Known, HasKnown: f.HasKnown, Elapsed: now.Sub(d.seen) + d.age,
		SinceStep: now.Sub(d.stepAt), Survey: f.Survey, BaseIdle: f.BaseIdle, Verdict: f.Verdict, InForce: f.InForce, Now: now,
		Recorded: d.recorded, Learning: (d.age > 0 || d.order.Uncertain) && now.Sub(d.learnFrom) < learnTime,
		OldGone: !d.goneSince.IsZero() && now.Sub(d.goneSince) >= learnTime,
	}
}

// isTurn reports whether this decider writes the status now: the deciders before it
// have had the time to.
func (d *Decider) isTurn(w *Status, index int, now time.Time) bool {
	if w == nil {
		d.wanted = 0
		return false
	}
	if d.wanted != w.State {
		d.wanted, d.wantedAt = w.State, now
	}
	return now.Sub(d.wantedAt) >= time.Duration(index)*standbyDelay
}

// ReadDone records the result of a read: the status, nil for none, the position of the
// last write to its key, zero for none, and whether the read succeeded.
func (d *Decider) ReadDone(s *Status, at store.Position, ok bool, now time.Time) {
	d.busy = false
	if d.outdated {
		d.outdated = false
		return
	}
	if !ok {
		d.postpone(now)
		return
	}
	d.retryAfter = 0
	d.statusKnown, d.status, d.statusAt = true, s, at
	if s != nil && (s.Order.Same(d.order.Position) || s.Order.Same(d.last) || d.order.continues(s.Version, s.Order)) {
		d.record(s.State)
		// By the clocks of two instances, so it is only a hint.
		d.age = min(max(d.seen.Sub(s.Started), 0), d.order.Duration)
	}
}

// WriteResult is the result of a write of the status.
type WriteResult uint8

// The results of a write.
const (
	Written  WriteResult = iota
	Replaced             // another node has written the status
	Unknown              // the write failed, may have taken effect, or may do so later
)

// WriteDone records the result of a write and its position. After
// anything but Written, the status is read again before the next decision.
func (d *Decider) WriteDone(w Status, at store.Position, result WriteResult, now time.Time) {
	d.busy = false
	if d.outdated {
		d.outdated = false
		if result == Written {
			d.record(w.State)
		}
		return
	}
	switch result {
	case Written:
		d.record(w.State)
		d.unconfirmed = false
		w.Position = at
		d.status, d.statusAt = &w, at
		return
	case Unknown:
		d.postpone(now)
	}
	d.statusKnown = false
}

// record keeps a final state that the store has. The first one stands.
func (d *Decider) record(s State) {
	if d.recorded == 0 && s != Running {
		d.recorded = s
	}
}

// postpone delays the next call to the store after a failed one.
func (d *Decider) postpone(now time.Time) {
	d.retryAfter = max(d.retryAfter, storeRetry)
	d.retryAt = now.Add(d.retryAfter)
	d.retryAfter = min(2*d.retryAfter, maxStoreRetry)
}
