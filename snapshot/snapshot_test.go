package snapshot

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/object"
)

func sampleObjects() []*object.Object {
	return []*object.Object{
		{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "auction-floor"}},
		{Kind: object.KindService, Name: "floor", Service: &object.ServiceSpec{EndpointSet: "floor"}},
		{Kind: object.KindRoute, Name: "bids",
			Route: &object.RouteSpec{PathPrefix: "/bids", Service: "floor", Kind: object.WorkBid}},
	}
}

// Guards against a node that goes back to an older version or puts the same
// version in force again.
func TestAdvanceRefusesVersionThatIsNotNewer(t *testing.T) {
	is := is.New(t)
	var c Current
	two, err := New(2, sampleObjects())
	is.NoErr(err)
	is.NoErr(c.Advance(two))
	one, err := New(1, sampleObjects())
	is.NoErr(err)
	is.True(errorx.IsOfType(c.Advance(one), errdefs.Stale))
	is.True(errorx.IsOfType(c.Advance(two), errdefs.Stale))
	is.Equal(c.Version(), uint64(2))
}

// Guards against applying a delta to a snapshot other than its base.
func TestApplyRequiresExactBase(t *testing.T) {
	is := is.New(t)
	base, err := New(1, sampleObjects())
	is.NoErr(err)
	next, err := base.WithChanges(2, nil, []object.Key{{Kind: object.KindRoute, Name: "bids"}})
	is.NoErr(err)
	d := Diff(base, next)
	got, err := base.Apply(d)
	is.NoErr(err)
	is.Equal(got.Digest(), next.Digest())
	_, err = next.Apply(d)
	is.True(errorx.IsOfType(err, errdefs.BaseMismatch))
	d.Digest[0] ^= 1
	_, err = base.Apply(d)
	is.True(errorx.IsOfType(err, errdefs.Corrupt))
}

// Guards against deleting a service that a route still refers to.
func TestWithRefusesDanglingReference(t *testing.T) {
	is := is.New(t)
	base, err := New(1, sampleObjects())
	is.NoErr(err)
	_, err = base.WithChanges(2, nil, []object.Key{{Kind: object.KindService, Name: "floor"}})
	is.True(errorx.IsOfType(err, errdefs.Dangling))
}

// Guards against putting a snapshot in force that was not built by a
// constructor, and against objects that are modified after the snapshot was
// built.
func TestCheckDetectsModifiedObject(t *testing.T) {
	is := is.New(t)
	s, err := New(1, sampleObjects())
	is.NoErr(err)
	is.NoErr(s.Check())
	s.Get(object.Key{Kind: object.KindRoute, Name: "bids"}).Route.PathPrefix = "/other"
	is.True(errorx.IsOfType(s.Check(), errdefs.Corrupt))
	var c Current
	is.True(errorx.IsOfType(c.Advance(nil), errdefs.Corrupt))
	is.True(errorx.IsOfType(c.Advance(&Snapshot{version: 9}), errdefs.Corrupt))
	is.True(c.Load() == nil)
}

// Guards against accepting a snapshot that consists of well-formed shards but
// is not the one that was published.
func TestFromShardsChecksDigest(t *testing.T) {
	is := is.New(t)
	s, err := New(3, sampleObjects())
	is.NoErr(err)
	var contents [ShardCount][]byte
	for i := range contents {
		contents[i] = s.ShardContent(i)
	}
	got, err := FromShards(3, s.Digest(), contents)
	is.NoErr(err)
	is.Equal(got.Digest(), s.Digest())
	route := ShardOf(object.Key{Kind: object.KindRoute, Name: "bids"})
	contents[route] = nil // all references still resolve, but the digest differs
	_, err = FromShards(3, s.Digest(), contents)
	is.True(errorx.IsOfType(err, errdefs.Corrupt))
}
