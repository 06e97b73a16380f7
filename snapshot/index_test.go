package snapshot

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/errdefs"
	"siskingw/object"
)

// drawUpsert generates an object from a small name space, so that references
// may or may not resolve.
func drawUpsert(t *rapid.T) *object.Object {
	n := func(label string) string { return fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, label)) }
	opt := func(label string) string {
		if rapid.Bool().Draw(t, label) {
			return n(label)
		}
		return ""
	}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return &object.Object{Kind: object.KindEndpointSet, Name: n("name"),
			EndpointSet: &object.EndpointSetSpec{Announce: n("announce")}}
	case 1:
		return &object.Object{Kind: object.KindPolicy, Name: n("name"),
			Policy: &object.PolicySpec{Retries: rapid.IntRange(0, 3).Draw(t, "retries")}}
	case 2:
		return &object.Object{Kind: object.KindService, Name: n("name"),
			Service: &object.ServiceSpec{EndpointSet: n("set"), Policy: opt("policy")}}
	}
	if rapid.IntRange(0, 4).Draw(t, "unavailable") == 0 {
		return &object.Object{Kind: object.KindRoute, Name: n("name"), Route: &object.RouteSpec{
			PathPrefix: "/" + opt("prefix"), Policy: opt("policy"), Unavailable: "for a reason",
		}}
	}
	if rapid.IntRange(0, 3).Draw(t, "split") == 0 {
		return &object.Object{Kind: object.KindRoute, Name: n("name"), Route: &object.RouteSpec{
			PathPrefix: "/" + opt("prefix"), Policy: opt("policy"), Fallback: opt("fallback"),
			Split: []object.WeightedService{{Service: n("service"), Weight: 1}, {Service: n("service"), Weight: 2}},
		}}
	}
	return &object.Object{Kind: object.KindRoute, Name: n("name"), Route: &object.RouteSpec{
		Host: opt("host"), PathPrefix: "/" + opt("prefix"), Service: n("service"), Policy: opt("policy"),
		Fallback: opt("fallback"),
	}}
}

// Guards against an incremental update whose result differs from a newly built
// index: a route that keeps an old endpoint set, an undetected dangling
// reference, or a modification of the index that an older snapshot still uses.
func TestUpdatedIndexEqualsNewIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := New(0, nil)
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			var upserts []*object.Object
			var deletes []object.Key
			for range rapid.IntRange(1, 6).Draw(t, "changes") {
				o := drawUpsert(t)
				if rapid.IntRange(0, 3).Draw(t, "delete") == 0 && s.Get(o.Key()) != nil {
					deletes = append(deletes, o.Key())
				} else {
					upserts = append(upserts, o)
				}
			}
			next, err := s.WithChanges(uint64(step+1), upserts, deletes)
			if errorx.IsOfType(err, errdefs.Invalid) {
				continue // the same object was generated twice for deletion
			}
			set := make(map[object.Key]*object.Object)
			for _, o := range s.Objects() {
				set[o.Key()] = o
			}
			for _, k := range deletes {
				delete(set, k)
			}
			for _, o := range upserts {
				set[o.Key()] = o
			}
			var all []*object.Object
			for _, o := range set {
				all = append(all, o)
			}
			want, wantErr := New(uint64(step+1), all)
			if (err == nil) != (wantErr == nil) {
				t.Fatalf("update returned error %v, building a new index returned %v", err, wantErr)
			}
			if rebuilt, rebuildErr := newIndex(s); rebuildErr != nil || !reflect.DeepEqual(rebuilt, s.index) {
				t.Fatal("the update modified the index of the older snapshot")
			}
			if err != nil {
				continue
			}
			if next.Digest() != want.Digest() || !reflect.DeepEqual(next.index, want.index) {
				t.Fatalf("updated index differs from a new one after upserts %v and deletes %v", upserts, deletes)
			}
			s = next
		}
	})
}

// Guards against matching a request to a route other than the one with the
// longest prefix, where routes of the exact host take precedence.
func TestMatchPrefersHostThenLongestPrefix(t *testing.T) {
	is := is.New(t)
	route := func(name, host, prefix string) *object.Object {
		return &object.Object{Kind: object.KindRoute, Name: name,
			Route: &object.RouteSpec{Host: host, PathPrefix: prefix, Service: "floor"}}
	}
	s, err := New(1, append(sampleObjects(),
		route("all", "", "/"), route("lots", "", "/lots"), route("lot-scans", "", "/lots/scans"),
		route("own", "a.example", "/lots"), route("own-long", "a.example", "/lots/scans/big")))
	is.NoErr(err)
	for _, c := range []struct{ host, path, want string }{
		{"", "/x", "all"}, {"b.example", "/lots/1", "lots"}, {"", "/lots/scans/1", "lot-scans"},
		{"", "/lots/scan", "lots"},
		{"a.example", "/lots/scans/1", "own"}, {"a.example", "/lots/scans/big/1", "own-long"},
		{"a.example", "/x", "all"},
	} {
		is.Equal(s.Match(c.host, c.path).Name, c.want)
	}
	is.True(s.Match("a.example", "") == nil)
}

// Guards against calls of an unavailable route that go to another route: to the one with
// the next shorter prefix, or to it as a fallback.
func TestUnavailableRoute(t *testing.T) {
	is := is.New(t)
	s, err := New(1, []*object.Object{
		{Kind: object.KindEndpointSet, Name: "s", EndpointSet: &object.EndpointSetSpec{Announce: "s"}},
		{Kind: object.KindService, Name: "s", Service: &object.ServiceSpec{EndpointSet: "s"}},
		{Kind: object.KindRoute, Name: "all", Route: &object.RouteSpec{PathPrefix: "/", Service: "s", Fallback: "closed"}},
		{Kind: object.KindRoute, Name: "closed", Route: &object.RouteSpec{PathPrefix: "/lots/", Unavailable: "for a reason"}},
	})
	is.NoErr(err)
	is.Equal(s.Match("", "/lots/1").Name, "closed")
	is.Equal(s.Match("", "/bids/1").Name, "all")
	is.True(s.Match("", "/bids/1").Fallback == nil)
	is.Equal(len(s.Unavailable()), 1)
	next, err := s.WithChanges(2, []*object.Object{
		{Kind: object.KindRoute, Name: "closed", Route: &object.RouteSpec{PathPrefix: "/lots/", Service: "s"}}}, nil)
	is.NoErr(err)
	is.Equal(next.Match("", "/lots/1").ServiceName, "s")
	is.Equal(next.Match("", "/bids/1").Fallback.Name, "closed")
	is.Equal(len(next.Unavailable()), 0)
}
