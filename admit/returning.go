package admit

import (
	"sync"
	"time"
)

const (
	// maxReturning limits the refused calls that are remembered; all are dropped
	// when it is reached.
	maxReturning = 4096
	// deadlineSlack allows for the rounding of deadlines and the delay of the
	// caller's timer.
	deadlineSlack = 20 * time.Millisecond
)

// Returning remembers refused calls, so that a caller's retry counts from when the
// caller first asked. A retry has the same deadline as the first attempt and asks
// for the same. The zero value remembers nothing. It is safe for concurrent use.
type Returning struct {
	mu      sync.Mutex
	refused map[uint64]refusedCall // by what the call asks for
}

// refusedCall is the state of a call that was refused.
type refusedCall struct {
	first    time.Time // when the caller first asked
	deadline time.Time // until when the caller waits
}

// Refused records that a call was refused which its caller first made at first.
// key identifies what the call asks for.
func (r *Returning) Refused(key uint64, first, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == nil || len(r.refused) >= maxReturning {
		r.refused = make(map[uint64]refusedCall)
	}
	r.refused[key] = refusedCall{first, deadline}
}

// First returns when the caller of a call that arrives at now first asked: now
// unless the call was refused before. The call is forgotten.
func (r *Returning) First(key uint64, deadline, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.refused[key]
	if !ok || c.deadline.Sub(deadline).Abs() > deadlineSlack {
		return now
	}
	delete(r.refused, key)
	return c.first
}
