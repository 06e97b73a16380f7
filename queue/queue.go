// Package queue provides a bounded queue that passes values between goroutines.
package queue

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

// Queue is a bounded FIFO queue for any number of producers and consumers.
type Queue[T any] struct {
	ch      chan T
	policy  Policy
	dropped atomic.Uint64
}

// New returns a queue of the given capacity in elements.
func New[T any](capacity int, policy Policy) *Queue[T] {
	return &Queue[T]{ch: make(chan T, capacity), policy: policy}
}

// Push adds v according to the queue's policy. On a full queue it returns a Busy
// error with Reject, and a Timeout error with Block when ctx ends first. With
// DropOldest it never fails.
func (q *Queue[T]) Push(ctx context.Context, v T) error {
	select {
	case q.ch <- v:
		return nil
	default:
	}
	switch q.policy {
	case Reject:
		q.dropped.Add(1)
		return errdefs.Busy.New("queue is full (capacity %d)", cap(q.ch))
	case DropOldest:
		q.pushDropOldest(v)
		return nil
	}
	select {
	case q.ch <- v:
		return nil
	case <-ctx.Done():
		return errdefs.Timeout.Wrap(ctx.Err(), "queue stayed full (capacity %d)", cap(q.ch))
	}
}

// pushDropOldest adds v, discarding the oldest elements while the queue is full.
func (q *Queue[T]) pushDropOldest(v T) {
	for {
		select {
		case q.ch <- v:
			return
		default:
		}
		select {
		case <-q.ch:
			q.dropped.Add(1)
		default:
		}
	}
}

// C returns the channel that consumers receive from.
func (q *Queue[T]) C() <-chan T { return q.ch }

// Len returns the number of elements in the queue.
func (q *Queue[T]) Len() int { return len(q.ch) }

// Dropped returns the number of elements discarded or rejected since the queue
// was created.
func (q *Queue[T]) Dropped() uint64 { return q.dropped.Load() }
