package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/object"
)

// callIDFormat is a HeaderFormat whose targets sign their responses and state in
// each the ID of the call that it belongs to.
type callIDFormat struct{ nativeFormat }

func (callIDFormat) ReadRequest(h http.Header) (CallerInfo, error) {
	return CallerInfo{ID: h.Get("Call")}, nil
}

func (callIDFormat) ReadResponse(resp *http.Response) ResponseInfo {
	return ResponseInfo{
		ID: resp.Header.Get("Call"), FromTarget: resp.Header.Get("Signed") != "",
		NotRun: resp.Header.Get("Refused") != "", OtherTarget: resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// newCallIDRig returns a rig of two nodes in front of one target. Callers and
// the target use callIDFormat.
func newCallIDRig(t *testing.T, policy *object.PolicySpec, target *rawTarget) *rig {
	return useCallIDs(newRig(t, policy, target.addr, target.addr))
}

// useCallIDs makes the callers and targets of the rig use callIDFormat.
func useCallIDs(r *rig) *rig {
	r.out.opts.HeaderFormat, r.out.opts.Responses = callIDFormat{}, ResponseOptions{BufferBytes: 1 << 10}
	for _, in := range r.inbounds {
		in.opts.HeaderFormat, in.opts.CloseDelimited, in.opts.Responses = callIDFormat{}, true, ResponseOptions{BufferBytes: 1 << 10}
	}
	return r
}

// Guards against a caller that gets the response to another call: a target that
// responded too late to an earlier call may send that response again.
func TestResponseToAnotherCallIsSkipped(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		if n > 1 {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nContent-Length: 5\r\n\r\nother")
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Call"))
		return true
	})
	r := newCallIDRig(t, nil, rt)
	for i := range 5 {
		_, body := r.do(t, "POST", "/", "bid", "Call", fmt.Sprint("c", i))
		is.Equal(body, "ok")
	}
}

// Guards against the output of another program at the target's address being
// forwarded as a response, or being taken as proof that the call did not run.
func TestUnsignedResponseIsRejected(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newCallIDRig(t, nil, rt)
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 502)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
}

// Guards against a response that is delimited by closing the connection and
// does not reach the caller, or reaches it without a Content-Length.
func TestCloseDelimitedResponseIsForwarded(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\n\r\nto the end")
		return false
	})
	r := newCallIDRig(t, nil, rt)
	resp, body := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "to the end")
	is.Equal(resp.ContentLength, int64(10))
}

// Guards against a truncated response that reaches the caller although the call
// could be retried, and against a retry of a call that must not be retried.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		if n == 1 || r.Method == http.MethodPost {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\nContent-Length: 60\r\n\r\n12345")
			return false
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	r := newCallIDRig(t, &object.PolicySpec{Retries: 1, RetryBudgetPercent: 100}, rt)
	_, body := r.do(t, "GET", "/", "", "Call", "c")
	is.Equal(body, "ok")
	is.Equal(rt.runs.Load(), int32(2))
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 502)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	is.Equal(rt.runs.Load(), int32(3))
}

// Guards against a call that is reported as possibly run, and so not retried,
// although the target states that it has not run.
func TestTargetRefusalIsNotRun(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 503 Busy\r\nSigned: 1\r\nRefused: 1\r\nCall: c\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newCallIDRig(t, nil, rt)
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
}

// Guards against a refusal that belongs to no known call, such as one that a target
// writes once more on a kept connection, and that is taken as proof that this call
// did not run: it is running.
func TestRefusalWithoutCallIDIsNoProof(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 503 Busy\r\nSigned: 1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 Misdirected\r\nSigned: 1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
			io.WriteString(nc, answer)
			return true
		})
		r := newCallIDRig(t, &object.PolicySpec{Repeat: object.RepeatNever, MaxAttempts: 3}, rt)
		resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
		is.Equal(resp.StatusCode, 502)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
		is.Equal(rt.runs.Load(), int32(1)) // not sent to a second target
	}
}

// Guards against a refusal of an earlier call that a target writes once more, before
// its response or alone, and that is taken as the response to this call.
func TestRepeatedRefusalOfEarlierCall(t *testing.T) {
	is := is.New(t)
	const again = "HTTP/1.1 503 Busy\r\nSigned: 1\r\nRefused: 1\r\nCall: old\r\nContent-Length: 0\r\n\r\n"
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		io.WriteString(nc, again)
		if r.URL.Path == "/lost" {
			return false
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Call"))
		return true
	})
	r := newCallIDRig(t, &object.PolicySpec{Repeat: object.RepeatNever, MaxAttempts: 3}, rt)
	for i := range 5 {
		resp, body := r.do(t, "POST", "/", "bid", "Call", fmt.Sprint("c", i))
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
	}
	resp, _ := r.do(t, "POST", "/lost", "bid", "Call", "d")
	is.Equal(resp.StatusCode, 502)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	is.Equal(rt.runs.Load(), int32(6))
}

// Guards against calls that keep going to an address which another target has
// taken over: the node must be notified of the first such response.
func TestOtherTargetAtTheAddressIsReported(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 421 Misdirected\r\nSigned: 1\r\nRefused: 1\r\nCall: c\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newCallIDRig(t, nil, rt)
	var notified atomic.Int32
	for _, in := range r.inbounds {
		in.opts.OnWrongTarget = func(*Backend) { notified.Add(1) }
	}
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 503)
	is.True(notified.Load() > 0)
}

// Pattern: uploads under overload. Guards against a large body that is
// transferred although the target's node can only refuse the call.
func TestLargeBodyIsRefusedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 200, TimeoutMs: 2000}, rt.addr)
	r.out.opts.Bodies = BodyOptions{MaxBuffered: 1 << 20}
	in := r.inbounds[0]
	in.opts.Link = admit.NewLink(1 << 20) // bytes per second: a body of 512 KB takes half a second
	nc := dial(t, r.addr)
	const size = 512 << 10
	fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("a", size))
	started := time.Now()
	buf := make([]byte, 256)
	n, err := nc.Read(buf)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(buf[:n]), "HTTP/1.1 503 "))
	is.True(time.Since(started) < time.Second)
	is.Equal(rt.runs.Load(), int32(0))
	is.Equal(in.opts.Link.Report().PendingBytes, int64(0))
}
