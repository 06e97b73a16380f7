package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Hold is the part of a budget that one call uses. A nil *Hold has no limits. Its
// methods are safe for concurrent use.
type Hold struct {
	budget  *Budget
	owner   string
	evict   func(Direction)
	evicted atomic.Bool

	bytes   int64 // guarded by budget.mu
	hasSlot bool  // counts as one of the calls of TakeSlot; guarded by budget.mu
	// atTarget is set while the call occupies a slot of the target; guarded by budget.mu.
	atTarget bool

	mu     sync.Mutex
	closed bool
	waits  [directions]wait
}

// Grow counts n more bytes. It reports false, and counts nothing, when the budget does
// not have them.
func (h *Hold) Grow(n int) bool { return h == nil || h.budget.grow(h, int64(n), false) }

// GrowLarge is Grow for a call that takes long, like the transfer of a large body. It
// leaves the reserve for small Holds alone, however little it needs.
func (h *Hold) GrowLarge(n int) bool { return h == nil || h.budget.grow(h, int64(n), true) }

// Shrink stops counting n bytes.
func (h *Hold) Shrink(n int) {
	if h != nil {
		h.budget.shrink(h, int64(n))
	}
}

// TakeSlot counts the call as one of at most limit calls whose bodies arrive while
// they occupy a slot of the target. It reports false when there are that many.
func (h *Hold) TakeSlot(limit int) bool { return h == nil || h.budget.takeSlot(h, limit) }

// Close stops counting everything that the call holds. It may be called again.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.budget.close(h)
}

// tryEvict ends the call unless it has ended or no longer waits for its client. It
// reports whether it did.
func (h *Hold) tryEvict() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	waited, direction := h.longestWait(time.Now())
	if h.closed || waited < h.budget.limits.StallTime || h.evicted.Load() {
		return false
	}
	h.evicted.Store(true)
	h.evict(direction)
	return true
}

// Evicted reports whether the call must end.
func (h *Hold) Evicted() bool { return h != nil && h.evicted.Load() }

// MarkSlot states that the call occupies a slot of the target until its client has read
// the response. Such calls are not limited, but evicted if the client is stalled.
func (h *Hold) MarkSlot() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.atTarget = true
}

// Direction is what a call waits for.
type Direction int

const (
	Receive Direction = iota // the client sends
	Send                     // the client reads
	directions
)

// rateInterval is the time of waiting over which the rate of a client is measured.
const rateInterval = time.Second

// wait is the time that a call waits for its client in one direction.
type wait struct {
	since time.Time     // beginning of the current wait; zero while there is none
	past  time.Duration // finished waits since the client last kept the rate
	moved int64         // bytes moved in these waits
}

// BeginWait states that the call waits for its client from now on. A call waits for one
// thing at a time in each direction.
func (h *Hold) BeginWait(d Direction) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waits[d].since = time.Now()
}

// EndWait states that n bytes were moved and that the call does not wait for its client
// any longer. Only time in which the call waits counts: a client may also be slow because
// the target is.
func (h *Hold) EndWait(d Direction, n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &h.waits[d]
	w.past += time.Since(w.since)
	w.since = time.Time{}
	w.moved += int64(n)
	if w.past >= rateInterval && float64(w.moved) >= w.past.Seconds()*float64(h.budget.limits.MinRate) {
		w.past, w.moved = 0, 0
	}
}

// waited returns the time of waiting since the client last kept the minimum rate, or 0
// while the call does not wait, and the direction of the wait.
func (h *Hold) waited(now time.Time) (time.Duration, Direction) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.longestWait(now)
}

// longestWait is waited for a caller that holds h.mu.
func (h *Hold) longestWait(now time.Time) (longest time.Duration, direction Direction) {
	for d, w := range h.waits {
		if w.since.IsZero() {
			continue
		}
		if waited := w.past + now.Sub(w.since); waited >= longest {
			longest, direction = waited, Direction(d)
		}
	}
	return longest, direction
}
