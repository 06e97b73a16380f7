package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// servePipelined runs a ConnServer that serves four requests of a connection
// concurrently.
func servePipelined(t testing.TB, h http.Handler) (*ConnServer, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewConnServer(h, ServerOptions{
		HeaderTimeout: 200 * time.Millisecond, MaxPipelined: 4, Bodies: BodyOptions{MaxBuffered: 1 << 10, BufferUnsized: true},
	})
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return srv, l.Addr().String()
}

// dial returns a connection with a deadline of 5 s for the whole test.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() { nc.Close() })
	return nc
}

// Guards against responses that are sent out of order, and against a request
// that is not served until the previous one has finished.
func TestPipelineServesConcurrentlyAndRespondsInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, addr := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/1":
			<-second // returns only if the second request is served concurrently
		case "/2":
			close(second)
		}
		fmt.Fprintf(w, "%s %s", r.URL.Path, b)
	}))
	nc := dial(t, addr)
	io.WriteString(nc, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\none"+
		"POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"+
		"GET /3 HTTP/1.1\r\nHost: x\r\n\r\n")
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1 one", "/2 two", "/3 "} {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), want)
	}
}

// Guards against a connection without a limit on concurrent requests.
func TestPipelineLimitsConcurrency(t *testing.T) {
	is := is.New(t)
	var running, maxRunning atomic.Int32
	_, addr := servePipelined(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		n := running.Add(1)
		for m := maxRunning.Load(); n > m && !maxRunning.CompareAndSwap(m, n); m = maxRunning.Load() {
		}
		time.Sleep(2 * time.Millisecond)
		running.Add(-1)
	}))
	nc := dial(t, addr)
	const requests = 40
	io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", requests))
	br := bufio.NewReader(nc)
	for range requests {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
	}
	is.True(maxRunning.Load() > 1 && maxRunning.Load() <= 4)
}

// Guards against calls that keep running after their caller has disconnected.
func TestPipelineCancelsWhenCallerDisconnects(t *testing.T) {
	ended := make(chan struct{}, 2)
	started := make(chan struct{}, 2)
	_, addr := servePipelined(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}))
	nc := dial(t, addr)
	io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2))
	<-started
	<-started
	nc.Close()
	for range 2 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a call keeps running after its caller has disconnected")
		}
	}
}

// Guards against request smuggling by an invalid Content-Length, and against a
// rejection that is sent before the responses to earlier requests.
func TestPipelineRejectsAfterEarlierResponses(t *testing.T) {
	is := is.New(t)
	var served atomic.Int32
	_, addr := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "ok")
	}))
	got := rawCall(t, addr, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"+
		"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n\r\nGET /3 HTTP/1.1\r\nHost: x\r\n\r\n")
	is.Equal(strings.Count(got, "HTTP/1.1 "), 2)
	is.True(strings.HasPrefix(got, "HTTP/1.1 200 OK"))
	is.True(strings.Contains(got, "HTTP/1.1 400 "))
	is.Equal(served.Load(), int32(1))
}

// Guards against a large body that is buffered or mixed up with the next
// request: its handler must stream it, after the previous response was sent.
func TestPipelineStreamsLargeBodies(t *testing.T) {
	is := is.New(t)
	_, addr := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%s %d %v", r.URL.Path, n, err)
	}))
	nc := dial(t, addr)
	large := strings.Repeat("a", 100<<10)
	go fmt.Fprintf(nc,
		"GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%sGET /3 HTTP/1.1\r\nHost: x\r\n\r\n",
		len(large), large)
	br := bufio.NewReader(nc)
	for _, want := range []string{"/1 0 <nil>", "/2 102400 <nil>", "/3 0 <nil>"} {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), want)
	}
}

// Guards against a shutdown that aborts requests in flight on a pipelined
// connection.
func TestPipelineShutdownFinishesCallsInFlight(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	srv, addr := servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		io.WriteString(w, "ok")
	}))
	nc := dial(t, addr)
	io.WriteString(nc, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 2))
	<-started
	<-started
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(context.Background()) }()
	time.Sleep(10 * time.Millisecond)
	close(release)
	b, err := io.ReadAll(nc)
	is.NoErr(err)
	is.Equal(strings.Count(string(b), "200 OK"), 2)
	is.NoErr(<-done)
}

// Guards against an idle connection that is never closed.
func TestPipelineClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := NewConnServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ServerOptions{
		MaxPipelined: 2, Limits: func() ServerLimits { return ServerLimits{IdleTimeout: 20 * time.Millisecond} },
	})
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	nc := dial(t, l.Addr().String())
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	b, err := io.ReadAll(nc)
	is.NoErr(err) // EOF, not the deadline of the test's connection
	is.True(strings.HasPrefix(string(b), "HTTP/1.1 200"))
}
