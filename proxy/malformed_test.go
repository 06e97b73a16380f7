package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

// malformedPolicy lets a call that may be repeated try a second time.
var malformedPolicy = &object.PolicySpec{TimeoutMs: 2000, Retries: 1, RetryBudgetPercent: 100, MaxAttempts: 2}

const soundResponse = signedHeader + "Content-Length: 2\r\n\r\nok"

// brokenTarget is a target whose next response is broken and whose others are sound. Its
// calls reach it through one node, or through one of two if they may be repeated.
type brokenTarget struct {
	*rawTarget
	single, double *rig

	mu     sync.Mutex
	next   *brokenResponse   // nil: the next response is sound
	broken map[net.Conn]bool // connections on which a broken response was sent
}

// brokenResponse is what a target sends before it closes or keeps the connection.
type brokenResponse struct {
	sent string
	keep bool
}

func newBrokenTarget(t *testing.T) *brokenTarget {
	t.Helper()
	b := &brokenTarget{broken: make(map[net.Conn]bool)}
	b.rawTarget = newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		response := b.takeResponse(t, nc)
		io.WriteString(nc, response.sent)
		return response.keep
	})
	b.single = useCallIDs(newRig(t, malformedPolicy, b.addr))
	b.double = newCallIDRig(t, malformedPolicy, b.rawTarget)
	return b
}

// takeResponse returns the response to a request on nc. It fails the test if a broken
// response was sent on that connection before.
func (b *brokenTarget) takeResponse(t *testing.T, nc net.Conn) brokenResponse {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.broken[nc] {
		t.Error("a connection was used again after a broken response")
	}
	if b.next == nil {
		return brokenResponse{soundResponse, true}
	}
	response := *b.next
	b.next, b.broken[nc] = nil, true
	return response
}

// respondOnce makes the next response a broken one.
func (b *brokenTarget) respondOnce(response brokenResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = &response
}

// checkNoResponse checks that the bytes are no response to a caller: a call that must
// not be repeated ends with 502 and an unknown outcome, one that may be repeated is
// tried again. Their connections are not used again.
func (b *brokenTarget) checkNoResponse(t *testing.T, sent string) {
	t.Helper()
	for _, keep := range []bool{false, true} {
		is := is.New(t)
		b.respondOnce(brokenResponse{sent, keep})
		runs := b.runs.Load()
		resp, _ := b.single.do(t, "POST", "/", "", "Call", "c")
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		is.Equal(b.runs.Load()-runs, int32(1))
		resp, body := b.single.do(t, "POST", "/", "", "Call", "c")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")

		b.respondOnce(brokenResponse{sent, keep})
		runs = b.runs.Load()
		resp, body = b.double.do(t, "GET", "/", "", "Call", "c")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
		is.Equal(b.runs.Load()-runs, int32(2))
	}
}

// Guards against a status outside of those of HTTP that reaches a caller.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for _, status := range []string{"000", "001", "099", "-00", "-01", "+99", "20", "2000", "2 0", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			target.checkNoResponse(t, strings.Replace(soundResponse, "200", status, 1))
		})
	}
}

// Guards against a response of another major version of HTTP, which may be framed
// differently, that reaches a caller.
func TestOtherVersionIsNoResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.1"} {
		t.Run(version, func(t *testing.T) {
			target.checkNoResponse(t, strings.Replace(soundResponse, "HTTP/1.1", version, 1))
		})
	}
}

// Guards against a response with a malformed field name that reaches a caller, without
// that field or with a body of another length than the target's: recipients disagree
// about such a line, also where it names the length of the body.
func TestMalformedFieldNameIsNoResponse(t *testing.T) {
	malformed := []byte{' ', 0x7f, 0x80}
	for b := range byte(' ') {
		malformed = append(malformed, b)
	}
	target := newBrokenTarget(t)
	for _, b := range malformed {
		for _, field := range []struct{ name, value, rest string }{
			{"X-Odd", "1", "Content-Length: 2\r\n\r\nok"},
			{"Content-Length", "2", "\r\nok"},
			{"Transfer-Encoding", "chunked", "\r\n2\r\nok\r\n0\r\n\r\n"},
		} {
			for _, at := range []int{0, 3, len(field.name)} {
				line := field.name[:at] + string([]byte{b}) + field.name[at:] + ": " + field.value + "\r\n"
				t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
					target.checkNoResponse(t, signedHeader+"X: 1\r\n"+line+field.rest)
				})
			}
		}
	}
}

// Guards against a malformed field name in an interim response that is passed on, and
// against one behind a sound interim response.
func TestMalformedFieldNameAroundInterimResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for _, sent := range []string{
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + soundResponse,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + signedHeader + "Content-Length : 2\r\n\r\nok",
	} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) { target.checkNoResponse(t, sent) })
	}
}

// Guards against a control byte in the value of a field that reaches a caller. net/http
// refuses these; a tab is valid.
func TestControlByteInFieldValueIsNoResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for b := range byte(' ') {
		if b == '\t' {
			continue
		}
		sent := signedHeader + "X: a" + string([]byte{b}) + "b\r\nContent-Length: 2\r\n\r\nok"
		t.Run(fmt.Sprintf("%q", b), func(t *testing.T) { target.checkNoResponse(t, sent) })
	}
}

// Guards against lines that end without CR, which may hide the end of the header from
// other recipients.
func TestBareLineFeedIsNoResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for _, sent := range []string{
		strings.ReplaceAll(soundResponse, "\r\n", "\n"),
		strings.Replace(soundResponse, "\r\n", "\n", 1),
		signedHeader + "Content-Length: 2\n\r\nok",
		signedHeader + "Content-Length: 2\r\n\nok",
	} {
		t.Run(fmt.Sprintf("%q", sent), func(t *testing.T) { target.checkNoResponse(t, sent) })
	}
}

// Guards against the chunks of an HTTP/1.0 response, which has no chunked encoding, that
// reach a caller as its body.
func TestChunkedHTTP10IsNoResponse(t *testing.T) {
	target := newBrokenTarget(t)
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	header := strings.Replace(signedHeader, "HTTP/1.1", "HTTP/1.0", 1)
	for _, framing := range []string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\n", "Transfer-Encoding: identity\r\n",
		"Content-Length: 12\r\nTransfer-Encoding: chunked\r\n", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(framing, func(t *testing.T) { target.checkNoResponse(t, header+framing+"\r\n"+chunks) })
	}
}

// Guards against an HTTP/1.0 response that is refused although it has a length or ends
// with its connection.
func TestHTTP10ResponseIsAccepted(t *testing.T) {
	header := strings.Replace(signedHeader, "HTTP/1.1", "HTTP/1.0", 1)
	for _, framing := range []string{"", "Content-Length: 2\r\n", "X-Transfer-Encoding: chunked\r\nTransfer-Encodin: x\r\nTransfer-Encodings: x\r\n"} {
		is := is.New(t)
		rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
			io.WriteString(nc, header+framing+"\r\nok")
			return false
		})
		resp, body := newCallIDRig(t, malformedPolicy, rt).do(t, "POST", "/", "", "Call", "c")
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	}
}

// Guards against a response with a malformed field name in its trailer that reaches a
// caller as complete, both when the response is held until its end and when it is
// streamed.
func TestMalformedTrailerIsNoCompleteResponse(t *testing.T) {
	target := newBrokenTarget(t)
	for _, header := range []string{"", "Trailer: A B\r\n"} {
		for _, trailer := range []string{"A B: x\r\n", "A : x\r\n", " A: x\r\n", "A\x01: x\r\n", "A\tB: x\r\n"} {
			for name, body := range map[string]string{"held": "ok", "streamed": strings.Repeat("a", 4<<10)} {
				t.Run(fmt.Sprintf("%q %q %s", header, trailer, name), func(t *testing.T) {
					sent := fmt.Sprintf("%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
						signedHeader, header, len(body), body, trailer)
					if name == "held" {
						target.checkNoResponse(t, sent)
						return
					}
					target.respondOnce(brokenResponse{sent, true})
					complete, status := target.single.outcomeOf(t, "/")
					is.New(t).True(!complete || status == http.StatusBadGateway)
				})
			}
		}
	}
}

// Guards against a sound header that is refused because it arrives in pieces, behind
// other responses or over more than one buffer.
func TestSoundHeaderIsAccepted(t *testing.T) {
	is := is.New(t)
	long := "X-Long: " + strings.Repeat("a", 3*connBufferBytes) + "\r\n"
	parts := []string{
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nContent-Length: 2\r\n\r\n:\n",
		"HTTP/1.1 200\r\nSigned: 1\r\nCall: c\r\n", long, "X-!#$%&'*+-.^_`|~9:\r\nTransfer-Encoding:  chunked \r\n\r\n2\r\nok\r\n0\r\n\r\n",
	}
	all := strings.Join(parts, "")
	for _, pieces := range [][]string{{all}, parts, {all[:len(parts[0])+20], all[len(parts[0])+20:]}} {
		rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
			for _, piece := range pieces {
				io.WriteString(nc, piece)
				time.Sleep(time.Millisecond)
			}
			return true
		})
		r := useCallIDs(newRig(t, malformedPolicy, rt.addr))
		for range 2 {
			resp, body := r.do(t, "POST", "/", "", "Call", "c")
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "ok")
			is.Equal(len(resp.Header.Get("X-Long")), 3*connBufferBytes)
		}
	}
}

// Guards against a response whose header was cut off and that reaches a caller with an
// empty or shorter body.
func TestCutOffHeaderIsNoResponse(t *testing.T) {
	for _, framing := range []string{"", "Content-Length: 22\r\n", "Transfer-Encoding: chunked\r\n"} {
		header := signedHeader + framing + "\r\n"
		for name, end := range map[string]func(net.Conn) bool{"end": func(net.Conn) bool { return false }, "reset": reset} {
			var size atomic.Int64
			rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
				io.WriteString(nc, header[:size.Load()])
				return end(nc)
			})
			r := useCallIDs(newRig(t, malformedPolicy, rt.addr))
			for n := range len(header) {
				t.Run(fmt.Sprintf("%s after %d bytes %s", name, n, strings.TrimSpace(framing)), func(t *testing.T) {
					is := is.New(t)
					size.Store(int64(n))
					resp, _ := r.do(t, "POST", "/", "", "Call", "c")
					is.Equal(resp.StatusCode, http.StatusBadGateway)
					is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
					is.Equal(rt.runs.Load(), int32(n+1))
				})
			}
		}
	}
}
