package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/idem"
)

// InboundOptions configures the handler at the target's node.
type InboundOptions struct {
	Target    string // host:port of the target, unless Backend is set
	Gate      *admit.Gate
	Backend   func() *Backend // returns the target that may get work now, or nil
	Ledger    *idem.Ledger    // nil refuses keyed work
	Pool      *Pool           // connections to the target; default: a new pool
	Metrics   *Metrics        // nil counts nothing
	Tracer    *Tracer         // nil traces nothing
	Edge      Edge            // towards the target; nil for the nodes' own headers
	Answers   AnswerOptions
	Bodies    BodyOptions
	Decisions *Decisions  // nil logs nothing
	Link      *admit.Link // of this instance; nil for one that never binds
	// OpenEnded accepts answers of the target that end with their connection.
	OpenEnded bool
	// OnOther is told that another target answers at the address of a backend.
	OnOther func(*Backend)
}

// Backend is a target that may get work.
type Backend struct {
	Addr     string // host:port
	Instance string // identity that the target is asked to confirm; empty for none
	Service  string // announced name; empty for any
	Gate     *admit.Gate
}

// Inbound passes calls of other nodes to the target of this instance.
type Inbound struct {
	*stopping
	opts     InboundOptions
	draining atomic.Bool
}

const (
	defaultTimeout       = 30 * time.Second // when neither policy nor caller bounds a call
	defaultUploadTimeout = 10 * time.Minute // the same for uploads, which pass slow links
)

// NewInbound returns the handler of the inbound listener.
func NewInbound(opts InboundOptions) *Inbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	if opts.Edge == nil {
		opts.Edge = nativeEdge{}
	}
	return &Inbound{stopping: newStopping(), opts: opts}
}

// backend returns the target that may get work now, or nil.
func (in *Inbound) backend() *Backend {
	if in.opts.Backend != nil {
		return in.opts.Backend()
	}
	return &Backend{Addr: in.opts.Target, Gate: in.opts.Gate}
}

// Drain refuses new work from now on, with not-run and Siskingw-Draining, and
// lets the work in flight finish. The listener must stay open until callers
// have learned of it; see Stop.
func (in *Inbound) Drain() {
	in.draining.Store(true)
	if b := in.backend(); b != nil {
		b.Gate.Drain()
	}
}

// load returns the load of the target; one without a target is full.
func (in *Inbound) load() float64 {
	if b := in.backend(); b != nil {
		return b.Gate.Load()
	}
	return 1
}

// Stop drains and shuts the server down. It keeps answering new calls with
// not-run for linger, because a call that meets a closed connection could only
// be reported as unknown. It returns the server's error when ctx ends first.
func (in *Inbound) Stop(ctx context.Context, srv interface{ Shutdown(context.Context) error }, linger time.Duration) error {
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

// ServeHTTP passes one call to the target.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	defer c.free()
	defer in.follow(c)()
	defer in.opts.Tracer.begin(c, "inbound")()
	f := in.serve(c)
	c.refused = f
	in.opts.Metrics.observe(sideInbound, c, f)
	if f != nil {
		f.load = loadValue(in.load())
		f.gate = in.gateState(c)
		f.draining = in.draining.Load()
		c.refuse(f)
	}
}

// serve reads what the caller's node states about the call.
func (in *Inbound) serve(c *call) *refusal {
	c.readKey()
	c.voucher = c.r.Header.Get(HeaderVoucher)
	c.kind = ParseKind(c.r.Header.Get(HeaderKind))
	c.expects = len(c.r.Header[HeaderExpect]) > 0
	c.work = parseWork(c.r.Header.Get(HeaderWork), c.start, c.kind)
	return c.keyedRefusal(in.check(c))
}

func (in *Inbound) check(c *call) *refusal {
	if status, reason := checkRequest(c.r); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, cause: causeRequest, reason: reason, hangUp: true}
	}
	stated, f := c.readCaller(nativeEdge{})
	if f != nil {
		return f
	}
	if f := c.setDeadline(maxDeadline, stated); f != nil {
		return f
	}
	if s, err := in.opts.Edge.Call(c.r.Header); err == nil {
		c.id = s.ID
	}
	if f := in.receive(c); f != nil {
		return f
	}
	return in.pass(c)
}

// receive reads the body of a call. A large one for which the caller's node
// waits is refused before it arrives when it cannot be answered in time.
func (in *Inbound) receive(c *call) *refusal {
	size := c.r.ContentLength
	if b := in.backend(); len(c.r.Header["Expect"]) > 0 && size > 0 && b != nil && !c.work.target.IsZero() {
		if err := b.Gate.Check(c.workForGate(), c.deadline, in.opts.Link.Report().Transfer(size)); err != nil {
			f := in.crowded(c, b, err)
			f.stated = true
			in.logRefusal(c, f)
			return f
		}
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return c.body.load(c.w, c.r, 0, in.opts.Bodies)
	}
	body, done := in.opts.Link.Receive(c.r.Body, size)
	defer done()
	c.r.Body = prefixed{body, c.r.Body}
	return c.body.load(c.w, c.r, 0, in.opts.Bodies)
}

// workForGate returns what the gate must know of the call.
func (c *call) workForGate() admit.Work {
	return admit.Work{Class: c.work.class, Priority: c.work.priority, Target: c.work.target, Late: c.work.late}
}

// pass sends the call to the target, unless the gate or the ledger is against
// it. Its refusals are statements of the target's node.
func (in *Inbound) pass(c *call) *refusal {
	var f *refusal
	if c.key != "" {
		f = in.passKeyed(c)
	} else {
		f = in.passPlain(c)
	}
	if f != nil {
		f.stated = true
		in.logRefusal(c, f)
		if c.outside { // the caller's node is this one
			c.gate = in.gateState(c)
		}
	}
	return f
}

// logRefusal logs a refusal or a failure of this node.
func (in *Inbound) logRefusal(c *call, f *refusal) {
	b := in.backend()
	if b != nil && (f.reached || f.outcome == OutcomeUnknown) {
		in.opts.Decisions.fail(c, b, f)
		return
	}
	in.opts.Decisions.refuse(c, b, f)
}

// passPlain passes a call without a key.
func (in *Inbound) passPlain(c *call) *refusal {
	b := in.backend()
	if b == nil {
		return notRun(causeNoTarget, "the instance has no target", nil)
	}
	if b.Service != "" && c.work.service != "" && b.Service != c.work.service {
		// The address belonged to an instance of another service before.
		f := notRun(causeOtherService, "the instance has a target of another service", nil)
		f.status = http.StatusMisdirectedRequest
		return f
	}
	ticket, f := in.admit(c, b)
	if f != nil {
		return f
	}
	defer ticket.Leave()
	x := exchange{pool: in.opts.Pool}
	if f := in.start(&x, c, c.ctx, b); f != nil {
		return f
	}
	if f := x.hold(c, in.opts.Answers.HoldBytes); f != nil {
		return f
	}
	if x.whole {
		ticket.Leave() // the target is done; the caller may be slow
	}
	in.answerHeader(c)
	return x.relay(c)
}

// admit asks the gate for a slot.
func (in *Inbound) admit(c *call, b *Backend) (*admit.Ticket, *refusal) {
	c.gateCtx = deadlineContext{Context: c.ctx, deadline: c.deadline}
	var ticket *admit.Ticket
	var err error
	asked := time.Now()
	if c.work.target.IsZero() {
		ticket, err = b.Gate.Enter(&c.gateCtx, c.kind)
	} else {
		ticket, err = b.Gate.Admit(&c.gateCtx, c.workForGate())
	}
	if err == nil {
		in.opts.Metrics.wait(time.Since(asked))
		return ticket, nil
	}
	return nil, in.crowded(c, b, err)
}

// crowded refuses a call for which the gate has no room.
func (in *Inbound) crowded(c *call, b *Backend, err error) *refusal {
	f := notRun(cause(admit.Cause(err)), "the target's node refuses the call", err)
	f.after = b.Gate.ExpectedWait(c.work.priority)
	f.crowded = true
	return f
}

// gateState returns the state of the gate, for an answer that is sent now.
func (in *Inbound) gateState(c *call) gateState {
	s := gateState{handled: time.Since(c.start), link: in.opts.Link.Report()}
	if b := in.backend(); b != nil {
		s.report, s.class = b.Gate.Report(), b.Gate.ServiceOf(c.work.class)
	}
	return s
}

// start sends the call to the target. A refusal of the target ends the exchange
// like one of this node.
//
//siskingw:step run
func (in *Inbound) start(x *exchange, c *call, ctx context.Context, b *Backend) *refusal {
	c.prepare()
	in.opts.Edge.Send(c.header, TargetStatement{ID: c.id, Deadline: c.left(), Instance: b.Instance, Caller: c.work.caller})
	x.expect, x.openEnded = c.expects && c.body.streamed, in.opts.OpenEnded
	var stated AnswerStatement
	x.judge = func(resp *http.Response) verdict {
		stated = in.opts.Edge.Answer(resp)
		switch {
		case stated.ID != "" && stated.ID != c.id:
			return verdictSkip
		case !stated.Genuine:
			return verdictLost
		}
		return verdictTake
	}
	if f := x.start(ctx, c, b.Addr); f != nil {
		return f
	}
	if !stated.NotRun {
		return nil
	}
	if stated.Other && in.opts.OnOther != nil {
		in.opts.OnOther(b)
	}
	x.finish(false)
	f := notRun(causeTarget, "the target did not run the call", nil)
	f.reached = !stated.Other
	return f
}

// answerHeader adds what this node tells the caller's node.
func (in *Inbound) answerHeader(c *call) {
	if c.outside { // the caller is on this instance
		c.load, c.gate = in.load(), in.gateState(c)
		return
	}
	c.extra = func(h http.Header) { in.nodeHeader(c, h) }
}

// nodeHeader sets the headers for the caller's node on an answer.
func (in *Inbound) nodeHeader(c *call, h http.Header) {
	h[HeaderLoad] = loadValue(in.load())
	h[HeaderGate] = []string{in.gateState(c).format()}
	if in.draining.Load() {
		h[HeaderDraining] = headerTrue
		h["Connection"] = connectionClose
	}
}
