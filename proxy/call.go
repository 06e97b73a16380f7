package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskingw/object"
	"siskingw/organisation"
	"siskingw/quota"
)

// call is the state of one request in a handler. Calls are pooled: nothing may
// keep a reference after the handler has returned.
type call struct {
	w            http.ResponseWriter
	r            *http.Request
	start        time.Time
	deadline     time.Time
	kind         object.WorkKind
	key          string // Idempotency-Key, or empty
	voucher      string
	first        bool   // first attempt with the key, as stated by the caller; see HeaderFirst
	id           string // the caller's ID of this attempt; may be empty
	work         work
	ask          ask                        // identifies a caller's retry of a refused call
	credit       quota.Credit               // spent for the call
	organisation *organisation.Organisation // by the key of the caller; nil for none and on the target's node

	body         body
	maxBodyBytes int64        // bytes; 0 means no limit
	outHeader    http.Header  // header of the request to the next hop
	outReq       http.Request // request to the next hop

	ctx             context.Context   // canceled when the caller disconnects; carries the span
	tracer          *Tracer           // set while a span is open
	fromCaller      bool              // received from a caller of this instance, not from another node
	expectsContinue bool              // the caller sent Expect: 100-continue
	addHeaders      func(http.Header) // adds this node's headers to the response; may be nil
	headerFormat    HeaderFormat      // header format of the caller; set if fromCaller is
	endsWithNode    bool              // the deadline is the time at which the stopping node aborts the call
	responseStarted bool              // the response header was written to the caller
	refused         *refusal          // result of the call; nil if it got a response
	status          int               // HTTP status of the last attempt's response
	load            float64           // load reported with the last attempt's response, or 0
	gate            gateState         // gate state reported with the last attempt's response
	newsWanted      bool              // the caller's node takes news about other targets
	gateCtx         deadlineContext
	sentAt          time.Time       // start of the last attempt
	answeredAt      time.Time       // when the response of the last attempt began to be passed on; zero before that
	receiving       time.Duration   // time since answeredAt spent waiting for more of the response
	upstreamWait    time.Duration   // time spent waiting for response headers
	attempts        []attemptRecord // attempts so far
	noRetry         noRetryReason   // why the call was not retried
}

// deadlineContext gives the gate the call's deadline without the cost of a
// timer: the gate limits its own wait, and after that the deadline is enforced
// on the connection.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the call's deadline; ok is always true.
func (d *deadlineContext) Deadline() (time.Time, bool) { return d.deadline, true }

var callPool = sync.Pool{New: func() any { return &call{outHeader: make(http.Header)} }}

// newCall returns a call from the pool, initialized for the request.
func newCall(w http.ResponseWriter, r *http.Request) *call {
	c := callPool.Get().(*call)
	c.w, c.r, c.start, c.ctx = w, r, time.Now(), r.Context()
	c.expectsContinue = r.Header.Get("Expect") != ""
	return c
}

// release returns the call to the pool. It must not be called while an upload is
// active.
func (c *call) release() {
	header := c.outHeader
	c.body.release()
	blocks, small, closer := c.body.own.blocks, c.body.small, c.body.closer // empty, kept to avoid allocations
	if cap(blocks) > 1 {
		blocks = nil
	}
	clear(header)
	*c = call{outHeader: header}
	c.body.own.blocks, c.body.small, c.body.closer = blocks, small, closer
	callPool.Put(c)
}

// timeLeft returns the time until the deadline; negative after it.
func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// readCaller reads the caller's headers in the given format. It returns a
// refusal with status 400 for values that cannot be parsed.
func (c *call) readCaller(format HeaderFormat) (CallerInfo, *refusal) {
	s, err := format.ReadRequest(c.r.Header)
	if err != nil {
		return s, badRequest(err.Error())
	}
	c.id = s.ID
	return s, nil
}

// setDeadline sets the deadline to limit after the start, or to the sender's
// timeout if that is shorter. It returns a refusal if less than 1 ms remains.
func (c *call) setDeadline(limit time.Duration, s CallerInfo) *refusal {
	if s.HasDeadline {
		limit = min(limit, s.Deadline)
	}
	c.deadline = c.start.Add(limit)
	if limit < time.Millisecond {
		return notRun(causeNoTime, "no time remains for the call", nil)
	}
	return nil
}

// readKey reads the idempotency headers.
func (c *call) readKey() {
	if v := c.r.Header[HeaderKey]; len(v) > 0 {
		c.key = v[0]
		c.first = c.r.Header.Get(HeaderFirst) == valueTrue
	}
}

// correctKeyedRefusal corrects the outcome of a refused keyed call. The request
// may be a retry of an attempt that ran, so not-run is valid only if the owner of
// the key reported it, or if the caller marked this as the first attempt.
func (c *call) correctKeyedRefusal(f *refusal) *refusal {
	if f == nil || c.key == "" || f.authoritative || c.first || f.outcome != OutcomeNotRun {
		return f
	}
	f.outcome = OutcomeUnknown
	if f.status == http.StatusServiceUnavailable {
		f.status = http.StatusBadGateway
	}
	return f
}

// buildRequest builds the request to the next hop. It drops all received Siskingw-
// headers: they are valid for one hop only, and a caller could forge them.
func (c *call) buildRequest() {
	clear(c.outHeader)
	copyHeader(c.outHeader, c.r.Header)
	for k := range c.outHeader {
		if len(k) > len(headerPrefix) && k[:len(headerPrefix)] == headerPrefix {
			delete(c.outHeader, k)
		}
	}
	delete(c.outHeader, "Expect")
	if _, ok := c.outHeader["User-Agent"]; !ok {
		c.outHeader["User-Agent"] = noUserAgent
	}
	c.tracer.inject(c)
	c.outReq = http.Request{
		Method:     c.r.Method,
		URL:        nextHopURL(c.r),
		Host:       c.r.Host,
		Header:     c.outHeader,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	c.body.attach(&c.outReq, c.r)
}

// addNodeRequestHeaders adds the Siskingw- headers for the target's node.
func (c *call) addNodeRequestHeaders() {
	c.outHeader[HeaderDeadline] = []string{formatMs(c.timeLeft())}
	c.outHeader[HeaderKind] = kindValues[c.kind]
	c.outHeader[HeaderWork] = []string{c.work.format()}
	if c.work.organisation != "" {
		c.outHeader[HeaderOrganisation] = []string{c.work.formatOrganisation()}
	}
	if c.voucher != "" {
		c.outHeader[HeaderVoucher] = []string{c.voucher}
	}
	if c.expectsContinue {
		c.outHeader[HeaderExpect] = headerTrue
	}
	if c.first {
		c.outHeader[HeaderFirst] = headerTrue
	}
}

// refusal is the error result of a call: it was refused, or its response from the
// target was lost. The caller gets it as a response of the node.
type refusal struct {
	status        int
	outcome       string // OutcomeNotRun or OutcomeUnknown
	cause         cause
	reason        string
	retried       bool // the call was already retried, here or at the next hop
	draining      bool
	movedTo       string // node ID of the key's new owner; set together with voucher
	voucher       string
	load          []string // HeaderLoad value for the caller's node
	aborted       bool     // part of the response was sent: the caller's connection must be reset
	authoritative bool     // decided by the target's node (for a keyed call, the key's owner)
	// callerFault marks a failure that the caller caused, such as a body that
	// did not arrive.
	callerFault   bool
	closeConn     bool // close the caller's connection: its further bytes cannot be trusted
	unreachable   bool // the next hop could not be connected to, or stopped responding
	reachedTarget bool // the target received the call
	overloaded    bool // the target's gate cannot run the call in time
	gate          gateState
	news          string        // HeaderNews value for the caller's node; empty for none
	retryAfter    time.Duration // advised wait before the caller retries; 0 for no advice
}

// notRun returns a refusal with status 503 for a call that certainly did not reach
// the target's handler. err may be nil.
func notRun(why cause, reason string, err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, cause: why,
		reason: reasonWithError(reason, err)}
}

// badRequest returns a refusal with status 400 for a malformed call.
func badRequest(reason string) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, cause: causeBadRequest, reason: reason}
}

// mayHaveRun returns a refusal for a call that may have run: with status 504 if err
// is a timeout, otherwise 502. err may be nil.
func mayHaveRun(why cause, reason string, err error) *refusal {
	status := http.StatusBadGateway
	if isTimeout(err) {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: OutcomeUnknown, cause: why, reason: reasonWithError(reason, err)}
}

func reasonWithError(reason string, err error) string {
	if err == nil {
		return reason
	}
	return reason + ": " + err.Error()
}

// refuse sends the refusal as the response. If a response was already started, it
// resets the connection instead and does not return.
func (c *call) refuse(f *refusal) {
	if f.aborted || c.responseStarted {
		c.resetConnection()
	}
	h := c.w.Header()
	clear(h)
	h.Set(HeaderOutcome, f.outcome)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	h.Set("Cache-Control", "no-store")
	if f.retried {
		h.Set(HeaderRetry, valueDone)
	}
	if f.movedTo != "" {
		h.Set(HeaderMovedTo, f.movedTo)
		h.Set(HeaderVoucher, f.voucher)
	}
	if f.load != nil {
		h[HeaderLoad] = f.load
	}
	if c.fromCaller {
		c.headerFormat.WriteRefusal(h, RefusalInfo{NotRun: f.outcome == OutcomeNotRun, RetryAfter: f.retryAfter})
	} else {
		c.addNodeRefusalHeaders(h, f)
	}
	if f.draining {
		h[HeaderDraining] = headerTrue
		h["Connection"] = connectionClose
	}
	if f.closeConn {
		h["Connection"] = connectionClose
	}
	if c.body.streamed {
		h["Connection"] = connectionClose
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.w.WriteHeader(f.status)
	if c.r.Method != http.MethodHead {
		_, _ = c.w.Write([]byte(f.reason + "\n")) // fails if the caller has disconnected
	}
}

// addNodeRefusalHeaders adds the headers of a refusal that only nodes use.
func (c *call) addNodeRefusalHeaders(h http.Header, f *refusal) {
	if f.reachedTarget {
		h[HeaderReached] = headerTrue
	}
	if f.overloaded {
		h[HeaderCrowded] = headerTrue
	}
	if f.gate.report.ServiceTime > 0 {
		h[HeaderGate] = []string{f.gate.format()}
	}
	h[HeaderCause] = []string{string(f.cause)}
	if f.news != "" {
		h[HeaderNews] = []string{f.news}
	}
	if f.retryAfter > 0 {
		h[HeaderAfter] = []string{formatMs(f.retryAfter)}
	}
}

// resetConnection aborts the handler and resets the caller's connection, so that a
// partial response never looks complete. An HTTP/1.0 caller would take a normal
// close for the end of the response.
func (c *call) resetConnection() {
	if tc, ok := c.r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection may be closed already
	}
	panic(http.ErrAbortHandler)
}

// connKey is the context key for the caller's connection.
type connKey struct{}
