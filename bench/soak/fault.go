package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// injector injects faults into a site by a seeded schedule. Faults overlap.
type injector struct {
	site    *site
	random  *rand.Rand
	planned bool // inject only planned operations
	wg      sync.WaitGroup
	counts  map[string]int
	log     func(format string, args ...any)
}

// disturbance is one kind of fault. A planned one is an operation of normal
// service, such as a restart or a configuration change.
type disturbance struct {
	name    string
	planned bool
	do      func(j *injector, d time.Duration) // starts the fault and returns; the fault ends after d
}

// disturbances lists all kinds of faults. The schedule of a seed depends on their
// order.
var disturbances = []disturbance{
	{"stop a node", true, (*injector).stopNode},
	{"publish", true, (*injector).publishOnce},
	{"publish often", true, (*injector).publishOften},
	{"replace a target", true, (*injector).replaceTarget},
	{"change settings", true, (*injector).changeSettings},
	{"kill a node", false, (*injector).killNode},
	{"kill most nodes", false, (*injector).killMost},
	{"pause a node", false, (*injector).pauseNode},
	{"crash a target", false, (*injector).crashTarget},
	{"slow target", false, func(j *injector, d time.Duration) {
		j.target("slow target", d, func(t *target, on bool) { t.slow.Store(on) })
	}},
	{"lost answers", false, func(j *injector, d time.Duration) {
		j.target("lost answers", d, func(t *target, on bool) { t.lossy.Store(on) })
	}},
	{"failing target", false, func(j *injector, d time.Duration) {
		j.target("failing target", d, func(t *target, on bool) { t.fails.Store(on) })
	}},
	{"store fault", false, (*injector).storeAway},
	{"store loses leases and watches", false, (*injector).storeForgets},
	{"cut one way", false, (*injector).cutOneWay},
	{"isolate a node", false, (*injector).isolate},
	{"delay", false, (*injector).delay},
	{"reset connections", false, (*injector).resetConnections},
}

const (
	// Range of the pause between the starts of two faults, and of their duration.
	minPause, maxPause   = 200 * time.Millisecond, 1200 * time.Millisecond
	minLength, maxLength = 500 * time.Millisecond, 3 * time.Second
	restartPause         = 300 * time.Millisecond
)

// between returns a random duration in [low, high).
func (j *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(j.random.Int64N(int64(high-low)))
}

// run injects faults until ctx ends and returns after the last fault has ended.
func (j *injector) run(ctx context.Context) {
	kinds := disturbances
	if j.planned {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(d disturbance) bool { return !d.planned })
	}
	for {
		select {
		case <-ctx.Done():
			j.wg.Wait()
			return
		case <-time.After(j.between(minPause, maxPause)):
		}
		d := kinds[j.random.IntN(len(kinds))]
		length := j.between(minLength, maxLength)
		j.counts[d.name]++
		j.log("%s for %v", d.name, length.Round(time.Millisecond))
		d.do(j, length)
	}
}

// pick reserves a random instance for a fault of its node or target and returns
// it, or returns nil if another fault holds it. The instance must be released.
func (j *injector) pick() *instance {
	in := j.site.instances[j.random.IntN(len(j.site.instances))]
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy {
		return nil
	}
	in.busy = true
	return in
}

func (in *instance) release() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.busy = false
}

// on reserves a random instance and runs f for it in the background, recorded as a
// fault of that instance. It does nothing if the instance is already reserved.
func (j *injector) on(what string, planned bool, f func(in *instance)) {
	in := j.pick()
	if in == nil {
		return
	}
	end := j.site.seen.disturb(what, planned, in.number)
	j.wg.Go(func() {
		defer in.release()
		defer end()
		f(in)
	})
}

// startNode starts a new process of the instance's node.
func (j *injector) startNode(in *instance) {
	in.mu.Lock()
	in.life++
	in.mu.Unlock()
	if err := in.node.Start(); err != nil {
		j.log("%v", err)
	}
}

func (j *injector) stopNode(time.Duration) {
	j.on("node stop", true, func(in *instance) {
		in.node.Terminate()
		if !in.node.WaitOrKill(graceTime) {
			j.site.seen.mu.Lock()
			j.site.seen.graceless = append(j.site.seen.graceless, fmt.Sprintf("%s did not exit with code 0 within %v", in.name, graceTime))
			j.site.seen.mu.Unlock()
		}
		j.startNode(in)
	})
}

func (j *injector) killNode(d time.Duration) {
	j.on("node kill", false, func(in *instance) {
		in.node.Kill()
		time.Sleep(d / 2)
		j.startNode(in)
	})
}

// killMost kills up to 60% of the nodes at the same time.
func (j *injector) killMost(d time.Duration) {
	const share = 0.6
	for range int(share * float64(len(j.site.instances))) {
		j.killNode(d)
	}
}

func (j *injector) pauseNode(d time.Duration) {
	j.on("node pause", false, func(in *instance) {
		in.node.Pause()
		time.Sleep(d)
		in.node.Resume()
	})
}

func (j *injector) crashTarget(d time.Duration) {
	j.on("target crash", false, func(in *instance) {
		in.target.crash()
		time.Sleep(d)
		if err := j.site.startTarget(in); err != nil {
			j.log("%v", err)
		}
	})
}

func (j *injector) replaceTarget(time.Duration) {
	j.on("target replacement", true, func(in *instance) {
		in.target.leave()
		if err := j.site.startTarget(in); err != nil {
			j.log("%v", err)
		}
	})
}

// target sets a misbehavior of a random instance's target for d.
func (j *injector) target(what string, d time.Duration, set func(t *target, on bool)) {
	j.on(what, false, func(in *instance) {
		set(in.target, true)
		time.Sleep(d)
		set(in.target, false)
	})
}

func (j *injector) publishOnce(time.Duration) {
	if err := j.site.publish(context.Background()); err != nil {
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
	in := j.site.instances[j.random.IntN(len(j.site.instances))]
	if err := j.site.writeSettings(in, j.random.IntN(len(j.site.instances))); err != nil {
		j.log("%v", err)
	}
	if j.random.IntN(2) == 0 {
		in.node.Hangup()
	}
}

// whole calls start, and stop after d in the background, recorded as a fault of all
// instances.
func (j *injector) whole(what string, d time.Duration, start, stop func()) {
	end := j.site.seen.disturb(what, false, -1)
	start()
	j.wg.Go(func() {
		defer end()
		time.Sleep(d)
		stop()
	})
}

// storeAway makes the store misbehave in a random way for d.
func (j *injector) storeAway(d time.Duration) {
	modes := []storeMode{storeBusy, storeReset, storeSilent, storeSlow, storeLost, storeLate}
	mode := modes[j.random.IntN(len(modes))]
	store := j.site.store
	j.whole("store", d, func() { store.mode.Store(int32(mode)) }, func() { store.mode.Store(int32(storeWell)) })
}

// storeForgets compacts the store's history, breaks every watch and lets every
// lease expire.
func (j *injector) storeForgets(d time.Duration) {
	mem := j.site.store.mem
	j.whole("store", d, func() {
		mem.Compact()
		mem.BreakWatches()
		for _, id := range mem.Leases() {
			mem.ExpireLease(id)
		}
	}, func() {})
}

// places returns the names of two different ends of a link; the second may be the
// store.
func (j *injector) places() (string, string) {
	n := len(j.site.instances)
	from, to := j.random.IntN(n), j.random.IntN(n+1)
	if to == from {
		to = n
	}
	if to == n {
		return j.site.instances[from].name, "store"
	}
	return j.site.instances[from].name, j.site.instances[to].name
}

func (j *injector) cutOneWay(d time.Duration) {
	from, to := j.places()
	j.whole("cut", d, func() { j.site.links.Cut(from, to) }, func() { j.site.links.Heal(from, to) })
}

func (j *injector) isolate(d time.Duration) {
	name := j.site.instances[j.random.IntN(len(j.site.instances))].name
	j.whole("cut", d, func() { j.site.links.Isolate(name) }, func() { j.site.links.Rejoin(name) })
}

func (j *injector) delay(d time.Duration) {
	const most = 150 * time.Millisecond
	from, to := j.places()
	wait := j.between(most/10, most)
	j.whole("delay", d, func() { j.site.links.Delay(from, to, wait) }, func() { j.site.links.Delay(from, to, 0) })
}

func (j *injector) resetConnections(time.Duration) {
	name := j.site.instances[j.random.IntN(len(j.site.instances))].name
	j.whole("reset", 0, func() { j.site.links.Reset(name) }, func() {})
}
