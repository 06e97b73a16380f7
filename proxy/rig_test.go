package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/idem"
	"siskingw/member"
	"siskingw/object"
	"siskingw/snapshot"
)

// serveOn runs an HTTP server until the end of the test and returns its address.
func serveOn(t testing.TB, h http.Handler) string {
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

// serveCalls runs a ConnServer until the end of the test and returns it with its
// address.
func serveCalls(t testing.TB, h http.Handler) (*ConnServer, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewConnServer(h, ServerOptions{HeaderTimeout: 200 * time.Millisecond})
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return srv, l.Addr().String()
}

// rig is an outbound handler in front of inbound handlers, one for each target.
type rig struct {
	addr     string // of the outbound listener
	out      *Outbound
	view     *member.Directory
	records  []*member.Record
	inbounds []*Inbound
	servers  []*ConnServer
	gates    []*admit.Gate
	ledgers  []*idem.Ledger
	client   *http.Client
}

// newRig starts nodes with the IDs a, b, … for the targets with the given
// addresses. policy may be nil.
func newRig(t testing.TB, policy *object.PolicySpec, targets ...string) *rig {
	t.Helper()
	r := &rig{view: member.NewDirectory(member.Record{
		ID: "caller", Incarnation: 1, State: member.Alive, FailureDomain: "fd", Region: "r",
	}, member.DirectoryOptions{})}
	for i, target := range targets {
		id := string(rune('a' + i))
		gate, ledger := admit.New(admit.Options{Slots: 64}), idem.NewLedger(id, 1, idem.Options{})
		in := NewInbound(InboundOptions{Target: target, Gate: gate, Ledger: ledger})
		srv, addr := serveCalls(t, in)
		r.gates, r.ledgers = append(r.gates, gate), append(r.ledgers, ledger)
		r.inbounds, r.servers = append(r.inbounds, in), append(r.servers, srv)
		r.records = append(r.records, &member.Record{
			ID: id, Incarnation: 1, State: member.Alive, FailureDomain: "fd", Region: "r",
			InboundAddr: addr, Service: "floor", Slots: 64,
		})
	}
	for _, rec := range r.records {
		r.view.Merge([]member.Record{*rec})
	}
	if policy == nil {
		policy = &object.PolicySpec{}
	}
	s, err := snapshot.New(1, []*object.Object{
		{Kind: object.KindEndpointSet, Name: "floor", EndpointSet: &object.EndpointSetSpec{Announce: "floor"}},
		{Kind: object.KindPolicy, Name: "p", Policy: policy},
		{Kind: object.KindService, Name: "floor", Service: &object.ServiceSpec{EndpointSet: "floor", Policy: "p"}},
		{Kind: object.KindRoute, Name: "all", Route: &object.RouteSpec{PathPrefix: "/", Service: "floor", Kind: object.WorkBid}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var current snapshot.Current
	if err := current.Advance(s); err != nil {
		t.Fatal(err)
	}
	r.out = NewOutbound(OutboundOptions{Current: &current, Balancer: balance.New(r.view, balance.Options{}), View: r.view})
	_, r.addr = serveCalls(t, r.out)
	tr := &http.Transport{DisableCompression: true}
	t.Cleanup(tr.CloseIdleConnections)
	r.client = &http.Client{Transport: tr, Timeout: 10 * time.Second}
	return r
}

// do sends one request to the outbound listener and returns the response with its
// body. headers alternates names and values.
func (r *rig) do(t testing.TB, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := r.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// rawTarget is a target that counts the requests that it received in full and
// lets a test write raw bytes to the connection, or close it.
type rawTarget struct {
	addr  string
	runs  atomic.Int32
	conns atomic.Int32
}

// newRawTarget starts a target that calls serve for each request, with the number
// of the request from 1. serve reports whether the connection stays open.
func newRawTarget(t testing.TB, serve func(nc net.Conn, r *http.Request, n int32) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	rt := &rawTarget{addr: l.Addr().String()}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			rt.conns.Add(1)
			go rt.serve(nc, serve)
		}
	}()
	return rt
}

func (rt *rawTarget) serve(nc net.Conn, serve func(net.Conn, *http.Request, int32) bool) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil || req.ProtoMajor != 1 {
			return // a gRPC client of another test may dial a port that a node of its own had
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !serve(nc, req, rt.runs.Add(1)) {
			return
		}
	}
}

// closedAddr returns an address that refuses connections until the test ends. A
// socket stays bound to it and does not listen: a port that is only released may
// go to a listener of another test, which then answers.
func closedAddr(t testing.TB) string {
	t.Helper()
	is := is.New(t)
	syscall.ForkLock.RLock()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	syscall.ForkLock.RUnlock()
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
}

// Guards against a closed address that another listener gets, whose answers a test
// takes for those of the node under test.
func TestClosedAddrIsHeldAndRefuses(t *testing.T) {
	is := is.New(t)
	addr := closedAddr(t)
	_, err := net.Listen("tcp", addr)
	is.True(errors.Is(err, syscall.EADDRINUSE))
	_, err = net.Dial("tcp", addr)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

// rawCall connects to addr, sends the raw request and returns all bytes received
// until the connection closes or 3 s have passed.
func rawCall(t testing.TB, addr, request string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprint(nc, request)
	b, _ := io.ReadAll(nc)
	return string(b)
}
