package evenload

import "time"

const (
	// maxRoomAge is the age from which news no longer shows that a target has room.
	maxRoomAge = 250 * time.Millisecond
	// minRoom is the share of a target's slots, 0..1, that must be free for a call
	// to be handed on to it: others may have chosen it since the news.
	minRoom = 0.15
)

// HasRoom reports whether news about a target shows that a call of the priority
// would not wait there.
func HasRoom(n *News, priority int, slots float64, now int64) bool {
	return n != nil && now-n.At < int64(maxRoomAge) && n.Ahead[priority] <= (1-minRoom)*slots-1
}

const (
	// HandOnShare is the share of the calls that arrive at a target, 0..1, which
	// its instance may hand on. Each one costs two more messages and the CPU time of
	// another instance, which is short when the load is high.
	HandOnShare = 0.1
	// maxHandOnCredit limits the calls that are handed on in a row.
	maxHandOnCredit = 4.0
)

// HandOnBudget limits the calls that an instance hands on. It is not safe for
// concurrent use.
type HandOnBudget struct{ credit float64 }

// Arrived adds the credit of one call that arrived.
func (b *HandOnBudget) Arrived(share float64) { b.credit = min(b.credit+share, maxHandOnCredit) }

// Take pays for one call that is handed on; it reports false if the budget is used
// up.
func (b *HandOnBudget) Take() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
