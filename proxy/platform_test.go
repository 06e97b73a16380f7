package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"siskingw/member"
)

// Guards against a call that runs on a target of another service because the
// address of a departed instance was given to a new one.
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
