package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"siskingw/faults"
)

// serverBody is the request body that a handler of ConnServer reads. It records
// whether it was read to EOF, and sends 100 Continue before the first read when
// the client expects it.
type serverBody struct {
	w      *answerWriter // writer of the same request
	body   io.ReadCloser
	eof    bool
	expect bool // 100 Continue is still to be sent
}

// Read implements io.Reader.
func (b *serverBody) Read(p []byte) (int, error) {
	if b.expect {
		b.expect = false
		if err := b.w.proceed(); err != nil {
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
func (b *serverBody) Close() error { return nil }

// answerWriter is the http.ResponseWriter of ConnServer. It frames the response
// by the handler's Content-Length or else with chunked encoding. To an HTTP/1.0
// client, a response without a length is delimited by closing the connection.
type answerWriter struct {
	conn   *serverConn
	header http.Header
	head   bool // the request method is HEAD
	old    bool // the request is HTTP/1.0

	mu       sync.Mutex // the goroutine of an upload may send 100 Continue
	bw       *bufio.Writer
	status   int   // 0 until the final response header is written
	length   int64 // Content-Length in bytes; -1 without one
	written  int64 // bytes of the body
	trailers []string
	close    bool // the connection is closed after this response
	failed   bool
	complete bool            // the response was sent in full
	turn     <-chan struct{} // closed when the previous response was sent; nil without pipelining
}

// wait blocks until the responses to earlier requests were sent.
func (w *answerWriter) wait() {
	if w.turn != nil {
		<-w.turn
	}
}

// begin resets the writer for the response to r.
func (w *answerWriter) begin(r *http.Request) {
	clear(w.header)
	w.head, w.old = r.Method == http.MethodHead, r.ProtoMinor == 0
	w.status, w.length, w.written, w.close, w.failed, w.complete = 0, 0, 0, false, false, false
	w.trailers = w.trailers[:0]
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader sends the header of an interim (1xx) response at once and buffers
// that of the final one.
func (w *answerWriter) WriteHeader(status int) {
	w.wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status != 0 {
		return
	}
	if status < http.StatusOK {
		if w.old {
			return
		}
		w.statusLine(status)
		w.failed = w.header.Write(w.bw) != nil || w.end() != nil || w.bw.Flush() != nil
		return
	}
	w.status = status
	w.frame()
	if _, ok := w.header["Date"]; !ok {
		w.header["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	w.statusLine(status)
	w.failed = w.header.Write(w.bw) != nil || w.end() != nil
}

// frame chooses how the body is delimited (RFC 9112, section 6). The caller
// holds w.mu.
func (w *answerWriter) frame() {
	if w.old {
		w.header["Connection"] = connectionClose
	}
	for _, v := range w.header["Connection"] {
		w.close = w.close || v == "close"
	}
	if w.noBody() {
		return
	}
	if v := w.header["Content-Length"]; len(v) == 1 {
		if n, err := strconv.ParseInt(v[0], 10, 64); err == nil && n >= 0 {
			w.length = n
			return
		}
	}
	delete(w.header, "Content-Length")
	w.length = -1
	if w.old {
		return
	}
	w.header["Transfer-Encoding"] = chunked
	for _, v := range w.header["Trailer"] {
		for t := range strings.SplitSeq(v, ",") {
			w.trailers = append(w.trailers, http.CanonicalHeaderKey(strings.TrimSpace(t)))
		}
	}
}

// noBody reports whether the response cannot have a body, whatever its header
// says.
func (w *answerWriter) noBody() bool {
	return w.head || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

func (w *answerWriter) statusLine(status int) {
	w.bw.WriteString("HTTP/1.1 ") // a write error is sticky: Flush returns it
	w.bw.WriteString(strconv.Itoa(status))
	w.bw.WriteByte(' ')
	w.bw.WriteString(http.StatusText(status))
	w.bw.WriteString("\r\n")
}

func (w *answerWriter) end() error {
	_, err := w.bw.WriteString("\r\n")
	return err
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.failed {
		return 0, faults.PeerUnavailable.New("the connection has failed")
	}
	if w.noBody() || len(p) == 0 {
		return len(p), nil
	}
	w.written += int64(len(p))
	if w.length >= 0 {
		if w.written > w.length {
			w.failed = true
			return 0, http.ErrContentLength
		}
		return w.bw.Write(p)
	}
	if w.old {
		return w.bw.Write(p)
	}
	w.bw.WriteString(strconv.FormatInt(int64(len(p)), 16))
	w.bw.WriteString("\r\n")
	n, err := w.bw.Write(p)
	if err == nil {
		err = w.end()
	}
	return n, err
}

// finish writes the end of the response and flushes it. It reports whether the
// response was complete and sent.
func (w *answerWriter) finish() bool {
	if w.status == 0 {
		w.header["Content-Length"] = []string{"0"}
		w.WriteHeader(http.StatusOK)
	}
	if w.failed || !w.noBody() && w.length >= 0 && w.written != w.length {
		return false
	}
	if !w.noBody() && w.length < 0 && !w.old {
		w.bw.WriteString("0\r\n")
		trailer := make(http.Header, len(w.trailers))
		for _, k := range w.trailers {
			trailer[k] = w.header[k]
		}
		if trailer.Write(w.bw) != nil || w.end() != nil {
			return false
		}
	}
	return w.bw.Flush() == nil
}

// proceed sends 100 Continue unless the final response has begun.
func (w *answerWriter) proceed() error {
	w.wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.status != 0 {
		return nil
	}
	w.statusLine(http.StatusContinue)
	if err := w.end(); err != nil {
		return err
	}
	return w.bw.Flush()
}

// refuse sends an empty response with a not-run outcome to a request that the
// server rejects before it calls the handler.
func (w *answerWriter) refuse(status int) {
	w.statusLine(status)
	w.bw.WriteString(HeaderOutcome + ": " + OutcomeNotRun + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = w.bw.Flush() // the connection is closed in any case
}

// FlushError sends the buffered part of the response.
func (w *answerWriter) FlushError() error { return w.bw.Flush() }

// SetReadDeadline sets the deadline for reading the request body.
func (w *answerWriter) SetReadDeadline(t time.Time) error { return w.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline for writing the response.
func (w *answerWriter) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }

// EnableFullDuplex does nothing: a response never waits for the end of the
// request body.
func (w *answerWriter) EnableFullDuplex() error { return nil }
