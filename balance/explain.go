package balance

import (
	"cmp"
	"slices"
	"time"

	"siskingw/evenload"
	"siskingw/object"
)

// Candidate is a target as the choice for one call sees it.
type Candidate struct {
	ID            string        // of the target's instance
	FailureDomain string        // of that instance
	State         string        // of that instance's membership record
	Slots         int           // calls that the target runs at the same time
	OwnInFlight   int64         // calls of this node in flight there
	Calls         float64       // estimated calls ahead of this one
	ServiceTime   time.Duration // estimated
	NewsAge       time.Duration // age of the news behind the estimates; 0 if there is none
	Relayed       bool          // another node passed the news on
	Failed        float64       // recent share of failed calls, 0..1
	Ejected       bool          // left out because of failures
	Late          float64       // probability of missing the target latency, 0..1; 0 without a target latency
	Missed        float64       // probability of missing the deadline, 0..1; 0 without a target latency
	Loss          float64       // expected loss as a share of the call's value; 0 without a target latency
	Share         float64       // share of such calls, 0..1, that would go there now
}

// explainDraws is the number of choices from which Candidate.Share is taken.
const explainDraws = 200

// Explain returns the targets for a call with the demand, the one that gets the
// largest share of such calls first. d is nil for a call without a target latency.
// It makes the same choice as Pick and PickFor, but takes nothing and changes no
// state.
func (b *Balancer) Explain(set *object.EndpointSetSpec, spec *object.EjectionSpec, d *Demand) []Candidate {
	now := b.now()
	s, t := b.peek(set.Announce, now)
	c := choice{b: b, now: now}
	if d != nil {
		c.versions = d.Versions
	}
	c.panicMode = now < s.ejectionsUntil.Load() && t.needsPanicMode(newEjectionConfig(spec), set.MinReady, now)
	draws := make(map[*endpoint]int)
	for range explainDraws {
		if e := c.explainedDraw(s, t, d); e != nil {
			draws[e]++
		}
	}
	var list []Candidate
	for _, l := range append(t.localities(), t.suspects, t.unreachable) {
		for _, e := range l.endpoints {
			k := c.describe(e, t, s, d)
			k.Share = float64(draws[e]) / explainDraws
			list = append(list, k)
		}
	}
	slices.SortStableFunc(list, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.Share, x.Share), cmp.Compare(x.Loss, y.Loss))
	})
	return list
}

// peek returns the state of a service without marking it as used or updating it.
// For a service that was not called yet, the state is a temporary one.
func (b *Balancer) peek(announce string, now int64) (*service, *table) {
	if v, ok := b.services.Load(announce); ok {
		if t := v.(*service).table.Load(); t != nil {
			return v.(*service), t
		}
	}
	s := newService(announce, b.opts)
	return s, s.updateTable(b, now)
}

// explainedDraw makes one choice; nil when no endpoint is left.
func (c *choice) explainedDraw(s *service, t *table, d *Demand) *endpoint {
	panicMode := c.panicMode
	defer func() { c.panicMode = panicMode }() // lastResort sets it
	if d == nil {
		return c.pick(t)
	}
	if e, _, _ := c.leastLoss(t, *d); e != nil {
		return e
	}
	return c.lastResort(t)
}

// describe returns the figures of an endpoint.
func (c *choice) describe(e *endpoint, t *table, s *service, d *Demand) Candidate {
	r := e.record.Load()
	k := Candidate{ID: r.ID, FailureDomain: r.FailureDomain, State: r.State.String(), Slots: int(e.slots()),
		OwnInFlight: e.inFlight.Load(), Failed: e.failed.value(c.now), Ejected: e.ejected(c.now)}
	if g := e.gateState.Load(); g != nil && g.Fresh(c.now) {
		k.NewsAge, k.Relayed = time.Duration(c.now-g.At), g.relayed
	}
	priority, mean := 0, t.mean.Load()
	if d != nil {
		priority = d.priorityIndex()
		k.Loss, k.Late, k.Missed = c.loss(e, c.b.view.Self(), mean, *d)
	}
	estimate := evenload.EstimateOf(e.news(), mean, priority, e.slots(), k.OwnInFlight, c.now)
	k.Calls, k.ServiceTime = estimate.Calls, time.Duration(estimate.ServiceTime)
	return k
}
