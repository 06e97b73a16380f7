package proxy

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"siskingw/faults"
)

const (
	connBufferBytes = 4 << 10
	// maxAnswerHeaderBytes bounds each header of a response, interim (1xx) or
	// final.
	maxAnswerHeaderBytes = 64 << 10
)

// conn is a pooled connection. It counts the bytes of the request that were
// handed to the kernel: if that is none, the call cannot have run.
type conn struct {
	net.Conn
	addr      string
	br        *bufio.Reader
	bw        *bufio.Writer
	sent      int64 // bytes of the current request that the kernel accepted
	headLeft  int   // bytes that may still be read of a response header; -1 in the body
	idleSince time.Time
	abort     func() // closes the connection; may be called at any time from any goroutine

	raw     syscall.RawConn
	peek    func(fd uintptr) bool
	peekBuf [1]byte
	peekErr error
}

func newConn(nc net.Conn, addr string) *conn {
	c := &conn{Conn: nc, addr: addr, headLeft: -1}
	c.abort = func() { c.Close() }
	c.br = bufio.NewReaderSize(reader{c}, connBufferBytes)
	c.bw = bufio.NewWriterSize(writer{c}, connBufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
			c.peek = c.peekOnce
		}
	}
	return c
}

// reader and writer hide the ReadFrom and WriteTo methods of the connection,
// which would bypass the byte counters.
type reader struct{ c *conn }

func (r reader) Read(p []byte) (int, error) {
	c := r.c
	if c.headLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headLeft == 0 {
		return 0, faults.OutcomeUnknown.New("the header of the answer is larger than %d bytes", maxAnswerHeaderBytes)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

type writer struct{ c *conn }

func (w writer) Write(p []byte) (int, error) {
	n, err := w.c.Conn.Write(p)
	w.c.sent += int64(n)
	return n, err
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

// begin resets the counters and sets the deadline for the next exchange.
func (c *conn) begin(deadline time.Time) error {
	c.sent = 0
	c.headLeft = -1
	if err := c.SetDeadline(deadline); err != nil {
		return faults.NotRun.Wrap(err, "connection to %s", c.addr)
	}
	return nil
}
