package proxy

import (
	"net/http"
	"time"

	"siskingw/balance"
	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/quota"
	"siskingw/snapshot"
)

// WhereQuery describes a call that Where places without sending it.
type WhereQuery struct {
	Method       string // GET if empty
	Host         string
	Path         string
	Organisation string // name of the organisation on whose behalf the call is made; empty for none
}

// Placement explains where a call would go now.
type Placement struct {
	Version    uint64              // configuration version in force on the node
	Route      string              // name of the route
	Service    string              // name of the service
	Parts      []PlacementPart     // of a route with weights; else empty
	Announce   string              // name that the service's targets announce
	Target     time.Duration       // target latency; 0 for none
	Timeout    time.Duration       // of the call
	Priority   int                 // 0 is the highest
	Repeatable bool                // the call may be sent again after an attempt that may have run
	Candidates []balance.Candidate // the chosen one first
	Chosen     string              // instance of the chosen target; empty if the call would be refused
	Reason     string              // why it was chosen, or why the call would be refused
	Status     int                 // of the refusal; 0 if the call would be sent
	// RefusedShare is the share of such calls, 0..1, that would be refused.
	RefusedShare float64
	// RetryAfterMin and RetryAfterMax bound the delay that a refused caller is told.
	RetryAfterMin, RetryAfterMax time.Duration
	// Quota is the state of the organisation's quota at this node; nil if the organisation has none.
	Quota *quota.State
}

// PlacementPart is a weighted service of a route.
type PlacementPart struct {
	Service string
	Weight  int
	Next    bool // the next call of this node goes there
}

// Where explains where a call would go now, with the decisions that a call itself
// takes. It sends nothing and changes no state. It returns an Invalid error for a
// query that names no path.
func (o *Outbound) Where(q WhereQuery) (Placement, error) {
	if q.Path == "" || q.Path[0] != '/' {
		return Placement{}, errdefs.Invalid.New("path %q does not begin with a slash", q.Path)
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	c := &call{start: time.Now(), r: &http.Request{Method: q.Method, Body: http.NoBody}}
	p := Placement{Version: o.opts.Current.Version()}
	p.refuse(c, o.place(c, &p, q), 1)
	return p, nil
}

// place fills in p and returns the refusal that the call would get in any case, or
// nil.
func (o *Outbound) place(c *call, p *Placement, q WhereQuery) *refusal {
	if o.refusing.Load() {
		return notRun(causeStopping, "the node stops", nil)
	}
	snap := o.opts.Current.Load()
	if snap == nil {
		c.deadline = c.start.Add(maxDeadline)
		return notRun(causeNoConfig, "no configuration is in force yet", nil)
	}
	path, ok := object.NormalizePath(q.Path)
	if !ok {
		return badRequest("the path holds an invalid escape")
	}
	res := snap.Match(object.NormalizeHost(q.Host), path)
	if res == nil {
		return &refusal{status: http.StatusNotFound, outcome: OutcomeNotRun, cause: causeNoRoute, reason: "no route matches"}
	}
	if res.Route.Unavailable != "" {
		p.Route, c.kind = res.Name, ParseKind(string(res.Route.Kind))
		c.deadline = c.start.Add(timeoutOf(res.Policy, c.kind))
		return unavailable(res)
	}
	res = o.peekSplit(res, p)
	c.kind = ParseKind(string(res.Route.Kind))
	p.Timeout = timeoutOf(res.Policy, c.kind)
	c.deadline = c.start.Add(p.Timeout)
	o.limitDeadline(c)
	c.work = c.newWork(res.Name, res.Policy)
	c.work.organisation = q.Organisation
	c.organisation = o.opts.Organisations.Of(snap).Get(q.Organisation)
	c.work.setOrganisation(c.organisation)
	p.Route, p.Service, p.Announce = res.Name, res.ServiceName, res.EndpointSet.Announce
	p.Priority, p.Repeatable = c.work.priority, c.work.idempotent
	if !c.work.targetTime.IsZero() {
		p.Target = c.work.targetTime.Sub(c.start)
	}
	var f *refusal
	if p.Quota, f = o.peekQuota(c); f != nil {
		return f
	}
	return o.placeTarget(c, p, res)
}

// peekSplit returns the route bound to the service that gets the next call, and
// notes the parts in p.
func (o *Outbound) peekSplit(res *snapshot.ResolvedRoute, p *Placement) *snapshot.ResolvedRoute {
	if len(res.Split) == 0 {
		return res
	}
	next := 0
	if s, ok := o.splitters.Load(res.Name); ok {
		next = s.(*splitter).peek(res.Split)
	} else {
		next = (&splitter{currentWeight: make(map[string]int)}).peek(res.Split)
	}
	for i, part := range res.Split {
		p.Parts = append(p.Parts, PlacementPart{Service: part.Route.ServiceName, Weight: part.Weight, Next: i == next})
	}
	return res.Split[next].Route
}

// placeTarget chooses the target as route does for the first attempt.
func (o *Outbound) placeTarget(c *call, p *Placement, res *snapshot.ResolvedRoute) *refusal {
	for {
		p.Candidates = o.opts.Balancer.Explain(res.EndpointSet, ejectionOf(res.Policy), o.demandOf(c, res))
		if len(p.Candidates) > 0 && p.Candidates[0].Share > 0 {
			break
		}
		if res.Fallback == nil {
			return notRun(causeNoEndpoint, "no endpoint is left", nil)
		}
		res = res.Fallback
		p.Route, p.Service, p.Announce = res.Name, res.ServiceName, res.EndpointSet.Announce
	}
	best := p.Candidates[0]
	picked := &balance.Picked{Late: best.Late, Missed: best.Missed}
	if f := c.refuseIfCut(best.Missed); f != nil {
		return f
	}
	if t := (retryState{}); t.likelyRefused(picked, false, 1) { // 1 stands for a call that is no probe
		p.refuse(c, notRun(causeAllFull, "every endpoint is full", nil), 1-probeShare)
	}
	p.Chosen = best.ID
	if p.Reason == "" {
		p.Reason = reasonOf(best, o.opts.View.Self().ID)
	}
	return nil
}

// demandOf returns the demand of the call, or nil if its route has no target
// latency.
func (o *Outbound) demandOf(c *call, res *snapshot.ResolvedRoute) *balance.Demand {
	if c.work.targetTime.IsZero() {
		return nil
	}
	d := balance.Demand{TargetLeft: time.Until(c.work.targetTime), DeadlineLeft: c.timeLeft(),
		Class: c.work.class, Priority: c.admissionWork().Rank()}
	if o.opts.Rollouts != nil {
		d.Versions = versionRule(o.opts.Rollouts.ProvenRule(res.EndpointSet.Announce))
	}
	if s, ok := o.responseSizes.Load(res.Name); ok {
		d.Bytes = s.(*responseSize).expectedBytes(c)
	}
	return &d
}

// reasonOf returns why the first candidate gets the largest share of the calls.
func reasonOf(k balance.Candidate, self string) string {
	reason := "least expected loss of the targets that were drawn"
	if k.Loss == 0 {
		reason = "least load of the targets that were drawn in the nearest failure domain with room"
	}
	switch {
	case k.ID == self:
		return reason + "; it is on this instance"
	case k.NewsAge == 0:
		return reason + "; nothing was heard of it lately"
	}
	return reason
}

// refuse notes the refusal f, which a share of such calls gets; f may be nil.
func (p *Placement) refuse(c *call, f *refusal, share float64) {
	if f == nil {
		return
	}
	p.Status, p.Reason, p.RefusedShare = f.status, f.reason, share
	p.RetryAfterMin, p.RetryAfterMax = retryAfter(c, f, 0), retryAfter(c, f, 1)
}
