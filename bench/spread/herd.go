package spread

import (
	"context"
	"sync"
	"time"

	"siskingw/errdefs"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

const (
	herdTimeout = 90 * time.Second
	herdSettle  = 2 * time.Second // lets connections open before the restart
)

// Herd is what a restart of many nodes at once cost.
type Herd struct {
	Name            string
	Nodes, Services int
	Restarted       int
	SnapshotBytes   int
	LastReady       time.Duration // since the restart, or since the end of the store's outage
	PeakTransfers   int64         // snapshots in flight in the whole fleet
	Bytes           [len(latency)]uint64
	StoreCalls      uint64
}

// RunHerds restarts one failure domain together, and then all nodes together
// while the store is down for the given time.
func RunHerds(ctx context.Context, nodes, services int, outage time.Duration, report func(Herd)) error {
	one, err := herd(ctx, nodes, services, 0)
	if err != nil {
		return err
	}
	one.Name = "one failure domain"
	report(one)
	all, err := herd(ctx, nodes, services, outage)
	if err != nil {
		return err
	}
	all.Name = "all nodes, store down for " + outage.String()
	report(all)
	return nil
}

// herd measures one restart: of the first failure domain, or of every node
// when there is an outage of the store.
func herd(ctx context.Context, nodes, services int, outage time.Duration) (Herd, error) {
	base, err := snapshot.New(1, makeObjects(services))
	if err != nil {
		return Herd{}, err
	}
	v := &versions{st: memstore.New(memstore.Options{})}
	if err := v.publish(ctx, base, nil); err != nil {
		return Herd{}, err
	}
	f, err := newFleet(nodes, base, v, product())
	if err != nil {
		return Herd{}, err
	}
	defer f.stop()
	pause(ctx, herdSettle)
	var group []*node
	for _, n := range f.nodes {
		if outage > 0 || n.rec.FailureDomain == f.nodes[0].rec.FailureDomain {
			group = append(group, n)
		}
	}
	if outage > 0 {
		v.st.SetFaults(memstore.Faults{Down: true})
	}
	before := f.read()
	start := time.Now()
	if err := restartAll(group); err != nil {
		return Herd{}, err
	}
	if outage > 0 {
		pause(ctx, time.Until(start.Add(outage)))
		v.st.SetFaults(memstore.Faults{})
		start = time.Now()
	}
	last, err := f.waitReady(group)
	after := f.read()
	h := Herd{Nodes: nodes, Services: services, Restarted: len(group), SnapshotBytes: len(base.Encode()),
		LastReady: last.Sub(start), PeakTransfers: f.peakTransfers.Load(), StoreCalls: after.calls - before.calls}
	for c := range h.Bytes {
		h.Bytes[c] = after.bytes[c] - before.bytes[c]
	}
	return h, err
}

// restartAll kills all nodes of the group and then starts them without state.
func restartAll(group []*node) error {
	var wg sync.WaitGroup
	for _, n := range group {
		wg.Go(n.kill)
	}
	wg.Wait()
	for _, n := range group {
		if err := n.restart(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until every node of the group has a version in force and
// returns when the last one had it.
func (f *fleet) waitReady(group []*node) (time.Time, error) {
	end := time.Now().Add(herdTimeout)
	var last time.Time
	for _, n := range group {
		for !n.spread.Ready() {
			if time.Now().After(end) {
				return last, errdefs.Timeout.New("%s is not ready after %s", n.rec.ID, herdTimeout)
			}
			time.Sleep(pollInterval)
		}
		n.mu.Lock()
		if n.ready.After(last) {
			last = n.ready
		}
		n.mu.Unlock()
	}
	return last, nil
}
