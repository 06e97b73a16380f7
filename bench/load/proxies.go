package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/object"
	"siskingw/targetstub"
)

// Parameters of the runs through proxies. The work time is longer than without
// HTTP, so that the proxies can carry five times the targets' capacity on one
// machine.
const (
	proxyTargets = 2
	proxyCallers = 4
	proxyWorkMs  = 20
	proxyService = "auction-floor"
	ungatedSlots = 1 << 20 // gate slots that admit every call
	msPerSecond  = 1000
)

// discard reads r to its end, so that the connection can be reused.
func discard(r io.Reader) (int64, error) { return io.Copy(io.Discard, r) }

// proxyMesh is a mesh with the callers and targets of one service.
type proxyMesh struct {
	*mesh
	callers []string
	stubs   []*targetstub.Stub
	client  *http.Client
	next    atomic.Int64
}

// newProxyMesh starts the nodes and targets. If gated is set, the gates have the
// targets' number of slots; otherwise they admit every call.
func newProxyMesh(gated bool) (*proxyMesh, error) {
	m, err := newMesh(serviceObjects(proxyService, &object.PolicySpec{}))
	if err != nil {
		return nil, err
	}
	f := &proxyMesh{mesh: m, client: newClient()}
	slots := ungatedSlots
	if gated {
		slots = targetSlots
	}
	for i := range proxyTargets {
		b := targetstub.DefaultBehavior()
		b.Slots, b.WorkMs, b.IgnoreCancel = targetSlots, proxyWorkMs, true
		stub := targetstub.New(b)
		f.stubs = append(f.stubs, stub)
		addr, err := m.serve(stub.Handler())
		if err != nil {
			return f, err
		}
		if err := m.addTarget(proxyService, targetID(i), addr, admit.New(admit.Options{Slots: slots}), targetSlots, nil); err != nil {
			return f, err
		}
	}
	for range proxyCallers {
		addr, err := m.addCaller()
		if err != nil {
			return f, err
		}
		f.callers = append(f.callers, addr)
	}
	return f, nil
}

// call makes one call through the callers' nodes in turn.
func (f *proxyMesh) call(ctx context.Context, kind object.WorkKind) Outcome {
	addr := f.callers[f.next.Add(1)%proxyCallers]
	return callURL(ctx, f.client, "http://"+addr+routePath(proxyService, kind))
}

// proxies measures goodput and refusals through real proxies, with and without
// limits at the gates.
func (c *Command) proxies(ctx context.Context) error {
	capacity := float64(proxyTargets * targetSlots * msPerSecond / proxyWorkMs)
	t := newTable(c.out, fmt.Sprintf("Through proxies: %d targets with %d slots, %d ms work, %d callers' nodes, capacity %.0f/s, deadline %v, %v per run",
		proxyTargets, targetSlots, proxyWorkMs, proxyCallers, capacity, callDeadline, c.duration),
		append([]string{"gate", "load"}, append(goodputColumns, "reached targets/s")...)...)
	for _, gated := range []bool{false, true} {
		var good []float64
		for _, load := range offeredLoads {
			r, reached, err := c.proxyRun(ctx, gated, load*capacity)
			if err != nil {
				return err
			}
			good = append(good, r.Rate(Good))
			t.row(append(append([]any{gated, load}, goodputCells(r)...), reached)...)
		}
		fmt.Fprintf(c.out, "<!-- gate %v: goodput at 5 times is %.1f%% of that at 1 times -->\n", gated, 100*good[3]/good[1])
	}
	return nil
}

// proxyRun makes one run and returns its result and the requests/s that reached
// the targets.
func (c *Command) proxyRun(ctx context.Context, gated bool, rate float64) (*Result, float64, error) {
	f, err := newProxyMesh(gated)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, 0, err
	}
	defer f.client.CloseIdleConnections()
	g := generator{rate: rate, duration: c.duration, mix: defaultMix, deadline: callDeadline, call: f.call}
	r := g.run(ctx)
	reached := 0
	for _, s := range f.stubs {
		total, _ := s.Entries()
		reached += total.Received
	}
	return r, float64(reached) / r.Duration.Seconds(), ctx.Err()
}

// retryCallTimeout is the timeout of one call in the retry runs.
const retryCallTimeout = 5 * time.Second
