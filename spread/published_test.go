package spread

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// Guards against a store reader that cannot read what the acceptor wrote, with
// a base and without one, and one that stops at a broken watch.
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
		time.Sleep(dutySettle + aloneSpread + time.Second)
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
		time.Sleep(5 * time.Second)
		is.Equal(cur.Version(), second)
		is.Equal(cur.Load().Len(), 2)
		cancel()
		synctest.Wait()
	})
}
