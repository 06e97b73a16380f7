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
	// settleTime is longer than unused connections are kept: those over which
	// the nodes joined would otherwise close during the measurement.
	settleTime    = 35 * time.Second
	convergeLimit = 60 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// Result holds the figures of one fleet size. Bytes and processor time are per node.
type Result struct {
	Nodes int
	// The steady state.
	OutMean, OutMax, InMax float64 // bytes/s
	CrossRegion            float64 // bytes/s of the whole fleet between regions
	Refuted                int     // suspicions of live nodes meanwhile
	CPUPercent             float64 // of one core
	HeapBytes              float64
	Goroutines             float64
	// One node crashes and a new one joins in its place: bytes beyond the
	// steady state for each node, and times until every node knows it.
	ReplaceBytes             float64
	DeadAfter, JoinedAfter   time.Duration
	RestartSurvivor          float64 // a whole failure domain restarts: bytes beyond the steady state
	RestartNode              float64 // and for each restarted node
	RestartAfter             time.Duration
	RestartBusiest           float64 // and for the surviving node with the most
	RestartUntilEqualDigests time.Duration
}

// fleet is the set of running nodes.
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

// add starts the next node.
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

// wait returns the time until every node fulfils the condition.
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
			return 0, errdefs.Timeout.New("%s: missing on %d of %d nodes after %s", what, missing, len(f.nodes), time.Since(began))
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) complete(n *node) bool { return n.dir.Live() == len(f.nodes) }

func (f *fleet) alike(n *node) bool {
	return f.complete(n) && n.dir.RootDigest() == f.nodes[0].dir.RootDigest()
}

// counts returns the bytes out and in of each node so far.
func (f *fleet) counts() map[*node][2]uint64 {
	counts := make(map[*node][2]uint64, len(f.nodes))
	for _, n := range f.nodes {
		counts[n] = [2]uint64{n.traffic.out.Load(), n.traffic.in.Load()}
	}
	return counts
}

// crossRegion returns the bytes between regions so far, in both directions.
func (f *fleet) crossRegion() uint64 {
	var sum uint64
	for _, n := range f.nodes {
		sum += n.links.Sent(peer.CrossRegion) + n.links.Received(peer.CrossRegion)
	}
	return sum
}

// refuted returns how often running nodes had to refute a statement about them.
func (f *fleet) refuted() int {
	sum := 0
	for _, n := range f.nodes {
		sum += int(n.dir.Self().Sequence) - 1
	}
	return sum
}

// Run measures a fleet of n nodes. window is the length of the steady state's
// measurement; the two disturbances each take about as long.
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

// steady measures a window without changes.
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

// replace crashes a node and starts another one in its place.
func (f *fleet) replace(r *Result, window time.Duration) error {
	victim := f.nodes[len(f.nodes)/2]
	id := victim.dir.Self().ID
	f.nodes = append(f.nodes[:len(f.nodes)/2:len(f.nodes)/2], f.nodes[len(f.nodes)/2+1:]...)
	before, began := f.counts(), time.Now()
	victim.crash()
	var err error
	if r.DeadAfter, err = f.wait("death", func(n *node) bool {
		r := n.dir.Lookup(id)
		return r != nil && r.State == member.Dead
	}); err != nil {
		return err
	}
	survivors := len(f.nodes)
	if err := f.add(); err != nil {
		return err
	}
	if r.JoinedAfter, err = f.wait("replacement", f.alike); err != nil {
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

// restart crashes every node of one failure domain at once and starts them again.
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
	if r.RestartAfter, err = f.wait("restart", f.complete); err != nil {
		return err
	}
	if r.RestartUntilEqualDigests, err = f.wait("equal digests", f.alike); err != nil {
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

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
