package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// injector injects faults into a cluster by a seeded schedule. Faults overlap.
type injector struct {
	cluster *cluster
	random  *rand.Rand
	planned bool // inject only planned operations
	wg      sync.WaitGroup
	counts  map[string]int
	log     func(format string, args ...any)
}

// faultKind is one kind of fault. A planned one is an operation of normal
// service, such as a restart or a configuration change.
type faultKind struct {
	name    string
	planned bool
	inject  func(j *injector, d time.Duration) // starts the fault and returns; the fault ends after d
}

// faultKinds lists all kinds of faults. The schedule of a seed depends on their
// order.
var faultKinds = []faultKind{
	{"stop a node", true, (*injector).stopNode},
	{"publish", true, (*injector).publishOnce},
	{"publish often", true, (*injector).publishOften},
	{"replace a target", true, (*injector).replaceTarget},
	{"change settings", true, (*injector).changeSettings},
	{"kill a node", false, (*injector).killNode},
	{"kill most nodes", false, (*injector).killMostNodes},
	{"pause a node", false, (*injector).pauseNode},
	{"crash a target", false, (*injector).crashTarget},
	{"slow target", false, func(j *injector, d time.Duration) {
		j.onTarget("slow target", d, func(t *target, on bool) { t.slow.Store(on) })
	}},
	{"lost responses", false, func(j *injector, d time.Duration) {
		j.onTarget("lost responses", d, func(t *target, on bool) { t.losesResponses.Store(on) })
	}},
	{"failing target", false, func(j *injector, d time.Duration) {
		j.onTarget("failing target", d, func(t *target, on bool) { t.fails.Store(on) })
	}},
	{"store fault", false, (*injector).storeFault},
	{"store loses leases and watches", false, (*injector).loseLeasesAndWatches},
	{"cut one way", false, (*injector).cutOneWay},
	{"isolate a node", false, (*injector).isolateNode},
	{"delay", false, (*injector).delayLink},
	{"reset connections", false, (*injector).resetConnections},
	{"endless bytes", false, func(j *injector, d time.Duration) {
		j.onTarget("endless bytes", d, func(t *target, on bool) { t.endless.Store(on) })
	}},
	{"repeated responses", false, func(j *injector, d time.Duration) {
		j.onTarget("repeated responses", d, func(t *target, on bool) { t.repeats.Store(on) })
	}},
	{"odd announcements", false, (*injector).announceOddly},
	{"departure before a kill", false, (*injector).killNodeAfterDeparture},
	{"stray refusals", false, func(j *injector, d time.Duration) {
		j.onTarget("stray refusals", d, func(t *target, on bool) { t.strayRefusals.Store(on) })
	}},
	{"unfinished bodies", false, (*injector).sendUnfinished},
	{"broken responses", false, func(j *injector, d time.Duration) {
		j.onTarget("broken responses", d, func(t *target, on bool) { t.broken.Store(on) })
	}},
	{"cut uploads", false, (*injector).sendCutUploads},
}

const (
	// Range of the pause between the starts of two faults, and of their duration.
	minPause, maxPause   = 200 * time.Millisecond, 1200 * time.Millisecond
	minLength, maxLength = 500 * time.Millisecond, 3 * time.Second
	restartPause         = 300 * time.Millisecond
)

// randomDuration returns a random duration in [low, high).
func (j *injector) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(j.random.Int64N(int64(high-low)))
}

// run injects faults until ctx ends and returns after the last fault has ended.
func (j *injector) run(ctx context.Context) {
	kinds := faultKinds
	if j.planned {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(d faultKind) bool { return !d.planned })
	}
	for {
		select {
		case <-ctx.Done():
			j.wg.Wait()
			return
		case <-time.After(j.randomDuration(minPause, maxPause)):
		}
		d := kinds[j.random.IntN(len(kinds))]
		length := j.randomDuration(minLength, maxLength)
		j.counts[d.name]++
		j.log("%s for %v", d.name, length.Round(time.Millisecond))
		d.inject(j, length)
	}
}

// reserve reserves a random instance for a fault of its node or target and returns
// it, or returns nil if another fault holds it. The instance must be released.
func (j *injector) reserve() *instance {
	in := j.cluster.instances[j.random.IntN(len(j.cluster.instances))]
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.faulted {
		return nil
	}
	in.faulted = true
	return in
}

func (in *instance) release() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faulted = false
}

// onInstance reserves a random instance and runs f for it in the background,
// recorded as a fault of that instance. It does nothing if the instance is already
// reserved.
func (j *injector) onInstance(kind string, planned bool, f func(in *instance)) {
	in := j.reserve()
	if in == nil {
		return
	}
	end := j.cluster.history.beginFault(kind, planned, in.number)
	j.wg.Go(func() {
		defer in.release()
		defer end()
		f(in)
	})
}

// startNode starts a new process of the instance's node.
func (j *injector) startNode(in *instance) {
	in.mu.Lock()
	in.restarts++
	in.mu.Unlock()
	if err := in.node.Start(); err != nil {
		j.log("%v", err)
	}
}

func (j *injector) stopNode(time.Duration) {
	j.onInstance("stop", true, func(in *instance) {
		in.node.Terminate()
		if !in.node.WaitOrKill(stopTimeout) {
			j.cluster.history.mu.Lock()
			j.cluster.history.overdueStops = append(j.cluster.history.overdueStops, fmt.Sprintf(
				"%s did not exit with code 0 within %v", in.name, stopTimeout))
			j.cluster.history.mu.Unlock()
		}
		j.startNode(in)
	})
}

func (j *injector) killNode(d time.Duration) {
	j.onInstance("kill", false, func(in *instance) {
		in.node.Kill()
		time.Sleep(d / 2)
		j.startNode(in)
	})
}

// killNodeAfterDeparture kills a node that has acknowledged the departure of its
// target, and restarts it. An announcement from before the departure arrives only
// when the target must not get requests any more.
func (j *injector) killNodeAfterDeparture(d time.Duration) {
	j.onInstance("kill", false, func(in *instance) {
		leaving := in.target
		delayed := leaving.standin.DelayedAnnouncement()
		acknowledged := leaving.leave()
		if acknowledged {
			ackedAt := time.Now()
			time.Sleep(d / 10)
			in.node.Kill()
			time.Sleep(restartPause)
			j.startNode(in)
			time.Sleep(time.Until(ackedAt.Add(drainTimeout)))
			if err := delayed(context.Background()); err != nil {
				j.log("%v", err)
			}
			time.Sleep(lateRequestTime)
		}
		_ = leaving.server.Close()
		if err := j.cluster.startTarget(in); err != nil {
			j.log("%v", err)
		}
	})
}

// killMostNodes kills up to 60% of the nodes at the same time.
func (j *injector) killMostNodes(d time.Duration) {
	const share = 0.6
	for range int(share * float64(len(j.cluster.instances))) {
		j.killNode(d)
	}
}

func (j *injector) pauseNode(d time.Duration) {
	j.onInstance("pause", false, func(in *instance) {
		in.node.Pause()
		time.Sleep(d)
		in.node.Resume()
	})
}

func (j *injector) crashTarget(d time.Duration) {
	j.onInstance("target crash", false, func(in *instance) {
		in.target.crash()
		time.Sleep(d)
		if err := j.cluster.startTarget(in); err != nil {
			j.log("%v", err)
		}
	})
}

func (j *injector) replaceTarget(time.Duration) {
	j.onInstance("target replacement", true, func(in *instance) {
		in.target.deregister()
		if err := j.cluster.startTarget(in); err != nil {
			j.log("%v", err)
		}
	})
}

// onTarget sets a misbehavior of a random instance's target for d.
func (j *injector) onTarget(kind string, d time.Duration, set func(t *target, on bool)) {
	j.onInstance(kind, false, func(in *instance) {
		set(in.target, true)
		time.Sleep(d)
		set(in.target, false)
	})
}

func (j *injector) publishOnce(time.Duration) {
	if err := j.cluster.publish(context.Background()); err != nil {
		j.log("%v", err)
	}
}

func (j *injector) publishOften(d time.Duration) {
	const gap = 200 * time.Millisecond
	j.wg.Go(func() {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
			j.publishOnce(0)
		}
	})
}

// changeSettings rotates the seeds in a node's settings file and, with
// probability 1/2, makes the node reload it with SIGHUP.
func (j *injector) changeSettings(time.Duration) {
	in := j.cluster.instances[j.random.IntN(len(j.cluster.instances))]
	if err := j.cluster.writeSettings(in, j.random.IntN(len(j.cluster.instances))); err != nil {
		j.log("%v", err)
	}
	if j.random.IntN(2) == 0 {
		in.node.Hangup()
	}
}

// onCluster calls start, and stop after d in the background, recorded as a fault of
// all instances.
func (j *injector) onCluster(kind string, d time.Duration, start, stop func()) {
	end := j.cluster.history.beginFault(kind, false, -1)
	start()
	j.wg.Go(func() {
		defer end()
		time.Sleep(d)
		stop()
	})
}

// storeFault makes the store misbehave in a random way for d.
func (j *injector) storeFault(d time.Duration) {
	modes := []storeMode{storeBusy, storeReset, storeSilent, storeSlow, storeWriteResponseLost, storeWriteDelayed}
	mode := modes[j.random.IntN(len(modes))]
	store := j.cluster.store
	j.onCluster("store", d, func() { store.mode.Store(int32(mode)) }, func() { store.mode.Store(int32(storeHealthy)) })
}

// loseLeasesAndWatches compacts the store's history, breaks every watch and lets
// every lease expire.
func (j *injector) loseLeasesAndWatches(d time.Duration) {
	mem := j.cluster.store.mem
	j.onCluster("store", d, func() {
		mem.Compact()
		mem.BreakWatches()
		for _, id := range mem.Leases() {
			mem.ExpireLease(id)
		}
	}, func() {})
}

// pickLink returns the names of two different ends of a link; the second may be the
// store.
func (j *injector) pickLink() (string, string) {
	n := len(j.cluster.instances)
	from, to := j.random.IntN(n), j.random.IntN(n+1)
	if to == from {
		to = n
	}
	if to == n {
		return j.cluster.instances[from].name, "store"
	}
	return j.cluster.instances[from].name, j.cluster.instances[to].name
}

func (j *injector) cutOneWay(d time.Duration) {
	from, to := j.pickLink()
	j.onCluster("cut", d, func() { j.cluster.links.Cut(from, to) }, func() { j.cluster.links.Heal(from, to) })
}

func (j *injector) isolateNode(d time.Duration) {
	name := j.cluster.instances[j.random.IntN(len(j.cluster.instances))].name
	j.onCluster("cut", d, func() { j.cluster.links.Isolate(name) }, func() { j.cluster.links.Rejoin(name) })
}

func (j *injector) delayLink(d time.Duration) {
	const maxDelay = 150 * time.Millisecond
	from, to := j.pickLink()
	delay := j.randomDuration(maxDelay/10, maxDelay)
	j.onCluster("delay", d, func() { j.cluster.links.Delay(from, to, delay) }, func() { j.cluster.links.Delay(from, to, 0) })
}

func (j *injector) resetConnections(time.Duration) {
	name := j.cluster.instances[j.random.IntN(len(j.cluster.instances))].name
	j.onCluster("reset", 0, func() { j.cluster.links.Reset(name) }, func() {})
}
