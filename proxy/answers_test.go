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

// namedEdge is an edge whose targets sign their answers and name the call that
// each one answers.
type namedEdge struct{ nativeEdge }

func (namedEdge) Call(h http.Header) (CallerStatement, error) {
	return CallerStatement{ID: h.Get("Call")}, nil
}

func (namedEdge) Answer(resp *http.Response) AnswerStatement {
	return AnswerStatement{
		ID: resp.Header.Get("Call"), Genuine: resp.Header.Get("Signed") != "",
		NotRun: resp.Header.Get("Refused") != "", Other: resp.StatusCode == http.StatusMisdirectedRequest,
	}
}

// newNamedRig returns a rig of two nodes in front of one target. Callers and the
// target speak namedEdge.
func newNamedRig(t *testing.T, policy *object.PolicySpec, target *rawTarget) *rig {
	r := newRig(t, policy, target.addr, target.addr)
	r.out.opts.Edge, r.out.opts.Answers = namedEdge{}, AnswerOptions{HoldBytes: 1 << 10}
	for _, in := range r.inbounds {
		in.opts.Edge, in.opts.OpenEnded, in.opts.Answers = namedEdge{}, true, AnswerOptions{HoldBytes: 1 << 10}
	}
	return r
}

// Guards against a caller that gets the answer to another call: a target may
// answer a call again that it had answered late before.
func TestAnswerToAnotherCallIsSkipped(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		if n > 1 {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nContent-Length: 5\r\n\r\nother")
		}
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Call"))
		return true
	})
	r := newNamedRig(t, nil, rt)
	for i := range 5 {
		_, body := r.do(t, "POST", "/", "bid", "Call", fmt.Sprint("c", i))
		is.Equal(body, "ok")
	}
}

// Guards against bytes of another program at the target's address that reach
// the caller as an answer, or count as proof that nothing ran.
func TestUnsignedAnswerIsNoAnswer(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newNamedRig(t, nil, rt)
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 502)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
}

// Guards against an answer that ends with its connection and never reaches the
// caller, or reaches it without a length.
func TestOpenEndedAnswerIsWhole(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\n\r\nto the end")
		return false
	})
	r := newNamedRig(t, nil, rt)
	resp, body := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "to the end")
	is.Equal(resp.ContentLength, int64(10))
}

// Guards against half an answer that reaches the caller although the call could
// be sent again, and against one that is sent again although it may not.
func TestBrokenAnswerIsHeldBack(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		if n == 1 || r.Method == http.MethodPost {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\nContent-Length: 60\r\n\r\n12345")
			return false
		}
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	r := newNamedRig(t, &object.PolicySpec{Retries: 1, RetryBudgetPercent: 100}, rt)
	_, body := r.do(t, "GET", "/", "", "Call", "c")
	is.Equal(body, "ok")
	is.Equal(rt.runs.Load(), int32(2))
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 502)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	is.Equal(rt.runs.Load(), int32(3))
}

// Guards against a call that is taken for run although the target states that it
// is not, and that is then not sent again.
func TestRefusalOfTheTargetIsNotRun(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 503 Busy\r\nSigned: 1\r\nRefused: 1\r\nCall: c\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newNamedRig(t, nil, rt)
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
}

// Guards against work for a start of a target whose address another one has
// taken: the node must learn of it at once.
func TestOtherTargetAtTheAddressIsReported(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, "HTTP/1.1 421 Misdirected\r\nSigned: 1\r\nRefused: 1\r\nCall: c\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	r := newNamedRig(t, nil, rt)
	var told atomic.Int32
	for _, in := range r.inbounds {
		in.opts.OnOther = func(*Backend) { told.Add(1) }
	}
	resp, _ := r.do(t, "POST", "/", "bid", "Call", "c")
	is.Equal(resp.StatusCode, 503)
	is.True(told.Load() > 0)
}

// Pattern: uploads under overload. Guards against a large body that crosses the
// network although the target's node can only refuse it.
func TestLargeBodyIsRefusedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 200, TimeoutMs: 2000}, rt.addr)
	r.out.opts.Bodies = BodyOptions{MaxBuffered: 1 << 20}
	in := r.inbounds[0]
	in.opts.Link = admit.NewLink(1 << 20) // a body of 512 KB takes half a second
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
	is.Equal(in.opts.Link.Report().Pending, int64(0))
}
