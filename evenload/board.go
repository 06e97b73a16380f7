package evenload

import "sync"

// maxBoardTargets limits the targets that a board keeps; the oldest news is
// dropped first.
const maxBoardTargets = 64

// Board keeps the newest news about the targets of one service in one failure
// domain, as an instance beside one of them hears it with the calls that it
// receives. It is safe for concurrent use. Times are ns of the reader's clock.
type Board struct {
	mu   sync.Mutex
	news map[string]*News // by instance
}

// Learn adds the items that arrived at now. Items that are older than what is
// known are ignored.
func (b *Board) Learn(items []Item, now int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.news == nil {
		b.news = make(map[string]*News)
	}
	for _, it := range items {
		if old := b.news[it.ID]; old == nil || now-int64(it.Age) > old.At {
			b.news[it.ID] = it.News(now, 0)
		}
	}
	for len(b.news) > maxBoardTargets {
		b.dropOldest()
	}
}

// dropOldest removes the oldest news. b.mu must be held.
func (b *Board) dropOldest() {
	oldest := ""
	for id, n := range b.news {
		if oldest == "" || n.At < b.news[oldest].At {
			oldest = id
		}
	}
	delete(b.news, oldest)
}

// Newest returns the newest items except about the given instance, MaxRelayed at
// most.
func (b *Board) Newest(except string, now int64) []Item {
	b.mu.Lock()
	defer b.mu.Unlock()
	items := make([]Item, 0, len(b.news))
	for id, n := range b.news {
		if id != except {
			items = append(items, n.Item(id, now))
		}
	}
	return Newest(items)
}

// RoomElsewhere reports whether fresh news shows that another target than that of
// the given instance has room for a call of the priority. slots is the number of
// slots of each target.
func (b *Board) RoomElsewhere(except string, priority int, slots float64, now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.news {
		if id != except && HasRoom(n, priority, slots, now) {
			return true
		}
	}
	return false
}

// Spread returns the difference between the highest and the lowest load per slot
// of the targets with fresh news, and that of the own target; 0 without news.
func (b *Board) Spread(own, slots float64, now int64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	low, high := own, own
	for _, n := range b.news {
		if now-n.At < int64(MaxRelayedAge) {
			load := n.Ahead[Priorities-1] / slots
			low, high = min(low, load), max(high, load)
		}
	}
	return high - low
}
