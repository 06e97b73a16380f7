package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

// Guards against an aborted upload that looks complete to the target.
func TestUploadArrivesWholeOrFails(t *testing.T) {
	for name, head := range map[string]string{
		"length":       "Content-Length: 1000000\r\n\r\n" + strings.Repeat("s", 300<<10),
		"small length": "Content-Length: 1000\r\n\r\n" + strings.Repeat("s", 500),
		"chunked":      "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("s", 100000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			results := make(chan error, 1)
			r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				results <- err
			})))
			nc, err := net.Dial("tcp", r.addr)
			is.NoErr(err)
			fmt.Fprintf(nc, "POST /scan HTTP/1.1\r\nHost: x\r\n%s", head)
			time.Sleep(20 * time.Millisecond)
			nc.Close()
			select {
			case err := <-results:
				is.True(err != nil)
			case <-time.After(300 * time.Millisecond):
				is.Equal(name, "small length") // the others reach the target before they are aborted
			}
		})
	}
}

// Guards against an upload that blocks because the target responded early, and
// against the rest of its body being parsed as the next request.
func TestEarlyResponseToUpload(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // responds without reading the whole header or the body
				defer nc.Close()
				io.ReadFull(nc, make([]byte, 16))
				io.WriteString(nc, "HTTP/1.1 413 Too Large\r\nContent-Length: 4\r\n\r\nlate")
				time.Sleep(300 * time.Millisecond)
			}()
		}
	}()
	r := newRig(t, nil, l.Addr().String())
	got := rawCall(t, r.addr,
		"POST /scan HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\nGET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	is.True(strings.HasPrefix(got, "HTTP/1.1 413 "))
	is.Equal(strings.Count(got, "HTTP/1.1 "), 1)
	is.True(strings.Contains(got, "Connection: close"))
}

// Guards against a refused upload whose body is consumed and lost: the whole
// body must be sent to another node, and a caller that expects 100 Continue
// must get it.
func TestRefusedUploadIsRetriedOnAnotherNode(t *testing.T) {
	is := is.New(t)
	bodies := make(chan int, 2)
	target := serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- len(b)
	}))
	r := newRig(t, &object.PolicySpec{Retries: 1}, target, target)
	r.inbounds[0].Drain()
	for range 8 { // the first endpoint is selected at random
		for _, expect := range []string{"", "100-continue"} {
			resp, _ := r.do(t, "POST", "/scan", strings.Repeat("s", 200<<10), "Expect", expect)
			is.Equal(resp.StatusCode, 200)
			is.Equal(<-bodies, 200<<10)
		}
	}
	r.inbounds[1].Drain()
	resp, _ := r.do(t, "POST", "/scan", strings.Repeat("s", 200<<10))
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	is.Equal(resp.Header.Get(HeaderDraining), "") // only sent between nodes
}

// Guards against a drain that aborts calls in flight or admits new ones, and
// against callers that get a closed connection instead of a refusal.
func TestDrainFinishesWorkInFlight(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, n int32) bool {
		if n == 1 {
			close(started)
			<-release
		}
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, nil, rt.addr)
	var wg sync.WaitGroup
	wg.Go(func() {
		resp, body := r.do(t, "POST", "/bids", "bid")
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
	})
	<-started
	r.inbounds[0].Drain()
	for range 20 {
		resp, _ := r.do(t, "POST", "/bids", "bid")
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
		is.Equal(resp.StatusCode, 503)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- r.inbounds[0].Stop(t.Context(), r.servers[0], 10*time.Millisecond) }()
	close(release)
	wg.Wait()
	is.NoErr(<-stopped)
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against retries at more than one hop, beyond the retry budget, or of
// non-idempotent work that may have run.
func TestRetriesRespectBudgetAndOutcome(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { return reset(nc) })
	r := newRig(t, &object.PolicySpec{Retries: 3}, rt.addr, rt.addr, rt.addr, rt.addr)
	resp, _ := r.do(t, "POST", "/", "")
	is.Equal(rt.runs.Load(), int32(1))
	is.Equal(resp.Header.Get(HeaderRetry), "")
	resp, _ = r.do(t, "GET", "/", "")
	is.Equal(rt.runs.Load(), int32(5))
	is.Equal(resp.Header.Get(HeaderRetry), "done")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	for range 100 {
		r.do(t, "GET", "/", "")
	}
	// The budget starts with 10 retries and gains one for every tenth call, which
	// makes 10 for 102 calls.
	is.True(rt.runs.Load() <= 102+20)
	is.True(rt.runs.Load() >= 102+18)
}

// Guards against a not-run outcome for a call whose earlier attempt may have
// run.
func TestUnknownAttemptOverridesNotRun(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { return reset(nc) })
	for range 12 { // the random endpoint order differs between rigs
		r := newRig(t, nil, rt.addr, closedAddr(t))
		before := rt.runs.Load()
		resp, _ := r.do(t, "GET", "/", "")
		if rt.runs.Load() > before {
			is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		} else {
			is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
		}
	}
	is.True(rt.runs.Load() > 0)
}

// Guards against a retry after a 5xx response of the target itself.
func TestTargetErrorIsNotRetried(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc,
			"HTTP/1.1 503 Busy\r\nSiskingw-Outcome: not-run\r\nSiskingw-Retry: done\r\nContent-Length: 4\r\n\r\nbusy")
		return true
	})
	r := newRig(t, nil, rt.addr, rt.addr)
	resp, body := r.do(t, "GET", "/", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(body, "busy")
	is.Equal(resp.Header.Get(HeaderOutcome), "")
	is.Equal(resp.Header.Get(HeaderRetry), "done")
	is.Equal(rt.runs.Load(), int32(1))
}

// Guards against resources that leak when a caller disconnects in the middle of
// a response: the slot must be released.
func TestDisconnectedCallerReleasesSlot(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.addr+"/", nil)
	is.NoErr(err)
	resp, err := r.client.Do(req)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 100<<10))
	is.NoErr(err)
	cancel()
	resp.Body.Close()
	wait, stop := context.WithTimeout(t.Context(), 3*time.Second)
	defer stop()
	is.NoErr(r.gates[0].Wait(wait))
}
