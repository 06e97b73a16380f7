// Package ring provides the bounded queue that joins the goroutines of a node.
package ring

import (
	"context"
	"sync/atomic"

	"siskingw/faults"
)

// Policy states what Push does when the queue is full.
type Policy int

const (
	// Block waits for room until the context ends.
	Block Policy = iota
	// Reject returns a Busy error at once.
	Reject
	// DropOldest discards the oldest element to make room.
	DropOldest
)

// Ring is a bounded first-in first-out queue for any number of producers and consumers.
type Ring[T any] struct {
	ch      chan T
	policy  Policy
	dropped atomic.Uint64
}

// New returns a queue of the given capacity in elements.
func New[T any](capacity int, policy Policy) *Ring[T] {
	return &Ring[T]{ch: make(chan T, capacity), policy: policy}
}

// Push adds v according to the queue's policy.
// It returns a Busy error when the policy is Reject and the queue is full,
// and a Timeout error when the policy is Block and ctx ends first.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	select {
	case r.ch <- v:
		return nil
	default:
	}
	switch r.policy {
	case Reject:
		r.dropped.Add(1)
		return faults.Busy.New("queue is full (capacity %d)", cap(r.ch))
	case DropOldest:
		r.pushDropping(v)
		return nil
	}
	select {
	case r.ch <- v:
		return nil
	case <-ctx.Done():
		return faults.Timeout.Wrap(ctx.Err(), "queue stayed full (capacity %d)", cap(r.ch))
	}
}

// pushDropping discards the oldest elements until v fits.
func (r *Ring[T]) pushDropping(v T) {
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

// Len returns the number of queued elements.
func (r *Ring[T]) Len() int { return len(r.ch) }

// Dropped returns how many elements were discarded or rejected so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
