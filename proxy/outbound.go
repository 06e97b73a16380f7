package proxy

import (
	"net/http"
	"strings"
	"time"

	"siskingw/object"
	"siskingw/snapshot"
)

// OutboundOptions configures the handler at the caller's node.
type OutboundOptions struct {
	Current  *snapshot.Current
	Balancer Balancer
	Pool     *Pool    // connections to other nodes
	SelfID   string   // id of this node
	Local    *Inbound // target of this instance, or nil
}

// Outbound routes the calls of this instance's callers.
type Outbound struct {
	opts OutboundOptions
}

// NewOutbound returns the handler of the outbound listener.
func NewOutbound(opts OutboundOptions) *Outbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	return &Outbound{opts: opts}
}

// ServeHTTP routes one call.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	defer c.free()
	if f := o.serve(c); f != nil {
		c.refuse(f)
	}
}

// serve finds the route in the snapshot in force, which it loads once, and
// sends the call.
func (o *Outbound) serve(c *call) *refusal {
	if status, reason := checkRequest(c.r); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, reason: reason}
	}
	snap := o.opts.Current.Load()
	if snap == nil {
		return notRun("no configuration is in force yet", nil)
	}
	res := snap.Match(hostName(c.r.Host), c.r.URL.Path)
	if res == nil {
		return &refusal{status: http.StatusNotFound, outcome: OutcomeNotRun, reason: "no route matches"}
	}
	if f := c.setDeadline(timeoutOf(res.Policy)); f != nil {
		return f
	}
	c.kind = ParseKind(string(res.Route.Kind))
	if f := c.body.load(c.w, c.r, maxBody(res.Policy)); f != nil {
		return f
	}
	return o.attempt(c, res)
}

// attempt sends the call to one endpoint.
func (o *Outbound) attempt(c *call, res *snapshot.Resolved) *refusal {
	var ejection *object.EjectionSpec
	if res.Policy != nil {
		ejection = res.Policy.Ejection
	}
	picked, err := o.opts.Balancer.Pick(res.EndpointSet, ejection, nil)
	if err != nil {
		return notRun("no endpoint is left", err)
	}
	rec := picked.Target()
	if o.opts.Local != nil && rec.ID == o.opts.SelfID {
		f := o.opts.Local.pass(c)
		picked.Done(Report{Refused: f != nil, Load: -1})
		return f
	}
	c.prepare()
	c.header[HeaderKind] = []string{string(c.kind)}
	x := exchange{pool: o.opts.Pool}
	if f := x.start(c.r.Context(), c, rec.InboundAddr); f != nil {
		picked.Done(Report{Failed: true, Load: -1})
		return f
	}
	picked.Done(Report{Load: -1, Duration: c.waited})
	return x.relay(c)
}

func timeoutOf(p *object.PolicySpec) time.Duration {
	if p == nil || p.TimeoutMs <= 0 {
		return defaultTimeout
	}
	return time.Duration(p.TimeoutMs) * time.Millisecond
}

func maxBody(p *object.PolicySpec) int64 {
	if p == nil {
		return 0
	}
	return p.MaxBodyBytes
}

// hostName returns the host of a Host header without the port.
func hostName(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:i]
}
