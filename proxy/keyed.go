package proxy

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"siskingw/admit"
	"siskingw/idem"
)

// maxStoredBodyBytes is the largest response body, in bytes, that is stored for
// retries. A larger response is relayed in full, but retries of its call get
// outcome unknown.
const maxStoredBodyBytes = idem.MaxResponseBytes

// forwardKeyed forwards a keyed call as the ledger decides. The ledger is asked before
// the gate: a retry that waits or gets the stored response needs no slot, and a
// refusal by the gate can then say that the key never ran.
func (in *Inbound) forwardKeyed(c *call) *refusal {
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
		return mayHaveRun(causeKey, "the ledger refuses the key, and an earlier attempt may still arrive", err)
	case err != nil:
		return mayHaveRun(causeKey, "the key may have run", err)
	}
	switch d.Action {
	case idem.Run:
		return in.runKeyed(ctx, c, key)
	case idem.Replay:
		in.addNodeResponseHeaders(c)
		c.replay(d.Response)
		return nil
	case idem.Moved:
		f := notRun(causeKey, "another node owns the key now", nil)
		f.movedTo, f.voucher = d.Owner.ID, d.Voucher
		return f
	case idem.RanNotStored:
		return mayHaveRun(causeKey, "the key ran, but its answer is not held any more", nil)
	}
	return mayHaveRun(causeKey, "the key may have run", nil)
}

// runKeyed forwards a keyed call and records its result in the ledger on every
// path. A call that was sent is canceled by its deadline only, not when the caller
// disconnects, because a retry needs the response.
func (in *Inbound) runKeyed(ctx context.Context, c *call, key idem.Key) *refusal {
	settle := in.opts.Ledger.RecordUnknown
	defer func() { settle(key) }()
	b := in.backend()
	settleNotRun := in.opts.Ledger.RecordNotRun
	if c.first {
		settleNotRun = in.opts.Ledger.Withdraw
	}
	if b == nil {
		settle = settleNotRun
		return notRun(causeNoTarget, "the instance has no target", nil)
	}
	ticket, err := b.Gate.Enter(ctx, c.kind)
	if err != nil {
		settle = settleNotRun
		return notRun(cause(admit.Cause(err)), "the target's node refuses the call", err)
	}
	defer ticket.Release()
	x := exchange{pool: in.opts.Pool}
	if f := in.sendToTarget(&x, c, context.WithoutCancel(ctx), b); f != nil {
		if f.outcome == OutcomeNotRun {
			settle = settleNotRun
		}
		return f
	}
	in.addNodeResponseHeaders(c)
	resp, err := x.readStorableResponse()
	if err != nil {
		x.finish(false)
		return mayHaveRun(causeAnswerCut, "the answer is not complete", err)
	}
	if resp == nil {
		ticket.Answered()
		holdOf(c.w).MarkSlot()
		f := x.relay(c)
		ticket.Received(c.receiving)
		return f
	}
	x.finish(true)
	ticket.Release()
	settle = func(k idem.Key) { in.opts.Ledger.RecordResponse(k, resp) }
	c.writeResponse(resp)
	return nil
}

// readStorableResponse reads the whole response. It returns nil if the body is larger than
// maxStoredBodyBytes; the response can then still be relayed.
func (x *exchange) readStorableResponse() (*idem.Response, error) {
	h := make(http.Header)
	x.copyResponseHeader(h)
	delete(h, "Trailer") // trailers are not stored
	complete, err := x.bodyPrefix.readFrom(x.resp.Body, maxStoredBodyBytes)
	if err != nil {
		x.bodyPrefix.release()
		return nil, err
	}
	if !complete {
		return nil, nil
	}
	stored := bytes.NewBuffer(make([]byte, 0, x.bodyPrefix.size))
	_ = x.bodyPrefix.writeTo(stored) // writing to a buffer does not fail
	return &idem.Response{Status: x.resp.StatusCode, Header: h, Body: stored.Bytes()}, nil
}

// replay sends the stored response to a retry.
//
//siskingw:step answer-again
func (c *call) replay(resp *idem.Response) {
	c.w.Header()[HeaderReplay] = headerTrue
	c.writeResponse(resp)
}

// writeResponse sends a complete response to the caller.
func (c *call) writeResponse(resp *idem.Response) {
	h := c.w.Header()
	for k, v := range resp.Header {
		h[k] = v
	}
	if c.addHeaders != nil {
		c.addHeaders(h)
	}
	if c.r.Method != http.MethodHead && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	}
	if c.body.streamed {
		h["Connection"] = connectionClose
	}
	c.responseStarted, c.answeredAt = true, time.Now()
	c.w.WriteHeader(resp.Status)
	_, _ = c.w.Write(resp.Body) // fails if the caller has disconnected; the server then closes the connection
}
