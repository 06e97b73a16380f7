package proxy

import (
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
	first    bool // the caller states that the keyed request is no repeat

	body   body
	header http.Header  // header of the request to the next hop
	out    http.Request // request to the next hop

	answered bool // the answer's header was passed to the caller's connection
	waited   time.Duration
}

var callPool = sync.Pool{New: func() any { return &call{header: make(http.Header)} }}

// newCall returns a call for a request.
func newCall(w http.ResponseWriter, r *http.Request) *call {
	c := callPool.Get().(*call)
	c.w, c.r, c.start = w, r, time.Now()
	return c
}

// free returns the call to the pool. It must not run while an upload is active.
func (c *call) free() {
	header, buf := c.header, c.body.buf
	clear(header)
	*c = call{header: header}
	c.body.buf = buf
	callPool.Put(c)
}

// left returns the time that remains until the deadline.
func (c *call) left() time.Duration { return time.Until(c.deadline) }

// setDeadline takes the earlier of the given limit and the request's header.
// It returns a refusal for a header that is no number or a time that is over.
func (c *call) setDeadline(limit time.Duration) *refusal {
	if v := c.r.Header[HeaderDeadline]; len(v) > 0 {
		d, err := ParseDeadline(v[0])
		if err != nil {
			return badRequest(err.Error())
		}
		limit = min(limit, d)
	}
	c.deadline = c.start.Add(limit)
	if limit < time.Millisecond {
		return notRun("no time remains for the call", nil)
	}
	return nil
}

// noUserAgent keeps Request.Write from adding a User-Agent of its own.
var noUserAgent = []string{""}

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
	c.header[HeaderDeadline] = []string{strconv.FormatInt(max(c.left().Milliseconds(), 0), 10)}
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

// refusal is the end of a call without an answer of the target.
type refusal struct {
	status   int
	outcome  string // OutcomeNotRun or OutcomeUnknown
	reason   string
	retried  bool // another level has retried already
	draining bool
	movedTo  string // new owner of the key, with voucher
	voucher  string
	aborted  bool // the answer has begun: the caller's connection must be cut
	took     bool // the next hop itself refused; false for a hop that failed to take the call
}

// notRun refuses a call that certainly did not reach the target's handler.
func notRun(reason string, err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: OutcomeNotRun, reason: withCause(reason, err)}
}

// badRequest refuses a call that no node would accept.
func badRequest(reason string) *refusal {
	return &refusal{status: http.StatusBadRequest, outcome: OutcomeNotRun, reason: reason}
}

// unknown refuses a call that may have run.
func unknown(reason string, err error) *refusal {
	status := http.StatusBadGateway
	if isTimeout(err) {
		status = http.StatusGatewayTimeout
	}
	return &refusal{status: status, outcome: OutcomeUnknown, reason: withCause(reason, err)}
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
		panic(http.ErrAbortHandler)
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
	if f.draining {
		h.Set(HeaderDraining, valueTrue)
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(f.status)
	if c.r.Method != http.MethodHead {
		_, _ = c.w.Write([]byte(f.reason + "\n")) // the caller may be gone
	}
}
