package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"siskingw/object"
	"siskingw/organisation"
	"siskingw/quota"
	"siskingw/snapshot"
)

const testKey = "k3y-of-ann"

// organisationRig is a rig whose nodes and target record everything that they get or log.
type organisationRig struct {
	*rig
	mu       sync.Mutex
	recorded bytes.Buffer
	target   http.Header // of the last request at the target
}

func (r *organisationRig) record(v any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(&r.recorded, v)
}

// recordingFormat records the headers that the target's node gets.
type recordingFormat struct {
	nativeFormat
	rig *organisationRig
}

func (f recordingFormat) ReadRequest(h http.Header) (CallerInfo, error) {
	f.rig.record(h)
	return f.nativeFormat.ReadRequest(h)
}

func newOrganisationRig(t *testing.T) *organisationRig {
	r := &organisationRig{}
	rt := newRawTarget(t, func(nc net.Conn, req *http.Request, _ int32) bool {
		r.record(req.Header)
		r.mu.Lock()
		r.target = req.Header
		r.mu.Unlock()
		io.WriteString(nc, okAnswer)
		return true
	})
	r.rig = newRig(t, nil, rt.addr)
	r.inbounds[0].opts.HeaderFormat = recordingFormat{rig: r}
	log := NewDecisionLog(funcr.New(func(prefix, args string) { r.record(prefix + args) }, funcr.Options{}))
	r.out.opts.DecisionLog, r.inbounds[0].opts.DecisionLog = log, log
	return r
}

// advance puts in force a version in which organisation ann has the keys.
func (r *organisationRig) advance(t *testing.T, version uint64, keys ...string) {
	t.Helper()
	priority := 0
	spec := &object.OrganisationSpec{Priority: &priority, RatePerS: 250}
	for _, k := range keys {
		spec.KeyDigests = append(spec.KeyDigests, object.KeyDigest(k))
	}
	lowest := 7
	s, err := snapshot.New(version, []*object.Object{
		{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "floor"}},
		{Kind: object.KindService, Name: "floor", Service: &object.ServiceSpec{EndpointSet: "floor"}},
		{Kind: object.KindPolicy, Name: "p", Policy: &object.PolicySpec{Priority: &lowest}},
		{Kind: object.KindRoute, Name: "all", Route: &object.RouteSpec{PathPrefix: "/", Service: "floor", RequireKey: true, Policy: "p"}},
		{Kind: object.KindRoute, Name: "open", Route: &object.RouteSpec{PathPrefix: "/open", Service: "floor"}},
		{Kind: object.KindOrganisation, Name: "ann", Organisation: spec},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.out.opts.Current.Advance(s); err != nil {
		t.Fatal(err)
	}
}

// Guards against calls that run without a valid key or under an organisation that the
// caller chose, against a key that is taken away and still works on an open
// connection, and against a key that reaches a node, a target or the log.
func TestCallsCarryTheirOrganisation(t *testing.T) {
	is := is.New(t)
	r := newOrganisationRig(t)
	status := func(path string, headers ...string) int {
		resp, body := r.do(t, "POST", path, "bid", headers...)
		is.True(!strings.Contains(body+fmt.Sprint(resp.Header), testKey))
		return resp.StatusCode
	}
	is.Equal(status("/bids", HeaderOrganisation, "forged;9"), 200) // no organisations, no keys
	is.Equal(r.target.Get(HeaderOrganisation), "")

	r.advance(t, 2, testKey)
	is.Equal(status("/bids", HeaderOrganisationKey, testKey, HeaderOrganisation, "forged;9", "Connection", "Organisation"), 200)
	is.Equal(r.target.Get(HeaderOrganisation), "ann")
	is.Equal(status("/bids"), 401)
	resp, _ := r.do(t, "POST", "/bids", "bid")
	is.True(resp.Close) // the server does not read the body and closes the connection
	is.Equal(status("/bids", HeaderOrganisationKey, testKey+"x"), 401)
	is.Equal(status("/open", HeaderOrganisation, "forged"), 200)
	is.Equal(r.target.Get(HeaderOrganisation), "")
	is.Equal(status("/open", HeaderOrganisationKey, testKey+"x"), 200)

	r.advance(t, 3, "other")
	is.Equal(status("/bids", HeaderOrganisationKey, testKey), 401) // on the connection of the earlier calls
	is.Equal(status("/bids", HeaderOrganisationKey, "other"), 200)
	r.advance(t, 4)
	is.Equal(status("/bids", HeaderOrganisationKey, "other"), 401) // the organisation has no key left
	r.advance(t, 5, testKey)
	is.Equal(status("/bids", HeaderOrganisationKey, testKey), 200)
	r.gates[0].Drain()
	is.Equal(status("/bids", HeaderOrganisationKey, testKey), 503) // refused calls are logged

	r.mu.Lock()
	defer r.mu.Unlock()
	is.True(strings.Contains(r.recorded.String(), "call ended"))
	is.True(strings.Contains(r.recorded.String(), "ann;250"))
	is.True(!strings.Contains(r.recorded.String(), testKey))
}

// Guards against a node without a configuration that tells callers that their key
// is unknown.
func TestUnconfiguredNodeDoesNotJudgeKeys(t *testing.T) {
	is := is.New(t)
	r := newOrganisationRig(t)
	r.out.opts.Current = new(snapshot.Current)
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderOrganisationKey, testKey)
	is.Equal(resp.StatusCode, 503)
}

// Guards against an organisation whose calls are queued with the priority of the route or
// with the weight of another organisation at the target's node.
func TestOrganisationReachesTheGate(t *testing.T) {
	is := is.New(t)
	w := work{priority: 7}
	w.parseOrganisation("ann;250")
	is.Equal(w.organisation, "ann")
	is.Equal(w.weight, 250.0)
	for _, v := range []string{"", "ann", "ann;", "ann;-1", "ann;NaN", "ann;+Inf"} {
		w := work{}
		w.parseOrganisation(v)
		is.Equal(w.weight, 0.0)
	}
	r := newOrganisationRig(t)
	r.advance(t, 2, testKey)
	set := r.out.opts.Organisations.Of(r.out.opts.Current.Load())
	w.setOrganisation(set.OfKey(testKey))
	is.Equal(w.priority, 0)
}

// ledgerQuota is a Quota without pools.
type ledgerQuota struct{ *quota.Ledger }

func (q ledgerQuota) Acquire(_ context.Context, t *organisation.Organisation, late bool) quota.Decision {
	if late {
		return q.TakeLate(t, false, time.Now())
	}
	return q.Take(t, true, false, time.Now())
}
func (q ledgerQuota) Return(c quota.Credit) { q.Ledger.Return(c, time.Now()) }
func (q ledgerQuota) Peek(t *organisation.Organisation) quota.State {
	return q.Ledger.Peek(t, time.Now())
}

// Guards against an explanation that spends credit of the organisation, or that differs from
// what the next call gets.
func TestWhereShowsTheQuota(t *testing.T) {
	is := is.New(t)
	r := newOrganisationRig(t)
	r.advance(t, 2, testKey)
	ann := r.out.opts.Organisations.Of(r.out.opts.Current.Load()).Get("ann")
	l := quota.NewLedger("a", 1, quota.DefaultBounds, time.Now().Add(-time.Hour), func() float64 { return 0.5 })
	r.out.opts.Quota = ledgerQuota{l}
	where := func() Placement {
		p, err := r.out.Where(WhereQuery{Path: "/bids", Organisation: "ann"})
		is.NoErr(err)
		return p
	}
	p := where()
	is.Equal(p.Quota.Verdict, quota.Refused)
	is.Equal(p.Status, http.StatusTooManyRequests)
	is.Equal(p.Reason, quota.CauseNoContact)
	is.True(p.RetryAfterMin > 0)
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderOrganisationKey, testKey)
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)

	start := time.Now()
	grant := quota.Answer{Stamp: quota.Stamp{Pool: "a", Incarnation: 1}, Grants: []quota.Grant{{Organisation: "ann", Tokens: 1, Life: time.Second}}}
	l.Apply(quota.Ask{}, grant, start, start)
	for range 10 {
		p = where()
	}
	if time.Since(start) < 900*time.Millisecond { // else the credit has lapsed
		is.Equal(p.Quota.Verdict, quota.Allowed)
		is.Equal(p.Quota.Held, 1)
		is.Equal(p.Status, 0)
		is.Equal(l.Take(ann, true, false, start).Verdict, quota.Allowed)
	}
	p, err := r.out.Where(WhereQuery{Path: "/bids", Organisation: "nobody"})
	is.NoErr(err)
	is.Equal(p.Quota, nil)
}
