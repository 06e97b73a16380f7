package proxy

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"siskingw/errdefs"
)

const (
	connBufferBytes = 4 << 10
	// maxResponseHeaderBytes bounds each header of a response, interim (1xx) or
	// final.
	maxResponseHeaderBytes = 64 << 10
)

// conn is a pooled connection. It counts the bytes of the request that the
// kernel accepted: while there are none, the call cannot have run.
type conn struct {
	net.Conn
	addr            string
	br              *bufio.Reader
	bw              *bufio.Writer
	sentBytes       int64 // bytes of the current request that the kernel accepted
	sendErr         error // first error of writing the current request
	headerBytesLeft int   // bytes that may still be read of a response header; -1 in the body
	header          headerScanner
	idleSince       time.Time
	abort           func() // closes the connection; may be called at any time from any goroutine

	raw     syscall.RawConn
	peek    func(fd uintptr) bool
	peekBuf [1]byte
	peekErr error
}

func newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: nc, addr: addr, headerBytesLeft: -1}
	c.abort = func() { c.Close() }
	c.br = bufio.NewReaderSize(connReader{c}, connBufferBytes)
	c.bw = bufio.NewWriterSize(connWriter{c}, connBufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
			c.peek = c.peekOnce
		}
	}
	return c
}

// connReader and connWriter hide the ReadFrom and WriteTo methods of the
// connection, which would bypass the byte counters.
type connReader struct{ c *conn }

func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headerBytesLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headerBytesLeft == 0 {
		return 0, errdefs.OutcomeUnknown.New("the header of the answer is larger than %d bytes", maxResponseHeaderBytes)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerBytesLeft)])
	c.headerBytesLeft -= n
	c.header.scan(p[:n])
	return n, err
}

// readHeader reads the header of a response to req. It returns an OutcomeUnknown error
// for a malformed one, and the errors of http.ReadResponse.
func (c *conn) readHeader(req *http.Request) (*http.Response, error) {
	c.headerBytesLeft, c.header = maxResponseHeaderBytes, headerScanner{}
	buffered, _ := c.br.Peek(c.br.Buffered())
	c.header.scan(buffered)
	resp, err := http.ReadResponse(c.br, req)
	c.headerBytesLeft = -1
	switch {
	case err != nil:
		return nil, err
	case c.header.err != nil:
		return nil, c.header.err
	case c.header.transferEncoding && !resp.ProtoAtLeast(1, 1):
		// net/http ignores the field, but the body may have the encoding (RFC 9112, section 6.1).
		return nil, errdefs.OutcomeUnknown.New("answer of %s with a transfer encoding", resp.Proto)
	}
	return resp, nil
}

type connWriter struct{ c *conn }

func (w connWriter) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.sentBytes += int64(n)
	if err != nil && w.c.sendErr == nil {
		w.c.sendErr = err
	}
	return n, err
}

// sendFailure returns the error of the connection itself, such as a reset, that writing
// the request met, or nil. The kernel reports such an error once: a reader that comes
// after the writer sees a regular end of the stream. EPIPE does not count, because
// Linux reports it only if the peer had ended the stream before. It must not be called
// while the request is being written.
func (c *conn) sendFailure() error {
	var errno syscall.Errno
	if !errors.As(c.sendErr, &errno) || errno == syscall.EPIPE {
		return nil
	}
	return c.sendErr
}

// alive reports whether an idle connection can be used: the peer has neither
// closed it nor sent anything. Unexpected bytes would be read as the response
// to the next call.
func (c *conn) alive() bool {
	if c.raw == nil || c.br.Buffered() > 0 {
		return false
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.peekErr == syscall.EAGAIN
}

func (c *conn) peekOnce(fd uintptr) bool {
	_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return true
}

// beginExchange resets the counters and sets the deadline for the next
// exchange.
func (c *conn) beginExchange(deadline time.Time) error {
	c.sentBytes, c.sendErr = 0, nil
	c.headerBytesLeft = -1
	if err := c.SetDeadline(deadline); err != nil {
		return errdefs.NotRun.Wrap(err, "connection to %s", c.addr)
	}
	return nil
}
