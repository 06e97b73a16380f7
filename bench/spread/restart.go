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
	readyTimeout = 90 * time.Second
	settleTime   = 2 * time.Second // time for connections to open before the restart
)

// RestartResult holds the measurements of a simultaneous restart of many nodes.
type RestartResult struct {
	Name            string
	Nodes, Services int
	Restarted       int
	SnapshotBytes   int
	LastReady       time.Duration        // since the restart, or since the end of the store outage
	PeakTransfers   int64                // highest number of concurrent snapshot transfers in the fleet
	Bytes           [len(latency)]uint64 // by link class
	StoreCalls      uint64               // with watch events
}

// MeasureRestarts restarts all nodes of one failure domain at once and then, on
// another fleet, all nodes while the store is down for the duration outage. It
// passes each result to report.
func MeasureRestarts(ctx context.Context, nodes, services int, outage time.Duration, report func(RestartResult)) error {
	one, err := measureRestart(ctx, nodes, services, 0)
	if err != nil {
		return err
	}
	one.Name = "one failure domain"
	report(one)
	all, err := measureRestart(ctx, nodes, services, outage)
	if err != nil {
		return err
	}
	all.Name = "all nodes, store down for " + outage.String()
	report(all)
	return nil
}

// measureRestart measures one restart: of the failure domain of the first node, or
// of every node when outage is positive.
func measureRestart(ctx context.Context, nodes, services int, outage time.Duration) (RestartResult, error) {
	base, err := snapshot.New(1, makeObjects(services))
	if err != nil {
		return RestartResult{}, err
	}
	v := &versionStore{store: memstore.New(memstore.Options{})}
	if err := v.publish(ctx, base, nil); err != nil {
		return RestartResult{}, err
	}
	f, err := newFleet(nodes, base, v, productStrategy())
	if err != nil {
		return RestartResult{}, err
	}
	defer f.stop()
	sleep(ctx, settleTime)
	var group []*node
	for _, n := range f.nodes {
		if outage > 0 || n.record.FailureDomain == f.nodes[0].record.FailureDomain {
			group = append(group, n)
		}
	}
	if outage > 0 {
		v.store.SetFaults(memstore.Faults{Down: true})
	}
	before := f.readCounters()
	start := time.Now()
	if err := restartAll(group); err != nil {
		return RestartResult{}, err
	}
	if outage > 0 {
		sleep(ctx, time.Until(start.Add(outage)))
		v.store.SetFaults(memstore.Faults{})
		start = time.Now()
	}
	last, err := f.waitReady(group)
	after := f.readCounters()
	result := RestartResult{Nodes: nodes, Services: services, Restarted: len(group), SnapshotBytes: len(base.Encode()),
		LastReady: last.Sub(start), PeakTransfers: f.peakTransfers.Load(), StoreCalls: after.calls - before.calls}
	for c := range result.Bytes {
		result.Bytes[c] = after.bytes[c] - before.bytes[c]
	}
	return result, err
}

// restartAll kills all nodes of the group and then starts them with no state.
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
// returns the time at which the last node became ready. It fails with Timeout
// after readyTimeout.
func (f *fleet) waitReady(group []*node) (time.Time, error) {
	end := time.Now().Add(readyTimeout)
	var last time.Time
	for _, n := range group {
		for !n.spread.Ready() {
			if time.Now().After(end) {
				return last, errdefs.Timeout.New("%s is not ready after %s", n.record.ID, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
		n.mu.Lock()
		if n.readyAt.After(last) {
			last = n.readyAt
		}
		n.mu.Unlock()
	}
	return last, nil
}
