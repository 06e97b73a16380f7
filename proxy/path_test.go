package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskingw/object"
	"siskingw/snapshot"
)

// Guards against calls that run at the service of another route: the route was
// selected on the decoded path, in which an escaped slash separates segments, and
// a prefix with an escape was never selected.
func TestRouteIsSelectedOnThePathAsSent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, closedAddr(t))
	s, err := snapshot.New(2, []*object.Object{
		{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "floor"}},
		{Kind: object.KindService, Name: "floor", Service: &object.ServiceSpec{EndpointSet: "floor"}},
		{Kind: object.KindRoute, Name: "bids", Route: &object.RouteSpec{PathPrefix: "/bids/", Service: "floor"}},
		{Kind: object.KindRoute, Name: "closed", Route: &object.RouteSpec{PathPrefix: "/bids/closed/", Service: "floor"}},
		{Kind: object.KindRoute, Name: "cafe", Route: &object.RouteSpec{PathPrefix: "/caf%C3%A9/", Service: "floor"}},
	})
	is.NoErr(err)
	is.NoErr(r.out.opts.Current.Advance(s))
	for path, route := range map[string]string{
		"/bids/closed/1": "closed", "/bids/closed%2F1": "bids", "/bids/closed%2f1": "bids",
		"/b%69ds/clos%65d/1": "closed", "/caf%C3%A9/1": "cafe", "/caf%c3%a9/1": "cafe",
	} {
		req, err := http.NewRequest(http.MethodGet, "http://x"+path, nil)
		is.NoErr(err)
		selected, f := routePath(req)
		is.True(f == nil)
		is.Equal(r.out.opts.Current.Load().Match("x", selected).Name, route)
	}
	got := rawCall(t, r.addr, "GET /bids%2Fclosed/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	is.True(strings.HasPrefix(got, "HTTP/1.1 404 "))
}

// Guards against a path or query that reaches the target other than it was sent.
func TestPathReachesTheTargetUnchanged(t *testing.T) {
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Got: "+r.RequestURI+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newRig(t, nil, rt.addr)
	for _, uri := range []string{
		"/", "/a|b", "/a|b?c|d=%7C", "/a%7cb", "/a%2Fb", "/a%2fb/", "//a", "/a//b", "/a/../b", "/a/%2e%2e/b", "/^`{}\"<>", "/a?",
	} {
		got := rawCall(t, r.addr, "GET "+uri+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		if !strings.Contains(got, "X-Got: "+uri+"\r\n") {
			t.Errorf("%s reached the target otherwise: %q", uri, got)
		}
	}
	for _, uri := range []string{"/%", "/a%zz", "//a|b"} {
		if got := rawCall(t, r.addr, "GET "+uri+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 400 ") {
			t.Errorf("%s was not refused: %q", uri, got)
		}
	}
}

// Guards against calls that fail because a caller uses a header or a path to which
// the proxy gives a meaning of its own, where the proxy does not offer it.
func TestCallersKeysAndPathsArePassedOn(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Got: "+r.RequestURI+" "+r.Header.Get(HeaderKey)+"\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newRig(t, nil, rt.addr)
	r.out.opts.NoKeys, r.inbounds[0].opts.NoKeys = true, true
	resp, _ := r.do(t, "POST", "/siskingw/keys", "x", HeaderKey, "order-7")
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.Header.Get("X-Got"), "/siskingw/keys order-7")
	resp, _ = r.do(t, "POST", "/bids/1", "x", HeaderKey, "")
	is.Equal(resp.StatusCode, 200)
}
