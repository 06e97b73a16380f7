package members

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
)

const (
	domainCount = 6
	regionCount = 3
	seedCount   = 6
	// settleTime exceeds the idle timeout of connections. Otherwise, the ones that
	// were opened for joining would close during the measurement.
	settleTime      = 35 * time.Second
	convergeTimeout = 60 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// Result holds the measurements of one fleet size. Bytes and CPU time are per
// node.
type Result struct {
	Nodes int
	// Steady state.
	SentMean, SentMax, ReceivedMax float64 // bytes/s
	CrossRegion                    float64 // bytes/s between regions, of the whole fleet
	Refutations                    int     // suspicions of live nodes that these refuted, of the whole fleet
	CPUPercent                     float64 // of one core
	HeapBytes                      float64 // heap and stacks
	Goroutines                     float64
	// One node crashes and a new one joins instead: bytes sent by each node beyond
	// the steady state, and the times until every node knows of the crash and, from
	// then on, until all have equal directories with the new node.
	ReplaceBytes           float64
	DeadAfter, JoinedAfter time.Duration
	// A failure domain restarts: bytes sent beyond the steady state, and times.
	RestartSurvivorBytes float64       // of each surviving node
	RestartedNodeBytes   float64       // of each restarted node
	RestartCompleteAfter time.Duration // until every directory has all nodes alive
	BusiestSurvivorBytes float64       // of the surviving node with the most
	RestartEqualAfter    time.Duration // until all directories are equal as well
}

// fleet is the running nodes. The first of them serve as seeds.
type fleet struct {
	ctx        context.Context
	withStatus bool
	nodes      []*node
	nextIndex  int
}

func newRecord(i int) member.Record {
	d := i % domainCount
	return member.Record{
		ID: fmt.Sprintf("node-%05d", i), State: member.Alive, FailureDomain: fmt.Sprintf("fd-%d", d),
		Region: fmt.Sprintf("region-%d", d*regionCount/domainCount), InboundAddr: "127.0.0.1:1",
		Service: fmt.Sprintf("service-%03d", i/10), Slots: 14,
	}
}

// addNode starts a node with the next unused id.
func (f *fleet) addNode() error {
	n, err := startNode(f.ctx, newRecord(f.nextIndex), f.seeds(), f.withStatus)
	if err != nil {
		return err
	}
	f.nextIndex++
	f.nodes = append(f.nodes, n)
	return nil
}

func (f *fleet) seeds() []member.Seed {
	var seeds []member.Seed
	for _, n := range f.nodes[:min(seedCount, len(f.nodes))] {
		self := n.directory.Self()
		seeds = append(seeds, member.Seed{Addr: self.PeerAddr, Place: self.Place()})
	}
	return seeds
}

// waitForAll blocks until every node fulfils the condition and returns the time
// that it took. It returns a Timeout error after convergeTimeout or when the
// context ends; its message names the condition by what.
func (f *fleet) waitForAll(what string, condition func(*node) bool) (time.Duration, error) {
	began := time.Now()
	for {
		missing := 0
		for _, n := range f.nodes {
			if !condition(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began), nil
		}
		if f.ctx.Err() != nil || time.Since(began) > convergeTimeout {
			return 0, errdefs.Timeout.New("condition %q not met on %d of %d nodes after %s", what, missing, len(f.nodes), time.Since(began))
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) hasAllNodes(n *node) bool { return n.directory.Live() == len(f.nodes) }

func (f *fleet) converged(n *node) bool {
	return f.hasAllNodes(n) && n.directory.RootDigest() == f.nodes[0].directory.RootDigest()
}

// byteCounts returns the bytes that each node has sent and received so far.
func (f *fleet) byteCounts() map[*node][2]uint64 {
	counts := make(map[*node][2]uint64, len(f.nodes))
	for _, n := range f.nodes {
		counts[n] = [2]uint64{n.traffic.sent.Load(), n.traffic.received.Load()}
	}
	return counts
}

// crossRegionBytes returns the sum of the bytes that nodes have sent to and
// received from other regions so far.
func (f *fleet) crossRegionBytes() uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.linkTraffic.Sent(peer.CrossRegion) + n.linkTraffic.Received(peer.CrossRegion)
	}
	return sum
}

// refutations returns how often the running nodes have refuted a suspicion about
// themselves, which increments their sequence.
func (f *fleet) refutations() int {
	sum := 0
	for _, n := range f.nodes {
		sum += int(n.directory.Self().Sequence) - 1
	}
	return sum
}

// Run measures a fleet of n nodes: in the steady state for the length of window,
// then during the replacement of a node and the restart of a failure domain,
// each for at least that time. Without withStatus the nodes send no status
// reports. A Timeout error means that the nodes did not converge.
func Run(ctx context.Context, n int, window time.Duration, withStatus bool) (Result, error) {
	f := &fleet{ctx: ctx, withStatus: withStatus}
	defer func() { crashAll(f.nodes) }()
	for range n {
		if err := f.addNode(); err != nil {
			return Result{}, err
		}
	}
	if _, err := f.waitForAll("join", f.converged); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	r := Result{Nodes: n}
	f.measureSteadyState(&r, window)
	if err := f.measureReplacement(&r, window); err != nil {
		return r, err
	}
	if err := f.measureRestart(&r, window); err != nil {
		return r, err
	}
	return r, nil
}

// measureSteadyState measures the fleet without membership changes.
func (f *fleet) measureSteadyState(r *Result, window time.Duration) {
	before, cross, refuted, cpu := f.byteCounts(), f.crossRegionBytes(), f.refutations(), cpuTime()
	time.Sleep(window)
	after, used := f.byteCounts(), cpuTime()-cpu
	r.Refutations = f.refutations() - refuted
	r.CrossRegion = float64(f.crossRegionBytes()-cross) / window.Seconds()
	seconds := window.Seconds()
	for n, b := range before {
		out, in := float64(after[n][0]-b[0])/seconds, float64(after[n][1]-b[1])/seconds
		r.SentMean += out / float64(len(f.nodes))
		r.SentMax = max(r.SentMax, out)
		r.ReceivedMax = max(r.ReceivedMax, in)
	}
	r.CPUPercent = 100 * used.Seconds() / seconds / float64(len(f.nodes))
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.HeapBytes = float64(m.HeapAlloc+m.StackInuse) / float64(len(f.nodes))
	r.Goroutines = float64(runtime.NumGoroutine()) / float64(len(f.nodes))
}

// measureReplacement measures a crash of one node and the join of a new one.
func (f *fleet) measureReplacement(r *Result, window time.Duration) error {
	victim := f.nodes[len(f.nodes)/2]
	id := victim.directory.Self().ID
	f.nodes = append(f.nodes[:len(f.nodes)/2:len(f.nodes)/2], f.nodes[len(f.nodes)/2+1:]...)
	before, began := f.byteCounts(), time.Now()
	victim.crash()
	var err error
	if r.DeadAfter, err = f.waitForAll("death", func(n *node) bool {
		r := n.directory.Lookup(id)
		return r != nil && r.State == member.Dead
	}); err != nil {
		return err
	}
	survivors := len(f.nodes)
	if err := f.addNode(); err != nil {
		return err
	}
	if r.JoinedAfter, err = f.waitForAll("replacement", f.converged); err != nil {
		return err
	}
	time.Sleep(max(0, window-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := f.byteCounts()
	for n, b := range before {
		r.ReplaceBytes += (float64(after[n][0]-b[0]) - r.SentMean*seconds) / float64(survivors)
	}
	return nil
}

// measureRestart measures a simultaneous crash and restart of all nodes of one
// failure domain.
func (f *fleet) measureRestart(r *Result, window time.Duration) error {
	const name = "fd-1"
	var victims, survivors []*node
	for _, n := range f.nodes {
		if n.directory.Self().FailureDomain == name {
			victims = append(victims, n)
		} else {
			survivors = append(survivors, n)
		}
	}
	f.nodes = survivors
	before, began := f.byteCounts(), time.Now()
	crashAll(victims)
	seeds := f.seeds()
	for _, v := range victims {
		n, err := startNode(f.ctx, *v.directory.Self(), seeds, f.withStatus)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	var err error
	if r.RestartCompleteAfter, err = f.waitForAll("restart", f.hasAllNodes); err != nil {
		return err
	}
	if r.RestartEqualAfter, err = f.waitForAll("equal digests", f.converged); err != nil {
		return err
	}
	r.RestartEqualAfter += r.RestartCompleteAfter
	time.Sleep(max(0, window-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := f.byteCounts()
	for n, a := range after {
		if b, ok := before[n]; ok {
			extra := float64(a[0]-b[0]) - r.SentMean*seconds
			r.RestartSurvivorBytes += extra / float64(len(survivors))
			r.BusiestSurvivorBytes = max(r.BusiestSurvivorBytes, extra)
		} else {
			r.RestartedNodeBytes += (float64(a[0]) - r.SentMean*seconds) / float64(len(victims))
		}
	}
	return nil
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
