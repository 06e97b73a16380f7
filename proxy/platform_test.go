package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"siskingw/member"
)

// Guards against a call that runs on a target of another service because a new
// instance got the address of one that left.
func TestAddressTakenByAnotherService(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool { io.WriteString(nc, okAnswer); return true })
	r := newRig(t, nil, rt.addr, rt.addr)
	in := r.inbounds[0]
	in.opts.Backend = func() *Backend { return &Backend{Addr: rt.addr, Service: "house", Gate: r.gates[0]} }
	for range 20 {
		resp, _ := r.do(t, "POST", "/bids", "bid")
		is.Equal(resp.StatusCode, 200)
	}
	r.view.Merge([]member.Record{{ID: "b", Incarnation: 1, Sequence: 1, State: member.Left}})
	resp, _ := r.do(t, "POST", "/bids", "bid")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	is.Equal(rt.runs.Load(), int32(20))
	is.Equal(r.gates[0].Stats().InFlight, 0)
}

// Guards against calls without a response when the process is killed at the end of
// its grace period, and against new calls that it accepts while stopping.
func TestStoppingNodeAnswersEveryCall(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		close(started)
		<-release
		return false
	})
	r := newRig(t, nil, rt.addr)
	answered := make(chan *http.Response)
	go func() {
		resp, _ := r.do(t, "POST", "/bids", "bid")
		answered <- resp
	}()
	<-started
	r.out.Refuse()
	resp, _ := r.do(t, "POST", "/bids", "bid")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	is.True(resp.Close)
	r.out.Abort()
	resp = <-answered
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
	is.Equal(rt.runs.Load(), int32(1))
}
