package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/balance"
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

// Guards against a caller that comes back with too little of its target latency left
// and is told that all targets are full while they are idle: it must run late.
func TestCallerThatComesBackRunsLateAtAnIdleTarget(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		time.Sleep(60 * time.Millisecond)
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, &object.PolicySpec{TargetLatencyMs: 200, TimeoutMs: 5000}, rt.addr)
	for range 20 { // the balancer learns the service time
		resp, _ := r.do(t, "GET", "/", "", HeaderDeadline, "5000")
		is.Equal(resp.StatusCode, 200)
	}
	late := retryState{budget: newRetryBudget(1), freeLeft: 3, freeEnabled: true}
	for range 20 {
		target := time.Now().Add(20 * time.Millisecond)
		picked, err := r.out.opts.Balancer.PickFor(&object.EndpointSetSpec{Announce: "floor"}, nil, nil, balance.Demand{
			TargetLeft: time.Until(target), DeadlineLeft: time.Second, Class: "all"})
		is.NoErr(err)
		c := &call{ctx: t.Context(), start: time.Now(), deadline: time.Now().Add(time.Second), work: work{targetTime: target}}
		is.Equal(late.refuseBeforeSending(c, picked), nil)
		is.True(c.work.allowLate)
		late.allowLate, c.work.allowLate = false, false
		picked.Full = true // the slots that are left are for calls that can be in time
		late.refuseBeforeSending(c, picked)
		is.True(!c.work.allowLate)
		picked.Done(balance.Report{})
	}
}

// Guards against parents that are taken at full rate while half of the calls which they
// need are rejected by the targets themselves: their runs are wasted like those whose
// calls a gate refuses. A nested call that failed otherwise says nothing about room.
func TestRejectedNestedCallsLimitParents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limited := func(f *refusal, slots int) float64 {
			in := NewInbound(InboundOptions{Target: "127.0.0.1:1", Gate: admit.New(admit.Options{Slots: slots}),
				Nested: new(admit.NestedRoutes), Parents: new(admit.Parents)})
			deadline := deadlineContext{t.Context(), time.Now().Add(time.Hour)}
			for range 4 {
				_, err := in.opts.Gate.Admit(&deadline, admit.Work{TargetTime: deadline.deadline})
				is.NoErr(err)
			}
			for i := range 400 {
				failed := f
				if i%2 == 0 {
					failed = nil
				}
				in.observeNested(new(call), failed)
				time.Sleep(10 * time.Millisecond)
			}
			return in.opts.Parents.Limited(2)
		}
		rejected := notRun(causeTarget, "the target did not run the call", nil)
		rejected.reachedTarget = true
		got := limited(rejected, 4)
		is.True(got > 0.4 && got < 0.6)
		is.Equal(limited(rejected, 8), 0.0) // slots are free
		is.Equal(limited(mayHaveRun(causeAnswerLost, "", nil), 4), 0.0)
	})
}
