package rollout

import "time"

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
	Write    *Status    // write the status in place of that of its Revision and call WriteDone
}

// Decider carries out one order on one node. Every node that watches the store has
// one. It is not safe for concurrent use.
type Decider struct {
	order Order
	seen  time.Time
	age   time.Duration // of the order when this decider saw it

	statusKnown bool
	status      *Status // in the store; nil for none
	revision    int64   // of the status's key; 0 for none
	busy        bool    // a call to the store is under way
	retryAt     time.Time
	retryAfter  time.Duration // pause after the next failed call; 0 for storeRetry

	known     Directive
	stepAt    time.Time // when known became the directive in force
	wanted    State     // state that this decider wants to write
	wantedAt  time.Time
	steppedAt time.Time
}

// NewDecider returns the decider of an order that its node sees at now.
func NewDecider(o Order, now time.Time) *Decider { return &Decider{order: o, seen: now} }

// Order returns the order.
func (d *Decider) Order() Order { return d.order }

// Step decides. The node calls it regularly while it watches the store.
func (d *Decider) Step(f Facts, now time.Time) Actions {
	if now.Sub(d.steppedAt) > maxGap && !d.busy {
		d.statusKnown = false
	}
	d.steppedAt = now
	if d.busy || now.Before(d.retryAt) {
		return Actions{}
	}
	if f.HasKnown && f.Known.Revision == d.order.Revision && f.Known.Phase == Done {
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
	if d.isTurn(out.Write, f.Index, now) {
		d.busy = true
		a.Write = out.Write
		a.Write.Revision = d.revision
	}
	return a
}

// input returns the input of the decision.
func (d *Decider) input(f Facts, now time.Time) Input {
	if f.Known != d.known {
		d.known, d.stepAt = f.Known, now
	}
	return Input{
		Order: d.order, Stored: d.status, Known: f.Known, HasKnown: f.HasKnown, Elapsed: now.Sub(d.seen) + d.age,
		SinceStep: now.Sub(d.stepAt), Survey: f.Survey, BaseIdle: f.BaseIdle, Verdict: f.Verdict, InForce: f.InForce, Now: now,
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

// ReadDone records the result of a read: the status, nil for none, the store
// revision of its key, 0 for none, and whether the read succeeded.
func (d *Decider) ReadDone(s *Status, revision int64, ok bool, now time.Time) {
	d.busy = false
	if !ok {
		d.postpone(now)
		return
	}
	d.retryAfter = 0
	d.statusKnown, d.status, d.revision = true, s, revision
	if s != nil && s.Order == d.order.Revision {
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

// WriteDone records the result of a write and the new store revision. After
// anything but Written, the status is read again before the next decision.
func (d *Decider) WriteDone(w Status, revision int64, result WriteResult, now time.Time) {
	d.busy = false
	switch result {
	case Written:
		w.Revision = revision
		d.status, d.revision = &w, revision
		return
	case Unknown:
		d.postpone(now)
	}
	d.statusKnown = false
}

// postpone delays the next call to the store after a failed one.
func (d *Decider) postpone(now time.Time) {
	d.retryAfter = max(d.retryAfter, storeRetry)
	d.retryAt = now.Add(d.retryAfter)
	d.retryAfter = min(2*d.retryAfter, maxStoreRetry)
}
