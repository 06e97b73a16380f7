// Package store defines the interface to the platform's key-value store. It has
// only the operations that siskingw uses. The subpackages etcd and memstore and
// package platform implement it.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's store
// accepts.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KeyValue is the state of a key at one revision of the store.
type KeyValue struct {
	Key            string
	Value          []byte
	Position       Position // of the last write to the key
	CreateRevision int64    // store revision that created the key
	Lease          LeaseID
}

// Event is one write or deletion of a watched key.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch holds events in the order of their revisions, or the error that
// ended the watch.
type WatchBatch struct {
	Events   []Event
	Position Position // a watch that resumes after this batch starts from here
	Err      error    // StoreCompacted or StoreUnavailable; the channel is closed after it
}

// Store is the platform's key-value store.
//
// Reads are linearizable. Every call ends with its context at the latest. A call
// that certainly had no effect fails with errdefs.StoreUnavailable. A write whose
// response was lost fails with errdefs.StoreUnknown: the caller must read the key
// to learn whether the write took effect.
type Store interface {
	// Get returns the state of the key, or an errdefs.NotFound error and a state with
	// revision 0 in the era of the read.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Range returns every key with the prefix in key order and the position of
	// the read. With keysOnly the values are left empty.
	Range(ctx context.Context, prefix string, keysOnly bool) ([]KeyValue, Position, error)
	// Put writes the key unconditionally and returns the position of the write.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) (Position, error)
	// CompareAndSwap writes the key only if its last write is still the one at
	// last (revision 0: the key must not exist) and returns the position of the new one.
	// It fails with errdefs.Conflict when the key has changed, or when the store
	// is in a later era than last.
	CompareAndSwap(ctx context.Context, key string, last Position, value []byte, lease LeaseID) (Position, error)
	// CompareAndDelete deletes the key only if its last write is still the one at
	// last. It fails with errdefs.Conflict when the key has changed, or when the
	// store is in a later era than last.
	CompareAndDelete(ctx context.Context, key string, last Position) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease once. It fails with errdefs.NotFound when the
	// lease has expired, or belongs to an earlier era of the store.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends every change of keys with the prefix after a position until ctx
	// is done or the watch fails. If it fails, the last batch has Err set; a
	// position of an earlier era fails with errdefs.StoreCompacted.
	Watch(ctx context.Context, prefix string, from Position) <-chan WatchBatch
	// Close closes the connections to the store.
	Close() error
}

// SendBatch sends a batch to the receiver of a watch. It returns false when ctx
// was done before the batch was received.
func SendBatch(ctx context.Context, out chan<- WatchBatch, b WatchBatch) bool {
	select {
	case out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}
