package calls

import (
	"net/http"
	"sync"
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
	const rounds, dialTimeout = 5, 400 * time.Millisecond
	for range rounds {
		r := newRounds(paths)
		longestStall := watchStalls(t)
		n := openLoop(paths, 500, 200*time.Millisecond)
		r.endRound()
		is.Equal(len(r.added), 2)
		failed := false
		for _, p := range paths {
			is.Equal(p.latency.TotalCount()+p.errors.Load(), int64(n))
			is.Equal(p.roundLatency.TotalCount(), int64(0))
			if err := p.firstError.Load(); err != nil {
				t.Logf("first of %d errors on path %s: %v", p.errors.Load(), p.name, *err)
				failed = true
			}
			p.reset()
		}
		if !failed {
			return
		}
		is.True(longestStall() >= dialTimeout/2)
	}
	t.Errorf("calls failed in %d rounds", rounds)
}

// watchStalls returns a function that returns by how much timers of this process have
// fired late at most since the call of watchStalls.
func watchStalls(t *testing.T) func() time.Duration {
	const interval = 10 * time.Millisecond
	var mu sync.Mutex
	var longest time.Duration
	wakeAt := time.Now()
	go func() {
		for t.Context().Err() == nil {
			mu.Lock()
			longest = max(longest, time.Since(wakeAt))
			wakeAt = time.Now().Add(interval)
			mu.Unlock()
			time.Sleep(interval)
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return max(longest, time.Since(wakeAt))
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
