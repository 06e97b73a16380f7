package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"
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
	buf      []byte // reused between calls
	reader   *bytes.Reader
	closer   io.ReadCloser // of reader
	buffered bool
	streamed bool
	consumed atomic.Bool // a byte of a streamed body may have been read
}

// BodyOptions selects the request bodies that are buffered before the call is
// sent.
type BodyOptions struct {
	MaxBuffered   int64 // largest buffered body in bytes; default 64 KB
	BufferUnsized bool  // also buffer bodies without a Content-Length
}

// bufferOrStream decides whether the body is buffered or streamed, and buffers
// it in the first case. It refuses a Content-Length above maxBytes, unless
// maxBytes is 0.
func (b *body) bufferOrStream(w http.ResponseWriter, r *http.Request, maxBytes int64, opts BodyOptions) *refusal {
	if opts.MaxBuffered == 0 {
		opts.MaxBuffered = defaultMaxBufferedBytes
	}
	if read, ok := r.Body.(*bufferedBody); ok {
		b.buf, b.buffered = read.content, true
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
		b.streamed = true
		return nil
	case r.ContentLength < 0:
		return b.bufferUnsized(w, r, opts.MaxBuffered)
	}
	return b.bufferSized(w, r)
}

// bufferUnsized buffers a body without a Content-Length. One that turns out to
// be larger than limit bytes is streamed instead, beginning with the part that
// was read.
func (b *body) bufferUnsized(w http.ResponseWriter, r *http.Request, limit int64) *refusal {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(stallTimeout)) // httptest.ResponseRecorder has no deadlines
	got, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusRequestTimeout, outcome: OutcomeNotRun, cause: causeBody,
			reason: reasonWithError("the body did not arrive", err)}
	}
	_ = rc.SetReadDeadline(time.Time{})
	if int64(len(got)) > limit {
		r.Body = readCloser{io.MultiReader(bytes.NewReader(got), r.Body), r.Body}
		b.streamed = true
		b.consumed.Store(true)
		return nil
	}
	b.buf, b.buffered = got, true
	return nil
}

// readCloser joins a reader and the closer of the original body.
type readCloser struct {
	io.Reader
	io.Closer
}

// bufferSized reads a body with a Content-Length into memory.
func (b *body) bufferSized(w http.ResponseWriter, r *http.Request) *refusal {
	n := int(r.ContentLength)
	if cap(b.buf) < n {
		b.buf = make([]byte, max(n, connBufferBytes))
	}
	b.buf = b.buf[:n]
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(stallTimeout)) // httptest.ResponseRecorder has no deadlines
	if _, err := io.ReadFull(r.Body, b.buf); err != nil {
		return &refusal{status: http.StatusRequestTimeout, outcome: OutcomeNotRun, cause: causeBody,
			reason: reasonWithError("the body did not arrive", err)}
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.buffered = true
	return nil
}

// replayable reports whether the whole body can be sent again.
func (b *body) replayable() bool { return !b.consumed.Load() }

// attach sets the body of out, the request to the next hop.
func (b *body) attach(out *http.Request, in *http.Request) {
	switch {
	case b.buffered:
		if b.closer == nil {
			b.reader = bytes.NewReader(b.buf)
			b.closer = io.NopCloser(b.reader)
		}
		b.reader.Reset(b.buf)
		out.Body = b.closer
		out.ContentLength = int64(len(b.buf))
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
