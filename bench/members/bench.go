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
	domains   = 6
	regions   = 3
	seedCount = 6
	// settleTime exceeds the idle timeout of connections. Otherwise, the ones that
	// were opened for joining would close during the measurement.
	settleTime    = 35 * time.Second
	convergeLimit = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// Result holds the measurements of one fleet size. Bytes and CPU time are per
// node.
type Result struct {
	Nodes int
	// Steady state.
	OutMean, OutMax, InMax float64 // bytes/s
	CrossRegion            float64 // bytes/s between regions, of the whole fleet
	Refuted                int     // suspicions of live nodes that these refuted, of the whole fleet
	CPUPercent             float64 // of one core
	HeapBytes              float64
	Goroutines             float64
	// One node crashes and a new one joins instead: bytes sent by each node beyond
	// the steady state, and the times until every node knows of the crash and, from
	// then on, until all have equal directories with the new node.
	ReplaceBytes             float64
	DeadAfter, JoinedAfter   time.Duration
	RestartSurvivor          float64 // restart of a failure domain: bytes beyond the steady state, of each surviving node
	RestartNode              float64 // the same, of each restarted node
	RestartAfter             time.Duration
	RestartBusiest           float64 // the same, of the surviving node with the most
	RestartUntilEqualDigests time.Duration
}

// fleet is the running nodes. The first of them serve as seeds.
type fleet struct {
	ctx        context.Context
	withStatus bool
	nodes      []*node
	next       int
}

func record(i int) member.Record {
	d := i % domains
	return member.Record{
		ID: fmt.Sprintf("node-%05d", i), State: member.Alive, FailureDomain: fmt.Sprintf("fd-%d", d),
		Region: fmt.Sprintf("region-%d", d*regions/domains), InboundAddr: "127.0.0.1:1",
		Service: fmt.Sprintf("service-%03d", i/10), Slots: 14,
	}
}

// add starts a node with the next unused id.
func (f *fleet) add() error {
	n, err := start(f.ctx, record(f.next), f.seeds(), f.withStatus)
	if err != nil {
		return err
	}
	f.next++
	f.nodes = append(f.nodes, n)
	return nil
}

func (f *fleet) seeds() []member.Seed {
	var seeds []member.Seed
	for _, n := range f.nodes[:min(seedCount, len(f.nodes))] {
		self := n.dir.Self()
		seeds = append(seeds, member.Seed{Addr: self.PeerAddr, Place: self.Place()})
	}
	return seeds
}

// wait blocks until every node fulfils the condition and returns the time that
// it took. It returns a Timeout error after convergeLimit or when the context
// ends; what names the condition there.
func (f *fleet) wait(what string, condition func(*node) bool) (time.Duration, error) {
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
		if f.ctx.Err() != nil || time.Since(began) > convergeLimit {
			return 0, errdefs.Timeout.New("%s not reached on %d of %d nodes after %s", what, missing, len(f.nodes), time.Since(began))
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) complete(n *node) bool { return n.dir.Live() == len(f.nodes) }

func (f *fleet) alike(n *node) bool {
	return f.complete(n) && n.dir.RootDigest() == f.nodes[0].dir.RootDigest()
}

// counts returns the bytes that each node has sent and received so far.
func (f *fleet) counts() map[*node][2]uint64 {
	counts := make(map[*node][2]uint64, len(f.nodes))
	for _, n := range f.nodes {
		counts[n] = [2]uint64{n.traffic.out.Load(), n.traffic.in.Load()}
	}
	return counts
}

// crossRegion returns the sum of the bytes that nodes have sent to and received
// from other regions so far.
func (f *fleet) crossRegion() uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.links.Sent(peer.CrossRegion) + n.links.Received(peer.CrossRegion)
	}
	return sum
}

// refuted returns how often the running nodes have refuted a suspicion about
// themselves, which increments their sequence.
func (f *fleet) refuted() int {
	sum := 0
	for _, n := range f.nodes {
		sum += int(n.dir.Self().Sequence) - 1
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
		if err := f.add(); err != nil {
			return Result{}, err
		}
	}
	if _, err := f.wait("join", f.alike); err != nil {
		return Result{}, err
	}
	time.Sleep(settleTime)
	r := Result{Nodes: n}
	f.steady(&r, window)
	if err := f.replace(&r, window); err != nil {
		return r, err
	}
	if err := f.restart(&r, window); err != nil {
		return r, err
	}
	return r, nil
}

// steady measures the fleet without membership changes.
func (f *fleet) steady(r *Result, window time.Duration) {
	before, cross, refuted, cpu := f.counts(), f.crossRegion(), f.refuted(), cpuTime()
	time.Sleep(window)
	after, used := f.counts(), cpuTime()-cpu
	r.Refuted = f.refuted() - refuted
	r.CrossRegion = float64(f.crossRegion()-cross) / window.Seconds()
	seconds := window.Seconds()
	for n, b := range before {
		out, in := float64(after[n][0]-b[0])/seconds, float64(after[n][1]-b[1])/seconds
		r.OutMean += out / float64(len(f.nodes))
		r.OutMax = max(r.OutMax, out)
		r.InMax = max(r.InMax, in)
	}
	r.CPUPercent = 100 * used.Seconds() / seconds / float64(len(f.nodes))
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	r.HeapBytes = float64(m.HeapAlloc+m.StackInuse) / float64(len(f.nodes))
	r.Goroutines = float64(runtime.NumGoroutine()) / float64(len(f.nodes))
}

// replace measures a crash of one node and the join of a new one.
func (f *fleet) replace(r *Result, window time.Duration) error {
	victim := f.nodes[len(f.nodes)/2]
	id := victim.dir.Self().ID
	f.nodes = append(f.nodes[:len(f.nodes)/2:len(f.nodes)/2], f.nodes[len(f.nodes)/2+1:]...)
	before, began := f.counts(), time.Now()
	victim.crash()
	var err error
	if r.DeadAfter, err = f.wait("detection of the crash", func(n *node) bool {
		r := n.dir.Lookup(id)
		return r != nil && r.State == member.Dead
	}); err != nil {
		return err
	}
	survivors := len(f.nodes)
	if err := f.add(); err != nil {
		return err
	}
	if r.JoinedAfter, err = f.wait("join of the new node", f.alike); err != nil {
		return err
	}
	time.Sleep(max(0, window-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := f.counts()
	for n, b := range before {
		r.ReplaceBytes += (float64(after[n][0]-b[0]) - r.OutMean*seconds) / float64(survivors)
	}
	return nil
}

// restart measures a simultaneous crash and restart of all nodes of one failure
// domain.
func (f *fleet) restart(r *Result, window time.Duration) error {
	const name = "fd-1"
	var victims, survivors []*node
	for _, n := range f.nodes {
		if n.dir.Self().FailureDomain == name {
			victims = append(victims, n)
		} else {
			survivors = append(survivors, n)
		}
	}
	f.nodes = survivors
	before, began := f.counts(), time.Now()
	crashAll(victims)
	seeds := f.seeds()
	for _, v := range victims {
		n, err := start(f.ctx, *v.dir.Self(), seeds, f.withStatus)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	var err error
	if r.RestartAfter, err = f.wait("rejoin after the restart", f.complete); err != nil {
		return err
	}
	if r.RestartUntilEqualDigests, err = f.wait("equal digests after the restart", f.alike); err != nil {
		return err
	}
	r.RestartUntilEqualDigests += r.RestartAfter
	time.Sleep(max(0, window-time.Since(began)))
	seconds := time.Since(began).Seconds()
	after := f.counts()
	for n, a := range after {
		if b, ok := before[n]; ok {
			extra := float64(a[0]-b[0]) - r.OutMean*seconds
			r.RestartSurvivor += extra / float64(len(survivors))
			r.RestartBusiest = max(r.RestartBusiest, extra)
		} else {
			r.RestartNode += (float64(a[0]) - r.OutMean*seconds) / float64(len(victims))
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
