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
	"siskingw/quota"
	"siskingw/snapshot"
	"siskingw/tenant"
)

const testKey = "k3y-of-ann"

// tenantRig is a rig whose nodes and target record everything that they get or log.
type tenantRig struct {
	*rig
	mu       sync.Mutex
	recorded bytes.Buffer
	target   http.Header // of the last request at the target
}

func (r *tenantRig) record(v any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(&r.recorded, v)
}

// recordingFormat records the headers that the target's node gets.
type recordingFormat struct {
	nativeFormat
	rig *tenantRig
}

func (f recordingFormat) ReadRequest(h http.Header) (CallerInfo, error) {
	f.rig.record(h)
	return f.nativeFormat.ReadRequest(h)
}

func newTenantRig(t *testing.T) *tenantRig {
	r := &tenantRig{}
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

// advance puts in force a version in which tenant ann has the keys.
func (r *tenantRig) advance(t *testing.T, version uint64, keys ...string) {
	t.Helper()
	priority := 0
	spec := &object.TenantSpec{Priority: &priority, RatePerS: 250}
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
		{Kind: object.KindTenant, Name: "ann", Tenant: spec},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.out.opts.Current.Advance(s); err != nil {
		t.Fatal(err)
	}
}

// Guards against calls that run without a valid key or under a tenant that the
// caller chose, against a key that is taken away and still works on an open
// connection, and against a key that reaches a node, a target or the log.
func TestCallsCarryTheirTenant(t *testing.T) {
	is := is.New(t)
	r := newTenantRig(t)
	status := func(path string, headers ...string) int {
		resp, body := r.do(t, "POST", path, "bid", headers...)
		is.True(!strings.Contains(body+fmt.Sprint(resp.Header), testKey))
		return resp.StatusCode
	}
	is.Equal(status("/bids", HeaderTenant, "forged;9"), 200) // no tenants, no keys
	is.Equal(r.target.Get(HeaderTenant), "")

	r.advance(t, 2, testKey)
	is.Equal(status("/bids", HeaderTenantKey, testKey, HeaderTenant, "forged;9", "Connection", "Tenant"), 200)
	is.Equal(r.target.Get(HeaderTenant), "ann")
	is.Equal(status("/bids"), 401)
	resp, _ := r.do(t, "POST", "/bids", "bid")
	is.True(resp.Close) // the server does not read the body and closes the connection
	is.Equal(status("/bids", HeaderTenantKey, testKey+"x"), 401)
	is.Equal(status("/open", HeaderTenant, "forged"), 200)
	is.Equal(r.target.Get(HeaderTenant), "")
	is.Equal(status("/open", HeaderTenantKey, testKey+"x"), 200)

	r.advance(t, 3, "other")
	is.Equal(status("/bids", HeaderTenantKey, testKey), 401) // on the connection of the earlier calls
	is.Equal(status("/bids", HeaderTenantKey, "other"), 200)
	r.advance(t, 4)
	is.Equal(status("/bids", HeaderTenantKey, "other"), 401) // the tenant has no key left
	r.advance(t, 5, testKey)
	is.Equal(status("/bids", HeaderTenantKey, testKey), 200)
	r.gates[0].Drain()
	is.Equal(status("/bids", HeaderTenantKey, testKey), 503) // refused calls are logged

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
	r := newTenantRig(t)
	r.out.opts.Current = new(snapshot.Current)
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderTenantKey, testKey)
	is.Equal(resp.StatusCode, 503)
}

// Guards against a tenant whose calls are queued with the priority of the route or
// with the weight of another tenant at the target's node.
func TestTenantReachesTheGate(t *testing.T) {
	is := is.New(t)
	w := work{priority: 7}
	w.parseTenant("ann;250")
	is.Equal(w.tenant, "ann")
	is.Equal(w.weight, 250.0)
	for _, v := range []string{"", "ann", "ann;", "ann;-1", "ann;NaN", "ann;+Inf"} {
		w := work{}
		w.parseTenant(v)
		is.Equal(w.weight, 0.0)
	}
	r := newTenantRig(t)
	r.advance(t, 2, testKey)
	set := r.out.opts.Tenants.Of(r.out.opts.Current.Load())
	w.setTenant(set.OfKey(testKey))
	is.Equal(w.priority, 0)
}

// ledgerQuota is a Quota without pools.
type ledgerQuota struct{ *quota.Ledger }

func (q ledgerQuota) Acquire(_ context.Context, t *tenant.Tenant, late bool) quota.Decision {
	if late {
		return q.TakeLate(t, false, time.Now())
	}
	return q.Take(t, true, false, time.Now())
}
func (q ledgerQuota) Return(c quota.Credit)             { q.Ledger.Return(c, time.Now()) }
func (q ledgerQuota) Peek(t *tenant.Tenant) quota.State { return q.Ledger.Peek(t, time.Now()) }

// Guards against an explanation that spends credit of the tenant, or that differs from
// what the next call gets.
func TestWhereShowsTheQuota(t *testing.T) {
	is := is.New(t)
	r := newTenantRig(t)
	r.advance(t, 2, testKey)
	ann := r.out.opts.Tenants.Of(r.out.opts.Current.Load()).Get("ann")
	l := quota.NewLedger("a", 1, quota.DefaultBounds, time.Now().Add(-time.Hour), func() float64 { return 0.5 })
	r.out.opts.Quota = ledgerQuota{l}
	where := func() Placement {
		p, err := r.out.Where(WhereQuery{Path: "/bids", Tenant: "ann"})
		is.NoErr(err)
		return p
	}
	p := where()
	is.Equal(p.Quota.Verdict, quota.Refused)
	is.Equal(p.Status, http.StatusTooManyRequests)
	is.Equal(p.Reason, quota.CauseNoContact)
	is.True(p.RetryAfterMin > 0)
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderTenantKey, testKey)
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)

	start := time.Now()
	grant := quota.Answer{Stamp: quota.Stamp{Pool: "a", Incarnation: 1}, Grants: []quota.Grant{{Tenant: "ann", Tokens: 1, Life: time.Second}}}
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
	p, err := r.out.Where(WhereQuery{Path: "/bids", Tenant: "nobody"})
	is.NoErr(err)
	is.Equal(p.Quota, nil)
}
