package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// relay forwards the response to the caller and ends the exchange. It returns a
// refusal with aborted set when the caller's connection must be reset.
//
//siskingw:step answer
func (x *exchange) relay(c *call) *refusal {
	done := false
	defer func() { x.finish(done) }()
	h := c.w.Header()
	x.copyResponseHeader(h)
	if c.body.streamed && (!x.requestSent() || c.fromCaller && c.r.ContentLength < 0) {
		// The unread rest of the body would be parsed as the next request. A
		// chunked request may also have carried a Content-Length, which the
		// server drops; RFC 9112, section 6.1 requires closing the connection
		// then.
		h["Connection"] = connectionClose
	}
	if c.addHeaders != nil {
		c.addHeaders(h)
	}
	if x.bodyComplete && len(x.resp.Trailer) == 0 && x.resp.ContentLength < 0 {
		h["Content-Length"] = []string{strconv.Itoa(x.bodyPrefix.size)}
	}
	c.responseStarted, c.answeredAt = true, time.Now()
	c.w.WriteHeader(x.resp.StatusCode)
	if err := x.relayBody(c); err != nil {
		f := mayHaveRun(causeAnswerCut, "the answer was not passed on in full", err)
		f.aborted, f.callerFault = true, x.callerGone
		return f
	}
	for k, v := range x.resp.Trailer {
		h[k] = v
	}
	done = true
	if f, ok := c.w.(interface{ FlushError() error }); ok && (x.resp.ContentLength >= 0 || x.bodyComplete) {
		_ = f.FlushError() // sent before metrics and logs are updated; a failure closes the connection
	}
	return nil
}

// copyResponseHeader copies the end-to-end headers of the response to h.
// Headers between nodes are removed, so that they neither reach a caller nor
// can be forged by a target. HeaderRetry is kept, so that the caller's side
// does not retry again, and so is HeaderReplay.
func (x *exchange) copyResponseHeader(h http.Header) {
	src := x.resp.Header
	copyHeader(h, src)
	for k := range src {
		if strings.HasPrefix(k, headerPrefix) && k != HeaderRetry && k != HeaderReplay {
			delete(h, k)
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // disables content sniffing by the server
	}
	for k := range x.resp.Trailer {
		h["Trailer"] = append(h["Trailer"], k)
	}
}

// relayBody copies the response body to the caller. It returns nil only when
// the body was complete and was written in full.
func (x *exchange) relayBody(c *call) error {
	if x.resp.Body == http.NoBody || x.resp.ContentLength == 0 {
		return nil
	}
	if err := x.bodyPrefix.writeTo(c.w); err != nil {
		x.callerGone = true
		return err
	}
	if x.bodyComplete {
		return nil
	}
	buf := bodyBlocks.Get().(*bodyBlock)
	defer bodyBlocks.Put(buf)
	rc := http.NewResponseController(c.w)
	extendedAt := c.start
	left := x.resp.ContentLength - int64(x.bodyPrefix.size) // negative for a chunked body
	for {
		if now := time.Now(); now.Sub(extendedAt) > deadlineExtendInterval {
			extendedAt = now
			_ = x.conn.SetReadDeadline(earlier(c.deadline, now.Add(stallTimeout)))
			_ = rc.SetWriteDeadline(now.Add(stallTimeout))
		}
		readFrom := time.Now()
		n, err := x.resp.Body.Read(buf[:])
		c.receiving += time.Since(readFrom)
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				x.callerGone = true
				return werr
			}
			left -= int64(n)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		// No more data is buffered, so what has arrived is flushed to the caller.
		// After the last byte of a body of known length, relay flushes instead.
		if left != 0 && x.conn.br.Buffered() == 0 {
			if err := rc.Flush(); err != nil {
				x.callerGone = true
				return err
			}
		}
	}
}

// forwardInterim forwards a 1xx response to the caller.
func (c *call) forwardInterim(resp *http.Response) {
	h := c.w.Header()
	copyHeader(h, resp.Header)
	c.w.WriteHeader(resp.StatusCode)
	clear(h)
}

// maxReasonBytes bounds the reason, in bytes, that is read from another node's
// refusal.
const maxReasonBytes = 1 << 10

// readRefusal reads the refusal of the next hop and ends the exchange.
func (x *exchange) readRefusal(c *call, outcome string) *refusal {
	reason, err := io.ReadAll(io.LimitReader(x.resp.Body, maxReasonBytes+1))
	h := x.resp.Header
	f := &refusal{
		status: x.resp.StatusCode, outcome: OutcomeUnknown, authoritative: true,
		reason:        strings.TrimSuffix(string(reason), "\n"),
		retried:       h.Get(HeaderRetry) == valueDone,
		reachedTarget: h.Get(HeaderReached) == valueTrue,
		overloaded:    h.Get(HeaderCrowded) == valueTrue,
		draining:      h.Get(HeaderDraining) == valueTrue,
		cause:         parseCause(h.Get(HeaderCause)),
		movedTo:       h.Get(HeaderMovedTo),
		voucher:       h.Get(HeaderVoucher),
	}
	if after, perr := ParseDeadline(h.Get(HeaderAfter)); perr == nil {
		f.retryAfter = after
	}
	if o, perr := ParseOutcome(outcome); perr == nil {
		f.outcome = o
	}
	x.finish(err == nil && len(reason) <= maxReasonBytes)
	return f
}
