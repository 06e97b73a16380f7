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

// Plan configures one run of the comparison.
type Plan struct {
	Nodes, Services int
	Objects         int           // objects modified by each change
	Changes         int           // number of measured changes
	ChangeInterval  time.Duration // interval between changes
	IdleTime        time.Duration // time without changes, measured before the changes
	KillShare       float64       // share of the nodes (0..1) killed at the first measured change
	Silent          bool          // killed nodes become unresponsive instead of closing their connections
}

const (
	// warmupChanges is the number of unmeasured changes at the start. They open the
	// connections between the region heads.
	warmupChanges  = 2 * regionCount
	warmupInterval = 200 * time.Millisecond
	changeTimeout  = 10 * time.Second
	// shortIdleTime is the idle time for strategies without traffic between changes.
	shortIdleTime = 500 * time.Millisecond
)

// Result holds the measurements of one run. BytesPerChange and MessagesPerNode
// exclude what the idle fleet sends in the same time, except for pull.
type Result struct {
	Strategy                string
	Plan                    Plan
	Convergence             []time.Duration // convergence time of each change that reached every live node
	FirstConvergence        time.Duration   // convergence time of the first change, at which nodes are killed
	Failed                  int             // changes that did not reach every live node within changeTimeout
	DeltaBytes              int             // mean size of an encoded delta
	BytesPerChange          [len(latency)]float64
	IdleBytesPerSecond      [len(latency)]float64 // of the whole fleet, by link class
	StoreCallsPerSecond     float64               // with watch events; each open watch counts once
	IdleStoreCallsPerSecond float64               // without changes; each open watch counts once
	MessagesPerNode         float64               // mean calls sent by a node for each change
	storeWatches            int64
}

// counters holds the counters of a fleet at one time.
type counters struct {
	at       time.Time
	bytes    [len(latency)]uint64
	calls    uint64
	messages uint64
}

func (f *fleet) readCounters() counters {
	return counters{at: time.Now(), bytes: f.bytes(), calls: f.versions.calls.Load(), messages: f.messages.Load()}
}

// measure runs one strategy on a new fleet.
func measure(ctx context.Context, s strategy, p Plan) (Result, error) {
	base, err := snapshot.New(1, makeObjects(p.Services))
	if err != nil {
		return Result{}, err
	}
	v := &versionStore{store: memstore.New(memstore.Options{})}
	if err := v.publish(ctx, base, nil); err != nil {
		return Result{}, err
	}
	f, err := newFleet(p.Nodes, base, v, s)
	if err != nil {
		return Result{}, err
	}
	defer f.stop()
	r := Result{Strategy: s.name, Plan: p}
	for i := range warmupChanges {
		if _, err := f.publishChange(ctx, p, i, nil, &r); err != nil {
			f.advanceAll()
		}
		sleep(ctx, warmupInterval)
	}
	r = Result{Strategy: s.name, Plan: p}
	before := f.readCounters()
	if s.hasIdleTraffic {
		sleep(ctx, p.IdleTime)
	} else {
		sleep(ctx, min(shortIdleTime, p.IdleTime))
	}
	start := f.readCounters()
	f.runChanges(ctx, p, &r)
	r.computeRates(before, start, f.readCounters())
	r.storeWatches = v.store.Counts().Watching
	r.IdleStoreCallsPerSecond += float64(r.storeWatches)
	r.StoreCallsPerSecond += float64(r.storeWatches)
	return r, ctx.Err()
}

// runChanges publishes the measured changes and kills the victims at the first
// one.
func (f *fleet) runChanges(ctx context.Context, p Plan, r *Result) {
	var victims []*node
	if p.KillShare > 0 {
		for _, i := range rand.Perm(len(f.nodes))[:int(p.KillShare*float64(len(f.nodes)))] {
			victims = append(victims, f.nodes[i])
		}
	}
	for i := range p.Changes {
		next := time.Now().Add(p.ChangeInterval)
		took, err := f.publishChange(ctx, p, i, victims, r)
		switch {
		case err != nil:
			r.Failed++
			f.printLaggards(err)
			f.advanceAll()
		case i == 0:
			r.FirstConvergence = took
		}
		if err == nil {
			r.Convergence = append(r.Convergence, took)
		}
		victims = nil
		sleep(ctx, time.Until(next))
	}
}

// printLaggards prints err and the live nodes that lack the latest version.
func (f *fleet) printLaggards(err error) {
	fmt.Fprintln(os.Stderr, err)
	for _, n := range f.nodes {
		if _, ok := n.inForceSince(f.versions.latest.Version()); !ok {
			fmt.Fprintf(os.Stderr, "  %s in %s is at version %d\n", n.record.ID, n.record.FailureDomain, n.current.Version())
		}
	}
}

// publishChange publishes one version at a random live node of the region with
// index i modulo regionCount and kills the victims at the same time. It returns
// the time until the last live node has the version in force and fails with
// Timeout after changeTimeout.
func (f *fleet) publishChange(ctx context.Context, p Plan, i int, victims []*node, r *Result) (time.Duration, error) {
	next, d, err := nextVersion(f.versions.latest, p.Services, p.Objects)
	if err != nil {
		return 0, err
	}
	var candidates []*node
	for k, n := range f.nodes {
		if k%regionCount == i%regionCount && !n.dead && !slices.Contains(victims, n) {
			candidates = append(candidates, n)
		}
	}
	acceptor := candidates[rand.IntN(len(candidates))]
	if err := f.versions.publish(ctx, next, d); err != nil {
		return 0, err
	}
	r.DeltaBytes += len(f.versions.latestDelta)
	start := time.Now()
	for _, v := range victims {
		if p.Silent {
			v.freeze()
		} else {
			go v.kill()
		}
	}
	if f.strategy.offersToNode {
		// The store's response to the head update takes one link latency.
		sleep(ctx, latency[peer.Class(f.versions.place, acceptor.place())])
		acceptor.spread.Offer(next, d)
	}
	last, err := f.waitInForce(next.Version(), changeTimeout)
	return last.Sub(start), err
}

// computeRates derives the rates from the counters before the idle time, before
// the changes and after them.
func (r *Result) computeRates(before, start, end counters) {
	idle, busy := start.at.Sub(before.at).Seconds(), end.at.Sub(start.at).Seconds()
	n := float64(r.Plan.Changes)
	for c := range r.BytesPerChange {
		r.IdleBytesPerSecond[c] = float64(start.bytes[c]-before.bytes[c]) / idle
		r.BytesPerChange[c] = (float64(end.bytes[c]-start.bytes[c]) - r.IdleBytesPerSecond[c]*busy) / n
	}
	r.DeltaBytes /= r.Plan.Changes
	r.IdleStoreCallsPerSecond = float64(start.calls-before.calls) / idle
	r.StoreCallsPerSecond = float64(end.calls-start.calls) / busy
	idleMessages := float64(start.messages-before.messages) / idle
	r.MessagesPerNode = (float64(end.messages-start.messages) - idleMessages*busy) / n / float64(r.Plan.Nodes)
	if r.Strategy[0] != 'd' {
		return
	}
	// Pull's traffic is its polling, which goes on when nothing changes.
	r.MessagesPerNode = float64(end.messages-start.messages) / n / float64(r.Plan.Nodes)
	for c := range r.BytesPerChange {
		r.BytesPerChange[c] = float64(end.bytes[c]-start.bytes[c]) / n
	}
}

// Compare measures the strategies whose letters are in only, or all when it is
// empty, with each plan and passes each result to report. Between runs it waits
// for the connections of the last fleet to close.
func Compare(ctx context.Context, plans []Plan, only string, report func(Result)) error {
	for _, p := range plans {
		for _, s := range strategies(p.ChangeInterval) {
			if only != "" && !slices.Contains([]byte(only), s.name[0]) {
				continue
			}
			r, err := measure(ctx, s, p)
			if err != nil {
				return errdefs.Internal.Wrap(err, "strategy %s with %d nodes and %d services", s.name, p.Nodes, p.Services)
			}
			report(r)
			sleep(ctx, 200*time.Millisecond)
		}
	}
	return nil
}
