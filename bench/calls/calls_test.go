package calls

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/proxy"
)

// Guards against paths that do not lead through the nodes to the target, and
// against calls that are counted neither as measured nor as failed.
func TestOpenLoopCountsEveryCall(t *testing.T) {
	is := is.New(t)
	target, err := (&Role{role: roleTarget}).handler()
	is.NoErr(err)
	addr := listen(t, target)
	in, err := (&Role{role: roleInbound, nextAddr: addr}).handler()
	is.NoErr(err)
	out, err := (&Role{role: roleOutbound, nextAddr: listen(t, in)}).handler()
	is.NoErr(err)
	base, err := (&Role{role: roleBaselineOutbound, nextAddr: addr}).handler()
	is.NoErr(err)
	paths := []*path{newPath("direct", addr), newPath("nodes", listen(t, out)), newPath("baseline", listen(t, base))}
	r := newRounds(paths)
	n := openLoop(paths, 500, 200*time.Millisecond)
	r.endRound()
	is.Equal(len(r.added), 2)
	for _, p := range paths {
		is.Equal(p.errors.Load(), int64(0))
		is.Equal(p.latency.TotalCount(), int64(n))
		is.Equal(p.roundLatency.TotalCount(), int64(0))
	}
}

func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	addr, err := serve(proxy.NewConnServer(h, proxy.ServerOptions{}).Serve)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
