package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// reset makes the next close of the connection send a reset. It returns false, the
// result of a rawTarget's serve function that closes the connection.
func reset(nc net.Conn) bool {
	nc.(*net.TCPConn).SetLinger(0)
	return false
}

// Guards against changes to the method, body or response of a call that passes both
// nodes.
func TestCallThroughBothNodes(t *testing.T) {
	is := is.New(t)
	big := strings.Repeat("scan", 64<<10)
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("Method", r.Method)
		w.Header().Set(HeaderOutcome, OutcomeNotRun) // must not reach the caller
		w.WriteHeader(http.StatusCreated)
		w.Write(b)
	})))
	for _, body := range []string{"", "bid", big} {
		for range 3 {
			resp, got := r.do(t, "POST", "/bids?lot=1", body)
			is.Equal(resp.StatusCode, http.StatusCreated)
			is.Equal(resp.Header.Get("Method"), "POST")
			is.Equal(resp.Header.Get(HeaderOutcome), "")
			is.True(got == body)
		}
	}
}

// Guards against a wrong outcome at each point where a call can fail, and against a
// second run of a POST.
func TestOutcomeByFailurePosition(t *testing.T) {
	respond := func(answer string, keep bool) func(net.Conn, *http.Request, int32) bool {
		return func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, answer); return keep }
	}
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	for _, tc := range []struct {
		name    string
		serve   func(net.Conn, *http.Request, int32) bool // nil: nothing listens
		setup   func(*rig)
		status  int
		outcome string
	}{
		{"connection refused", nil, nil, 503, OutcomeNotRun},
		{"node refuses", respond(okAnswer, true), func(r *rig) { r.gates[0].Drain() }, 503, OutcomeNotRun},
		{"node is down", respond(okAnswer, true), func(r *rig) { r.servers[0].Close() }, 503, OutcomeNotRun},
		{"reset after the request", func(nc net.Conn, _ *http.Request, _ int32) bool { return reset(nc) }, nil, 502, OutcomeUnknown},
		{"closed after the request", respond("", false), nil, 502, OutcomeUnknown},
		{"reset within the header", func(nc net.Conn, _ *http.Request, _ int32) bool {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nConte")
			return reset(nc)
		}, nil, 502, OutcomeUnknown},
		{"no HTTP", respond("hello\r\n\r\n", false), nil, 502, OutcomeUnknown},
		{"no framing", respond("HTTP/1.1 200 OK\r\n\r\nhalf", false), nil, 502, OutcomeUnknown},
		{"upgrade", respond("HTTP/1.1 101 Switching Protocols\r\n\r\n", true), nil, 502, OutcomeUnknown},
		{"status too low", respond("HTTP/1.1 099 Low\r\nContent-Length: 0\r\n\r\n", true), nil, 502, OutcomeUnknown},
		{"endless header", respond("HTTP/1.1 200 OK\r\nA: "+strings.Repeat("a", maxResponseHeaderBytes), true), nil, 502, OutcomeUnknown},
		{"endless interim answers", respond(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 50), true), nil, 502, OutcomeUnknown},
		{"no answer", func(net.Conn, *http.Request, int32) bool { <-hang; return false }, nil, 504, OutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			addr := closedAddr(t)
			rt := &rawTarget{}
			if tc.serve != nil {
				rt = newRawTarget(t, tc.serve)
				addr = rt.addr
			}
			r := newRig(t, &object.PolicySpec{TimeoutMs: 300, Retries: 3}, addr)
			if tc.setup != nil {
				tc.setup(r)
			}
			resp, _ := r.do(t, "POST", "/bids", "bid")
			is.Equal(resp.Header.Get(HeaderOutcome), tc.outcome)
			is.Equal(resp.StatusCode, tc.status)
			if tc.outcome == OutcomeNotRun {
				is.Equal(rt.runs.Load(), int32(0))
			} else {
				is.Equal(rt.runs.Load(), int32(1))
			}
		})
	}
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedAnswerCutsTheCaller(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
	} {
		is := is.New(t)
		rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, answer); return false })
		r := newRig(t, nil, rt.addr)
		resp, err := r.client.Post("http://"+r.addr+"/", "text/plain", strings.NewReader("bid"))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		// The caller must see an error while reading, or a refusal if nothing was relayed.
		is.True(err != nil || resp.Header.Get(HeaderOutcome) == OutcomeUnknown)
		is.Equal(rt.runs.Load(), int32(1)) // the call is not retried
		nc, err := net.Dial("tcp", r.addr) // an HTTP/1.0 caller reads until the connection closes
		is.NoErr(err)
		defer nc.Close()
		fmt.Fprint(nc, "POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n")
		old, err := io.ReadAll(nc)
		is.True(err != nil || strings.Contains(string(old), OutcomeUnknown)) // a reset, not a normal close
	}
}

// Guards against a response that reaches the wrong call: one that arrives after the
// deadline, or an unsolicited one on an idle connection.
func TestLateAnswerNeverReachesAnotherCall(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		switch r.URL.Path {
		case "/late":
			<-release
		case "/twice":
			answer += answer
		case "/spaced":
			io.WriteString(nc, answer)
			time.Sleep(20 * time.Millisecond)
		}
		io.WriteString(nc, answer)
		return true
	})
	r := newRig(t, nil, rt.addr)
	resp, _ := r.do(t, "POST", "/late", "", HeaderDeadline, "50")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	close(release)
	for _, path := range []string{"/1", "/twice", "/2", "/spaced"} {
		_, got := r.do(t, "POST", path, "")
		is.Equal(got, path)
	}
	time.Sleep(40 * time.Millisecond) // the second response to /spaced arrives
	_, got := r.do(t, "POST", "/3", "")
	is.Equal(got, "/3")
}

// Guards against sending a POST on a pooled connection that the target has closed.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, n int32) bool {
		io.WriteString(nc, okAnswer) // without Connection: close
		return n%2 == 0
	})
	r := newRig(t, nil, rt.addr)
	for range 6 {
		resp, got := r.do(t, "POST", "/bids", "bid")
		is.Equal(resp.StatusCode, 200)
		is.Equal(got, "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(rt.runs.Load(), int32(6))
}

// Guards against a call that keeps the target busy after its caller disconnected.
func TestCancellationReachesTheTarget(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})))
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+r.addr+"/", nil)
	is.NoErr(err)
	go func() { <-started; cancel() }()
	_, err = r.client.Do(req)
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the request at the target was not canceled")
	}
}

// Guards against a deadline that is ignored or does not decrease along the hops,
// and against malformed deadlines that are accepted.
func TestDeadlineIsPassedOn(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 8)
	r := newRig(t, &object.PolicySpec{TimeoutMs: 2000}, serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got <- r.Header.Get(HeaderDeadline)
	})))
	for _, tc := range []struct {
		sent string
		max  time.Duration
	}{{"", 2 * time.Second}, {"700", 700 * time.Millisecond}, {"99999", 2 * time.Second}} {
		r.do(t, "GET", "/", "", HeaderDeadline, tc.sent)
		if tc.sent == "" {
			continue // sent as an empty value, which is malformed
		}
		d, err := ParseDeadline(<-got)
		is.NoErr(err)
		is.True(d <= tc.max && d > tc.max/2)
	}
	for _, bad := range []string{"", "-1", "1e3", "0x1", " 1"} {
		resp := rawCall(t, r.addr, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+HeaderDeadline+": x"+bad+"\r\n\r\n")
		is.True(strings.HasPrefix(resp, "HTTP/1.1 400 "))
	}
	resp, _ := r.do(t, "GET", "/", "", HeaderDeadline, "0")
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
}

// Guards against bodies on responses that have none, and against lost trailers,
// interim responses and lengths.
func TestAnswersWithoutBodyAndWithTrailers(t *testing.T) {
	is := is.New(t)
	answers := map[string]string{
		"/head":    "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
		"/204":     "HTTP/1.1 204 No Content\r\n\r\n",
		"/304":     "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\nEtag: \"x\"\r\n\r\n",
		"/trailer": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n",
	}
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool { io.WriteString(nc, answers[r.URL.Path]); return true })
	r := newRig(t, nil, rt.addr)
	resp, body := r.do(t, "HEAD", "/head", "")
	is.Equal(resp.ContentLength, int64(7))
	is.Equal(body, "")
	for path, status := range map[string]int{"/204": 204, "/304": 304} {
		resp, body = r.do(t, "GET", path, "")
		is.Equal(resp.StatusCode, status)
		is.Equal(body, "")
	}
	var hints textproto.MIMEHeader
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { hints = h; return nil },
	})
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+r.addr+"/trailer", nil)
	is.NoErr(err)
	resp, err = r.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(b), "ok")
	is.Equal(resp.Trailer.Get("Sum"), "1")
	is.Equal(resp.Header.Get("X-Hop"), "")
	is.Equal(hints.Get("Link"), "</a>")
	is.Equal(rt.conns.Load(), int32(1)) // the connection was reused after each exchange
}

// Guards against request smuggling (a message that the caller's node and the target
// frame differently) and against callers that strip or forge Siskingw- headers.
func TestSmuggledRequestsDoNotReachTheTarget(t *testing.T) {
	const inner = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, tc := range map[string]struct{ head, body string }{
		"length and chunked":  {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" + inner},
		"two lengths":         {"Content-Length: 0\r\nContent-Length: 40\r\n", inner},
		"unknown encoding":    {"Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" + inner},
		"two encodings":       {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "0\r\n\r\n" + inner},
		"signed length":       {"Content-Length: +0\r\n", inner},
		"space before colon":  {"Transfer-Encoding : chunked\r\n", "0\r\n\r\n" + inner},
		"length as hop":       {"Connection: close, Content-Length\r\nContent-Length: 0\r\n", inner},
		"key as hop":          {"Connection: idempotency-key\r\nIdempotency-Key: a.1.x\r\n", inner},
		"deadline as hop":     {"Connection: Siskingw-Deadline-Ms\r\n", inner},
		"upgrade":             {"Connection: upgrade\r\nUpgrade: websocket\r\n", inner},
		"two keys":            {"Idempotency-Key: a.1.x\r\nIdempotency-Key: a.1.y\r\n", inner},
		"NUL in a value":      {"X: a\x00b\r\n", inner},
		"folded header":       {"X: a\r\n Transfer-Encoding: chunked\r\n", ""},
		"second request line": {"X: a\rGET /smuggled HTTP/1.1\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
				if r.URL.Path != "/" || r.Header.Get("Transfer-Encoding") != "" || r.Header.Get("Upgrade") != "" {
					t.Errorf("the target got %s %v", r.URL.Path, r.Header)
				}
				io.WriteString(nc, okAnswer)
				return true
			})
			r := newRig(t, nil, rt.addr)
			got := rawCall(t, r.addr, "POST / HTTP/1.1\r\nHost: x\r\n"+tc.head+"\r\n"+tc.body)
			if n := strings.Count(got, "HTTP/1.1 "); n != 1 {
				t.Errorf("%d answers: %q", n, got)
			}
		})
	}
}

// Guards against requests to the target with an added User-Agent, with hop-by-hop
// headers, or with Siskingw- headers that the caller set.
func TestRequestHeadersAtTheTarget(t *testing.T) {
	is := is.New(t)
	got := make(chan http.Header, 1)
	r := newRig(t, nil, serveOn(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header })))
	nc, err := net.Dial("tcp", r.addr)
	is.NoErr(err)
	defer nc.Close()
	fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nTe: trailers\r\nX: 1\r\nX: 2\r\nSiskingw-Voucher: v\r\nSiskingw-Kind: bid\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	h := <-got
	is.Equal(h["X"], []string{"1", "2"})
	h.Del("X")
	h.Del(HeaderDeadline)
	is.Equal(h, http.Header{})
}

// Guards against a body above the policy's limit that reaches the target in full.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, &object.PolicySpec{MaxBodyBytes: 100 << 10}, rt.addr)
	resp, _ := r.do(t, "POST", "/", strings.Repeat("a", 101<<10))
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	req, err := http.NewRequest("POST", "http://"+r.addr+"/", io.MultiReader(bytes.NewReader(make([]byte, 200<<10)))) // chunked
	is.NoErr(err)
	if resp, err := r.client.Do(req); err == nil {
		resp.Body.Close()
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	}
	is.Equal(rt.runs.Load(), int32(0))
}
