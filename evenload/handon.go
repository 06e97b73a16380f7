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
