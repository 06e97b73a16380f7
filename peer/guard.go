package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Limits bounds what the other sides of a server's connections can make it hold. A limit
// of 0 is no limit.
type Limits struct {
	Connections int   // open connections
	Bytes       int64 // unfinished requests, and streamBytes for each open stream
	// OnClose is called with the remote address of each connection that was refused or
	// closed. It must not block. It may be nil.
	OnClose func(addr string)
}

const (
	// streamBytes is the memory counted for an open stream: its goroutine and buffers. 1,150
	// streams that ended at once took 29 MiB.
	streamBytes = 16 << 10
	// frameSlack is the size in bytes of what may arrive on a connection besides requests,
	// such as window updates.
	frameSlack = 4 << 10
	// minSilence is how long a connection must have been open without a request before it
	// is closed for another one: who has just connected is about to send.
	minSilence = 500 * time.Millisecond
	// handshakeTimeout is the longest time until HTTP/2 has begun.
	handshakeTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request header. Those of nodes have less than 1 KB.
	maxHeaderBytes = 16 << 10
)

// Guard bounds the connections of a server, and the memory that they take. Beyond a limit
// it closes the connection that has made the least of what it takes, because connections
// of nodes send whole requests every few seconds. It is safe for concurrent use.
type Guard struct {
	limits  Limits
	refused atomic.Int64
	closed  atomic.Int64

	mu    sync.Mutex
	held  int64 // bytes
	conns map[string]*guardedConn
}

// NewGuard returns a guard without connections.
func NewGuard(limits Limits) *Guard {
	if limits.OnClose == nil {
		limits.OnClose = func(string) {}
	}
	return &Guard{limits: limits, conns: make(map[string]*guardedConn)}
}

// Options returns the options of the server that serves on the listener of Listen.
func (g *Guard) Options() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StatsHandler(requestWatch{g}),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderBytes)}
}

// Listen returns a listener whose connections are limited.
func (g *Guard) Listen(l net.Listener) net.Listener { return &guardedListener{l, g} }

// Connections returns the number of open connections.
func (g *Guard) Connections() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.conns))
}

// Held returns the bytes held at the moment.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Refused returns the number of connections that were closed when they were opened.
func (g *Guard) Refused() int64 { return g.refused.Load() }

// Closed returns the number of connections that were closed later.
func (g *Guard) Closed() int64 { return g.closed.Load() }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.add(nc, time.Now()); c != nil {
			return c, nil
		}
		l.guard.refused.Add(1)
		l.guard.limits.OnClose(nc.RemoteAddr().String())
		_ = nc.Close() // refused
	}
}

// guardedConn is a connection that counts what it holds. The guard's mutex guards its
// fields.
type guardedConn struct {
	net.Conn
	guard      *Guard
	addr       string
	openedAt   time.Time
	finishedAt time.Time // of the last whole message; zero before the first
	unfinished int64     // bytes that arrived and do not belong to a whole request
	beganAt    time.Time // when unfinished rose from 0
	streams    int64     // open streams
}

// add returns the connection, or nil if there are too many.
func (g *Guard) add(nc net.Conn, now time.Time) *guardedConn {
	c := &guardedConn{Conn: nc, guard: g, addr: nc.RemoteAddr().String(), openedAt: now}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Connections > 0 && len(g.conns) >= g.limits.Connections {
		victim := g.mostSilent(now)
		if victim == nil {
			return nil
		}
		g.drop(victim)
	}
	g.conns[c.addr] = c
	return c
}

// mostSilent returns the connection that has been open for longest without a message, or
// else the one that has been idle for longest, beyond the time after which nodes close
// theirs; nil without any. g.mu must be held.
func (g *Guard) mostSilent(now time.Time) *guardedConn {
	var silent, idle *guardedConn
	for _, c := range g.conns {
		switch {
		case c.finishedAt.IsZero():
			if now.Sub(c.openedAt) >= minSilence && (silent == nil || c.openedAt.Before(silent.openedAt)) {
				silent = c
			}
		case c.streams == 0 && now.Sub(c.finishedAt) >= defaultMaxIdle && (idle == nil || c.finishedAt.Before(idle.finishedAt)):
			idle = c
		}
	}
	if silent != nil {
		return silent
	}
	return idle
}

// drop closes a connection. g.mu must be held.
func (g *Guard) drop(c *guardedConn) {
	g.remove(c)
	_ = c.Conn.Close() // the server ends its streams
	g.closed.Add(1)
	g.limits.OnClose(c.addr)
}

// remove stops counting a connection. g.mu must be held.
func (g *Guard) remove(c *guardedConn) {
	if g.conns[c.addr] != c {
		return
	}
	delete(g.conns, c.addr)
	g.held -= c.held()
}

// held returns the bytes that the connection holds.
func (c *guardedConn) held() int64 { return c.unfinished + c.streams*streamBytes }

// change adds to what a connection holds, and closes connections beyond the limit. g.mu
// must be held.
func (g *Guard) change(c *guardedConn, bytes, streams int64, now time.Time) {
	if g.conns[c.addr] != c {
		return // already closed
	}
	before := c.held()
	if c.unfinished == 0 && bytes > 0 {
		c.beganAt = now
	}
	c.unfinished = max(c.unfinished+bytes, 0)
	c.streams += streams
	g.held += c.held() - before
	for g.limits.Bytes > 0 && g.held > g.limits.Bytes {
		victim := g.mostWasteful(now)
		if victim == nil {
			return
		}
		g.drop(victim)
	}
}

// finish records a whole message. g.mu must be held.
func (g *Guard) finish(c *guardedConn, now time.Time) {
	c.finishedAt = now
	if c.unfinished <= frameSlack {
		g.change(c, -c.unfinished, 0, now)
	}
	c.beganAt = now
}

// mostWasteful returns the connection with the largest product of what it holds and the
// time since it last finished a message; nil if none holds anything. Connections that have
// finished none come first if they hold at least half of the mean: while a crowd arrives,
// times do not tell its connections from those of nodes. g.mu must be held.
func (g *Guard) mostWasteful(now time.Time) *guardedConn {
	var victim *guardedConn
	var most float64
	victimIsNew := false
	for _, c := range g.conns {
		if c.held() <= 0 {
			continue
		}
		isNew := c.finishedAt.IsZero() && 2*c.held()*int64(len(g.conns)) >= g.held
		waste := c.waste(now)
		if victim == nil || isNew && !victimIsNew || isNew == victimIsNew && waste > most {
			victim, most, victimIsNew = c, waste, isNew
		}
	}
	return victim
}

// waste returns the product of what the connection holds and the time since it last finished
// a message, in byte seconds.
func (c *guardedConn) waste(now time.Time) float64 {
	idleSince := c.openedAt
	if c.finishedAt.After(idleSince) {
		idleSince = c.finishedAt
	}
	return float64(c.unfinished)*now.Sub(c.beganAt).Seconds() + float64(c.streams*streamBytes)*now.Sub(idleSince).Seconds()
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.guard.mu.Lock()
		c.guard.change(c, int64(n), 0, time.Now())
		c.guard.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// requestWatch is told by the server about requests.
type requestWatch struct{ guard *Guard }

// watchedRequest is the state of a request in its context. Only the goroutine of the
// request uses it.
type watchedRequest struct {
	conn    *guardedConn
	streams bool  // the other side may send several messages
	message int64 // bytes of the only message, counted until the request ends
}

type connKey struct{}
type requestKey struct{}

// TagConn implements stats.Handler.
func (w requestWatch) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	if c := w.guard.conns[info.RemoteAddr.String()]; c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (requestWatch) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (w requestWatch) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c, ok := ctx.Value(connKey{}).(*guardedConn)
	if !ok {
		return ctx
	}
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	w.guard.change(c, 0, 1, time.Now())
	return context.WithValue(ctx, requestKey{}, &watchedRequest{conn: c})
}

// HandleRPC implements stats.Handler.
func (w requestWatch) HandleRPC(ctx context.Context, s stats.RPCStats) {
	r, ok := ctx.Value(requestKey{}).(*watchedRequest)
	if !ok {
		return
	}
	w.guard.mu.Lock()
	defer w.guard.mu.Unlock()
	now := time.Now()
	switch s := s.(type) {
	case *stats.InHeader:
		w.guard.change(r.conn, -int64(s.WireLength), 0, now)
	case *stats.Begin:
		r.streams = s.IsClientStream
	case *stats.InPayload:
		size := framedBytes(s.WireLength)
		if r.streams {
			w.guard.change(r.conn, -size, 0, now)
		} else {
			r.message += size
		}
		w.guard.finish(r.conn, now)
	case *stats.End:
		w.guard.change(r.conn, -r.message, -1, now)
	}
}

// framedBytes returns the size of a message with the headers of its HTTP/2 frames.
func framedBytes(n int) int64 {
	const frameBytes, frameHeaderBytes = 16 << 10, 9
	return int64(n + frameHeaderBytes*(n/frameBytes+1))
}
