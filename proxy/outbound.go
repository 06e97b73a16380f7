package proxy

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/member"
	"siskingw/object"
	"siskingw/organisation"
	"siskingw/rollout"
	"siskingw/snapshot"
)

// OutboundOptions configures the handler on the caller's node.
type OutboundOptions struct {
	Current      *snapshot.Current
	Balancer     *balance.Balancer
	View         member.View          // membership; resolves the owners of idempotency keys
	Pool         *Pool                // connections to other nodes; default: a new pool
	Local        *Inbound             // handler of this instance's own target, or nil
	OnDraining   func(*member.Record) // called when a node's response says that it is draining; may be nil
	Metrics      *Metrics             // nil records no metrics
	Tracer       *Tracer              // nil records no spans
	HeaderFormat HeaderFormat         // header format of callers; nil for the Siskingw- headers
	Caller       func() string        // name of the calling service, sent to targets; nil for none
	Responses    ResponseOptions
	Bodies       BodyOptions
	Retries      RetryOptions
	DecisionLog  *DecisionLog // nil logs nothing
	// NoKeys leaves the header of idempotency keys and the paths of the node's own
	// interface to the callers: they are passed on to targets like any others.
	NoKeys bool
	// RelayNews adds news about other targets of the own failure domain to calls there.
	RelayNews bool
	// Rollouts restricts calls to versions of targets that are known to be good;
	// nil permits every version.
	Rollouts      *rollout.Traffic
	Quota         Quota               // nil keeps no quotas
	Organisations *organisation.Cache // nil for one of its own
}

// Outbound is the HTTP handler that routes the calls of this instance's callers.
type Outbound struct {
	*shutdownState
	opts         OutboundOptions
	retryBudgets sync.Map // service name to *retryBudget

	returning admit.Returning // calls that this node has refused

	splitters     sync.Map // route name to *splitter
	responseSizes sync.Map // route name to *responseSize
}

// reservedPrefix is the path prefix of requests that the node answers itself.
const reservedPrefix = "/siskingw/"

// NewOutbound returns the handler for the outbound listener.
func NewOutbound(opts OutboundOptions) *Outbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	if opts.HeaderFormat == nil {
		opts.HeaderFormat = nativeFormat{}
	}
	if opts.Caller == nil {
		opts.Caller = func() string { return "" }
	}
	if opts.Organisations == nil {
		opts.Organisations = new(organisation.Cache)
	}
	opts.Retries = opts.Retries.withDefaults()
	return &Outbound{shutdownState: newShutdownState(), opts: opts}
}

// ServeHTTP routes one call.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !o.opts.NoKeys && strings.HasPrefix(r.URL.Path, reservedPrefix) {
		o.serveNodeAPI(w, r)
		return
	}
	c := newCall(w, r)
	c.fromCaller, c.headerFormat = true, o.opts.HeaderFormat
	defer c.release()
	defer o.cancelOnAbort(c)()
	defer o.opts.Tracer.startSpan(c, "outbound")()
	if !o.opts.NoKeys {
		c.readKey()
	}
	f := c.correctKeyedRefusal(o.serve(c))
	c.refused = f
	o.returnQuota(c, f)
	o.opts.Metrics.observe(sideOutbound, c, f)
	if c.work.nested {
		o.opts.Local.observeNested(c, f)
	}
	if f != nil {
		f.retryAfter = retryAfter(c, f, rand.Float64())
		o.remember(c, f)
	}
	o.opts.DecisionLog.logEnded(c, f, o.opts.Current.Version())
	if f != nil {
		f.draining, f.movedTo = false, "" // headers between nodes only
		c.refuse(f)
	}
}

// serve matches the call to a route and sends it. It loads the current snapshot
// once, so that the whole call uses one version.
func (o *Outbound) serve(c *call) *refusal {
	if status, reason := checkRequest(c.r, o.opts.NoKeys); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, cause: causeBadRequest, reason: reason, closeConn: true}
	}
	if c.r.Host == "" && c.r.ProtoAtLeast(1, 1) {
		return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, cause: causeBadRequest,
			reason: "the request names no host", closeConn: true}
	}
	if o.refusing.Load() {
		f := notRun(causeStopping, "the node stops", nil)
		f.closeConn = true
		return f
	}
	callerInfo, invalid := c.readCaller(o.opts.HeaderFormat)
	snap := o.opts.Current.Load()
	if snap == nil {
		if invalid == nil {
			c.setDeadline(maxDeadline, callerInfo) // retryAfter needs the deadline
		}
		return notRun(causeNoConfig, "no configuration is in force yet", nil)
	}
	path, f := routePath(c.r)
	if f != nil {
		return f
	}
	res := snap.Match(object.NormalizeHost(c.r.Host), path)
	if f := o.identify(c, snap, res); f != nil {
		return f
	}
	if res == nil {
		return &refusal{status: http.StatusNotFound, outcome: OutcomeNotRun, cause: causeNoRoute, reason: "no route matches"}
	}
	if res.Route.Unavailable != "" {
		c.work.class, c.kind = res.Name, ParseKind(string(res.Route.Kind))
		if invalid == nil {
			c.setDeadline(timeoutOf(res.Policy, c.kind), callerInfo) // retryAfter needs the deadline
		}
		f := unavailable(res)
		f.closeConn = c.bodyUnread()
		return f
	}
	res = o.resolveSplit(res)
	c.kind = ParseKind(string(res.Route.Kind))
	if invalid != nil {
		return invalid
	}
	if f := c.setDeadline(timeoutOf(res.Policy, c.kind), callerInfo); f != nil {
		return f
	}
	o.limitDeadline(c)
	c.work = c.newWork(res.Name, res.Policy)
	c.work.caller = o.opts.Caller()
	c.work.setOrganisation(c.organisation)
	c.work.nested = o.opts.Local.makesCall(c, callerInfo)
	o.recall(c, callerInfo)
	if f := o.spendQuota(c); f != nil {
		return f
	}
	c.maxBodyBytes = maxBodyOf(res.Policy)
	if f := c.body.bufferOrStream(c.w, c.r, c.maxBodyBytes, o.opts.Bodies); f != nil {
		return f
	}
	if c.key != "" {
		return o.routeKeyed(c, res)
	}
	return o.route(c, res)
}

// unavailable returns the refusal of calls on a route that is unavailable.
func unavailable(res *snapshot.ResolvedRoute) *refusal {
	return notRun(causeUnavailable, "the route is unavailable: "+res.Route.Unavailable, nil)
}

// resolveSplit returns the route bound to the service that gets this call: for a
// split route, the next service in turn.
func (o *Outbound) resolveSplit(res *snapshot.ResolvedRoute) *snapshot.ResolvedRoute {
	if len(res.Split) == 0 {
		return res
	}
	return o.splitterOf(res.Name).next(res.Split).Route
}

// route sends the call to endpoints until one responds or no retry is allowed.
func (o *Outbound) route(c *call, res *snapshot.ResolvedRoute) *refusal {
	b := o.retryBudgetOf(res.ServiceName)
	b.deposit(o.opts.Retries.budgetPercent(res.Policy))
	t := retryState{policy: res.Policy, budget: b,
		freeLeft: o.opts.Retries.FreeRetries, freeEnabled: o.opts.Retries.FreeRetries > 0,
		allowLate: c.ask.late(c), lateFromStart: c.ask.late(c)}
	handedOn := false
	for {
		picked, err := o.pick(c, res, &t)
		if err == nil {
			if f := t.refuseBeforeSending(c, picked); f != nil {
				picked.Done(balance.Report{})
				t.plan.Sent(false, false)
				return t.result(f)
			}
		}
		if err != nil {
			if res.Fallback != nil {
				res = res.Fallback
				continue
			}
			return t.result(notRun(causeNoEndpoint, "no endpoint is left", err))
		}
		c.work.service = res.EndpointSet.Announce
		c.work.mayHandOn = o.opts.RelayNews && !handedOn && picked.Record.FailureDomain == o.opts.View.Self().FailureDomain
		c.work.elsewhere = t.hasRetryLeft(c)
		f := o.send(c, picked.Record)
		t.recordSent(f)
		c.recordAttempt(picked.Record, picked.Late, f)
		picked.Done(c.balancerReport(f))
		if f == nil || f.aborted {
			return f
		}
		if t.maySendOn(c, f) {
			handedOn = true
			continue
		}
		if !t.shouldRetry(c, f, picked.Record.ID) {
			c.noRetry = t.noRetry
			o.opts.Metrics.countRetry(retryDenied)
			return t.result(nil)
		}
		o.opts.Metrics.countRetry(t.counterIndex())
	}
}

// refuseBeforeSending returns a refusal if an attempt at the picked endpoint would
// probably be in vain, or nil.
func (t *retryState) refuseBeforeSending(c *call, picked *balance.Picked) *refusal {
	if !t.allowLate && !c.work.nested && picked.LateIdle > maxLateIdle && !picked.Full {
		t.allowLate, t.lateFromStart, c.work.allowLate = true, true, true
	}
	if t.likelyRefused(picked, c.work.nested, rand.Float64()) {
		f := notRun(causeAllFull, "every endpoint is full", nil)
		f.overloaded = true
		return f
	}
	return c.refuseIfCut(picked.Missed)
}

// pick selects the endpoint for the next attempt.
func (o *Outbound) pick(c *call, res *snapshot.ResolvedRoute, t *retryState) (*balance.Picked, error) {
	if o.opts.Rollouts != nil {
		return o.pickVersion(c, res, t)
	}
	return o.pickAmong(c, res, t, rollout.Rule{})
}

// pickAmong selects the endpoint among those that the rule permits.
func (o *Outbound) pickAmong(c *call, res *snapshot.ResolvedRoute, t *retryState, rule rollout.Rule) (*balance.Picked, error) {
	if c.work.targetTime.IsZero() && !rule.Limited {
		return o.opts.Balancer.Pick(res.EndpointSet, ejectionOf(res.Policy), t.excluded)
	}
	c.work.allowLate = t.allowLate
	left := c.timeLeft()
	if !c.work.targetTime.IsZero() {
		left = time.Until(c.work.targetTime)
	}
	return o.opts.Balancer.PickFor(res.EndpointSet, ejectionOf(res.Policy), t.excluded, balance.Demand{
		TargetLeft: left, DeadlineLeft: c.timeLeft(), Versions: versionRule(rule),
		Bytes: o.responseSizeOf(res.Name).expectedBytes(c), BodyBytes: max(c.r.ContentLength, 0),
		Class: c.work.class, Priority: c.admissionWork().Rank(), Nested: c.work.nested,
		Refused: c.ask.returned(c) || t.lastRefusal != nil && t.lastRefusal.overloaded,
	})
}

// send forwards the call to the node of the chosen endpoint and relays the
// response to the caller.
func (o *Outbound) send(c *call, rec *member.Record) *refusal {
	c.load, c.gate, c.status, c.sentAt = 0, gateState{}, 0, time.Now()
	c.answeredAt, c.receiving = time.Time{}, 0
	if o.opts.Local != nil && rec.ID == o.opts.View.Self().ID {
		return o.opts.Local.forward(c)
	}
	c.buildRequest()
	c.addNodeRequestHeaders()
	o.addNews(c, rec)
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
	o.learnNews(c, rec, x.resp.Header)
	if len(x.resp.Header[HeaderDraining]) > 0 {
		o.noteDraining(rec)
	}
	if v := x.resp.Header[HeaderOutcome]; len(v) > 0 {
		f := x.readRefusal(c, v[0])
		if f.status == http.StatusMisdirectedRequest && f.outcome == OutcomeNotRun {
			f.status, f.unreachable = http.StatusServiceUnavailable, true // the address belongs to another service now
		}
		return f
	}
	if f := x.bufferResponse(c, o.opts.Responses.BufferBytes); f != nil {
		return f
	}
	if x.bodyComplete {
		o.responseSizeOf(c.work.class).observe(x.bodyPrefix.size)
	}
	return x.relay(c)
}

// noteDraining closes the idle connections to a draining node and calls OnDraining.
func (o *Outbound) noteDraining(rec *member.Record) {
	o.opts.Pool.CloseIdle(rec.InboundAddr)
	if o.opts.OnDraining != nil {
		o.opts.OnDraining(rec)
	}
}

// balancerReport returns the result of the last attempt for the balancer. A failure
// that the caller caused does not count against the endpoint.
func (c *call) balancerReport(f *refusal) balance.Report {
	r := balance.Report{
		Load: c.load, Duration: c.answerTime(time.Now()),
		CallsAhead: c.gate.report.CallsAhead, ServiceTime: c.gate.report.ServiceTime,
		Class: c.work.class, ClassServiceTime: c.gate.classServiceTime, HandlingTime: c.gate.handlingTime, Link: c.gate.link, SendBacklog: c.gate.sendBacklog, Slowness: c.gate.report.Slowness,
	}
	switch {
	case f == nil:
		r.Failed = c.status >= http.StatusInternalServerError
	case f.callerFault:
	case f.unreachable:
		r.Unreachable = true
	case c.ctx.Err() != nil:
		r.Refused = true // canceled: neither a success nor a failure of the endpoint
	case f.authoritative && f.outcome == OutcomeNotRun:
		r.Refused = true
	default:
		r.Failed = true
	}
	return r
}

// answerTime returns the time from the start of the last attempt, which ended at now, to
// the end of its response, without the time in which the caller did not read.
func (c *call) answerTime(now time.Time) time.Duration {
	if !c.answeredAt.IsZero() {
		now = c.answeredAt
	}
	return now.Sub(c.sentAt) + c.receiving
}

// mergeRefusals returns f, the refusal of the latest attempt, corrected by the
// earlier ones: once an attempt may have run, the call is never reported as not
// run.
func mergeRefusals(earlier, f *refusal) *refusal {
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

func maxBodyOf(p *object.PolicySpec) int64 {
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
