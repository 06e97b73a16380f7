package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/idem"
	"siskingw/lateness"
)

// InboundOptions configures an Inbound.
type InboundOptions struct {
	Target       string          // host:port of the target; ignored when Backend is set
	Gate         *admit.Gate     // limits concurrent calls; ignored when Backend is set
	Backend      func() *Backend // returns the target that currently accepts calls, or nil
	Ledger       *idem.Ledger    // without one, calls with an idempotency key are refused
	Pool         *Pool           // connections to the target; default: a new Pool
	Metrics      *Metrics        // nil disables metrics
	Tracer       *Tracer         // nil disables tracing
	HeaderFormat HeaderFormat    // header format of the target and of callers' IDs; default: the Siskingw- headers
	Responses    ResponseOptions
	Bodies       BodyOptions
	DecisionLog  *DecisionLog  // nil disables the log of decisions
	Link         *admit.Link   // network link of this instance; nil means unlimited bandwidth
	Sender       *admit.Sender // the same link, for responses; nil means unlimited bandwidth
	// Nested recognises the calls that the target makes while it runs others; nil
	// treats all calls of this instance alike.
	Nested  *admit.NestedRoutes
	Parents *admit.Parents // limits the calls during which the target makes others; nil for no limit
	// NoKeys passes the header of idempotency keys on to the target; see
	// OutboundOptions.
	NoKeys   bool
	EvenLoad *EvenLoad // what the node does for even load; nil for nothing
	// CloseDelimited accepts responses of the target that are delimited only by
	// closing the connection.
	CloseDelimited bool
	// OnWrongTarget is called when another target than the expected one responds
	// at the address of a backend. It may be nil.
	OnWrongTarget func(*Backend)
	OnAnswer      func(Answer) // called for each call that was sent to the target; may be nil
}

// Backend is a target that accepts calls.
type Backend struct {
	Addr     string      // host:port
	Instance string      // identity that the target must confirm; empty skips the check
	Service  string      // announced service name; empty matches any
	Gate     *admit.Gate // limits concurrent calls
}

// Inbound is the handler at the target's node: it forwards the calls of other
// nodes to the target of this instance.
type Inbound struct {
	*shutdownState
	opts     InboundOptions
	draining atomic.Bool
}

const (
	defaultCallTimeout   = 30 * time.Second // when neither policy nor caller sets one
	defaultUploadTimeout = 10 * time.Minute // the same for uploads, which may cross slow links
)

// NewInbound returns the handler of the inbound listener.
func NewInbound(opts InboundOptions) *Inbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	if opts.HeaderFormat == nil {
		opts.HeaderFormat = nativeFormat{}
	}
	return &Inbound{shutdownState: newShutdownState(), opts: opts}
}

// backend returns the target that currently accepts calls, or nil.
func (in *Inbound) backend() *Backend {
	if in.opts.Backend != nil {
		return in.opts.Backend()
	}
	return &Backend{Addr: in.opts.Target, Gate: in.opts.Gate}
}

// Drain refuses new calls from now on with a not-run outcome and
// HeaderDraining, and lets the calls in flight finish. The listener must stay
// open until the callers' nodes have learned of it; see Stop.
func (in *Inbound) Drain() {
	in.draining.Store(true)
	if b := in.backend(); b != nil {
		b.Gate.Drain()
	}
}

// load returns the load of the target: calls divided by slots. It is 1 when the
// instance has no target.
func (in *Inbound) load() float64 {
	if b := in.backend(); b != nil {
		return b.Gate.Load()
	}
	return 1
}

// Stop drains the handler and shuts srv down. For the duration of linger, new
// calls are still refused with a not-run outcome, because a call that meets a
// closed connection could only be reported as unknown. It returns the error of
// the gate or of srv when ctx is done first.
func (in *Inbound) Stop(ctx context.Context, srv interface{ Shutdown(context.Context) error },
	linger time.Duration) error {
	in.Drain()
	t := time.NewTimer(linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if b := in.backend(); b != nil {
		if err := b.Gate.Wait(ctx); err != nil {
			return err
		}
	}
	err := srv.Shutdown(ctx)
	in.opts.Pool.Close()
	return err
}

// ServeHTTP forwards one call to the target.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	defer c.release()
	defer in.cancelOnAbort(c)()
	defer in.opts.Tracer.startSpan(c, "inbound")()
	f := in.serve(c)
	c.refused = f
	in.opts.Metrics.observe(sideInbound, c, f)
	if f != nil {
		f.load = loadValue(in.load())
		f.gate = in.gateState(c)
		f.news = in.opts.EvenLoad.newsFor(c)
		f.draining = in.draining.Load()
		c.refuse(f)
	}
}

// serve reads the headers of the caller's node and handles the call.
func (in *Inbound) serve(c *call) *refusal {
	if !in.opts.NoKeys {
		c.readKey()
		c.voucher = c.r.Header.Get(HeaderVoucher)
	}
	c.kind = ParseKind(c.r.Header.Get(HeaderKind))
	c.expectsContinue = len(c.r.Header[HeaderExpect]) > 0
	in.opts.EvenLoad.receive(c)
	c.work = parseWork(c.r.Header.Get(HeaderWork), c.start, c.kind)
	c.work.parseOrganisation(c.r.Header.Get(HeaderOrganisation))
	return c.correctKeyedRefusal(in.validateAndForward(c))
}

func (in *Inbound) validateAndForward(c *call) *refusal {
	if status, reason := checkRequest(c.r, in.opts.NoKeys); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, cause: causeBadRequest, reason: reason, closeConn: true}
	}
	callerInfo, f := c.readCaller(nativeFormat{})
	if f != nil {
		return f
	}
	if f := c.setDeadline(maxDeadline, callerInfo); f != nil {
		return f
	}
	in.limitDeadline(c)
	if s, err := in.opts.HeaderFormat.ReadRequest(c.r.Header); err == nil {
		c.id = s.ID
	}
	if f := in.receiveBody(c); f != nil {
		return f
	}
	return in.forward(c)
}

// receiveBody reads the request body. When the caller's node waits for 100
// Continue and the gate would not admit the call once the body had arrived, the
// call is refused before the body is transferred.
func (in *Inbound) receiveBody(c *call) *refusal {
	size := c.r.ContentLength
	if b := in.backend(); len(c.r.Header["Expect"]) > 0 && size > 0 && b != nil && !c.work.targetTime.IsZero() {
		if err := b.Gate.Check(c.admissionWork(), c.deadline, in.opts.Link.Report().TransferTime(size)); err != nil {
			f := in.gateRefusal(c, b, err)
			f.authoritative = true
			in.logRefusal(c, f)
			return f
		}
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return c.body.bufferOrStream(c.w, c.r, 0, in.opts.Bodies)
	}
	body, done := in.opts.Link.Receive(c.r.Body, size)
	defer done()
	c.r.Body = readCloser{body, c.r.Body}
	return c.body.bufferOrStream(c.w, c.r, 0, in.opts.Bodies)
}

// admissionWork returns the description of the call for admission control.
func (c *call) admissionWork() admit.Work {
	return admit.Work{Class: c.work.class, Priority: c.work.priority, TargetTime: c.work.targetTime, Late: c.work.allowLate,
		Organisation: c.work.organisation, Weight: c.work.weight, Nested: c.work.nested, Elsewhere: c.work.elsewhere}
}

// makesCall reports whether the target of this instance makes the call while it
// runs another one. A nil Inbound has no target.
func (in *Inbound) makesCall(c *call, info CallerInfo) bool {
	if in == nil || in.opts.Nested == nil || !info.HasDeadline {
		return false
	}
	b := in.backend()
	if b == nil {
		return false
	}
	return in.opts.Nested.Observe(c.work.class, c.start.Add(info.Deadline), b.Gate.LatestDeadline())
}

// observeNested records how a call ended that the target of this instance made; f
// is nil if it was answered.
func (in *Inbound) observeNested(c *call, f *refusal) {
	if b := in.backend(); b != nil && in.opts.Parents != nil {
		// A rejection by the target itself costs the parent its run as well. That is
		// no loss while slots are free: refusing parents would not make room for others.
		rejected := f != nil && f.reachedTarget && b.Gate.Load() >= 1
		refused := f != nil && (f.overloaded || rejected) && f.outcome == OutcomeNotRun
		in.opts.Metrics.countNested()
		in.opts.Parents.Observe(refused, c.gate.report, b.Gate.Report(), time.Now())
	}
}

// forward forwards the call to the target unless the gate or the ledger of
// idempotency keys refuses it. It marks its refusals as made by the target's
// node.
func (in *Inbound) forward(c *call) *refusal {
	var f *refusal
	if c.key != "" {
		f = in.forwardKeyed(c)
	} else {
		f = in.forwardUnkeyed(c)
	}
	if f != nil {
		f.authoritative = true
		in.logRefusal(c, f)
		if c.fromCaller { // the call begins at this node
			c.gate = in.gateState(c)
		}
	}
	return f
}

// logRefusal logs that this node refused the call or that the call failed at
// the target.
func (in *Inbound) logRefusal(c *call, f *refusal) {
	b := in.backend()
	if b != nil && (f.reachedTarget || f.outcome == OutcomeUnknown) {
		in.opts.DecisionLog.logLost(c, b, f)
		return
	}
	in.opts.DecisionLog.logRefused(c, b, f)
}

// forwardUnkeyed forwards a call without an idempotency key.
func (in *Inbound) forwardUnkeyed(c *call) *refusal {
	b := in.backend()
	if b == nil {
		return notRun(causeNoTarget, "the instance has no target", nil)
	}
	if b.Service != "" && c.work.service != "" && b.Service != c.work.service {
		// The caller's node still takes this address for one of an instance of
		// another service, which had it before.
		f := notRun(causeOtherService, "the instance has a target of another service", nil)
		f.status = http.StatusMisdirectedRequest
		return f
	}
	if err := in.opts.Parents.Admit(c.admissionWork(), time.Now()); err != nil {
		f := in.gateRefusal(c, b, err)
		f.retried = true // the other instances need the same services
		return f
	}
	if f := in.handOn(c, b); f != nil {
		return f
	}
	promise, f := in.promise(c, b)
	if f != nil {
		return f
	}
	defer promise.Release()
	ticket, f := in.admit(c, b)
	if f != nil {
		return f
	}
	defer ticket.Release()
	x := exchange{pool: in.opts.Pool}
	sentAt := time.Now()
	if f = in.sendToTarget(&x, c, c.ctx, b); f == nil {
		f = x.bufferResponse(c, in.opts.Responses.BufferBytes)
	}
	in.observeAnswer(c, b, f, time.Since(sentAt))
	if f != nil {
		return f
	}
	if x.bodyComplete {
		ticket.Release() // the target has responded in full; a slow caller must not hold the slot
	} else {
		ticket.Answered()
		holdOf(c.w).MarkSlot()
	}
	completeAt := time.Now()
	if err := promise.Send(c.ctx, x.responseBytes(), c.deadline); err != nil {
		return x.fail(causeAnswerCut, "the answer did not leave over the link", err)
	}
	if promise != nil {
		in.opts.Metrics.observeLinkWait(time.Since(completeAt))
	}
	in.addNodeResponseHeaders(c)
	f = x.relay(c)
	ticket.Received(c.receiving)
	return f
}

// promise reserves the link for the response to a call of another node.
func (in *Inbound) promise(c *call, b *Backend) (*admit.Promise, *refusal) {
	if c.fromCaller || in.opts.Sender == nil {
		return nil, nil
	}
	work := c.admissionWork()
	p, err := in.opts.Sender.Promise(work, c.deadline, b.Gate.ExpectedWait(work.Rank())+b.Gate.ClassServiceTime(work.Class))
	if err != nil {
		f := in.gateRefusal(c, b, err)
		f.retryAfter = max(f.retryAfter, in.opts.Sender.Backlog())
		return nil, f
	}
	return p, nil
}

// admit acquires a slot from the gate, waiting in its queue if necessary.
func (in *Inbound) admit(c *call, b *Backend) (*admit.Ticket, *refusal) {
	if in.draining.Load() {
		b.Gate.Drain() // the target may have announced itself after the drain began
	}
	if f := c.refuseIfCut(lateness.Probability(b.Gate.ClassServiceTime(c.work.class), c.timeLeft())); f != nil {
		return nil, f
	}
	if f := in.takeStreamSlot(c, b); f != nil {
		return nil, f
	}
	c.gateCtx = deadlineContext{Context: c.ctx, deadline: c.deadline}
	var ticket *admit.Ticket
	var err error
	asked := time.Now()
	if c.work.targetTime.IsZero() {
		ticket, err = b.Gate.Enter(&c.gateCtx, c.kind)
	} else {
		ticket, err = b.Gate.Admit(&c.gateCtx, c.admissionWork())
	}
	in.opts.EvenLoad.observeArrival(in.opts.Metrics, c, b, time.Since(asked))
	if err == nil {
		in.opts.Metrics.observeGateWait(time.Since(asked))
		return ticket, nil
	}
	return nil, in.gateRefusal(c, b, err)
}

// gateRefusal returns the refusal for a call that the gate did not admit.
func (in *Inbound) gateRefusal(c *call, b *Backend, err error) *refusal {
	in.opts.Bodies.Budget.EvictFromSlots()
	f := notRun(cause(admit.Cause(err)), "the target's node refuses the call", err)
	f.retryAfter = b.Gate.ExpectedWait(c.work.priority)
	f.overloaded = true
	return f
}

// gateState returns the current state of the gate for a response header.
func (in *Inbound) gateState(c *call) gateState {
	s := gateState{handlingTime: time.Since(c.start), link: in.opts.Link.Report(), sendBacklog: in.opts.Sender.Backlog()}
	if b := in.backend(); b != nil {
		s.report, s.classServiceTime = b.Gate.Report(), b.Gate.ClassServiceTime(c.work.class)
	}
	return s
}

// sendToTarget sends the call to the target and reads the response header. If
// it returns a refusal, by this node or by the target itself, the exchange has
// ended.
//
//siskingw:step run
func (in *Inbound) sendToTarget(x *exchange, c *call, ctx context.Context, b *Backend) *refusal {
	c.buildRequest()
	in.opts.HeaderFormat.WriteRequest(c.outHeader, TargetInfo{ID: c.id, Deadline: c.timeLeft(),
		Instance: b.Instance, Caller: c.work.caller, Organisation: c.work.organisation})
	x.awaitContinue, x.closeDelimited = c.expectsContinue && c.body.streamed, in.opts.CloseDelimited
	var info ResponseInfo
	x.classify = func(resp *http.Response) responseClass {
		info = in.opts.HeaderFormat.ReadResponse(resp)
		switch {
		case info.ID != "" && info.ID != c.id:
			return responseToOtherCall
		case !info.FromTarget:
			return responseNotFromTarget
		case info.NotRun && info.ID != c.id:
			// Without the ID it may be a copy of an earlier refusal, sent while
			// this call runs.
			return responseNotFromTarget
		}
		return responseToCall
	}
	if f := x.start(ctx, c, b.Addr); f != nil {
		return f
	}
	b.Gate.ObserveSlowness(info.Load.Slowness)
	if !info.NotRun {
		return nil
	}
	if info.OtherTarget && in.opts.OnWrongTarget != nil {
		in.opts.OnWrongTarget(b)
	}
	x.finish(false)
	f := notRun(causeTarget, "the target did not run the call", nil)
	f.reachedTarget = !info.OtherTarget
	return f
}

// addNodeResponseHeaders arranges for the load and the state of the gate to reach the
// caller's node with the response.
func (in *Inbound) addNodeResponseHeaders(c *call) {
	if c.fromCaller { // caller and target share this node
		c.load, c.gate = in.load(), in.gateState(c)
		return
	}
	c.addHeaders = func(h http.Header) { in.setNodeHeaders(c, h) }
}

// setNodeHeaders sets the response headers that the caller's node reads.
func (in *Inbound) setNodeHeaders(c *call, h http.Header) {
	h[HeaderLoad] = loadValue(in.load())
	h[HeaderGate] = []string{in.gateState(c).format()}
	if v := in.opts.EvenLoad.newsFor(c); v != "" {
		h[HeaderNews] = []string{v}
	}
	if in.draining.Load() {
		h[HeaderDraining] = headerTrue
		h["Connection"] = connectionClose
	}
}
