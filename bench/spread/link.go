// Package spread compares ways of spreading configuration versions on real
// loopback connections with the latencies of the target fleet.
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
var latency = [...]time.Duration{peer.SameDomain: 0, peer.SameRegion: time.Millisecond, peer.CrossRegion: 20 * time.Millisecond}

// dial opens a loopback connection that delays both directions.
func dial(ctx context.Context, addr string, class peer.LinkClass) (net.Conn, error) {
	d := latency[class]
	if !pause(ctx, 2*d) { // the handshake takes one round trip
		return nil, errdefs.Timeout.Wrap(ctx.Err(), "dialing %s", addr)
	}
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil || d == 0 {
		return c, err
	}
	return newDelayed(c, d), nil
}

// segment is data that may be passed on at a given time.
type segment struct {
	data []byte
	due  time.Time
	err  error
}

// maxSegments bounds the data in flight on one direction of a link.
const maxSegments = 1024

// delayed is a connection on which every byte takes d in each direction.
type delayed struct {
	net.Conn
	d       time.Duration
	out, in chan segment
	rest    []byte
	err     error
	closed  chan struct{}
	once    sync.Once
}

func newDelayed(c net.Conn, d time.Duration) *delayed {
	l := &delayed{Conn: c, d: d, out: make(chan segment, maxSegments), in: make(chan segment, maxSegments), closed: make(chan struct{})}
	go l.writeLoop()
	go l.readLoop()
	return l
}

func (l *delayed) writeLoop() {
	for {
		select {
		case <-l.closed:
			return
		case s := <-l.out:
			time.Sleep(time.Until(s.due))
			if _, err := l.Conn.Write(s.data); err != nil {
				_ = l.Close()
				return
			}
		}
	}
}

func (l *delayed) readLoop() {
	buf := make([]byte, 32<<10)
	for {
		n, err := l.Conn.Read(buf)
		s := segment{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(l.d), err: err}
		select {
		case l.in <- s:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *delayed) Write(b []byte) (int, error) {
	select {
	case l.out <- segment{data: append([]byte(nil), b...), due: time.Now().Add(l.d)}:
		return len(b), nil
	case <-l.closed:
		return 0, io.ErrClosedPipe
	}
}

func (l *delayed) Read(b []byte) (int, error) {
	for len(l.rest) == 0 {
		if l.err != nil {
			return 0, l.err
		}
		select {
		case s := <-l.in:
			time.Sleep(time.Until(s.due))
			l.rest, l.err = s.data, s.err
		case <-l.closed:
			return 0, io.EOF
		}
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

func (l *delayed) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Conn.Close()
}

// freezer wraps a listener so that its connections can fall silent, like those
// of an instance that lost power or its network.
type freezer struct {
	net.Listener
	frozen  chan struct{} // closed to silence every connection
	stopped chan struct{} // closed to end silent connections
}

// Accept implements net.Listener.
func (f *freezer) Accept() (net.Conn, error) {
	c, err := f.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezing{Conn: c, frozen: f.frozen, stopped: f.stopped, closed: make(chan struct{})}, nil
}

type freezing struct {
	net.Conn
	frozen, stopped, closed chan struct{}
	once                    sync.Once
}

func (c *freezing) silent() bool {
	select {
	case <-c.frozen:
		return true
	default:
		return false
	}
}

func (c *freezing) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent() {
		select {
		case <-c.closed:
		case <-c.stopped:
		}
		return 0, io.EOF
	}
	return n, err
}

func (c *freezing) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *freezing) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// pause waits for d and reports false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
