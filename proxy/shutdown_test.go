package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/object"
)

// Pattern: planned stop, calls that come late. Guards against a stopping node that
// passes on a call which it will abort before it can end, at the caller's node and at
// the target's node, and against one that refuses a call which still ends in time.
func TestStoppingNodeRefusesCallsItWouldCut(t *testing.T) {
	const work = 300 * time.Millisecond
	for _, side := range []struct {
		name string
		stop func(r *rig, at time.Time)
	}{
		{"caller's node", func(r *rig, at time.Time) { r.out.EndCallsAt(at) }},
		{"target's node", func(r *rig, at time.Time) { r.inbounds[0].EndCallsAt(at) }},
	} {
		t.Run(side.name, func(t *testing.T) {
			is := is.New(t)
			rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
				time.Sleep(work)
				io.WriteString(nc, okAnswer)
				return true
			})
			r := newRig(t, &object.PolicySpec{TargetLatencyMs: 1000, TimeoutMs: 3000}, rt.addr)
			for range 8 { // the gate learns how long a call takes
				resp, _ := r.do(t, "POST", "/bids", "bid")
				is.Equal(resp.StatusCode, 200)
			}
			runs := rt.runs.Load()
			side.stop(r, time.Now().Add(work/2))
			started := time.Now()
			resp, _ := r.do(t, "POST", "/bids", "bid")
			is.Equal(resp.StatusCode, 503)
			is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
			is.True(time.Since(started) < work/2) // at once
			is.Equal(rt.runs.Load(), runs)

			side.stop(r, time.Now().Add(10*work))
			resp, _ = r.do(t, "POST", "/bids", "bid")
			is.Equal(resp.StatusCode, 200)
		})
	}
}

// Pattern: planned stop, a target that starts meanwhile. Guards against a draining
// node that passes calls to a target which has announced itself after the drain
// began: they would be aborted at the end of the stop.
func TestTargetAnnouncedDuringDrainGetsNoCalls(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		io.WriteString(nc, okAnswer)
		return true
	})
	r := newRig(t, nil, rt.addr)
	in := r.inbounds[0]
	backend := &Backend{Addr: rt.addr, Gate: admit.New(admit.Options{Slots: 4})}
	in.opts.Backend = func() *Backend { return backend }
	resp, _ := r.do(t, "POST", "/bids", "bid")
	is.Equal(resp.StatusCode, 200)
	in.Drain()
	backend = &Backend{Addr: rt.addr, Gate: admit.New(admit.Options{Slots: 4})}
	resp, _ = r.do(t, "POST", "/bids", "bid")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
	is.Equal(rt.runs.Load(), int32(1))
}
