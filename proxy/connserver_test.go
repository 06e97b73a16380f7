package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that net/http rejects and ConnServer serves, and
// against a connection that stays open after a rejected request.
func TestConnServerRejectsWhatNetHTTPRejects(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Write(b)
	})
	_, connServerAddr := serveCalls(t, echo)
	netHTTPAddr := serveOn(t, echo)
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a b\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n",
		"GET / HTTP/2.0\r\nHost: x\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nX y: 1\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nX: a\x00\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nExpect: later\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 2\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 100<<10) + "\r\n",
		"GET /\x7f HTTP/1.1\r\nHost: x\r\n",
		"GET  / HTTP/1.1\r\nHost: x\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\n X: 1\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n",
		"GET / HTTP/1.0\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 17\r\n",
	} {
		request := head + "\r\nGET / HTTP/1.1\r\n\r\n"
		want, got := onlyStatus(rawCall(t, netHTTPAddr, request)), onlyStatus(rawCall(t, connServerAddr, request))
		// net/http responds with 501 to unknown transfer encodings.
		if got != want && !(want == "501" && got == "400") {
			t.Errorf("%q: got %s, net/http responds with %s", head[:min(len(head), 60)], got, want)
		}
	}
}

// onlyStatus returns the status code of the only response in answers, or else
// the number of responses.
func onlyStatus(answers string) string {
	if n := strings.Count(answers, "HTTP/1."); n != 1 || len(answers) < 12 {
		return fmt.Sprintf("%d answers", n)
	}
	return answers[9:12]
}

// Guards against responses whose framing differs from what the handler wrote,
// and against pipelined requests that are lost or whose bodies are mixed up.
func TestConnServerFramesResponses(t *testing.T) {
	is := is.New(t)
	_, addr := serveCalls(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "Sum")
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", fmt.Sprint(len(b)))
		case "/short":
			w.Header().Set("Content-Length", fmt.Sprint(len(b)+1))
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		}
		w.Write(b)
		w.Header().Set("Sum", "1")
	}))
	nc, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer nc.Close()
	for _, path := range []string{"/length", "/chunks", "/none", "/empty", "/short"} {
		fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(path), path)
	}
	br := bufio.NewReader(nc)
	read := func(path string) (*http.Response, string, error) {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		return resp, string(b), err
	}
	resp, body, err := read("/length")
	is.NoErr(err)
	is.Equal(body, "/length")
	is.Equal(resp.ContentLength, int64(7))
	resp, body, err = read("/chunks")
	is.NoErr(err)
	is.Equal(body, "/chunks")
	is.Equal(resp.Trailer.Get("Sum"), "1")
	resp, body, err = read("/none")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 204)
	is.Equal(body, "")
	_, body, err = read("/empty")
	is.NoErr(err)
	is.Equal(body, "/empty")
	// The response is shorter than its Content-Length and fits in the buffer:
	// it is dropped, since it must not look complete.
	_, err = http.ReadResponse(br, nil)
	is.True(err != nil)
}

// waitBusy waits until n connections have begun a request. An earlier shutdown
// would find them idle and close them without a response.
func waitBusy(srv *ConnServer, n int) {
	for busy := 0; busy < n; time.Sleep(time.Millisecond) {
		busy = 0
		srv.mu.Lock()
		for c := range srv.conns {
			if c.busy {
				busy++
			}
		}
		srv.mu.Unlock()
	}
}

// Guards against a shutdown that aborts a call in flight, leaves idle
// connections open or never returns, and against a client that keeps a
// connection open by sending its header slowly.
func TestConnServerShutdown(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	srv, addr := serveCalls(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	}))
	idle, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer idle.Close()
	slow, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer slow.Close()
	fmt.Fprint(slow, "GET / HTTP/1.1\r\n")
	answer := make(chan string, 1)
	go func() { answer <- rawCall(t, addr, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }()
	<-started
	waitBusy(srv, 2) // the call, and the connection with an incomplete header
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(t.Context()) }()
	idle.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	slow.SetDeadline(time.Now().Add(3 * time.Second))
	b, err := io.ReadAll(slow)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(b), "HTTP/1.1 400 "))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(srv.Shutdown(ctx) != nil) // a call is in flight
	close(release)
	is.True(strings.HasPrefix(<-answer, "HTTP/1.1 200 OK"))
	is.NoErr(<-done)
	_, err = net.Dial("tcp", addr)
	is.True(err != nil)
}
