package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/budget"
	"siskingw/member"
)

// limitedRig is a rig of two nodes that have budgets with low limits.
type limitedRig struct {
	*rig
	budget       *budget.Budget // of the callers' node
	targetBudget *budget.Budget // of the target's node
}

// newLimitedRig starts one node with slots for its target, and an outbound listener with
// pipelining.
func newLimitedRig(t *testing.T, limits budget.Limits, slots int, target string) *limitedRig {
	t.Helper()
	r := &limitedRig{rig: newRig(t, nil, target), budget: budget.New(limits)}
	bodies := BodyOptions{MaxBuffered: 4 << 20, BufferUnsized: true, StreamSlotPercent: 50, Budget: r.budget}
	r.targetBudget = budget.New(limits)
	inboundBodies := bodies
	inboundBodies.Budget = r.targetBudget
	in := NewInbound(InboundOptions{Target: target, Gate: admit.New(admit.Options{Slots: slots}), Bodies: inboundBodies})
	record := *r.records[0]
	record.Incarnation++
	record.InboundAddr = serveLimited(t, in, ServerOptions{Bodies: inboundBodies})
	r.view.Merge([]member.Record{record})
	r.out.opts.Bodies = bodies
	r.addr = serveLimited(t, r.out, ServerOptions{MaxPipelined: 4, Bodies: bodies})
	return r
}

// serveLimited serves h on a new address until the end of the test.
func serveLimited(t *testing.T, h http.Handler, opts ServerOptions) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewConnServer(h, opts)
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// hashingTarget answers with the length and the hash of the body.
func hashingTarget(t *testing.T) string {
	return serveOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%d %x", len(b), sha256.Sum256(b))
	}))
}

// Guards against a body that is refused or changed because there is no memory to buffer
// it, and against memory that is not returned.
func TestBodyWithoutMemoryIsStreamed(t *testing.T) {
	is := is.New(t)
	r := newLimitedRig(t, budget.Limits{Bytes: 512 << 10, MinRate: 1000, StallTime: 3 * time.Second}, 4, hashingTarget(t))
	content := bytes.Repeat([]byte("0123456789abcde\n"), 3<<20/16)
	want := fmt.Sprintf("%d %x", len(content), sha256.Sum256(content))
	for _, body := range []io.Reader{bytes.NewReader(content), io.MultiReader(bytes.NewReader(content))} { // with a length and in chunks
		req, err := http.NewRequest("POST", "http://"+r.addr+"/bids", body)
		is.NoErr(err)
		resp, err := r.client.Do(req)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.Equal(string(got), want)
	}
	is.True(r.budget.Denied() > 0)
	for end := time.Now().Add(2 * time.Second); r.budget.Used() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.budget.Used(), int64(0))
}

// Guards against a call that is run, or refused without a promise or an advice, when
// there is no memory even for streaming.
func TestCallWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newLimitedRig(t, budget.Limits{Bytes: 1 << 20, MinRate: 1000, StallTime: 3 * time.Second}, 4, rt.addr)
	large := r.budget.Open("other", func(budget.Direction) {})
	is.True(large.Grow(768 << 10)) // all but the reserve for small calls
	got := rawCall(t, r.addr, "POST /bids HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n")
	is.True(strings.HasPrefix(got, "HTTP/1.1 503 "))
	is.True(strings.Contains(got, "Siskingw-Outcome: not-run"))
	is.Equal(rt.runs.Load(), int32(0))
	resp, _ := r.do(t, "POST", "/bids", "a small body")
	is.Equal(resp.StatusCode, 200)
	for range 4 { // the reserve holds four small calls
		small := r.budget.Open("other", func(budget.Direction) {})
		for small.Grow(1 << 10) {
		}
	}
	got = rawCall(t, r.addr, "GET /bids HTTP/1.1\r\nHost: x\r\n\r\n")
	is.True(strings.HasPrefix(got, "HTTP/1.1 503 "))
	is.True(strings.Contains(got, "Retry-After: "))
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against bodies that stop and keep the slots of the target from other calls.
func TestStoppedBodiesLeaveSlotsToOthers(t *testing.T) {
	is := is.New(t)
	r := newLimitedRig(t, budget.Limits{Bytes: 64 << 20, MinRate: 1000, StallTime: 100 * time.Millisecond}, 2, hashingTarget(t))
	for range 3 {
		nc := dial(t, r.addr)
		io.WriteString(nc, "POST /bids HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\nbeginning")
	}
	for end := time.Now().Add(2 * time.Second); r.targetBudget.Denied() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	resp, _ := r.do(t, "GET", "/lots", "")
	is.Equal(resp.StatusCode, 200) // a slot is left
	for end := time.Now().Add(3 * time.Second); r.targetBudget.Evicted() == 0 && time.Now().Before(end); {
		got := rawCall(t, r.addr, "POST /bids HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\nConnection: close\r\n\r\n"+strings.Repeat("x", 8000000))
		if strings.HasPrefix(got, "HTTP/1.1 200") {
			break
		}
		is.True(strings.HasPrefix(got, "HTTP/1.1 503")) // not run: it comes back
	}
	is.True(r.targetBudget.Evicted() > 0) // the stopped body has left its slot
}

// Guards against more connections than the limit allows, against a limit that idle
// connections use up for good, and against a connection in use that is closed.
func TestConnectionsAreLimited(t *testing.T) {
	is := is.New(t)
	running, end := make(chan struct{}, 4), make(chan struct{})
	limit := NewConnLimit(2, func(string) {})
	srv := NewConnServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			running <- struct{}{}
			<-end
		}
	}), ServerOptions{Conns: limit})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go srv.Serve(l)
	defer srv.Close()
	addr := l.Addr().String()
	idle, busy := dial(t, addr), dial(t, addr)
	io.WriteString(busy, "GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	<-running
	is.Equal(rawCall(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"), "") // the idle one has just connected
	time.Sleep(minIdleBeforeClose)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHos") // a header that does not end
	time.Sleep(minIdleBeforeClose + 100*time.Millisecond)
	is.True(strings.HasPrefix(rawCall(t, addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200"))
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil)
	close(end)
	b := make([]byte, 12)
	_, err = io.ReadFull(busy, b)
	is.NoErr(err)
	is.Equal(string(b), "HTTP/1.1 200")
	is.Equal(limit.Refused(), int64(1))
	busy.Close()
	for end := time.Now().Add(2 * time.Second); limit.Open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(limit.Open(), int64(0))
}

// Guards against connections to other nodes that use up the descriptors of the process,
// and against idle ones that keep another address from being dialed.
func TestPoolLimitsConnectionsToAllAddresses(t *testing.T) {
	is := is.New(t)
	var addrs []string
	for range 3 {
		addrs = append(addrs, newRawTarget(t, func(net.Conn, *http.Request, int32) bool { return true }).addr)
	}
	full := 0
	p := NewPool(PoolOptions{MaxOpen: 2, OnFull: func() { full++ }})
	defer p.Close()
	deadline := time.Now().Add(3 * time.Second)
	first, err := p.get(context.Background(), addrs[0], deadline)
	is.NoErr(err)
	second, err := p.get(context.Background(), addrs[1], deadline)
	is.NoErr(err)
	_, err = p.get(context.Background(), addrs[2], deadline)
	is.True(err != nil)
	is.Equal(full, 1)
	p.put(first)
	third, err := p.get(context.Background(), addrs[2], deadline) // in place of the idle one
	is.NoErr(err)
	p.discard(second)
	p.discard(third)
	is.Equal(p.open, 0)
	is.Equal(len(p.byAddr), 0)
}

// Guards against a caller that stops reading and keeps the target's slot or the node's
// memory from others.
func TestUnreadResponseIsEvicted(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
		block := make([]byte, 1<<20)
		for range 100 {
			if _, err := nc.Write(block); err != nil {
				return false
			}
		}
		return true
	})
	r := newLimitedRig(t, budget.Limits{Bytes: 64 << 20, MinRate: 1000, StallTime: 100 * time.Millisecond}, 1, rt.addr)
	nc := dial(t, r.addr)
	io.WriteString(nc, "GET /lots HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := io.ReadFull(nc, make([]byte, 12)) // the response has begun, so the call has its slot
	is.NoErr(err)
	for end := time.Now().Add(4 * time.Second); r.targetBudget.Evicted() == 0 && time.Now().Before(end); {
		rawCall(t, r.addr, "HEAD /lots HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") // finds no slot
		time.Sleep(10 * time.Millisecond)
	}
	is.True(r.targetBudget.Evicted() > 0)
}

// Guards against connections at a listener without calls that use up the descriptors, and
// against closed ones that count.
func TestLimitListener(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	limit := NewConnLimit(1, func(string) {})
	srv := NewServer(http.NotFoundHandler(), ServerOptions{})
	go srv.Serve(LimitListener(l, limit))
	defer srv.Close()
	addr := l.Addr().String()
	const request = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
	is.True(strings.HasPrefix(rawCall(t, addr, request), "HTTP/1.1 404"))
	for end := time.Now().Add(2 * time.Second); limit.Open() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	dial(t, addr)
	for end := time.Now().Add(2 * time.Second); limit.Open() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(rawCall(t, addr, request), "")
	is.Equal(limit.Refused(), int64(1))
	is.Equal(LimitListener(l, nil), l)
}
