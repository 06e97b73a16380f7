// Package storetest is the conformance test for implementations of store.Store.
package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/store"
)

const callTimeout = 5 * time.Second

// Run tests s, which must be empty.
func Run(t *testing.T, s store.Store) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	t.Run("swap", func(t *testing.T) { checkCompareAndSwap(ctx, t, s) })
	t.Run("range", func(t *testing.T) { checkRange(ctx, t, s) })
	t.Run("lease", func(t *testing.T) { checkLease(ctx, t, s) })
	t.Run("watch", func(t *testing.T) { checkWatch(ctx, t, s) })
}

// checkCompareAndSwap guards against a compare-and-swap that succeeds on an
// outdated mod revision: two concurrent writers would both succeed.
func checkCompareAndSwap(ctx context.Context, t *testing.T, s store.Store) {
	is := is.New(t)
	_, err := s.Get(ctx, "swap")
	is.True(errorx.IsOfType(err, errdefs.NotFound))
	rev, err := s.CompareAndSwap(ctx, "swap", store.Position{}, []byte("1"), 0)
	is.NoErr(err)
	_, err = s.CompareAndSwap(ctx, "swap", store.Position{}, []byte("2"), 0)
	is.True(errorx.IsOfType(err, errdefs.Conflict))
	kv, err := s.Get(ctx, "swap")
	is.NoErr(err)
	is.Equal(string(kv.Value), "1")
	is.Equal(kv.Position, rev)
	_, err = s.CompareAndSwap(ctx, "swap", rev, []byte("3"), 0)
	is.NoErr(err)
	is.True(errorx.IsOfType(s.CompareAndDelete(ctx, "swap", rev), errdefs.Conflict))
}

// checkRange guards against a range that returns keys without the prefix or in
// no order.
func checkRange(ctx context.Context, t *testing.T, s store.Store) {
	is := is.New(t)
	for _, k := range []string{"r/b", "r/a", "rx"} {
		_, err := s.Put(ctx, k, []byte(k), 0)
		is.NoErr(err)
	}
	kvs, rev, err := s.Range(ctx, "r/", true)
	is.NoErr(err)
	is.True(rev.After(store.Position{}))
	is.Equal(len(kvs), 2)
	is.Equal(kvs[0].Key, "r/a")
	is.Equal(len(kvs[0].Value), 0)
}

// checkLease guards against keys that outlive their lease.
func checkLease(ctx context.Context, t *testing.T, s store.Store) {
	is := is.New(t)
	id, err := s.Grant(ctx, time.Minute)
	is.NoErr(err)
	is.NoErr(s.KeepAlive(ctx, id))
	_, err = s.Put(ctx, "leased", nil, id)
	is.NoErr(err)
	is.NoErr(s.Revoke(ctx, id))
	_, err = s.Get(ctx, "leased")
	is.True(errorx.IsOfType(err, errdefs.NotFound))
	is.True(errorx.IsOfType(s.KeepAlive(ctx, id), errdefs.NotFound))
}

// checkWatch guards against lost and repeated events in a watch that starts from
// an earlier revision.
func checkWatch(ctx context.Context, t *testing.T, s store.Store) {
	is := is.New(t)
	first, err := s.Put(ctx, "w/1", []byte("1"), 0)
	is.NoErr(err)
	_, err = s.Put(ctx, "w/2", []byte("2"), 0)
	is.NoErr(err)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches := s.Watch(watchCtx, "w/", first)
	is.Equal(nextKey(ctx, t, batches), "w/2")
	_, err = s.Put(ctx, "w/3", []byte("3"), 0)
	is.NoErr(err)
	is.Equal(nextKey(ctx, t, batches), "w/3")
}

// nextKey returns the key of the next batch's event and fails the test unless
// the batch has exactly one.
func nextKey(ctx context.Context, t *testing.T, batches <-chan store.WatchBatch) string {
	t.Helper()
	select {
	case b := <-batches:
		if b.Err != nil || len(b.Events) != 1 {
			t.Fatalf("batch has %d events, error %v; want one event", len(b.Events), b.Err)
		}
		return b.Events[0].Key
	case <-ctx.Done():
		t.Fatal("no event before the timeout")
	}
	return ""
}
