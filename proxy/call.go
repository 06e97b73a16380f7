package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"siskingw/object"
)

// call is one request on its way through a handler. Calls are pooled; nothing
// may keep a reference after the handler returned.
type call struct {
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	deadline time.Time
	kind     object.WorkKind
	key      string // Idempotency-Key, or empty
	voucher  string
	first    bool   // the caller states that the keyed request is no repeat
	id       string // of this attempt, as the caller stated it; may be empty
	work     work

	body    body
	maxBody int64        // bytes, 0 without a limit
	header  http.Header  // header of the request to the next hop
	out     http.Request // request to the next hop

	ctx      context.Context   // ends with the caller's connection; carries the span
	tracer   *Tracer           // set while a span is open
	outside  bool              // the caller is no node
	expects  bool              // the caller waits for 100 Continue
	extra    func(http.Header) // adds this node's headers to the answer; may be nil
	edge     Edge              // towards the caller when outside is set, and towards the target
	answered bool              // the answer's header was passed to the caller's connection
	refused  *refusal          // how the call ended, nil for an answer
	status   int               // status of the last attempt's answer
	load     float64           // load that the last attempt's answer states, or 0
	gate     gateState         // state of the gate that the last attempt's answer states
	gateCtx  deadlineContext
	sentAt   time.Time     // when the last attempt began
	waited   time.Duration // time spent waiting for answers' headers
	steps    []step        // tries so far
	barred   bar           // why there was no further try
}

// deadlineContext tells the gate the deadline without the cost of a timer: the
// gate bounds its own wait, and connections enforce the deadline after it.
type deadlineContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the time at which the call is of no more use.
func (d *deadlineContext) Deadline() (time.Time, bool) { return d.deadline, true }

var callPool = sync.Pool{New: func() any { return &call{header: make(http.Header)} }}

// newCall returns a call for a request.
func newCall(w http.ResponseWriter, r *http.Request) *call {
	c := callPool.Get().(*call)
	c.w, c.r, c.start, c.ctx = w, r, time.Now(), r.Context()
	c.expects = r.Header.Get("Expect") != ""
	return c
}

// free returns the call to the pool. It must not run while an upload is active.
func (c *call) free() {
	header, buf, reader, closer := c.header, c.body.buf, c.body.reader, c.body.closer
	if cap(buf) > defaultMaxBufferedBytes {
		buf = nil
		if reader != nil {
			reader.Reset(nil)
		}
	}
	clear(header)
	*c = call{header: header}
	c.body.buf, c.body.reader, c.body.closer = buf, reader, closer
	callPool.Put(c)
}

// left returns the time that remains until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// readCaller reads what the caller states, in the terms of the edge.
func (c *call) readCaller(edge Edge) (CallerStatement, *refusal) {
	s, err := edge.Call(c.r.Header)
	if err != nil {
		return s, badRequest(err.Error())
	}
	c.id = s.ID
	return s, nil
}

// setDeadline takes the earlier of the given limit and what the sender states.
// It returns a refusal for a time that is over.
func (c *call) setDeadline(limit time.Duration, s CallerStatement) *refusal {
	if s.HasDeadline {
		limit = min(limit, s.Deadline)
	}
	c.deadline = c.start.Add(limit)
	if limit < time.Millisecond {
		return notRun(causeNoTime, "no time remains for the call", nil)
	}
	return nil
}

// readKey reads the headers about repeats.
func (c *call) readKey() {
	if v := c.r.Header[HeaderKey]; len(v) > 0 {
		c.key = v[0]
		c.first = c.r.Header.Get(HeaderFirst) == valueTrue
	}
}

// keyedRefusal corrects a refusal of keyed work. The request may be a repeat
// of an attempt that ran, so only the owner of the key can state not-run, or
// the caller that this is the first attempt.
func (c *call) keyedRefusal(f *refusal) *refusal {
	if f == nil || c.key == "" || f.stated || c.first || f.outcome != OutcomeNotRun {
		return f
	}
	f.outcome = OutcomeUnknown
	if f.status == http.StatusServiceUnavailable {
		f.status = http.StatusBadGateway
	}
	return f
}

// prepare builds the request to the next hop. Header names that begin with
// Siskingw- never pass from one side to the other by themselves.
func (c *call) prepare() {
	clear(c.header)
	copyHeader(c.header, c.r.Header)
	for k := range c.header {
		if len(k) > len(headerPrefix) && k[:len(headerPrefix)] == headerPrefix {
			delete(c.header, k)
		}
	}
	delete(c.header, "Expect")
	if _, ok := c.header["User-Agent"]; !ok {
		c.header["User-Agent"] = noUserAgent
	}
	c.tracer.inject(c)
	c.out = http.Request{
		Method:     c.r.Method,
		URL:        c.r.URL,
		Host:       c.r.Host,
		Header:     c.header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	c.body.attach(&c.out, c.r)
}

// nodeHeader adds what the target's node needs to know.
func (c *call) nodeHeader() {
	c.header[HeaderDeadline] = []string{formatMs(c.left())}
	c.header[HeaderKind] = kindValues[c.kind]
	c.header[HeaderWork] = []string{c.work.format()}
	if c.voucher != "" {
		c.header[HeaderVoucher] = []string{c.voucher}
	}
	if c.expects {
		c.header[HeaderExpect] = headerTrue
	}
	if c.first {
		c.header[HeaderFirst] = headerTrue
	}
}

// refusal is the end of a call without an answer of the target.
type refusal struct {
	status   int
	outcome  string // OutcomeNotRun or OutcomeUnknown
	cause    cause
	reason   string
	retried  bool // another level has retried already
	draining bool
	movedTo  string // new owner of the key, with voucher
	voucher  string
	load     []string // header value for the caller's node
	aborted  bool     // the answer has begun: the caller's connection must be cut
	stated   bool     // the target's node itself refused, for keyed work the owner
	// callerFault marks a failure that the caller caused, such as a body that
	// did not arrive.
	callerFault bool
	hangUp      bool // what follows on the caller's connection is not trusted
	unreachable bool // no connection to the next hop could be made, or it is silent
	reached     bool // the target itself saw the call
	crowded     bool // the target has no room for the call in time
	gate        gateState
	after       time.Duration // when the caller should come back; 0 for no advice
}

// notRun refuses a call that certainly did not reach the target's handler.
func notRun(why cause, reason string, err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, cause: why, reason: withCause(reason, err)}
}

// badRequest refuses a call that no node would accept.
func badRequest(reason string) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, cause: causeRequest, reason: reason}
}

// unknown refuses a call that may have run.
func unknown(why cause, reason string, err error) *refusal {
	status := http.StatusBadGateway
	if isTimeout(err) {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: OutcomeUnknown, cause: why, reason: withCause(reason, err)}
}

func withCause(reason string, err error) string {
	if err == nil {
		return reason
	}
	return reason + ": " + err.Error()
}

// refuse answers the caller with a refusal.
func (c *call) refuse(f *refusal) {
	if f.aborted || c.answered {
		c.cut()
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
	if c.outside {
		c.edge.Refuse(h, RefusalStatement{NotRun: f.outcome == OutcomeNotRun, RetryAfter: f.after})
	} else {
		c.refuseNode(h, f)
	}
	if f.draining {
		h[HeaderDraining] = headerTrue
		h["Connection"] = connectionClose
	}
	if f.hangUp {
		h["Connection"] = connectionClose
	}
	if c.body.streamed {
		h["Connection"] = connectionClose
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.w.WriteHeader(f.status)
	if c.r.Method != http.MethodHead {
		_, _ = c.w.Write([]byte(f.reason + "\n")) // the caller may be gone
	}
}

// refuseNode tells the caller's node what only nodes use.
func (c *call) refuseNode(h http.Header, f *refusal) {
	if f.reached {
		h[HeaderReached] = headerTrue
	}
	if f.crowded {
		h[HeaderCrowded] = headerTrue
	}
	if f.gate.report.Service > 0 {
		h[HeaderGate] = []string{f.gate.format()}
	}
	h[HeaderCause] = []string{string(f.cause)}
	if f.after > 0 {
		h[HeaderAfter] = []string{formatMs(f.after)}
	}
}

// cut ends the handler and resets the caller's connection, so that an answer
// that has begun never looks complete. A plain close would look like the end
// of an answer to an HTTP/1.0 caller.
func (c *call) cut() {
	if tc, ok := c.r.Context().Value(connKey{}).(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // the connection may be closed already
	}
	panic(http.ErrAbortHandler)
}

// connKey is the context key of the caller's connection.
type connKey struct{}
