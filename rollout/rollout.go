// Package rollout decides about the roll-out of a new version of a service's
// targets: which calls the new version gets, whether it is good, and when its
// state changes. It uses neither network nor clock nor store; package node
// provides these. docs/design/rollout.md describes the whole.
package rollout

import (
	"cmp"
	"time"

	"siskingw/store"
)

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	Service  string
	Version  string        // version that the service moves to
	Duration time.Duration // time from the order within which the roll-out must end
	// Position identifies the order: that of its write to the store, as it was first
	// read. A later order has a later one.
	Position store.Position
	// Distinct is set for an order that is known to differ from all earlier ones for
	// the same version. Any other may be one of an earlier era, read again.
	Distinct bool
	// Uncertain is set if its node cannot tell whether it replaces the orders that others
	// know: the store may have come back from a copy that is older than these.
	Uncertain bool
}

// State is the state of a roll-out as operators read it.
type State uint8

// The states. Completed and RolledBack are final.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled back"
	}
	return "unknown"
}

// Status is the state of a roll-out as recorded in the store.
type Status struct {
	Service  string
	Version  string
	State    State
	Order    store.Position // of the order that it belongs to
	Base     string         // version that was in force before
	Started  time.Time      // when the first decider saw the order, by its clock
	Reason   string
	Position store.Position // of the status itself; revision 0 before it is stored
}

// Phase is the phase of a roll-out at the nodes, in the order of precedence: of
// two directives about one order, the one with the later phase holds.
type Phase uint8

// The phases.
const (
	Canary   Phase = iota + 1 // the new version gets a small share and is judged
	Moving                    // it was judged good and gets a growing share
	Reverted                  // it was judged bad and gets nothing
	Done                      // it gets everything; the old targets end
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Moving:
		return "moving"
	case Reverted:
		return "reverted"
	case Done:
		return "done"
	}
	return "unknown"
}

// Directive tells every node how to treat the versions of one service.
type Directive struct {
	Service      string
	Order        store.Position
	Target       string
	Base         string
	Phase        Phase
	SharePercent int // share of the calls that the new version gets while Moving
	Reason       string
	Distinct     bool // see Order
}

// Supersedes reports whether d replaces o: it belongs to a later order or, for the
// same order, to a later phase. No sequence of directives takes an order back to an
// earlier phase, so nodes need not agree on who decides. Directives of two eras of the
// store for one version are of the same order, unless the later one is distinct; the
// earlier position then identifies it.
func (d Directive) Supersedes(o Directive) bool {
	phase := cmp.Or(cmp.Compare(d.Phase, o.Phase), cmp.Compare(d.SharePercent, o.SharePercent))
	switch {
	case d.Order.Same(o.Order):
		return phase > 0
	case d.continues(o):
		return phase > 0
	case o.continues(d):
		return phase >= 0
	}
	return d.Order.After(o.Order)
}

// continues reports whether d is of a later era than o and may be of the same order.
func (d Directive) continues(o Directive) bool {
	return Order{Version: d.Target, Position: d.Order, Distinct: d.Distinct}.continues(o.Target, o.Order)
}

// Active reports whether the roll-out has not ended.
func (d Directive) Active() bool { return d.Phase == Canary || d.Phase == Moving }
