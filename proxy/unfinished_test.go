package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that is reused before its response was read to
// the end: the rest of the response would be sent to the next call.
func TestIncompleteResponseIsNotReadByNextCall(t *testing.T) {
	is := is.New(t)
	var incomplete sync.Map // connections with an incomplete response
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
		if r.URL.Path == "/half" {
			incomplete.Store(nc, true)
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n12345")
			return true
		}
		if _, unfinished := incomplete.LoadAndDelete(nc); unfinished {
			io.WriteString(nc, strings.Repeat("x", 55))
		}
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, nil, rt.addr)
	nc, err := net.Dial("tcp", r.addr)
	is.NoErr(err)
	io.WriteString(nc, "GET /half HTTP/1.1\r\nHost: x\r\n\r\n")
	buf := make([]byte, 512)
	for got := ""; !strings.Contains(got, "12345"); {
		n, err := nc.Read(buf)
		is.NoErr(err)
		got += string(buf[:n])
	}
	nc.Close() // the caller disconnects in the middle of the response
	time.Sleep(50 * time.Millisecond)
	for range 3 {
		resp, got := r.do(t, "POST", "/bids", "bid")
		is.Equal(resp.StatusCode, 200)
		is.Equal(got, "ok")
	}
	is.True(rt.conns.Load() >= 2) // the connection with the incomplete response was closed
}
