package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
	"siskingw/object"
)

// States of a faultyLink.
const (
	linkUp         int32 = iota
	linkLoseAnswer       // requests pass; the connection is reset at the first byte of a response
	linkCut              // connections are reset as soon as they are accepted
	linkSilent           // connections are accepted, but no data passes
)

// faultyLink is a TCP proxy to one address that injects the fault of its state.
type faultyLink struct {
	addr   string
	state  atomic.Int32
	closed chan struct{}
}

func newFaultyLink(t *testing.T, target string) *faultyLink {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &faultyLink{addr: lis.Addr().String(), closed: make(chan struct{})}
	t.Cleanup(func() { lis.Close(); close(l.closed) })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.relay(c.(*net.TCPConn), target)
		}
	}()
	return l
}

func (l *faultyLink) relay(c *net.TCPConn, target string) {
	defer c.Close()
	switch l.state.Load() {
	case linkCut:
		_ = c.SetLinger(0)
		return
	case linkSilent:
		<-l.closed
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer s.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _, _ = io.Copy(s, c) })
	buf := make([]byte, 32<<10)
	for {
		n, err := s.Read(buf)
		if err != nil || l.state.Load() != linkUp {
			_ = c.SetLinger(0)
			_ = c.Close()
			return
		}
		if _, err := c.Write(buf[:n]); err != nil {
			return
		}
	}
}

// throughLink makes the caller's node connect to the first target's node through a
// faultyLink, which it returns.
func (r *rig) throughLink(t *testing.T) *faultyLink {
	rec := *r.records[0]
	l := newFaultyLink(t, rec.InboundAddr)
	rec.InboundAddr = l.addr
	rec.Sequence++
	r.view.Merge([]member.Record{rec})
	return l
}

// Guards against a second run, a wrong "not run" or a lost response of a keyed call
// when the link first loses its response and then fails while the caller retries.
// Once the link works again, a retry must get the response of the only run.
func TestAnswerLostThenLinkCut(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, nil, rt.addr)
	l := r.throughLink(t)
	key, _ := r.mint(t)
	for _, state := range []int32{linkLoseAnswer, linkLoseAnswer, linkCut, linkSilent} {
		l.state.Store(state)
		resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key, HeaderDeadline, "200")
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		is.Equal(rt.runs.Load(), int32(1))
	}
	l.state.Store(linkUp)
	for range 2 {
		resp, body := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
		is.Equal(resp.Header.Get(HeaderReplay), "true")
	}
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against a retry of a non-idempotent call without a key whose response was
// lost.
func TestUnkeyedAnswerLostIsUnknown(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, &object.PolicySpec{Retries: 3}, rt.addr, rt.addr)
	l := r.throughLink(t)
	l.state.Store(linkLoseAnswer)
	lost := 0
	for n := range int32(40) {
		resp, _ := r.do(t, "POST", "/bids", "bid")
		if resp.StatusCode != 200 {
			is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
			lost++
		}
		is.Equal(rt.runs.Load(), n+1)
	}
	is.True(lost > 0)
}

// Guards against a target that stalls within its response and holds the caller or
// a slot beyond the deadline, and against a partial response that looks complete.
func TestStalledAnswerEndsByTheDeadline(t *testing.T) {
	is := is.New(t)
	stalled := make(chan struct{})
	defer close(stalled)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		<-stalled
		return false
	})
	r := newRig(t, nil, rt.addr)
	req, err := http.NewRequest("POST", "http://"+r.addr+"/bids", nil)
	is.NoErr(err)
	req.Header.Set(HeaderDeadline, "200")
	began := time.Now()
	resp, err := r.client.Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	is.True(err != nil || resp.Header.Get(HeaderOutcome) == OutcomeUnknown)
	is.True(time.Since(began) < 2*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	is.NoErr(r.gates[0].Wait(ctx))
	is.Equal(rt.runs.Load(), int32(1))
}
