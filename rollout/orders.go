package rollout

import (
	"slices"

	"siskingw/store"
)

// Reading is what an order that was read from the store turns out to be.
type Reading uint8

// The kinds of readings.
const (
	KnownOrder    Reading = iota // it was read before, or a later one was
	NewOrder                     // it replaces the latest one
	RepeatedOrder                // the latest one, read in a later era: the store kept it, or it was written again
	OutdatedOrder                // one that a later order replaced, in the copy that the store came back from
)

// maxOrders bounds the orders of a service that are remembered.
const maxOrders = 16

// Orders holds the orders of one service that a node has read, to tell in a later era of
// the store which of them an order is. It is not safe for concurrent use.
type Orders struct {
	read   []readOrder    // oldest first
	latest store.Position // at which the latest one was read last
}

type readOrder struct {
	Order
	last      store.Position // at which it was read last
	revisions []int64        // at which it was read, in all eras
}

// readAgain adds a further reading of the order.
func (r *readOrder) readAgain(at store.Position) {
	r.last = at
	r.revisions = append(r.revisions, at.Revision())
}

// Read adds an order that was read from the store. It returns what the order is, and the
// order to carry out if it is new.
func (h *Orders) Read(o Order) (Reading, Order) {
	o.Uncertain = len(h.read) == 0
	if len(h.read) > 0 {
		if !o.Position.InLaterEra(h.latest) {
			if !o.Position.After(h.latest) {
				return KnownOrder, Order{}
			}
		} else if reading, again := h.readInLaterEra(o); reading != NewOrder || again.Version != "" {
			return reading, again
		}
		o.Uncertain = o.Position.InLaterEra(h.latest) && o.Position.Revision() <= h.latest.Revision()
	}
	o.Distinct = slices.ContainsFunc(h.read, func(r readOrder) bool {
		return r.Version == o.Version && !o.Position.InLaterEra(r.last)
	})
	h.add(readOrder{Order: o, last: o.Position, revisions: []int64{o.Position.Revision()}})
	return NewOrder, o
}

// readInLaterEra returns what an order is that was read in a later era than the latest
// one. It returns NewOrder and no order if it is not known, and NewOrder and an order if
// that is the latest after all: those that were read after it may have come from the copy.
func (h *Orders) readInLaterEra(o Order) (Reading, Order) {
	for i := len(h.read) - 1; i >= 0; i-- {
		if r := h.read[i]; o.asks(r.Order) {
			r.readAgain(o.Position)
			h.read = slices.Delete(h.read, i, i+1)
			last := i == len(h.read)
			h.add(r)
			if last {
				return RepeatedOrder, Order{}
			}
			return NewOrder, r.Order
		}
		if !h.read[i].Uncertain {
			break
		}
	}
	for i := range h.read {
		if r := &h.read[i]; o.asks(r.Order) && slices.Contains(r.revisions, o.Position.Revision()) {
			r.readAgain(o.Position)
			return OutdatedOrder, Order{}
		}
	}
	return NewOrder, Order{}
}

// add makes an order the latest one.
func (h *Orders) add(r readOrder) {
	if len(h.read) == maxOrders {
		h.read = slices.Delete(h.read, 0, 1)
	}
	h.read = append(h.read, r)
	h.latest = r.last
}

// asks reports whether both orders ask for the same.
func (o Order) asks(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Duration == other.Duration
}

// continues reports whether the order may be the one for a version at a position of an
// earlier era, which the store has kept or the operator has written again.
func (o Order) continues(version string, at store.Position) bool {
	return !o.Distinct && o.Version == version && o.Position.InLaterEra(at)
}
