package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskingw/budget"
	"siskingw/errdefs"
)

// requestBody is the request body that a handler of ConnServer reads. It
// records whether it was read to EOF, and sends 100 Continue before the first
// read when the client expects it.
type requestBody struct {
	w            *responseWriter // writer of the same request
	body         io.ReadCloser
	eof          bool
	begun        int  // bytes that the server has buffered of a body that cannot be buffered as a whole
	sendContinue bool // 100 Continue is still to be sent
}

// meteredBody reads a request body, and counts the time that it waits for the client.
type meteredBody struct {
	io.ReadCloser
	hold *budget.Hold
}

// Read implements io.Reader. It returns a Timeout error when the client was evicted
// because it does not send.
func (b *meteredBody) Read(p []byte) (int, error) {
	if b.hold.Evicted() {
		return 0, errClientStalled
	}
	b.hold.BeginWait(budget.Receive)
	n, err := b.ReadCloser.Read(p)
	b.hold.EndWait(budget.Receive, n)
	if b.hold.Evicted() {
		return n, errClientStalled
	}
	return n, err
}

var errClientStalled = errdefs.Timeout.New("the client does not send its body, and others need the memory or the target")

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.sendContinue {
		b.sendContinue = false
		if err := b.w.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.eof = true
	}
	return n, err
}

// Close does nothing: the server closes the connection after an unread body.
func (b *requestBody) Close() error { return nil }

// responseWriter is the http.ResponseWriter of ConnServer. It frames the
// response by the handler's Content-Length or else with chunked encoding. To an
// HTTP/1.0 client, a response without a length is delimited by closing the
// connection.
type responseWriter struct {
	conn        *serverConn
	hold        *budget.Hold // what the call holds; nil without a budget
	header      http.Header
	headRequest bool // the request method is HEAD
	http10      bool // the request is HTTP/1.0

	mu            sync.Mutex // the goroutine of an upload may send 100 Continue
	bw            *bufio.Writer
	status        int   // 0 until the final response header is written
	contentLength int64 // Content-Length in bytes; -1 without one
	written       int64 // bytes of the body
	trailers      []string
	closeAfter    bool // the connection is closed after this response
	failed        bool
	complete      bool            // the response was sent in full
	previousDone  <-chan struct{} // closed when the previous response was sent; nil without pipelining
	pipeline      *pipeline       // nil without pipelining
	number        int             // of the request in its pipeline, from 1
}

// holdOf returns what counts the memory of a call; nil if nothing does.
func holdOf(w http.ResponseWriter) *budget.Hold {
	if rw, ok := w.(*responseWriter); ok {
		return rw.hold
	}
	return nil
}

// mayStream reports whether a response may be sent before it is complete; see
// pipeline.beginStream.
func mayStream(w http.ResponseWriter, force bool) bool {
	rw, ok := w.(*responseWriter)
	return !ok || rw.pipeline == nil || rw.pipeline.beginStream(rw.number, force)
}

// waitForPrevious blocks until the responses to earlier requests were sent.
func (w *responseWriter) waitForPrevious() {
	if w.previousDone != nil {
		<-w.previousDone
	}
}

// reset prepares the writer for the response to r.
func (w *responseWriter) reset(r *http.Request) {
	clear(w.header)
	w.headRequest, w.http10 = r.Method == http.MethodHead, r.ProtoMinor == 0
	w.status, w.contentLength, w.written, w.closeAfter, w.failed, w.complete = 0, 0, 0, false, false, false
	w.trailers = w.trailers[:0]
}

// Header implements http.ResponseWriter.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader sends the header of an interim (1xx) response at once and buffers
// that of the final one.
func (w *responseWriter) WriteHeader(status int) {
	w.waitForPrevious()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status != 0 {
		return
	}
	if status < http.StatusOK {
		if w.http10 {
			return
		}
		w.writeStatusLine(status)
		w.failed = w.header.Write(w.bw) != nil || w.writeCRLF() != nil || w.bw.Flush() != nil
		return
	}
	w.status = status
	w.setFraming()
	if _, ok := w.header["Date"]; !ok {
		w.header["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	w.writeStatusLine(status)
	w.failed = w.header.Write(w.bw) != nil || w.writeCRLF() != nil
}

// setFraming chooses how the body is delimited (RFC 9112, section 6). The
// caller holds w.mu.
func (w *responseWriter) setFraming() {
	if w.http10 {
		w.header["Connection"] = connectionClose
	}
	for _, v := range w.header["Connection"] {
		w.closeAfter = w.closeAfter || v == "close"
	}
	if w.noBody() {
		return
	}
	if v := w.header["Content-Length"]; len(v) == 1 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil && n >= 0 {
			w.contentLength = n
			return
		}
	}
	delete(w.header, "Content-Length")
	w.contentLength = -1
	if w.http10 {
		return
	}
	w.header["Transfer-Encoding"] = chunkedEncoding
	for _, v := range w.header["Trailer"] {
		for t := range strings.SplitSeq(v, ",") {
			w.trailers = append(w.trailers, http.CanonicalHeaderKey(strings.TrimSpace(t)))
		}
	}
}

// noBody reports whether the response cannot have a body, regardless of its
// header.
func (w *responseWriter) noBody() bool {
	return w.headRequest || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

func (w *responseWriter) writeStatusLine(status int) {
	w.bw.WriteString("HTTP/1.1 ") // a write error is sticky: Flush returns it
	w.bw.WriteString(strconv.Itoa(status))
	w.bw.WriteByte(' ')
	w.bw.WriteString(http.StatusText(status))
	w.bw.WriteString("\r\n")
}

func (w *responseWriter) writeCRLF() error {
	_, err := w.bw.WriteString("\r\n")
	return err
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.failed {
		return 0, errdefs.PeerUnavailable.New("the connection has failed")
	}
	if w.noBody() || len(p) == 0 {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.contentLength >= 0 && w.written > w.contentLength {
		w.failed = true
		return 0, http.ErrContentLength
	}
	const chunkOverhead = 20
	if len(p)+chunkOverhead <= w.bw.Available() {
		return w.writeFramed(p) // does not block
	}
	w.hold.BeginWait(budget.Send)
	n, err := w.writeFramed(p)
	w.hold.EndWait(budget.Send, n)
	return n, err
}

// writeFramed writes a part of the body, as a chunk if the response has no length.
func (w *responseWriter) writeFramed(p []byte) (int, error) {
	if w.contentLength >= 0 || w.http10 {
		return w.bw.Write(p)
	}
	w.bw.WriteString(strconv.FormatInt(int64(len(p)), 16))
	w.bw.WriteString("\r\n")
	n, err := w.bw.Write(p)
	if err == nil {
		err = w.writeCRLF()
	}
	return n, err
}

// finish writes the end of the response and flushes it. It reports whether the
// response was complete and sent.
func (w *responseWriter) finish() bool {
	if w.status == 0 {
		w.header["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusOK)
	}
	if w.failed || !w.noBody() && w.contentLength >= 0 && w.written != w.contentLength {
		return false
	}
	if !w.noBody() && w.contentLength < 0 && !w.http10 {
		w.bw.WriteString("0\r\n")
		trailer := make(http.Header, len(w.trailers))
		for _, k := range w.trailers {
			trailer[k] = w.header[k]
		}
		if trailer.Write(w.bw) != nil || w.writeCRLF() != nil {
			return false
		}
	}
	return w.bw.Flush() == nil
}

// writeContinue sends 100 Continue unless the final response has begun.
func (w *responseWriter) writeContinue() error {
	w.waitForPrevious()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status != 0 {
		return nil
	}
	w.writeStatusLine(http.StatusContinue)
	if err := w.writeCRLF(); err != nil {
		return err
	}
	return w.bw.Flush()
}

// reject sends an empty response with a not-run outcome to a request that the
// server rejects before it calls the handler.
func (w *responseWriter) reject(status int) {
	w.writeStatusLine(status)
	if status == http.StatusServiceUnavailable {
		w.bw.WriteString("Retry-After: 1\r\n")
	}
	w.bw.WriteString(HeaderOutcome + ": " + OutcomeNotRun + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = w.bw.Flush() // the connection is closed in any case
}

// FlushError sends the buffered part of the response.
func (w *responseWriter) FlushError() error {
	w.hold.BeginWait(budget.Send)
	n := w.bw.Buffered()
	err := w.bw.Flush()
	w.hold.EndWait(budget.Send, n)
	return err
}

// SetReadDeadline sets the deadline for reading the request body.
func (w *responseWriter) SetReadDeadline(t time.Time) error { return w.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline for writing the response.
func (w *responseWriter) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }

// EnableFullDuplex does nothing: a response never waits for the end of the
// request body.
func (w *responseWriter) EnableFullDuplex() error { return nil }
