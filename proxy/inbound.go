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
	Target  string // host:port of the target
	Gate    *admit.Gate
	Ledger  *idem.Ledger // nil refuses keyed work
	Pool    *Pool        // connections to the target; default: a new pool
	Metrics *Metrics     // nil counts nothing
	Tracer  *Tracer      // nil traces nothing
}

// Inbound passes calls of other nodes to the target of this instance.
type Inbound struct {
	opts     InboundOptions
	draining atomic.Bool
	extra    func(http.Header) // nodeHeader, bound once
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
	in := &Inbound{opts: opts}
	in.extra = in.nodeHeader
	return in
}

// Drain refuses new work from now on, with not-run and Siskingw-Draining, and
// lets the work in flight finish. The listener must stay open until callers
// have learned of it; see Stop.
func (in *Inbound) Drain() {
	in.draining.Store(true)
	in.opts.Gate.Drain()
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
	if err := in.opts.Gate.Wait(ctx); err != nil {
		return err
	}
	err := srv.Shutdown(ctx)
	in.opts.Pool.Close()
	return err
}

// ServeHTTP passes one call to the target.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	defer c.free()
	defer in.opts.Tracer.begin(c, "inbound")()
	f := in.serve(c)
	c.refused = f
	in.opts.Metrics.observe(sideInbound, c, f)
	if f != nil {
		f.load = loadValue(in.opts.Gate.Load())
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
	return c.keyedRefusal(in.check(c))
}

func (in *Inbound) check(c *call) *refusal {
	if status, reason := checkRequest(c.r); status != 0 {
		return &refusal{status: status, outcome: OutcomeNotRun, reason: reason, hangUp: true}
	}
	if f := c.setDeadline(maxDeadline); f != nil {
		return f
	}
	if f := c.body.load(c.w, c.r, 0); f != nil {
		return f
	}
	return in.pass(c)
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
	}
	return f
}

// passPlain passes a call without a key.
func (in *Inbound) passPlain(c *call) *refusal {
	c.gateCtx = deadlineContext{Context: c.ctx, deadline: c.deadline}
	ticket, err := in.opts.Gate.Enter(&c.gateCtx, c.kind)
	if err != nil {
		return notRun("the target's node refuses the call", err)
	}
	defer ticket.Leave()
	x := exchange{pool: in.opts.Pool}
	if f := in.start(&x, c, c.ctx); f != nil {
		return f
	}
	in.answerHeader(c)
	return x.relay(c)
}

// start sends the call to the target.
//
//siskingw:step run
func (in *Inbound) start(x *exchange, c *call, ctx context.Context) *refusal {
	c.prepare()
	x.expect = c.expects
	return x.start(ctx, c, in.opts.Target)
}

// answerHeader adds what this node tells the caller's node.
func (in *Inbound) answerHeader(c *call) {
	if c.outside {
		c.load = in.opts.Gate.Load() // the caller is on this instance
		return
	}
	c.extra = in.extra
}

// nodeHeader sets the headers for the caller's node on an answer.
func (in *Inbound) nodeHeader(h http.Header) {
	h[HeaderLoad] = loadValue(in.opts.Gate.Load())
	if in.draining.Load() {
		h[HeaderDraining] = headerTrue
		h["Connection"] = connectionClose
	}
}
