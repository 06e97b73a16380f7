package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/object"
)

// Guards against downloads that fill the link of their instance: with half a second
// of responses ahead, a download is refused before the target sees it.
func TestDownloadsAreAdmittedByTheLink(t *testing.T) {
	is := is.New(t)
	file := strings.Repeat("f", 128<<10) // an eighth of a second on the link
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(file), file)
		return true
	})
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 300, TimeoutMs: 400, Repeat: object.RepeatAlways}, rt.addr)
	sender := admit.NewSender(1<<20, nil)
	in := r.inbounds[0]
	in.opts.Sender, in.opts.Responses = sender, ResponseOptions{BufferBytes: 1 << 20}
	resp, body := r.do(t, "GET", "/file", "")
	is.Equal(resp.StatusCode, 200)
	is.Equal(len(body), len(file))
	for range 5 { // calls in flight with responses of the same size
		later := time.Now().Add(time.Hour)
		p, err := sender.Promise(admit.Work{Class: "all", TargetTime: later}, later, 0)
		is.NoErr(err)
		defer p.Release()
	}
	runs := rt.runs.Load()
	resp, _ = r.do(t, "GET", "/file", "")
	is.Equal(resp.StatusCode, 503)
	is.Equal(rt.runs.Load(), runs)
}

// Guards against calls of a target that are taken for those of callers: calls made
// while the target runs one that ends later are recognised, and those made while it
// is idle are not.
func TestCallsOfTheTargetAreRecognised(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 500, TimeoutMs: 2000}, rt.addr)
	local := NewInbound(InboundOptions{Target: rt.addr, Gate: admit.New(admit.Options{Slots: 4}),
		Nested: new(admit.NestedRoutes), Parents: new(admit.Parents), Metrics: NewMetrics(metrics.NewSet())})
	r.out.opts.Local = local
	calls := func(n int) uint64 {
		for range n {
			resp, _ := r.do(t, "GET", "/", "", HeaderDeadline, "1000")
			is.Equal(resp.StatusCode, 200)
		}
		return local.opts.Metrics.nested.Get()
	}
	is.Equal(calls(20), uint64(0))
	parent := deadlineContext{t.Context(), time.Now().Add(5 * time.Second)}
	ticket, err := local.opts.Gate.Admit(&parent, admit.Work{TargetTime: time.Now().Add(time.Second)})
	is.NoErr(err)
	defer ticket.Release()
	is.True(calls(40) > 0)
}

// Guards against a caller's retry that is taken for a new call: it is recognised by
// its deadline, and a new call for the same is not.
func TestCallersThatComeBackAreRecognised(t *testing.T) {
	is := is.New(t)
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 500, TimeoutMs: 5000})
	r.out.opts.Metrics = NewMetrics(metrics.NewSet())
	ask := func(deadline time.Time) uint64 {
		ms := time.Until(deadline).Milliseconds()
		resp, _ := r.do(t, "GET", "/page", "", HeaderDeadline, fmt.Sprint(ms))
		is.Equal(resp.StatusCode, 503)
		return r.out.opts.Metrics.returning.Get()
	}
	deadline := time.Now().Add(3 * time.Second)
	is.Equal(ask(deadline), uint64(0))
	time.Sleep(100 * time.Millisecond)
	is.Equal(ask(time.Now().Add(4*time.Second)), uint64(0))
	is.Equal(ask(deadline.Add(time.Second)), uint64(0))
	is.Equal(ask(deadline.Add(time.Second)), uint64(1))
}
