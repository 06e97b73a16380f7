package proxy

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"siskingw/object"
)

// Guards against header parsers that accept values which no node sends.
func FuzzHeaderValues(f *testing.F) {
	for _, s := range []string{"", "0", "15", "-1", "+1", "1e3", "999999999999999999",
		"9999999999999999999", "not-run", "unknown", "bid", "0.50", "NaN", "Inf", "\xde\xde:1", "A:B"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		if d, err := ParseDeadline(s); err == nil && (d < 0 || d > maxDeadline || strings.Trim(s, "0123456789") != "") {
			t.Errorf("deadline %q parsed as %v", s, d)
		}
		if o, err := ParseOutcome(s); err == nil && o != s {
			t.Errorf("outcome %q parsed as %q", s, o)
		}
		if l, ok := ParseLoad(s); ok && !(l >= 0 && l < 1e7) {
			t.Errorf("load %q parsed as %v", s, l)
		}
		if k := ParseKind(s); kindValues[k] == nil {
			t.Errorf("kind %q parsed as %q", s, k)
		}
		if h := object.NormalizeHost(s); len(h) > len(s) {
			t.Errorf("host %q parsed as %q", s, h)
		}
	})
}

// stubConn is a connection of which only the given bytes can be read.
type stubConn struct {
	net.Conn
	io.Reader
}

func (c stubConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// Guards against a response header that net/http reads differently from its text: lines
// end with CRLF, fields have names of tokens, and none is folded or left out.
func FuzzResponseHeader(f *testing.F) {
	for _, s := range []string{
		soundResponse, "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 200 OK\r\nA:\r\nB: \tc \r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\n:\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := newConn(stubConn{Reader: bytes.NewReader(sent)}, "")
		resp, err := c.readHeader(&http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		header, _, ended := strings.Cut(string(sent), "\r\n\r\n")
		lines := strings.Split(header, "\r\n")
		if !ended || strings.ContainsAny(strings.Join(lines, ""), "\r\n") {
			t.Errorf("%q was accepted", sent)
		}
		want := make(map[string]int)
		for _, line := range lines[1:] {
			name, _, _ := strings.Cut(line, ":")
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("%q was accepted with the field name %q", sent, name)
			}
			want[http.CanonicalHeaderKey(name)]++
		}
		for name, values := range resp.Header {
			if want[name] < len(values) && name != "Cache-Control" { // net/http adds it for Pragma
				t.Errorf("%q was read with field %q", sent, name)
			}
		}
	})
}

// Guards against raw requests that make the handler panic, reach the target
// more often than the handler was called, or reach it with headers that only
// nodes may send.
func FuzzRawRequest(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET //a/../b?%zz HTTP/1.0\r\nConnection: keep-alive, te\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET http://y/a HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\r\n",
		"PUT /siskingw/keys HTTP/1.1\r\nHost: x\r\nIdempotency-Key: 1:1:1:00:a\r\nSiskingw-Deadline-Ms: 5\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	rt := newRawTarget(f, func(nc net.Conn, r *http.Request, _ int32) bool {
		for k := range r.Header {
			if strings.HasPrefix(k, headerPrefix) && k != HeaderDeadline || hopByHop(k) {
				f.Errorf("the target received header %s", k)
			}
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newRig(f, nil, rt.addr)
	var calls atomic.Int32
	_, guarded := serveCalls(f, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				if p != http.ErrAbortHandler {
					f.Errorf("panic: %v", p)
				}
				panic(http.ErrAbortHandler)
			}
		}()
		calls.Add(1)
		r.out.ServeHTTP(w, req)
	}))
	f.Fuzz(func(t *testing.T, b []byte) {
		nc, err := net.Dial("tcp", guarded)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(2 * time.Second))
		nc.Write(b)
		nc.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, nc); isTimeout(err) {
			t.Error("the connection stays open after the client closed its side")
		}
		// A run is counted after its call, so runs must be loaded before calls.
		if runs, n := rt.runs.Load(), calls.Load(); runs > n {
			t.Errorf("%d runs for %d calls", runs, n)
		}
	})
}
