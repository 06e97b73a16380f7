package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"siskingw/admit"
	"siskingw/idem"
)

// maxStoredAnswer bounds the answer's body that the ledger stores. A keyed
// call with a larger answer gets it in full, but its repeats are unknown.
const maxStoredAnswer = idem.MaxAnswerBytes

// passKeyed asks the ledger what to do with the call. The ledger comes before
// the gate: a repeat that waits or gets a stored answer needs no slot, and a
// refusal by the gate can state that the key never ran.
func (in *Inbound) passKeyed(c *call) *refusal {
	if in.opts.Ledger == nil {
		return notRun(causeKey, "the target's node keeps no ledger", nil)
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	key, err := idem.Parse(c.key)
	if err != nil {
		return badRequest(err.Error())
	}
	d, err := in.opts.Ledger.Begin(ctx, key, c.voucher)
	switch {
	case d.Action == idem.Closed, d.Action == idem.Refused && c.first:
		return notRun(causeKey, "the ledger refuses the key", err)
	case d.Action == idem.Refused:
		return unknown(causeKey, "the ledger refuses the key, and an earlier attempt may still arrive", err)
	case err != nil:
		return unknown(causeKey, "the key may have run", err)
	}
	switch d.Action {
	case idem.Run:
		return in.runKeyed(ctx, c, key)
	case idem.Replay:
		in.addNodeHeaders(c)
		c.replay(d.Answer)
		return nil
	case idem.Moved:
		f := notRun(causeKey, "another node owns the key now", nil)
		f.movedTo, f.voucher = d.Owner.ID, d.Voucher
		return f
	case idem.Ran:
		return unknown(causeKey, "the key ran, but its answer is not held any more", nil)
	}
	return unknown(causeKey, "the key may have run", nil)
}

// runKeyed runs a key and settles it in the ledger on every path. A run that
// was sent ends by its deadline only: the caller may be gone, but a repeat
// needs the answer.
func (in *Inbound) runKeyed(ctx context.Context, c *call, key idem.Key) *refusal {
	settle := in.opts.Ledger.Lost
	defer func() { settle(key) }()
	b := in.backend()
	notRunYet := in.opts.Ledger.NotRun
	if c.first {
		notRunYet = in.opts.Ledger.Withdraw
	}
	if b == nil {
		settle = notRunYet
		return notRun(causeNoTarget, "the instance has no target", nil)
	}
	ticket, err := b.Gate.Enter(ctx, c.kind)
	if err != nil {
		settle = notRunYet
		return notRun(cause(admit.Cause(err)), "the target's node refuses the call", err)
	}
	defer ticket.Leave()
	x := exchange{pool: in.opts.Pool}
	if f := in.sendToTarget(&x, c, context.WithoutCancel(ctx), b); f != nil {
		if f.outcome == OutcomeNotRun {
			settle = notRunYet
		}
		return f
	}
	in.addNodeHeaders(c)
	a, err := x.store()
	if err != nil {
		x.finish(false)
		return unknown(causeCut, "the answer is not complete", err)
	}
	if a == nil {
		return x.relay(c)
	}
	x.finish(true)
	settle = func(k idem.Key) { in.opts.Ledger.Finish(k, a) }
	c.writeAnswer(a)
	return nil
}

// store reads the whole answer. It returns nil for one that is too large and
// leaves it to be relayed.
func (x *exchange) store() (*idem.Answer, error) {
	h := make(http.Header)
	x.copyResponseHeader(h)
	delete(h, "Trailer") // a stored answer has no trailers
	prefix, err := io.ReadAll(io.LimitReader(x.resp.Body, maxStoredAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(prefix) > maxStoredAnswer {
		x.bodyPrefix = prefix
		return nil, nil
	}
	return &idem.Answer{Status: x.resp.StatusCode, Header: h, Body: prefix}, nil
}

// replay gives the stored answer to a repeat.
//
//siskingw:step answer-again
func (c *call) replay(a *idem.Answer) {
	c.w.Header()[HeaderReplay] = headerTrue
	c.writeAnswer(a)
}

// writeAnswer gives a complete answer to the caller.
func (c *call) writeAnswer(a *idem.Answer) {
	h := c.w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	if c.extra != nil {
		c.extra(h)
	}
	if c.r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
	}
	if c.body.streamed {
		h["Connection"] = connectionClose
	}
	c.answered = true
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body) // the server closes the connection of a caller that is gone
}
