package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"siskingw/errdefs"
	"siskingw/peer"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// Plan is what one run of the comparison does.
type Plan struct {
	Nodes, Services int
	Objects         int           // objects that a change touches
	Changes         int           // measured changes
	Every           time.Duration // time between changes
	Idle            time.Duration // time without changes, measured first
	Kill            float64       // share of the nodes killed at the first measured change
	Silent          bool          // killed nodes fall silent instead of closing their connections
}

const (
	// warmChanges open the connections between the heads of all regions.
	warmChanges   = 2 * regionCount
	warmPause     = 200 * time.Millisecond
	changeTimeout = 10 * time.Second
	// shortIdle is the idle time of strategies that do nothing without changes.
	shortIdle = 500 * time.Millisecond
)

// Result is what was measured in one run. Bytes are those of the changes, less
// what the idle fleet sends in the same time, except for pull.
type Result struct {
	Strategy      string
	Plan          Plan
	Convergence   []time.Duration // of each change that reached every live node
	First         time.Duration   // of the change with the kill
	Failed        int             // changes that did not reach every live node in time
	DeltaBytes    int             // encoded delta, mean
	Bytes         [len(latency)]float64
	IdleBytes     [len(latency)]float64 // of the whole fleet in one second
	StoreCalls    float64               // a second, with watch events
	IdleCalls     float64               // a second, without changes; each waiting watch counts once
	Messages      float64               // calls that a node sends for each change
	storeWatching int64
}

// meter reads the counters of a fleet at one moment.
type meter struct {
	at       time.Time
	bytes    [len(latency)]uint64
	calls    uint64
	messages uint64
}

func (f *fleet) read() meter {
	return meter{at: time.Now(), bytes: f.bytes(), calls: f.versions.calls.Load(), messages: f.messages.Load()}
}

// measure runs one strategy on a fresh fleet.
func measure(ctx context.Context, s strategy, p Plan) (Result, error) {
	base, err := snapshot.New(1, makeObjects(p.Services))
	if err != nil {
		return Result{}, err
	}
	v := &versions{st: memstore.New(memstore.Options{})}
	if err := v.publish(ctx, base, nil); err != nil {
		return Result{}, err
	}
	f, err := newFleet(p.Nodes, base, v, s)
	if err != nil {
		return Result{}, err
	}
	defer f.stop()
	r := Result{Strategy: s.name, Plan: p}
	for i := range warmChanges {
		if _, err := f.change(ctx, p, i, nil, &r); err != nil {
			f.repair()
		}
		pause(ctx, warmPause)
	}
	r = Result{Strategy: s.name, Plan: p}
	before := f.read()
	if s.idle {
		pause(ctx, p.Idle)
	} else {
		pause(ctx, min(shortIdle, p.Idle))
	}
	start := f.read()
	f.changes(ctx, p, &r)
	r.fill(before, start, f.read())
	r.storeWatching = v.st.Counts().Watching
	r.IdleCalls += float64(r.storeWatching)
	r.StoreCalls += float64(r.storeWatching)
	return r, ctx.Err()
}

// changes makes the measured changes; the victims die at the first one.
func (f *fleet) changes(ctx context.Context, p Plan, r *Result) {
	var victims []*node
	if p.Kill > 0 {
		for _, i := range rand.Perm(len(f.nodes))[:int(p.Kill*float64(len(f.nodes)))] {
			victims = append(victims, f.nodes[i])
		}
	}
	for i := range p.Changes {
		next := time.Now().Add(p.Every)
		took, err := f.change(ctx, p, i, victims, r)
		switch {
		case err != nil:
			r.Failed++
			f.describe(err)
			f.repair()
		case i == 0:
			r.First = took
		}
		if err == nil {
			r.Convergence = append(r.Convergence, took)
		}
		victims = nil
		pause(ctx, time.Until(next))
	}
}

// describe prints which live nodes lack the latest version.
func (f *fleet) describe(err error) {
	fmt.Fprintln(os.Stderr, err)
	for _, n := range f.nodes {
		if _, ok := n.inForceSince(f.versions.latest.Version()); !ok {
			fmt.Fprintf(os.Stderr, "  %s in %s is at version %d\n", n.rec.ID, n.rec.FailureDomain, n.cur.Version())
		}
	}
}

// change accepts one version at a random live node of the region with index i,
// kills the victims at that moment and returns the time until the last live
// node has it in force.
func (f *fleet) change(ctx context.Context, p Plan, i int, victims []*node, r *Result) (time.Duration, error) {
	next, d, err := nextVersion(f.versions.latest, p.Services, p.Objects)
	if err != nil {
		return 0, err
	}
	var able []*node
	for k, n := range f.nodes {
		if k%regionCount == i%regionCount && !n.dead && !slices.Contains(victims, n) {
			able = append(able, n)
		}
	}
	acceptor := able[rand.IntN(len(able))]
	if err := f.versions.publish(ctx, next, d); err != nil {
		return 0, err
	}
	r.DeltaBytes += len(f.versions.delta)
	start := time.Now()
	for _, v := range victims {
		if p.Silent {
			v.freeze()
		} else {
			go v.kill()
		}
	}
	if f.strategy.offer {
		// The answer to the swap takes the way back from the store.
		pause(ctx, latency[peer.Class(f.versions.place, acceptor.place())])
		acceptor.spread.Offer(next, d)
	}
	last, err := f.wait(next.Version(), changeTimeout)
	return last.Sub(start), err
}

// fill derives the rates from three readings: before the idle time, before the
// changes and after them.
func (r *Result) fill(before, start, end meter) {
	idle, busy := start.at.Sub(before.at).Seconds(), end.at.Sub(start.at).Seconds()
	n := float64(r.Plan.Changes)
	for c := range r.Bytes {
		r.IdleBytes[c] = float64(start.bytes[c]-before.bytes[c]) / idle
		r.Bytes[c] = (float64(end.bytes[c]-start.bytes[c]) - r.IdleBytes[c]*busy) / n
	}
	r.DeltaBytes /= r.Plan.Changes
	r.IdleCalls = float64(start.calls-before.calls) / idle
	r.StoreCalls = float64(end.calls-start.calls) / busy
	idleMessages := float64(start.messages-before.messages) / idle
	r.Messages = (float64(end.messages-start.messages) - idleMessages*busy) / n / float64(r.Plan.Nodes)
	if r.Strategy[0] != 'd' {
		return
	}
	// The cost of pull is its polls, which go on when nothing changes.
	r.Messages = float64(end.messages-start.messages) / n / float64(r.Plan.Nodes)
	for c := range r.Bytes {
		r.Bytes[c] = float64(end.bytes[c]-start.bytes[c]) / n
	}
}

// Compare measures every strategy with each plan. Between runs it waits a
// moment for the connections of the last fleet to close.
func Compare(ctx context.Context, plans []Plan, only string, report func(Result)) error {
	for _, p := range plans {
		for _, s := range strategies(p.Every) {
			if only != "" && !slices.Contains([]byte(only), s.name[0]) {
				continue
			}
			r, err := measure(ctx, s, p)
			if err != nil {
				return errdefs.Internal.Wrap(err, "strategy %s with %d nodes and %d services", s.name, p.Nodes, p.Services)
			}
			report(r)
			pause(ctx, 200*time.Millisecond)
		}
	}
	return nil
}
