package rollout

import (
	"fmt"
	"time"

	"siskingw/store"
)

// The time of a roll-out is divided by these shares of the order's duration, 0 to
// 1. A version may become bad only after some seconds or under load, so it is
// watched for half of the time. The traffic then needs time to move, and the calls
// at the old targets need time to end.
const (
	latestBase    = 0.1
	earliestGood  = 0.5
	latestVerdict = 0.65
	latestDone    = 0.92
	latestEnd     = 0.96
)

const (
	// moveStep is the growth of the new version's share, in percent of the calls,
	// and moveInterval the time between two steps: the nodes learn of a step within
	// 0.3 s, and the targets' load follows within a second. In a short roll-out the
	// interval is its duration divided by moveSteps.
	moveStep     = 25
	moveInterval = 600 * time.Millisecond
	moveSteps    = 20
	// stepTolerance is how much earlier than moveInterval a step may come. A node
	// decides at ticks that jitter; a step that is just not due would be taken a
	// whole tick late.
	stepTolerance = 50 * time.Millisecond
	// minMoveAnswers is the number of answers without a sign of a fault from which a
	// version is accepted although the test has not decided.
	minMoveAnswers = 20
	// spareSlots is the share of the old version's slots, 0 to 1, that the new one
	// must have to take all calls.
	spareSlots = 0.8
)

// Input is what the decider knows.
type Input struct {
	Order     Order
	Read      store.Position // at which the order was read last; zero if that identifies it
	Stored    *Status        // status in the store, nil if there is none
	Known     Directive
	HasKnown  bool
	Elapsed   time.Duration // since the order
	SinceStep time.Duration // since the directive in force was made
	Survey    Survey
	BaseIdle  bool // all targets of the old version have no calls
	Verdict   Verdict
	InForce   string // version in force if no directive states it
	// Recorded is the final state that the decider knows the store to have had, also if
	// the store has lost it since; 0 for none.
	Recorded State
	// Learning is set while a decider that took over an order may not yet have learned
	// what is known about it, or about a later one.
	Learning bool
	// OldGone is set once only targets of the new version have been known for some time.
	OldGone bool
	Now     time.Time
}

// Decision is what the decider does next.
type Decision struct {
	Directive Directive
	Write     *Status // status to be written, nil for none; the decider sets its Position
	// Announce reports whether the directive may be announced before Write has been
	// stored. Done must not be: the old targets end at once when the store has it.
	Announce bool
}

// Decide returns the next step of a roll-out. It depends only on its input, so that
// every node that watches the store can decide; the compare-and-swap of the status
// settles which of several takes effect.
func Decide(in Input) Decision {
	if in.obsolete() {
		return Decision{Directive: in.Known, Announce: in.HasKnown}
	}
	if in.Learning && in.HasKnown && !in.knowsOrder() && in.Order.Position.InLaterEra(in.Known.Order) {
		return Decision{Directive: in.Known} // the order may be one that the known one has replaced
	}
	if s, ok := in.finalStatus(); ok {
		out := Decision{Directive: in.final(s), Announce: true}
		if !in.hasStatus() || in.Stored.State != s.State {
			out.Write = &s
		}
		return out
	}
	d := in.next()
	if d.Base == "" && !in.at(latestBase) {
		return Decision{Directive: d} // no target of another version has stated it yet
	}
	out := Decision{Directive: d, Announce: d.Phase != Done}
	state := stateOf(d.Phase)
	if !in.hasStatus() || in.Stored.State != state {
		out.Write = in.status(d, state)
	}
	return out
}

// finalStatus returns the final status of the order, if it has one. A state that has been
// announced stands, whatever the store holds after it came back from an older copy: Done
// is announced only when the store has it.
func (in Input) finalStatus() (Status, bool) {
	state := in.Recorded
	stored := in.hasStatus()
	switch {
	case in.knowsOrder() && in.Known.Phase == Done:
		state = Completed
	case stored && state == 0 && in.Stored.State != Running:
		state = in.Stored.State
	}
	switch {
	case state == 0:
		return Status{}, false
	case stored && in.Stored.State == state:
		return *in.Stored, true
	}
	d := in.next()
	return *in.status(d, state), true
}

// obsolete reports whether a later order has replaced the order.
func (in Input) obsolete() bool {
	return in.HasKnown && !in.knowsOrder() && in.Known.Order.After(in.Order.Position) ||
		in.Stored != nil && !in.hasStatus() && in.Stored.Order.After(in.Order.Position)
}

// knowsOrder reports whether the known directive is of the order.
func (in Input) knowsOrder() bool {
	return in.HasKnown && in.isOrder(in.Known.Target, in.Known.Order, in.Known.Distinct)
}

// hasStatus reports whether the stored status is of the order.
func (in Input) hasStatus() bool {
	return in.Stored != nil && in.isOrder(in.Stored.Version, in.Stored.Order, false)
}

// isOrder reports whether a version and a position are of the order. Another node may
// have read it first in a later era than this one.
func (in Input) isOrder(version string, at store.Position, distinct bool) bool {
	return at.Same(in.Order.Position) || !in.Read.IsZero() && at.Same(in.Read) ||
		!distinct && version == in.Order.Version && at.InLaterEra(in.Order.Position) && in.Read.After(at)
}

func stateOf(p Phase) State {
	switch p {
	case Reverted:
		return RolledBack
	case Done:
		return Completed
	}
	return Running
}

// final returns the directive for a status that is final.
func (in Input) final(s Status) Directive {
	d := Directive{Service: s.Service, Order: in.Order.Position, Target: s.Version, Base: s.Base, Phase: Reverted, Reason: s.Reason, Distinct: in.Order.Distinct}
	if s.State == Completed {
		d.Phase = Done
	}
	return d
}

// status returns the status to be written for a directive.
func (in Input) status(d Directive, state State) *Status {
	s := &Status{Service: d.Service, Version: d.Target, State: state, Order: d.Order, Base: d.Base,
		Reason: d.Reason, Started: in.Now.Add(-in.Elapsed)}
	if in.hasStatus() {
		s.Started = in.Stored.Started
	}
	return s
}

// begin returns the first directive of the order. The version in force is the base,
// unless a roll-out to another version has just begun: that version is unproven.
func (in Input) begin() Directive {
	d := Directive{Service: in.Order.Service, Order: in.Order.Position, Target: in.Order.Version, Phase: Canary, Base: in.InForce,
		Distinct: in.Order.Distinct}
	s := in.Stored
	switch {
	case in.HasKnown && in.Known.Phase == Done:
		d.Base = in.Known.Target
	case in.HasKnown:
		d.Base = in.Known.Base
	case in.hasStatus():
		d.Base = s.Base
	case s != nil && s.State == Completed:
		d.Base = s.Version
	case s != nil && s.Base != "":
		d.Base = s.Base
	}
	return d
}

// next returns the directive that follows.
func (in Input) next() Directive {
	d := in.Known
	if !in.knowsOrder() {
		return in.begin()
	}
	d.Order, d.Distinct = in.Order.Position, in.Order.Distinct
	switch d.Phase {
	case Canary:
		return in.nextOfCanary(d)
	case Moving:
		return in.nextOfMoving(d)
	}
	return d
}

// at reports whether the share of the order's duration has passed.
func (in Input) at(share float64) bool {
	return in.Elapsed >= time.Duration(share*float64(in.Order.Duration))
}

func (in Input) nextOfCanary(d Directive) Directive {
	v := in.Verdict
	switch {
	case d.Target == d.Base:
		return moving(d, 100, "the version is in force already")
	case v.Outcome == Bad:
		return reverted(d, "bad on route "+v.Worst.String())
	case v.Outcome == Good && in.at(earliestGood):
		return moving(d, moveStep, fmt.Sprintf("%d answers, %d bad", v.Answers, v.Bad))
	case !in.at(latestVerdict):
		return d
	case in.Learning:
		return d
	case in.Survey.New == 0:
		return reverted(d, "no target has the version")
	case in.Survey.onlyNew():
		if !in.OldGone {
			return d // they may only be restarting
		}
		return moving(d, 100, "no target of another version is left")
	case v.Answers >= minMoveAnswers && v.Worst.Ratio <= 0:
		return moving(d, moveStep, fmt.Sprintf("little traffic: %d answers, %d bad", v.Answers, v.Bad))
	}
	return reverted(d, fmt.Sprintf("not decided: %d answers, %d bad, worst %s", v.Answers, v.Bad, v.Worst))
}

func (in Input) nextOfMoving(d Directive) Directive {
	v := in.Verdict
	switch {
	case v.Outcome == Bad:
		return reverted(d, "bad on route "+v.Worst.String())
	case in.Survey.New == 0:
		return reverted(d, "no target has the version any more")
	case d.SharePercent < 100:
		if in.at(latestEnd) {
			return reverted(d, "the new targets have too few slots")
		}
		if in.SinceStep+stepTolerance < min(moveInterval, in.Order.Duration/moveSteps) || float64(in.Survey.NewSlots) < in.slotsFor(d.SharePercent+moveStep) {
			return d
		}
		return moving(d, d.SharePercent+moveStep, d.Reason)
	case in.BaseIdle || in.at(latestDone):
		d.Phase = Done
	}
	return d
}

// slotsFor returns the slots that the new targets need for a share of the calls.
func (in Input) slotsFor(percent int) float64 {
	return spareSlots * float64(in.Survey.BaseSlots) * float64(percent) / 100
}

func moving(d Directive, percent int, reason string) Directive {
	d.Phase, d.SharePercent, d.Reason = Moving, min(percent, 100), reason
	return d
}

func reverted(d Directive, reason string) Directive {
	d.Phase, d.SharePercent, d.Reason = Reverted, 0, reason
	return d
}

// String describes the verdict for operators.
func (v RouteVerdict) String() string {
	return fmt.Sprintf("%08x: %d of %d answers bad, %d failed, ratio %.1f, old version %.0f%% of %d",
		v.Route, v.BadAnswers, v.Answers, v.Failed, v.Ratio, 100*v.ControlShare, v.Control)
}
