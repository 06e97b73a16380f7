package proxy

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"siskingw/object"
)

// Guards against a call of an unavailable route that is sent to the route with the next
// shorter prefix, gets 404 or waits, against a refusal that does not say that the
// connection is closed after it, and against an operator who is not told why.
func TestCallsOfUnavailableRouteAreRefused(t *testing.T) {
	is := is.New(t)
	runs := 0
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ })))
	next, err := r.out.opts.Current.Load().WithChanges(2, []*object.Object{{Kind: object.KindRoute, Name: "closed",
		Route: &object.RouteSpec{PathPrefix: "/closed/", Kind: object.WorkBid, Unavailable: "its service does not exist"}}}, nil)
	is.NoErr(err)
	is.NoErr(r.out.opts.Current.Advance(next))
	for _, body := range []string{"", "x"} {
		resp, _ := r.do(t, "POST", "/closed/1", body)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
		is.Equal(resp.Close, body != "") // a connection with an unread body is closed
	}
	is.Equal(runs, 0)
	resp, _ := r.do(t, "GET", "/open", "")
	is.Equal(resp.StatusCode, http.StatusOK)

	p, err := r.out.Where(WhereQuery{Path: "/closed/1"})
	is.NoErr(err)
	is.Equal(p.Route, "closed")
	is.Equal(p.Status, http.StatusServiceUnavailable)
	is.Equal(p.Reason, "the route is unavailable: its service does not exist")
}
