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

// serverBody is the body of a request. It remembers its end and asks a peer
// that waits for 100 Continue to proceed.
type serverBody struct {
	w      *answerWriter // of the same request
	body   io.ReadCloser
	eof    bool
	expect bool
}

// Read reads the body.
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

// Close does nothing: what is left of the body ends the connection.
func (b *serverBody) Close() error { return nil }

// answerWriter is the http.ResponseWriter of a connection. It frames the answer
// by the handler's Content-Length or in chunks; to an HTTP/1.0 caller, an answer
// without a length ends with the connection.
type answerWriter struct {
	conn   *serverConn
	header http.Header
	head   bool // the request's method is HEAD
	old    bool // the request is HTTP/1.0

	mu       sync.Mutex // a streamed body proceeds on another goroutine
	bw       *bufio.Writer
	status   int   // 0 until the final header is written
	length   int64 // of the body, -1 when it is sent in chunks
	written  int64
	trailers []string
	close    bool // the connection ends after this answer
	failed   bool
	complete bool            // the answer was sent in full
	turn     <-chan struct{} // closed when the answer before was sent; nil without one
}

// wait blocks until the answers before this one were sent.
func (w *answerWriter) wait() {
	if w.turn != nil {
		<-w.turn
	}
}

// begin prepares the writer for the answer to r.
func (w *answerWriter) begin(r *http.Request) {
	clear(w.header)
	w.head, w.old = r.Method == http.MethodHead, r.ProtoMinor == 0
	w.status, w.length, w.written, w.close, w.failed, w.complete = 0, 0, 0, false, false, false
	w.trailers = w.trailers[:0]
}

// Header returns the header of the answer.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader sends the header of an interim answer, or buffers the final one.
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

// frame decides how the end of the body is marked. The writer is locked.
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

// noBody reports whether the answer has no body whatever its header says.
func (w *answerWriter) noBody() bool {
	return w.head || w.status == http.StatusNoContent || w.status == http.StatusNotModified
}

func (w *answerWriter) statusLine(status int) {
	w.bw.WriteString("HTTP/1.1 ") // a failed write fails the flush as well
	w.bw.WriteString(strconv.Itoa(status))
	w.bw.WriteByte(' ')
	w.bw.WriteString(http.StatusText(status))
	w.bw.WriteString("\r\n")
}

func (w *answerWriter) end() error {
	_, err := w.bw.WriteString("\r\n")
	return err
}

// Write sends a part of the body.
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

// finish ends the answer and reports whether it was complete and sent.
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

// proceed sends 100 Continue unless the answer has begun.
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

// refuse answers a request that is not read to its end.
func (w *answerWriter) refuse(status int) {
	w.statusLine(status)
	w.bw.WriteString(HeaderOutcome + ": " + OutcomeNotRun + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	_ = w.bw.Flush() // the connection ends in any case
}

// FlushError sends what is buffered.
func (w *answerWriter) FlushError() error { return w.bw.Flush() }

// SetReadDeadline bounds the reading of the request's body.
func (w *answerWriter) SetReadDeadline(t time.Time) error { return w.conn.SetReadDeadline(t) }

// SetWriteDeadline bounds the writing of the answer.
func (w *answerWriter) SetWriteDeadline(t time.Time) error { return w.conn.SetWriteDeadline(t) }

// EnableFullDuplex does nothing: an answer never waits for the request's body.
func (w *answerWriter) EnableFullDuplex() error { return nil }
