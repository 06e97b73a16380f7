package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/member"
	"siskingw/object"
)

// locality is one failure domain, as seen by the callers in sask-1.
type locality struct {
	domain, region string
	targets        int
	roundTrip      time.Duration // latency of a call from sask-1, slept before it
}

var localities = []locality{
	{"sask-1", "sask", 4, 0},
	{"sask-2", "sask", 4, 2 * time.Millisecond},
	{"alta-1", "alta", 4, 40 * time.Millisecond},
	{"mani-1", "mani", 8, 40 * time.Millisecond},
}

// overflowLoads are the offered rates, as multiples of the capacity of the
// callers' failure domain. The whole fleet has five times that capacity.
var overflowLoads = []float64{0.5, 0.8, 1.2, 1.7, 2.5, 4}

// fleet is simulated targets in several failure domains.
type fleet struct {
	view          *member.Directory
	workers       map[string]*worker       // by instance id
	localities    map[string]*locality     // by instance id
	admittedCalls map[string]*atomic.Int64 // calls that were not refused, by failure domain
}

func newFleet() *fleet {
	f := &fleet{
		view: member.NewDirectory(member.Record{
			ID: "caller", Incarnation: 1, State: member.Alive, FailureDomain: "sask-1", Region: "sask",
		}, member.DirectoryOptions{}),
		workers: make(map[string]*worker), localities: make(map[string]*locality),
		admittedCalls: make(map[string]*atomic.Int64),
	}
	for i := range localities {
		p := &localities[i]
		f.admittedCalls[p.domain] = &atomic.Int64{}
		for n := range p.targets {
			id := fmt.Sprintf("%s-%d", p.domain, n)
			f.workers[id] = newWorker(targetSlots, targetWork, admit.New(admit.Options{Slots: targetSlots}))
			f.localities[id] = p
			f.view.Merge([]member.Record{{
				ID: id, Incarnation: 1, State: member.Alive, FailureDomain: p.domain, Region: p.region,
				Service: serviceName, Slots: targetSlots,
			}})
		}
	}
	return f
}

// call makes one call and, if it is refused, retries it once on another target.
func (f *fleet) call(ctx context.Context, b *balance.Balancer, kind object.WorkKind) Outcome {
	set := object.EndpointSetSpec{Announce: serviceName}
	var skip []string
	for retry := 0; ; retry++ {
		p, err := b.Pick(&set, nil, skip)
		if err != nil {
			return Refused
		}
		id := p.Record.ID
		start := time.Now()
		time.Sleep(f.localities[id].roundTrip)
		o := f.workers[id].call(ctx, kind)
		p.Done(balance.Report{Refused: o == Refused, Failed: o == Late, Load: f.workers[id].gate.Load(), Duration: time.Since(start)})
		if o != Refused {
			f.admittedCalls[f.localities[id].domain].Add(1)
		}
		if o != Refused || retry == maxRetries {
			return o
		}
		skip = append(skip, id)
	}
}

// overflow measures which failure domains receive the calls when the load exceeds
// the capacity of the callers' own.
func (c *Command) overflow(ctx context.Context) error {
	capacity := float64(localities[0].targets) * targetSlots / targetWork.Seconds()
	columns := []string{"load", "good/s", "good %", "p50 ms", "p99 ms"}
	for _, p := range localities {
		columns = append(columns, fmt.Sprintf("%s (%d targets) calls/s", p.domain, p.targets))
	}
	t := newTable(c.out, fmt.Sprintf("Overflow without HTTP: %d callers in sask-1, whose capacity is %.0f/s, one retry of refused calls, %v per run",
		c.callers, capacity, c.duration), columns...)
	for _, load := range overflowLoads {
		f := newFleet()
		r := c.overflowRun(ctx, f, load*capacity)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		offered := 0
		for _, n := range r.Offered {
			offered += n
		}
		cells := []any{load, r.Rate(Good), 100 * float64(r.Total(Good)) / float64(offered), r.latencyMs(50), r.latencyMs(99)}
		for _, p := range localities {
			cells = append(cells, float64(f.admittedCalls[p.domain].Load())/r.Duration.Seconds())
		}
		t.row(cells...)
	}
	return nil
}

// overflowRun generates calls at the rate, in calls/s, from callers that have a
// balancer each.
func (c *Command) overflowRun(ctx context.Context, f *fleet, rate float64) *Result {
	balancers := make([]*balance.Balancer, max(c.callers, 1))
	for i := range balancers {
		balancers[i] = balance.New(f.view, balance.Options{})
	}
	var next atomic.Int64
	g := generator{rate: rate, duration: c.duration, mix: defaultMix, deadline: callDeadline}
	g.call = func(ctx context.Context, kind object.WorkKind) Outcome {
		return f.call(ctx, balancers[next.Add(1)%int64(len(balancers))], kind)
	}
	return g.run(ctx)
}
