// Package store defines the narrow interface through which siskingw uses the
// platform's key-value store. Implementations live in the subpackages.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// LeaseID names a lease; zero means no lease.
type LeaseID int64

// KeyValue is one key as it stood at one revision of the store.
type KeyValue struct {
	Key            string
	Value          []byte
	ModRevision    int64 // store revision of the last write to the key
	CreateRevision int64 // store revision that created the key
	Lease          LeaseID
}

// Event is one change of a watched key.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchBatch is a group of events, or the error that ended the watch.
type WatchBatch struct {
	Events   []Event
	Revision int64 // store revision that the batch brings the watcher to
	Err      error // StoreCompacted or StoreUnavailable; the channel closes after it
}

// Store is the platform's key-value store.
//
// Reads are linearizable. Every call is bounded by its context. A call that
// certainly had no effect fails with errdefs.StoreUnavailable; a write whose
// answer was lost fails with errdefs.StoreUnknown and must be settled by reading.
type Store interface {
	// Get returns the key, or errdefs.NotFound.
	Get(ctx context.Context, key string) (KeyValue, error)
	// Range returns every key with the prefix in key order and the store
	// revision of the read. With keysOnly the values are left empty.
	Range(ctx context.Context, prefix string, keysOnly bool) ([]KeyValue, int64, error)
	// Put writes the key unconditionally and returns the new store revision.
	Put(ctx context.Context, key string, value []byte, lease LeaseID) (int64, error)
	// CompareAndSwap writes the key only if its mod revision is still
	// modRevision (0: the key must not exist) and returns the new revision.
	// It fails with errdefs.Conflict when the key has changed.
	CompareAndSwap(ctx context.Context, key string, modRevision int64, value []byte, lease LeaseID) (int64, error)
	// CompareAndDelete deletes the key only if its mod revision is still
	// modRevision. It fails with errdefs.Conflict when the key has changed.
	CompareAndDelete(ctx context.Context, key string, modRevision int64) error
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews the lease once; errdefs.NotFound when it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends every change of keys with the prefix after fromRevision
	// until ctx ends or the watch breaks; the last batch then has Err set.
	Watch(ctx context.Context, prefix string, fromRevision int64) <-chan WatchBatch
	// Close releases the connection.
	Close() error
}

// SendBatch passes a batch to the reader of a watch. It reports whether the
// batch was taken before ctx ended.
func SendBatch(ctx context.Context, out chan<- WatchBatch, b WatchBatch) bool {
	select {
	case out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}
