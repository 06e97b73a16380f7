// Package ring provides a bounded queue that passes values between goroutines.
package ring

import (
	"context"
	"sync/atomic"

	"siskingw/errdefs"
)

// Policy selects what Push does when the queue is full.
type Policy int

const (
	// Block waits for free capacity until the context ends.
	Block Policy = iota
	// Reject fails with a Busy error immediately.
	Reject
	// DropOldest discards the oldest elements to make room.
	DropOldest
)

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	ch      chan T
	policy  Policy
	dropped atomic.Uint64
}

// New returns a queue of the given capacity in elements.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{ch: make(chan T, capacity), policy: policy}
}

// Push adds v according to the queue's policy. On a full queue it returns a Busy
// error with Reject, and a Timeout error with Block when ctx ends first. With
// DropOldest it never fails.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	switch r.policy {
	case Reject:
		r.dropped.Add(1)
		return errdefs.Busy.New("queue is full (capacity %d)", cap(r.ch))
	case DropOldest:
		r.pushDropOldest(v)
		return nil
	}
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return errdefs.Timeout.Wrap(ctx.Err(), "queue stayed full (capacity %d)", cap(r.ch))
	}
}

// pushDropOldest adds v, discarding the oldest elements while the queue is full.
func (r *Ring[T]) pushDropOldest(v T) {
	for {
		select {
		case r.ch <- v:
			return
		default:
		}
		select {
		case <-r.ch:
			r.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel that consumers receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Len returns the number of elements in the queue.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns the number of elements discarded or rejected since the queue
// was created.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
