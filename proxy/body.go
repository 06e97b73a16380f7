package proxy

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBody is the size up to which a body of known length is read
	// before the call is sent, so that the call can be sent again.
	maxBufferedBody = 64 << 10
	// stallTimeout ends a transfer of which no byte moves.
	stallTimeout = 30 * time.Second
	// rearmInterval limits how often a moving transfer extends its deadline.
	rearmInterval = time.Second
)

// body is the body of a request: absent, buffered or streamed.
type body struct {
	buf      []byte // reused between calls
	reader   *bytes.Reader
	closer   io.ReadCloser // of reader
	buffered bool
	streamed bool
	touched  atomic.Bool // a byte of a streamed body was read, or may have been
}

// load classifies the body and reads a small one into memory.
func (b *body) load(w http.ResponseWriter, r *http.Request, maxBytes int64) *refusal {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return nil
	case maxBytes > 0 && r.ContentLength > maxBytes:
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: OutcomeNotRun, reason: "the body is too large"}
	case r.ContentLength < 0 || r.ContentLength > maxBufferedBody:
		b.streamed = true
		return nil
	}
	return b.buffer(w, r)
}

// buffer reads a body of known length into memory.
func (b *body) buffer(w http.ResponseWriter, r *http.Request) *refusal {
	n := int(r.ContentLength)
	if cap(b.buf) < n {
		b.buf = make([]byte, max(n, connBufferBytes))
	}
	b.buf = b.buf[:n]
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(stallTimeout)) // a test's recorder has no deadlines
	if _, err := io.ReadFull(r.Body, b.buf); err != nil {
		return &refusal{status: http.StatusRequestTimeout, outcome: OutcomeNotRun, reason: withCause("the body did not arrive", err)}
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.buffered = true
	return nil
}

// replayable reports whether the call can be sent again in full.
func (b *body) replayable() bool { return !b.touched.Load() }

// attach gives the body to the request to the next hop.
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
			out.TransferEncoding = chunked
		}
	default:
		out.Body = http.NoBody
	}
}
