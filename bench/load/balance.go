package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/member"
	"siskingw/object"
)

// Parameters of the balancing runs: eight targets of the service auction-floor,
// called by nodes that balance independently of each other.
const (
	targetCount    = 8
	defaultCallers = 20
	balanceLoad    = 0.7 // offered rate as a share of the capacity of all targets
	slowFactor     = 5   // multiple of the work time
	outlierTarget  = 0   // index of the target that deviates in most cases, the odd target of the table
	serviceName    = "auction-floor"
	lowLoad        = 0.01 // load that a target reports falsely
	highLoad       = 10   // load that a target reports falsely
	maxRetries     = 1    // of a refused call
)

// selector selects a target for each call. pick avoids the target skip, unless it
// is -1, if the policy supports that. The caller reports the call's outcome, the
// load that the target reported and the duration to done.
type selector interface {
	pick(skip int) (target int, done func(o Outcome, load float64, took time.Duration))
}

// randomPolicy selects targets at random.
type randomPolicy struct{}

func (randomPolicy) pick(int) (int, func(Outcome, float64, time.Duration)) {
	return rand.IntN(targetCount), func(Outcome, float64, time.Duration) {}
}

// roundRobin selects the targets in turn.
type roundRobin struct{ next atomic.Int64 }

func (p *roundRobin) pick(int) (int, func(Outcome, float64, time.Duration)) {
	return int(p.next.Add(1)) % targetCount, func(Outcome, float64, time.Duration) {}
}

// inFlightPolicy draws two targets at random and selects the one with fewer calls
// of this caller in flight.
type inFlightPolicy struct{ inFlight [targetCount]atomic.Int64 }

func (p *inFlightPolicy) pick(int) (int, func(Outcome, float64, time.Duration)) {
	x, y := rand.IntN(targetCount), rand.IntN(targetCount)
	if p.inFlight[y].Load() < p.inFlight[x].Load() {
		x = y
	}
	p.inFlight[x].Add(1)
	return x, func(Outcome, float64, time.Duration) { p.inFlight[x].Add(-1) }
}

// balancerPolicy selects targets with balance.Balancer.
type balancerPolicy struct {
	b   *balance.Balancer
	set object.EndpointSetSpec
}

func newBalancerPolicy() selector {
	d := member.NewDirectory(member.Record{
		ID: "caller", Incarnation: 1, State: member.Alive, FailureDomain: "sask-1", Region: "sask",
	}, member.DirectoryOptions{})
	for i := range targetCount {
		d.Merge([]member.Record{{
			ID: targetID(i), Incarnation: 1, State: member.Alive, FailureDomain: "sask-1", Region: "sask",
			Service: serviceName, Slots: targetSlots,
		}})
	}
	return &balancerPolicy{b: balance.New(d, balance.Options{}), set: object.EndpointSetSpec{Announce: serviceName}}
}

func targetID(i int) string { return fmt.Sprintf("target-%d", i) }

func (p *balancerPolicy) pick(skip int) (int, func(Outcome, float64, time.Duration)) {
	var skipped []string
	if skip >= 0 {
		skipped = []string{targetID(skip)}
	}
	picked, err := p.b.Pick(&p.set, nil, skipped)
	if err != nil {
		return rand.IntN(targetCount), func(Outcome, float64, time.Duration) {}
	}
	var target int
	fmt.Sscanf(picked.Record.ID, "target-%d", &target)
	return target, func(o Outcome, load float64, took time.Duration) {
		picked.Done(balance.Report{Failed: o == Failed || o == Late, Refused: o == Refused, Load: load, Duration: took})
	}
}

var balancePolicies = []struct {
	name string
	make func() selector
}{
	{"random", func() selector { return randomPolicy{} }},
	{"round robin", func() selector { p := &roundRobin{}; p.next.Store(rand.Int64N(targetCount)); return p }},
	{"two choices by own calls", func() selector { return &inFlightPolicy{} }},
	{"balance.Balancer", newBalancerPolicy},
}

// cluster is the simulated targets of one run.
type cluster struct {
	workers   [targetCount]*worker
	falseLoad float64 // load that outlierTarget reports instead of its own; 0 for none
}

func newCluster() *cluster {
	c := &cluster{}
	for i := range c.workers {
		gate := admit.New(admit.Options{Slots: targetSlots})
		c.workers[i] = newWorker(targetSlots, targetWork, gate)
	}
	return c
}

// reportedLoad returns the load that a target reports, in calls per slot.
func (c *cluster) reportedLoad(target int) float64 {
	if target == outlierTarget && c.falseLoad > 0 {
		return c.falseLoad
	}
	return c.workers[target].gate.Load()
}

var balanceCases = []struct {
	name  string
	setup func(*cluster)
}{
	{"all equal", func(*cluster) {}},
	{"one slow (5 times the work time)", func(c *cluster) { c.workers[outlierTarget].workFactor.Store(slowFactor) }},
	{"one slow that reports load 0.01", func(c *cluster) { c.workers[outlierTarget].workFactor.Store(slowFactor); c.falseLoad = lowLoad }},
	{"one healthy that reports load 10", func(c *cluster) { c.falseLoad = highLoad }},
	{"one that fails at once", func(c *cluster) { c.workers[outlierTarget].alwaysFails.Store(true) }},
	{"one that fails at once and reports load 0.01", func(c *cluster) { c.workers[outlierTarget].alwaysFails.Store(true); c.falseLoad = lowLoad }},
}

// balancing runs each selection policy in each case, one run at a time.
func (c *Command) balancing(ctx context.Context) error {
	capacity := targetCount * targetSlots / targetWork.Seconds()
	t := newTable(c.out, fmt.Sprintf("Balancing without HTTP: %d targets with %d slots, %v work, %d callers, %.0f%% of %.0f/s, one retry of refused calls, %v per run",
		targetCount, targetSlots, targetWork, c.callers, 100*balanceLoad, capacity, c.duration),
		"case", "policy", "good/s", "good %", "refused/s", "failed/s", "p50 ms", "p99 ms", "share of the odd target %")
	for _, k := range balanceCases {
		for _, p := range balancePolicies {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if !strings.Contains(k.name+", "+p.name, c.caseFilter) {
				continue
			}
			cl := newCluster()
			k.setup(cl)
			r := c.balanceRun(ctx, cl, p.make, balanceLoad*capacity)
			offered, outlierCalls, allCalls := 0, cl.workers[outlierTarget].calls.Load(), int64(0)
			for _, n := range r.Offered {
				offered += n
			}
			for _, w := range cl.workers {
				allCalls += w.calls.Load()
			}
			t.row(k.name, p.name, r.Rate(Good), 100*float64(r.Total(Good))/float64(offered), r.Rate(Refused), r.Rate(Failed),
				r.latencyMs(50), r.latencyMs(99), 100*float64(outlierCalls)/float64(allCalls))
		}
	}
	return nil
}

// balanceRun generates calls at the rate, in calls/s, from callers that have a
// selector each. A refused call is retried on another target.
func (c *Command) balanceRun(ctx context.Context, cl *cluster, policy func() selector, rate float64) *Result {
	selectors := make([]selector, max(c.callers, 1))
	for i := range selectors {
		selectors[i] = policy()
	}
	var next atomic.Int64
	g := generator{rate: rate, duration: c.duration, mix: defaultMix, deadline: callDeadline}
	g.call = func(ctx context.Context, kind object.WorkKind) Outcome {
		s := selectors[next.Add(1)%int64(len(selectors))]
		skip := -1
		for retry := 0; ; retry++ {
			target, done := s.pick(skip)
			start := time.Now()
			o := cl.workers[target].call(ctx, kind)
			done(o, cl.reportedLoad(target), time.Since(start))
			if o != Refused || retry == maxRetries {
				return o
			}
			skip = target
		}
	}
	return g.run(ctx)
}
