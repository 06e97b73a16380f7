package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store"
	"siskingw/store/memstore"
)

// Guards against a store reader that cannot read what the acceptor wrote, with
// a base and without one, and against one that stops when its watch breaks.
func TestSourceFollowsAcceptedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		acceptor := publish.NewAcceptor(st, new(snapshot.Current), publish.Options{})
		go func() { _ = acceptor.Run(ctx) }()
		f := newFleet(31, 1, 1, 1)
		cur := new(snapshot.Current)
		n := New(Options{View: fakeView{f, f.records[0]}, Current: cur, Transport: fakeTransport{f, PeerOf(f.records[0])},
			Source: NewSource(st, publish.NewReader(st)), StoreRegion: "r0"})
		go func() { _ = n.Run(ctx) }()
		time.Sleep(readerSettleTime + isolatedJitter + time.Second)
		is.True(!n.Ready())
		apply := func(id, name string) uint64 {
			result, err := acceptor.Apply(ctx, publish.Request{OperationID: id, Author: "ann", Changes: []publish.Change{
				{Object: &object.Object{Kind: object.KindEndpointSet, Name: name, EndpointSet: &object.EndpointSetSpec{Announce: name}}}}})
			is.NoErr(err)
			return result.Version
		}
		first := apply("op-1", "floor")
		time.Sleep(2 * time.Second)
		is.Equal(cur.Version(), first)
		st.BreakWatches()
		second := apply("op-2", "gate")
		elapse(5 * time.Second)
		is.Equal(cur.Version(), second)
		is.Equal(cur.Load().Len(), 2)
		cancel()
		synctest.Wait()
	})
}

// hookedStore calls beforePart once before it reads the first part.
type hookedStore struct {
	store.Store
	once       sync.Once
	beforePart func()
}

func (s *hookedStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if key != publish.HeadKey {
		s.once.Do(s.beforePart)
	}
	return s.Store.Get(ctx, key)
}

// Guards against a reader that never gets past a head whose parts are
// garbage-collected while it reads them, because operators publish further
// versions meanwhile.
func TestPartsCollectedWhileRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		acceptor := publish.NewAcceptor(st, new(snapshot.Current), publish.Options{})
		go func() { _ = acceptor.Run(ctx) }()
		apply := func(id string) uint64 {
			result, err := acceptor.Apply(ctx, publish.Request{OperationID: id, Author: "ann", Changes: []publish.Change{
				{Object: &object.Object{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: id}}}}})
			is.NoErr(err)
			return result.Version
		}
		apply("op-1")
		var last atomic.Uint64
		hooked := &hookedStore{Store: st, beforePart: func() {
			apply("op-2")
			last.Store(apply("op-3"))
			c := publish.NewCollector(st, publish.CollectorOptions{KeepCommits: 1, MinAge: time.Second})
			_, err := c.Collect(ctx)
			is.NoErr(err)
			time.Sleep(time.Second)
			n, err := c.Collect(ctx)
			is.NoErr(err)
			is.True(n > 0) // the parts of the first head are gone
		}}
		f := newFleet(32, 1, 1, 1)
		cur := new(snapshot.Current)
		n := New(Options{View: fakeView{f, f.records[0]}, Current: cur, Transport: fakeTransport{f, PeerOf(f.records[0])},
			Source: NewSource(hooked, publish.NewReader(hooked)), StoreRegion: "r0"})
		go func() { _ = n.Run(ctx) }()
		time.Sleep(readerSettleTime + isolatedJitter + targetTime)
		is.True(last.Load() > 0)
		is.Equal(cur.Version(), last.Load())
		cancel()
		synctest.Wait()
	})
}

// Guards against a reader that puts a corrupted head or part in force, and
// against a reader that does not recover once the value is intact again.
func TestDamagedStoreValuesAreNotPutInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		st := memstore.New(memstore.Options{})
		ctx, cancel := context.WithCancel(t.Context())
		acceptor := publish.NewAcceptor(st, new(snapshot.Current), publish.Options{})
		go func() { _ = acceptor.Run(ctx) }()
		f := newFleet(33, 1, 1, 1)
		cur := new(snapshot.Current)
		n := New(Options{View: fakeView{f, f.records[0]}, Current: cur, Transport: fakeTransport{f, PeerOf(f.records[0])},
			Source: NewSource(st, publish.NewReader(st)), StoreRegion: "r0"})
		go func() { _ = n.Run(ctx) }()
		time.Sleep(readerSettleTime + isolatedJitter + time.Second)
		_, err := acceptor.Apply(ctx, publish.Request{OperationID: "op", Author: "ann", Changes: []publish.Change{
			{Object: &object.Object{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "floor"}}}}})
		is.NoErr(err)
		kvs, _, err := st.Range(ctx, "siskingw/", false)
		is.NoErr(err)
		for _, kv := range kvs { // every value at once, before the reader's load delay ends
			_, err = st.Put(ctx, kv.Key, append([]byte{'x'}, kv.Value...), 0)
			is.NoErr(err)
		}
		elapse(30 * time.Second)
		is.Equal(cur.Version(), uint64(0))
		for _, kv := range kvs {
			_, err = st.Put(ctx, kv.Key, kv.Value, 0)
			is.NoErr(err)
		}
		time.Sleep(storeRetryMax + 2*time.Second)
		is.Equal(cur.Version(), uint64(1))
		cancel()
		synctest.Wait()
	})
}
