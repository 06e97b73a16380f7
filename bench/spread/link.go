// Package spread compares strategies for distributing configuration versions. The
// nodes communicate over loopback connections to which the latencies of the
// target fleet are added.
package spread

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"siskingw/errdefs"
	"siskingw/peer"
)

// latency is the one-way latency added to a link of each class.
var latency = [...]time.Duration{peer.SameDomain: 0, peer.SameRegion: time.Millisecond,
	peer.CrossRegion: 20 * time.Millisecond}

// dial opens a loopback connection that delays both directions.
func dial(ctx context.Context, addr string, class peer.LinkClass) (net.Conn, error) {
	d := latency[class]
	if !sleep(ctx, 2*d) { // the handshake takes one round trip
		return nil, errdefs.Timeout.Wrap(ctx.Err(), "dialing %s", addr)
	}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil || d == 0 {
		return c, err
	}
	return newDelayedConn(c, d), nil
}

// segment is data that is delivered at the time due, followed by err if not nil.
type segment struct {
	data []byte
	due  time.Time
	err  error
}

// maxSegments limits the number of segments in flight in one direction of a link.
const maxSegments = 1024

// delayedConn is a connection that delays data by delay in each direction.
type delayedConn struct {
	net.Conn
	delay   time.Duration
	out, in chan segment
	rest    []byte
	err     error
	closed  chan struct{}
	once    sync.Once
}

func newDelayedConn(c net.Conn, d time.Duration) *delayedConn {
	delayed := &delayedConn{Conn: c, delay: d,
		out: make(chan segment, maxSegments), in: make(chan segment, maxSegments), closed: make(chan struct{})}
	go delayed.writeLoop()
	go delayed.readLoop()
	return delayed
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case s := <-c.out:
			time.Sleep(time.Until(s.due))
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (c *delayedConn) readLoop() {
	buf := make([]byte, 32<<10)
	for {
		n, err := c.Conn.Read(buf)
		s := segment{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(c.delay), err: err}
		select {
		case c.in <- s:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *delayedConn) Write(b []byte) (int, error) {
	select {
	case c.out <- segment{data: append([]byte(nil), b...), due: time.Now().Add(c.delay)}:
		return len(b), nil
	case <-c.closed:
		return 0, io.ErrClosedPipe
	}
}

func (c *delayedConn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		select {
		case s := <-c.in:
			time.Sleep(time.Until(s.due))
			c.rest, c.err = s.data, s.err
		case <-c.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// freezableListener is a listener whose connections can become unresponsive, like
// those of an instance that lost power or its network.
type freezableListener struct {
	net.Listener
	frozen  chan struct{} // closed to make every connection unresponsive
	stopped chan struct{} // closed to end unresponsive connections
}

// Accept implements net.Listener.
func (f *freezableListener) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezableConn{Conn: c, frozen: f.frozen, stopped: f.stopped, closed: make(chan struct{})}, nil
}

type freezableConn struct {
	net.Conn
	frozen, stopped, closed chan struct{}
	once                    sync.Once
}

func (c *freezableConn) isFrozen() bool {
	select {
	case <-c.frozen:
		return true
	default:
		return false
	}
}

func (c *freezableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isFrozen() {
		select {
		case <-c.closed:
		case <-c.stopped:
		}
		return 0, io.EOF
	}
	return n, err
}

func (c *freezableConn) Write(b []byte) (int, error) {
	if c.isFrozen() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *freezableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
