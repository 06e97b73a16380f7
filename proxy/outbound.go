package proxy

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskingw/balance"
	"siskingw/member"
	"siskingw/object"
	"siskingw/snapshot"
)

// OutboundOptions configures the handler on the caller's node.
type OutboundOptions struct {
	Current    *snapshot.Current
	Balancer   *balance.Balancer
	View       member.View          // membership; resolves the owners of idempotency keys
	Pool       *Pool                // connections to other nodes; default: a new pool
	Local      *Inbound             // handler of this instance's own target, or nil
	OnDraining func(*member.Record) // called when a node's response says that it is draining; may be nil
	Metrics    *Metrics             // nil records no metrics
	Tracer     *Tracer              // nil records no spans
	Edge       Edge                 // header format of callers; nil for the Siskingw- headers
	Caller     func() string        // name of the calling service, sent to targets; nil for none
	Answers    AnswerOptions
	Bodies     BodyOptions
	Retries    RetryOptions
	Decisions  *Decisions // nil logs nothing
}

// Outbound is the HTTP handler that routes the calls of this instance's callers.
type Outbound struct {
	*shutdownState
	opts    OutboundOptions
	budgets sync.Map // service name to *budget

	splitters sync.Map // route name to *splitter
	sizes     sync.Map // route name to *sizes
}

// reservedPrefix is the path prefix of requests that the node answers itself.
const reservedPrefix = "/siskingw/"

// NewOutbound returns the handler for the outbound listener.
func NewOutbound(opts OutboundOptions) *Outbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	if opts.Edge == nil {
		opts.Edge = nativeEdge{}
	}
	if opts.Caller == nil {
		opts.Caller = func() string { return "" }
	}
	opts.Retries = opts.Retries.withDefaults()
	return &Outbound{shutdownState: newShutdownState(), opts: opts}
}

// ServeHTTP routes one call.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, reservedPrefix) {
		o.serveOwn(w, r)
		return
	}
	c := newCall(w, r)
	c.outside, c.edge = true, o.opts.Edge
	defer c.free()
	defer o.cancelOnAbort(c)()
	defer o.opts.Tracer.begin(c, "outbound")()
	c.readKey()
	f := c.keyedRefusal(o.serve(c))
	c.refused = f
	o.opts.Metrics.observe(sideOutbound, c, f)
	if f != nil {
		f.after = returnAfter(c, f, rand.Float64())
	}
	o.opts.Decisions.end(c, f, o.opts.Current.Version())
	if f != nil {
		f.draining, f.movedTo = false, "" // headers between nodes only
		c.refuse(f)
	}
}

// serve matches the call to a route and sends it. It loads the current snapshot
// once, so that the whole call uses one version.
func (o *Outbound) serve(c *call) *refusal {
	if status, reason := checkRequest(c.r); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, cause: causeRequest, reason: reason, hangUp: true}
	}
	if c.r.Host == "" && c.r.ProtoAtLeast(1, 1) {
		return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, cause: causeRequest, reason: "the request names no host", hangUp: true}
	}
	if o.refusing.Load() {
		f := notRun(causeStopping, "the node stops", nil)
		f.hangUp = true
		return f
	}
	stated, unreadable := c.readCaller(o.opts.Edge)
	snap := o.opts.Current.Load()
	if snap == nil {
		if unreadable == nil {
			c.setDeadline(maxDeadline, stated) // retryAfter needs the deadline
		}
		return notRun(causeNoConfig, "no configuration is in force yet", nil)
	}
	res := snap.Match(hostName(c.r.Host), c.r.URL.Path)
	if res == nil {
		return &refusal{status: http.StatusNotFound, outcome: OutcomeNotRun, cause: causeNoRoute, reason: "no route matches"}
	}
	res = o.share(res)
	c.kind = ParseKind(string(res.Route.Kind))
	if unreadable != nil {
		return unreadable
	}
	if f := c.setDeadline(timeoutOf(res.Policy, c.kind), stated); f != nil {
		return f
	}
	c.work = c.workOf(res.Name, res.Policy)
	c.work.caller = o.opts.Caller()
	c.maxBody = maxBody(res.Policy)
	if f := c.body.bufferOrStream(c.w, c.r, c.maxBody, o.opts.Bodies); f != nil {
		return f
	}
	if c.key != "" {
		return o.routeKeyed(c, res)
	}
	return o.route(c, res)
}

// share returns the route bound to the service that gets this call: the next one
// in turn for a split route.
func (o *Outbound) share(res *snapshot.Resolved) *snapshot.Resolved {
	if len(res.Split) == 0 {
		return res
	}
	return o.splitter(res.Name).next(res.Split).Route
}

// route sends the call to endpoints until one responds or no retry is allowed.
func (o *Outbound) route(c *call, res *snapshot.Resolved) *refusal {
	b := o.budgetOf(res.ServiceName)
	b.deposit(o.opts.Retries.percent(res.Policy))
	t := tries{policy: res.Policy, budget: b, free: o.opts.Retries.FreeTries, unsent: o.opts.Retries.FreeTries > 0}
	for {
		picked, err := o.pick(c, res, &t)
		if err == nil && t.futile(picked, rand.Float64()) {
			picked.Done(balance.Report{})
			f := notRun(causeFull, "every endpoint is full", nil)
			f.crowded = true
			return t.end(f)
		}
		if err != nil {
			if res.Fallback != nil {
				res = res.Fallback
				continue
			}
			return t.end(notRun(causeNoEndpoint, "no endpoint is left", err))
		}
		c.work.service = res.EndpointSet.Announce
		f := o.send(c, picked.Record)
		c.note(picked.Record, picked.Late, f)
		picked.Done(c.report(f))
		if f == nil || f.aborted {
			return f
		}
		if !t.again(c, f, picked.Record.ID) {
			c.barred = t.barred
			o.opts.Metrics.retry(triesRefused)
			return t.end(nil)
		}
		o.opts.Metrics.retry(t.kind())
	}
}

// pick selects the endpoint for the next attempt.
func (o *Outbound) pick(c *call, res *snapshot.Resolved, t *tries) (*balance.Picked, error) {
	if c.work.target.IsZero() {
		return o.opts.Balancer.Pick(res.EndpointSet, ejectionOf(res.Policy), t.skip)
	}
	c.work.late = t.late
	return o.opts.Balancer.PickFor(res.EndpointSet, ejectionOf(res.Policy), t.skip, balance.Demand{
		Target: time.Until(c.work.target), Left: c.left(), Bytes: o.sizeOf(res.Name).of(c), Body: max(c.r.ContentLength, 0),
		Class: c.work.class, Priority: c.work.priority,
	})
}

// send forwards the call to the node of the chosen endpoint and relays the
// response to the caller.
func (o *Outbound) send(c *call, rec *member.Record) *refusal {
	c.load, c.gate, c.status, c.sentAt = 0, gateState{}, 0, time.Now()
	if o.opts.Local != nil && rec.ID == o.opts.View.Self().ID {
		return o.opts.Local.forward(c)
	}
	c.prepare()
	c.nodeHeader()
	x := exchange{pool: o.opts.Pool, awaitContinue: true}
	if f := x.start(c.ctx, c, rec.InboundAddr); f != nil {
		return f
	}
	c.status = x.resp.StatusCode
	if v := x.resp.Header[HeaderLoad]; len(v) > 0 {
		if load, ok := ParseLoad(v[0]); ok {
			c.load = load
		}
	}
	if v := x.resp.Header[HeaderGate]; len(v) > 0 {
		c.gate = parseGateState(v[0])
	}
	if len(x.resp.Header[HeaderDraining]) > 0 {
		o.drained(rec)
	}
	if v := x.resp.Header[HeaderOutcome]; len(v) > 0 {
		f := x.readRefusal(c, v[0])
		if f.status == http.StatusMisdirectedRequest && f.outcome == OutcomeNotRun {
			f.status, f.unreachable = http.StatusServiceUnavailable, true // the address belongs to another service now
		}
		return f
	}
	if f := x.bufferResponse(c, o.opts.Answers.HoldBytes); f != nil {
		return f
	}
	if x.bodyComplete {
		o.sizeOf(c.work.class).add(len(x.bodyPrefix))
	}
	return x.relay(c)
}

// drained closes the idle connections to a draining node and calls OnDraining.
func (o *Outbound) drained(rec *member.Record) {
	o.opts.Pool.CloseIdle(rec.InboundAddr)
	if o.opts.OnDraining != nil {
		o.opts.OnDraining(rec)
	}
}

// report returns the result of the last attempt for the balancer. A failure that
// the caller caused does not count against the endpoint.
func (c *call) report(f *refusal) balance.Report {
	r := balance.Report{
		Load: c.load, Duration: time.Since(c.sentAt),
		Calls: c.gate.report.Calls, Service: c.gate.report.Service,
		Class: c.work.class, OfClass: c.gate.class, Handled: c.gate.handled, Link: c.gate.link,
	}
	switch {
	case f == nil:
		r.Failed = c.status >= http.StatusInternalServerError
	case f.callerFault:
	case f.unreachable:
		r.Unreachable = true
	case c.ctx.Err() != nil:
		r.Refused = true // canceled: neither a success nor a failure of the endpoint
	case f.stated && f.outcome == OutcomeNotRun:
		r.Refused = true
	default:
		r.Failed = true
	}
	return r
}

// merge returns f, the refusal of the latest attempt, corrected by the earlier
// ones: once an attempt may have run, the call is never reported as not run.
func merge(earlier, f *refusal) *refusal {
	if earlier != nil && earlier.outcome == OutcomeUnknown && f.outcome == OutcomeNotRun {
		f.outcome, f.status = OutcomeUnknown, http.StatusBadGateway
	}
	return f
}

func timeoutOf(p *object.PolicySpec, kind object.WorkKind) time.Duration {
	switch {
	case p != nil && p.TimeoutMs > 0:
		return min(time.Duration(p.TimeoutMs)*time.Millisecond, maxDeadline)
	case kind == object.WorkUpload:
		return defaultUploadTimeout
	}
	return defaultCallTimeout
}

func maxBody(p *object.PolicySpec) int64 {
	if p == nil {
		return 0
	}
	return p.MaxBodyBytes
}

func ejectionOf(p *object.PolicySpec) *object.EjectionSpec {
	if p == nil {
		return nil
	}
	return p.Ejection
}

// hostName returns the host of a Host header in lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	if strings.IndexFunc(host, isUpper) < 0 {
		return host
	}
	b := []byte(host)
	for i, c := range b {
		if isUpper(rune(c)) {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

func isUpper(c rune) bool { return c >= 'A' && c <= 'Z' }
