package proxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/faults"
	"siskingw/member"
	"siskingw/object"
	"siskingw/snapshot"
)

// fakeBalancer offers its records in order and keeps the reports.
type fakeBalancer struct {
	mu      sync.Mutex
	records []*member.Record
	reports []Report
}

type fakePick struct {
	b *fakeBalancer
	r *member.Record
}

func (p *fakePick) Target() *member.Record { return p.r }
func (p *fakePick) Done(r Report) {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	p.b.reports = append(p.b.reports, r)
}

func (b *fakeBalancer) Pick(_ *object.EndpointSetSpec, _ *object.EjectionSpec, skip []string) (Picked, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
next:
	for _, r := range b.records {
		for _, s := range skip {
			if s == r.ID {
				continue next
			}
		}
		return &fakePick{b, r}, nil
	}
	return nil, faults.NotRun.New("no endpoint")
}

// fakeGate admits everything until it is told to drain.
type fakeGate struct {
	draining atomic.Bool
	calls    sync.WaitGroup
}

type fakeTicket struct{ g *fakeGate }

func (t fakeTicket) Leave() { t.g.calls.Done() }
func (g *fakeGate) Enter(context.Context, object.WorkKind) (Ticket, error) {
	if g.draining.Load() {
		return nil, faults.NotRun.New("draining")
	}
	g.calls.Add(1)
	return fakeTicket{g}, nil
}
func (g *fakeGate) Drain()                     { g.draining.Store(true) }
func (g *fakeGate) Wait(context.Context) error { g.calls.Wait(); return nil }
func (g *fakeGate) Load() float64              { return 0.5 }

// serveOn runs a server for the length of the test and returns its address.
func serveOn(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(h, ServerOptions{})
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// rig is an outbound node in front of inbound nodes, one for each target.
type rig struct {
	addr     string // of the outbound listener
	current  snapshot.Current
	balancer *fakeBalancer
	inbounds []*Inbound
	out      *Outbound
}

// newRig starts nodes for targets that listen on the addresses.
func newRig(t *testing.T, policy *object.PolicySpec, targets ...string) *rig {
	t.Helper()
	r := &rig{balancer: &fakeBalancer{}}
	for i, target := range targets {
		in := NewInbound(InboundOptions{Target: target, Gate: &fakeGate{}})
		r.inbounds = append(r.inbounds, in)
		r.balancer.records = append(r.balancer.records, &member.Record{
			ID: string(rune('a' + i)), Incarnation: 1, State: member.Alive, InboundAddr: serveOn(t, in), Service: "floor",
		})
	}
	set := []*object.Object{
		{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "floor"}},
		{Kind: object.KindPolicy, Name: "p", Policy: policy},
		{Kind: object.KindService, Name: "floor", Service: &object.ServiceSpec{EndpointSet: "floor", Policy: "p"}},
		{Kind: object.KindRoute, Name: "all", Route: &object.RouteSpec{PathPrefix: "/", Service: "floor", Kind: object.WorkBid}},
	}
	if policy == nil {
		set[1].Policy = &object.PolicySpec{}
	}
	s, err := snapshot.New(1, set)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.current.Advance(s); err != nil {
		t.Fatal(err)
	}
	r.out = NewOutbound(OutboundOptions{Current: &r.current, Balancer: r.balancer})
	r.addr = serveOn(t, r.out)
	return r
}

// Guards against a call through both nodes that changes method, body or answer.
func TestCallThroughBothNodes(t *testing.T) {
	is := is.New(t)
	big := strings.Repeat("scan", 64<<10)
	target := serveOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Method", r.Method)
		w.WriteHeader(http.StatusCreated)
		w.Write(b)
	}))
	r := newRig(t, nil, target)
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	for _, body := range []string{"", "bid", big} {
		for range 3 {
			resp, err := client.Post("http://"+r.addr+"/bids?lot=1", "text/plain", bytes.NewReader([]byte(body)))
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusCreated)
			is.Equal(resp.Header.Get("Method"), "POST")
			is.True(string(got) == body)
		}
	}
}
