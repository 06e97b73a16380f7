// Package budget bounds the memory that a process holds for its calls, and finds the
// calls whose clients keep it busy without sending.
//
// Each call that holds bodies or occupies a slot of a target opens a Hold. A Hold
// grows by what has arrived. When the budget is used up, growing fails, and Holds
// whose clients do not send are evicted to make room; without such pressure a slow
// client is left alone.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits of a Budget. A limit of 0 is no limit.
type Limits struct {
	Bytes int64 // memory for calls
	// MinRate is the rate, in bytes per second, below which a body counts as
	// stalled.
	MinRate int64
	// StallTime is how long a body must have been below MinRate before it counts as
	// stalled.
	StallTime time.Duration
	// MaxStalled and MaxStalledPerOwner limit the bodies that may be stalled at a
	// time, in all and of one owner. The longest stalled are evicted beyond that.
	MaxStalled         int
	MaxStalledPerOwner int
}

const (
	// smallBytes is the size up to which a Hold may use the whole budget. Larger ones
	// leave reservePercent of it free, so that ordinary calls are served while large
	// bodies use up the rest.
	smallBytes     = 64 << 10
	reservePercent = 25
	// evictPercent is the part of the budget that is made free at a time.
	evictPercent = 10
	// sweepInterval is the minimum time between two searches for stalled Holds. The
	// search visits all Holds, and under pressure every call asks for one.
	sweepInterval = 100 * time.Millisecond
)

// Budget bounds the memory held for calls. A nil *Budget has no limits. It is safe for
// concurrent use.
type Budget struct {
	limits  Limits
	onEvict func(owner string, held int64) // see OnEvict

	denied  atomic.Int64
	evicted atomic.Int64

	mu    sync.Mutex
	used  int64 // bytes
	slots int   // Holds that occupy a slot of the target
	holds map[*Hold]struct{}

	// Times of the last searches: for memory, in the target's slots, and for excess
	// stalled Holds.
	sweptAt, slotsSweptAt, countedAt time.Time
}

// New returns an empty budget.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, holds: make(map[*Hold]struct{}), onEvict: func(string, int64) {}}
}

// OnEvict sets the function that is called for each evicted Hold with its owner and
// the bytes that it held. It must be called before the budget is used.
func (b *Budget) OnEvict(f func(owner string, held int64)) { b.onEvict = f }

// Used returns the bytes held at the moment.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the bytes that may be held; 0 means any number.
func (b *Budget) Limit() int64 { return b.limits.Bytes }

// Denied returns how often a Hold could not grow or take a slot.
func (b *Budget) Denied() int64 { return b.denied.Load() }

// Evicted returns the number of evicted Holds.
func (b *Budget) Evicted() int64 { return b.evicted.Load() }

// Open returns a Hold of no bytes for a call of owner, an address. evict is called at
// most once, from any goroutine, while the call waits for its client and must end
// because the client neither sends nor reads. It must not block nor use the Hold. Open
// returns nil for a nil budget.
func (b *Budget) Open(owner string, evict func(Direction)) *Hold {
	if b == nil {
		return nil
	}
	h := &Hold{budget: b, owner: owner, evict: evict}
	b.mu.Lock()
	b.holds[h] = struct{}{}
	victims := b.excessStalled(time.Now())
	b.mu.Unlock()
	b.evictAll(victims)
	return h
}

// grow counts n more bytes for h, of the part for large Holds if large is set. It reports
// whether they are available.
func (b *Budget) grow(h *Hold, n int64, large bool) bool {
	b.mu.Lock()
	if _, open := b.holds[h]; !open {
		b.mu.Unlock()
		return false
	}
	limit := b.limits.Bytes
	if large || h.bytes+n > smallBytes {
		limit -= limit * reservePercent / 100
	}
	if limit == 0 || b.used+n <= limit {
		b.used += n
		h.bytes += n
		b.mu.Unlock()
		return true
	}
	victims := b.stalledBytes(time.Now(), b.limits.Bytes*evictPercent/100)
	b.mu.Unlock()
	b.denied.Add(1)
	b.evictAll(victims)
	return false
}

// shrink stops counting n bytes of h.
func (b *Budget) shrink(h *Hold, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, h.bytes)
	b.used -= n
	h.bytes -= n
}

// takeSlot counts h as occupying a slot of the target. It reports false, and evicts
// stalled Holds that occupy slots, when limit of them are occupied.
func (b *Budget) takeSlot(h *Hold, limit int) bool {
	b.mu.Lock()
	_, open := b.holds[h]
	if open && (h.hasSlot || b.slots < limit) {
		if !h.hasSlot {
			b.slots++
		}
		h.hasSlot, h.atTarget = true, true
		b.mu.Unlock()
		return true
	}
	b.mu.Unlock()
	b.denied.Add(1)
	b.EvictFromSlots()
	return false
}

// EvictFromSlots evicts the stalled Holds that occupy a slot of the target. It is
// called when a call finds no free slot.
func (b *Budget) EvictFromSlots() {
	if b == nil {
		return
	}
	b.mu.Lock()
	var victims []*Hold
	if b.beginSweep(&b.slotsSweptAt, time.Now()) {
		for _, s := range b.stalled(time.Now()) {
			if s.hold.atTarget {
				victims = append(victims, s.hold)
			}
		}
	}
	b.mu.Unlock()
	b.evictAll(victims)
}

// EvictStalled evicts the longest stalled Hold, if any is stalled. It is called when
// the process is short of something else than memory, such as descriptors.
func (b *Budget) EvictStalled() {
	if b == nil {
		return
	}
	b.mu.Lock()
	victims := b.stalledBytes(time.Now(), 1)
	b.mu.Unlock()
	b.evictAll(victims)
}

// close stops counting h.
func (b *Budget) close(h *Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.holds[h]; !open {
		return
	}
	delete(b.holds, h)
	b.used -= h.bytes
	h.bytes = 0
	if h.hasSlot {
		b.slots--
		h.hasSlot = false
	}
}

func (b *Budget) evictAll(victims []*Hold) {
	for _, h := range victims {
		if h.tryEvict() {
			b.evicted.Add(1)
			b.mu.Lock()
			held := h.bytes
			b.mu.Unlock()
			b.onEvict(h.owner, held)
		}
	}
}
