package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// InboundOptions configures the handler at the target's node.
type InboundOptions struct {
	Target string // host:port of the target
	Gate   Gate
	Pool   *Pool // connections to the target
}

// Inbound passes calls of other nodes to the target of this instance.
type Inbound struct {
	opts     InboundOptions
	draining atomic.Bool
}

// defaultTimeout bounds a call when neither policy nor caller does.
const defaultTimeout = 30 * time.Second

// NewInbound returns the handler of the inbound listener.
func NewInbound(opts InboundOptions) *Inbound {
	if opts.Pool == nil {
		opts.Pool = NewPool(PoolOptions{})
	}
	return &Inbound{opts: opts}
}

// ServeHTTP passes one call to the target.
func (in *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := newCall(w, r)
	defer c.free()
	if f := in.serve(c); f != nil {
		c.refuse(f)
	}
}

// serve reads what the caller's node states about the call.
func (in *Inbound) serve(c *call) *refusal {
	if f := c.setDeadline(maxDeadline); f != nil {
		return f
	}
	c.kind = ParseKind(c.r.Header.Get(HeaderKind))
	if f := c.body.load(c.w, c.r, 0); f != nil {
		return f
	}
	return in.pass(c)
}

// pass admits the call and sends it to the target.
func (in *Inbound) pass(c *call) *refusal {
	ticket, err := in.opts.Gate.Enter(c.r.Context(), c.kind)
	if err != nil {
		f := notRun("the target's node refuses the call", err)
		f.took, f.draining = true, in.draining.Load()
		return f
	}
	defer ticket.Leave()
	c.prepare()
	x := exchange{pool: in.opts.Pool}
	if f := x.start(c.r.Context(), c, in.opts.Target); f != nil {
		return f
	}
	c.w.Header().Set(HeaderLoad, strconv.FormatFloat(in.opts.Gate.Load(), 'f', 2, 64))
	return x.relay(c)
}
