package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
)

// fakeBackend is a Publisher and StatusSource that returns the error the test sets
// and records the last request.
type fakeBackend struct {
	err  error
	last publish.Request
}

func (s *fakeBackend) Apply(_ context.Context, r publish.Request) (publish.Result, error) {
	s.last = r
	return publish.Result{Version: 3, Changed: true}, s.err
}

func (s *fakeBackend) History(context.Context, int) ([]publish.HistoryEntry, error) {
	return nil, s.err
}
func (s *fakeBackend) Status() Status { return Status{Node: "n"} }

func serve(t *testing.T, s *fakeBackend) *httptest.Server {
	mux := http.NewServeMux()
	NewServer(s, new(snapshot.Current), s, logr.Discard()).Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server
}

// Guards against errors that lose their type or their details when they are sent
// to the client.
func TestErrorsKeepTheirType(t *testing.T) {
	is := is.New(t)
	s := new(fakeBackend)
	c := NewClient(strings.TrimPrefix(serve(t, s).URL, "http://"))
	defer c.Close()
	for _, w := range wireErrors {
		s.err = w.errorType.New("broken")
		_, err := c.History(t.Context(), 1)
		is.True(errorx.IsOfType(err, w.errorType))
		is.True(strings.HasSuffix(err.Error(), "broken"))
	}
	s.err = object.NewInvalid([]object.Fault{{Object: "Route/r", Field: "spec.host", Reason: "bad"}})
	_, err := c.Apply(t.Context(), publish.Request{})
	is.Equal(object.FaultsOf(err), object.FaultsOf(s.err))
	s.err = publish.NewConflict([]publish.ObjectConflict{{Key: object.Key{Kind: "Route", Name: "r"}, BasedOn: 1, Revision: 2, Author: "bob"}})
	_, err = c.Apply(t.Context(), publish.Request{})
	is.True(errorx.IsOfType(err, errdefs.Conflict))
	is.Equal(publish.ConflictsOf(err), publish.ConflictsOf(s.err))
}

// Guards against requests with unknown fields or invalid numbers that are
// accepted, and against a DELETE whose parameters are lost.
func TestRequests(t *testing.T) {
	is := is.New(t)
	s := new(fakeBackend)
	server := serve(t, s)
	do := func(method, path, body string) int {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := server.Client().Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	is.Equal(do("POST", "/v1/apply", `{"operationId":"o","changes":[],"force":true}`), http.StatusUnprocessableEntity)
	is.Equal(do("POST", "/v1/apply", `{"operationId":"o","changes":[{"object":{"kind":"Route","name":"r","spec":{"x":1}}}]}`), http.StatusUnprocessableEntity)
	is.Equal(do("DELETE", "/v1/objects/Route/r?basedOn=x", ""), http.StatusUnprocessableEntity)
	is.Equal(do("GET", "/v1/objects/Route/r", ""), http.StatusNotFound)
	is.Equal(do("DELETE", "/v1/objects/Route/r?basedOn=4&operation=o&author=ann&since=9", ""), http.StatusOK)
	is.Equal(*s.last.Changes[0].BasedOn, uint64(4))
	is.Equal(s.last.Changes[0].Key(), object.Key{Kind: object.KindRoute, Name: "r"})
	is.Equal(s.last.Since, uint64(9))
	is.Equal(s.last.OperationID+s.last.Author, "oann")
}

// Guards against objects that cannot be read because of their name: a server removes
// some segments of a path and splits it at slashes.
func TestObjectsOfAnyName(t *testing.T) {
	is := is.New(t)
	names := []string{"lot_photos", ".", "..", "a/b", "a//../b", "%2F", "a?b#c", "größe", " \n"}
	var objects []*object.Object
	for _, name := range names {
		objects = append(objects, &object.Object{Kind: object.KindPolicy, Name: name, Policy: &object.PolicySpec{}})
	}
	snap, err := snapshot.New(1, objects)
	is.NoErr(err)
	var current snapshot.Current
	is.NoErr(current.Advance(snap))
	mux := http.NewServeMux()
	NewServer(new(fakeBackend), &current, new(fakeBackend), logr.Discard()).Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	c := NewClient(strings.TrimPrefix(server.URL, "http://"))
	defer c.Close()
	for _, name := range names {
		o, err := c.Object(t.Context(), object.Key{Kind: object.KindPolicy, Name: name})
		is.NoErr(err)
		is.Equal(o.Name, name)
	}
}

// Guards against a version that is reported as in force before it is.
func TestStateOf(t *testing.T) {
	is := is.New(t)
	since := time.Unix(1, 0)
	in := Domain{InForce: 5}
	is.Equal(in.StateOf(5), StateInForce)
	is.Equal(in.StateOf(6), StatePending)
	is.Equal(Domain{}.StateOf(0), StatePending)
	is.Equal(Domain{InForce: 9, UnreachableSince: &since}.StateOf(5), StateUnreachable)
	is.True(!Status{}.InForce(1))
	is.True(Status{Domains: []Domain{in}}.InForce(5))
	is.True(!Status{Domains: []Domain{in, {InForce: 4}}}.InForce(5))
}
