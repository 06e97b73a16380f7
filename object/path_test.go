package object

import (
	"net/url"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

// Guards against a path that selects another route than its prefix states: an
// escaped slash taken for a separator, or two spellings of one path told apart.
func TestNormalizePath(t *testing.T) {
	is := is.New(t)
	for sent, want := range map[string]string{
		"/":                    "/",
		"/bids/closed/1":       "/bids/closed/1",
		"/bids/closed%2F1":     "/bids/closed%2F1", // data of a segment, no separator
		"/bids/closed%2f1":     "/bids/closed%2F1",
		"/b%69ds/%7Euser/%2D1": "/bids/~user/-1", // escapes of unreserved characters
		"/caf%c3%a9/":          "/caf%C3%A9/",
		"/café/":               "/caf%C3%A9/",
		"/a|b":                 "/a%7Cb",
		"/a%7cb":               "/a%7Cb",
		"//a//b":               "//a//b",
		"/a/../b/./c":          "/a/../b/./c", // the target gets the path as it was sent
		"/a/%2E%2E/b":          "/a/../b",
		"/a%20b":               "/a%20b",
		"*":                    "*",
		"":                     "",
	} {
		got, ok := NormalizePath(sent)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, sent := range []string{"/%", "/%2", "/%zz", "/a%2"} {
		_, ok := NormalizePath(sent)
		is.Equal(ok, false)
	}
}

// Guards against a normalized path that means another resource or that changes
// when it is normalized again.
func FuzzNormalizePath(f *testing.F) {
	for _, s := range []string{"/a%2Fb", "/caf%c3%a9/", "/|%25", "/a+b;c=d", "%41"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		n, ok := NormalizePath(s)
		if !ok {
			return
		}
		before, errBefore := url.PathUnescape(s)
		after, errAfter := url.PathUnescape(n)
		if before != after || errBefore != nil || errAfter != nil {
			t.Errorf("%q was normalized to %q, which means %q instead of %q", s, n, after, before)
		}
		if again, ok := NormalizePath(n); !ok || again != n {
			t.Errorf("%q is normalized to %q and then to %q", s, n, again)
		}
	})
}

// Guards against two routes that match the same paths, spelled differently, and
// against a prefix that no path can begin with.
func TestPrefixSpellings(t *testing.T) {
	is := is.New(t)
	set := func(prefixes ...string) []*Object {
		objects := []*Object{
			{Kind: KindEndpointSet, Name: "s", EndpointSet: &EndpointSetSpec{Announce: "s"}},
			{Kind: KindService, Name: "s", Service: &ServiceSpec{EndpointSet: "s"}},
		}
		for i, p := range prefixes {
			objects = append(objects, &Object{Kind: KindRoute, Name: string(rune('a' + i)),
				Route: &RouteSpec{PathPrefix: p, Service: "s"}})
		}
		return objects
	}
	is.NoErr(Validate(set("/caf%C3%A9/", "/cafe/")))
	is.True(errorx.IsOfType(Validate(set("/caf%C3%A9/", "/caf%c3%a9/")), errdefs.Invalid))
	is.True(errorx.IsOfType(Validate(set("/a%2/")), errdefs.Invalid))
}
