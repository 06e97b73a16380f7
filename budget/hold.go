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
	evict   func()
	evicted atomic.Bool

	bytes   int64 // guarded by budget.mu
	hasSlot bool  // guarded by budget.mu

	mu        sync.Mutex
	closed    bool
	waitSince time.Time     // when the call began to wait for the client; zero while it does not
	pastWaits time.Duration // finished waits since the client last kept the rate
	arrived   int64         // bytes that arrived in these waits
}

// Grow counts n more bytes. It reports false, and counts nothing, when the budget does
// not have them.
func (h *Hold) Grow(n int) bool { return h == nil || h.budget.grow(h, int64(n)) }

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
	if h.closed || h.waitSince.IsZero() || h.evicted.Load() {
		return false
	}
	h.evicted.Store(true)
	h.evict()
	return true
}

// Evicted reports whether the call must end.
func (h *Hold) Evicted() bool { return h != nil && h.evicted.Load() }

// BeginWait states that the call waits for its client from now on.
func (h *Hold) BeginWait() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitSince = time.Now()
}

// rateInterval is the time of waiting over which the rate of a client is measured.
const rateInterval = time.Second

// EndWait states that n bytes have arrived and that the call does not wait for its
// client any longer. Only time in which the call waits counts: a client may also be
// slow because the target is.
func (h *Hold) EndWait(n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pastWaits += time.Since(h.waitSince)
	h.waitSince = time.Time{}
	h.arrived += int64(n)
	if h.pastWaits >= rateInterval && float64(h.arrived) >= h.pastWaits.Seconds()*float64(h.budget.limits.MinRate) {
		h.pastWaits, h.arrived = 0, 0
	}
}

// waited returns the time of waiting since the client last kept the minimum rate, or 0
// while the call does not wait.
func (h *Hold) waited(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.waitSince.IsZero() {
		return 0
	}
	return h.pastWaits + now.Sub(h.waitSince)
}
