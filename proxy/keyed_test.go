package proxy

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"siskingw/idem"
	"siskingw/member"
)

// mint requests a new key from the node and returns it with the index of its owner.
func (r *rig) mint(t *testing.T) (key string, owner int) {
	resp, body := r.do(t, "POST", "/siskingw/keys?service=floor", "")
	var m struct{ Key, Owner string }
	if err := json.Unmarshal([]byte(body), &m); err != nil || resp.StatusCode != http.StatusCreated {
		t.Fatalf("%d %s", resp.StatusCode, body)
	}
	return m.Key, int(m.Owner[0] - 'a')
}

// Guards against a second run of a keyed call: concurrent and later retries must
// get the response of the only run.
func TestKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		time.Sleep(20 * time.Millisecond)
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, nil, rt.addr, rt.addr, rt.addr)
	key, _ := r.mint(t)
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			resp, body := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
			if resp.StatusCode != 200 || body != "ok" {
				t.Errorf("%d %q", resp.StatusCode, body)
			}
		})
	}
	wg.Wait()
	resp, body := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get(HeaderReplay), "true")
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against a keyed call that runs on another node than the key's owner, and
// against not-run from a node that cannot know whether an earlier attempt ran.
func TestKeyWithoutReachableOwner(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, nil, rt.addr, rt.addr)
	old := *r.records[0]
	old.Incarnation = 7
	for _, key := range []string{idem.Mint(&old, time.Now()).String(), idem.Mint(&member.Record{ID: "z"}, time.Now()).String()} {
		resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, key, HeaderFirst, "true")
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	}
	key, owner := r.mint(t)
	r.servers[owner].Close()
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	is.Equal(resp.StatusCode, 502)
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, key, HeaderFirst, "true")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, "my-own-key")
	is.Equal(resp.StatusCode, 400)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, key, HeaderDeadline, "0")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown) // may be a retry
	is.Equal(rt.runs.Load(), int32(0))
}

// Guards against a keyed call that runs again after its response was lost.
func TestLostKeyStaysUnknown(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, n int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	})
	r := newRig(t, nil, rt.addr)
	key, _ := r.mint(t)
	for range 3 {
		resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	}
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against a key that its draining owner hands over and that then runs twice
// or never.
func TestMovedKeyRunsAtTheNewOwner(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, nil, rt.addr, rt.addr)
	key, owner := r.mint(t)
	r.ledgers[owner].Drain(func(idem.Key) *member.Record { return r.records[1-owner] })
	r.inbounds[owner].Drain()
	for range 3 {
		resp, body := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
		is.Equal(resp.Header.Get(HeaderVoucher), "")
	}
	is.Equal(rt.runs.Load(), int32(1))
	r.servers[owner].Close()
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
}

// Guards against a refusal by the owner that is not reported as not-run, against a
// key that cannot run after its first attempt was refused, and against a retry
// that runs after the key was permanently refused.
func TestGateRefusalOfKeyIsNotRun(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, nil, closedAddr(t))
	key, _ := r.mint(t)
	resp, _ := r.do(t, "POST", "/bids", "bid", HeaderKey, key, HeaderFirst, "true")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	closed, _ := r.mint(t)
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, closed)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	r.inbounds[0].opts.Target = rt.addr // the target has started
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, key)
	is.Equal(resp.StatusCode, 200)
	is.Equal(rt.runs.Load(), int32(1))
	resp, _ = r.do(t, "POST", "/bids", "bid", HeaderKey, closed)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against a hop without a span and a span without its parent.
func TestOneSpanForEachHop(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Get("Traceparent") })))
	rec := tracetest.NewSpanRecorder()
	tracer := NewTracer(sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(rec)))
	r.out.opts.Tracer, r.inbounds[0].opts.Tracer = tracer, tracer
	r.do(t, "GET", "/", "", "Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	header := <-got
	for len(rec.Ended()) < 2 { // a span ends after its response was sent
		time.Sleep(time.Millisecond)
	}
	in, out := rec.Ended()[0], rec.Ended()[1]
	if in.Name() == "outbound" {
		in, out = out, in
	}
	is.Equal(in.Name(), "inbound")
	is.Equal(out.Parent().SpanID().String(), "b7ad6b7169203331")
	is.Equal(in.Parent().SpanID(), out.SpanContext().SpanID())
	is.Equal(in.SpanContext().TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
	is.Equal(header[36:52], in.SpanContext().SpanID().String())
}
