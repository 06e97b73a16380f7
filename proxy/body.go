package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"siskingw/budget"
)

const (
	// defaultMaxBufferedBytes is the size in bytes up to which a request body is
	// buffered before the call is sent, so that the call can be retried.
	defaultMaxBufferedBytes = 64 << 10
	// stallTimeout aborts a transfer that makes no progress.
	stallTimeout = 30 * time.Second
	// deadlineExtendInterval is the minimum time between two extensions of the
	// deadline of a transfer that makes progress.
	deadlineExtendInterval = time.Second
)

// body is the body of a call's request: empty, buffered in memory or streamed.
type body struct {
	content  *bodyBuffer // the whole body if it is buffered
	own      bodyBuffer  // used unless the server has buffered the body
	src      io.Reader   // reads content from its beginning, for the current attempt
	large    bufferReader
	small    *bytes.Reader // reused between calls, as its closer
	closer   io.ReadCloser // of small
	buffered bool
	streamed bool
	consumed atomic.Bool // a byte of a streamed body may have been read
}

// BodyOptions selects the request bodies that are buffered before the call is
// sent.
type BodyOptions struct {
	MaxBuffered   int64 // largest buffered body in bytes; default 64 KB
	BufferUnsized bool  // also buffer bodies without a Content-Length
	// StreamSlotPercent is the share of a target's slots that calls with streamed
	// bodies may occupy; 0 for all of them.
	StreamSlotPercent int
	// Budget bounds the memory of calls. A body for which it has no memory is
	// streamed. A nil budget has no limits.
	Budget *budget.Budget
}

// bufferOrStream decides whether the body is buffered or streamed, and buffers
// it in the first case. It refuses a Content-Length above maxBytes, unless
// maxBytes is 0, and a body that cannot be streamed for lack of memory.
func (b *body) bufferOrStream(w http.ResponseWriter, r *http.Request, maxBytes int64, opts BodyOptions) *refusal {
	if opts.MaxBuffered == 0 {
		opts.MaxBuffered = defaultMaxBufferedBytes
	}
	if read, ok := r.Body.(*bufferedBody); ok {
		b.content, b.buffered = &read.content, true
	}
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return nil
	case maxBytes > 0 && r.ContentLength > maxBytes:
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, cause: causeBadRequest,
			reason: "the body is too large"}
	case b.buffered:
		return nil
	case r.ContentLength > opts.MaxBuffered || r.ContentLength < 0 && !opts.BufferUnsized:
		return b.stream(holdOf(w), begunBytes(r.Body))
	case begunBytes(r.Body) > 0:
		b.consumed.Store(true)
		return b.stream(holdOf(w), begunBytes(r.Body))
	}
	return b.buffer(w, r, opts.MaxBuffered)
}

// streamBytes is the memory counted for a streamed body: the block through which it
// is copied, and the buffers and the stack of the connection to the next hop.
const streamBytes = 48 << 10

// stream selects streaming. It refuses the call, before its body is read, when there
// is no memory even for that. If begun bytes of the body are buffered, their memory is
// used instead, which is returned as they are sent.
func (b *body) stream(hold *budget.Hold, begun int) *refusal {
	b.streamed = true
	if begun >= streamBytes || hold.GrowLarge(streamBytes) {
		return nil
	}
	f := notRun(causeMemory, "the node has no memory for the body", nil)
	f.closeConn = true
	return f
}

// buffer reads the body into memory. One that is larger than limit bytes, or for which
// there is no memory, is streamed instead, beginning with the part that was read.
func (b *body) buffer(w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	hold := holdOf(w)
	b.own.size, b.own.hold = 0, hold
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(stallTimeout)) // httptest.ResponseRecorder has no deadlines
	complete, err := b.own.readFrom(r.Body, int(limit))
	if err == nil && complete && r.ContentLength >= 0 && int64(b.own.size) != r.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return &refusal{status: http.StatusRequestTimeout, outcome: OutcomeNotRun, cause: causeBody,
			reason: reasonWithError("the body did not arrive", err)}
	}
	_ = rc.SetReadDeadline(time.Time{})
	if !complete {
		r.Body = begunBody(&b.own, r.Body)
		b.consumed.Store(true)
		return b.stream(hold, b.own.size)
	}
	b.content, b.buffered = &b.own, true
	return nil
}

// readCloser joins a reader and the closer of the original body.
type readCloser struct {
	io.Reader
	io.Closer
}

// begunBody returns a body that begins with what was buffered of it. The blocks are
// released as they are read.
func begunBody(begin *bodyBuffer, rest io.ReadCloser) io.ReadCloser {
	return readCloser{io.MultiReader(&bufferReader{buffer: begin, consumes: true}, rest), rest}
}

// begunBytes returns the size of the part that the server has buffered of a body that
// cannot be buffered as a whole; 0 for another body.
func begunBytes(body io.ReadCloser) int {
	if read, ok := body.(*requestBody); ok {
		return read.begun
	}
	return 0
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return !b.consumed.Load() }

// attach sets the body of out, the request to the next hop.
func (b *body) attach(out *http.Request, in *http.Request) {
	switch {
	case b.buffered:
		out.Body = b.reader()
		out.ContentLength = int64(b.content.size)
	case b.streamed:
		out.Body = in.Body
		out.ContentLength = in.ContentLength
		out.Trailer = in.Trailer
		if in.ContentLength < 0 {
			out.TransferEncoding = chunkedEncoding
		}
	default:
		out.Body = http.NoBody
	}
}

// reader returns a reader of the whole buffered body.
func (b *body) reader() io.ReadCloser {
	if len(b.content.blocks) > 1 {
		b.large = bufferReader{buffer: b.content}
		b.src = &b.large
		return &b.large
	}
	// Request.Write sends the header and the body in one packet only for a reader of
	// package bytes or strings.
	if b.closer == nil {
		b.small = new(bytes.Reader)
		b.closer = io.NopCloser(b.small)
	}
	b.small.Reset(b.content.part(0))
	b.src = b.small
	return b.closer
}

// bufferedBytes returns the size of the buffered body, 0 for another one.
func (b *body) bufferedBytes() int {
	if !b.buffered {
		return 0
	}
	return b.content.size
}

// release returns the memory of the body and prepares b for another call.
func (b *body) release() {
	b.own.release()
	b.own.size, b.own.hold = 0, nil
	b.content, b.src, b.large = nil, nil, bufferReader{}
	if b.small != nil {
		b.small.Reset(nil)
	}
	b.buffered, b.streamed = false, false
	b.consumed.Store(false)
}
