package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"siskingw/errdefs"
	"siskingw/peer"
)

// PoolOptions configures a Pool. Zero values select the defaults.
type PoolOptions struct {
	MaxPerAddress int           // open connections to one address; default 120
	MaxOpen       int           // open connections in all; default 0: no limit
	OnFull        func()        // called when a call gets no connection because of MaxOpen; must not block; may be nil
	IdleTimeout   time.Duration // closes connections that were idle for longer; default 30 s
	DialTimeout   time.Duration // default 400 ms
	// UnackedTimeout closes a connection whose peer has acknowledged no data
	// for so long, as after a power loss or a network partition. Default 0:
	// only the deadlines of calls apply.
	UnackedTimeout time.Duration
	LocalAddr      net.Addr // source address; nil lets the system choose
}

const (
	defaultMaxPerAddress = 120              // the connection limit of the first users' endpoints
	defaultPoolIdle      = 30 * time.Second // below the idle timeout of a node's server, see NewServer
	// defaultDialTimeout is ten round trips between regions. It is below the 1 s
	// after which the system retransmits a lost SYN: by then another instance
	// can have responded.
	defaultDialTimeout = 400 * time.Millisecond
)

// Pool keeps open connections by address. A connection carries one exchange at
// a time and is reused only after a complete exchange.
type Pool struct {
	opts   PoolOptions
	dialer net.Dialer

	mu        sync.Mutex
	byAddr    map[string]*addrConns
	open      int         // connections to all addresses
	idleTimer *time.Timer // closes idle connections; nil while none is idle
	closed    bool
}

// addrConns is the set of connections to one address.
type addrConns struct {
	idle []*conn // the most recently used one is last
	open int     // number of connections, idle, in use or being opened
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	if opts.MaxPerAddress <= 0 {
		opts.MaxPerAddress = defaultMaxPerAddress
	}
	if opts.IdleTimeout <= 0 {
		opts.IdleTimeout = defaultPoolIdle
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	p := &Pool{
		opts:   opts,
		dialer: net.Dialer{Timeout: opts.DialTimeout, KeepAlive: -1, LocalAddr: opts.LocalAddr},
		byAddr: make(map[string]*addrConns),
	}
	if opts.UnackedTimeout > 0 {
		p.dialer.Control = peer.UserTimeoutControl(opts.UnackedTimeout)
	}
	return p
}

// get returns an idle connection to addr that is still open, or a new one. It
// returns a NotRun error when the pool is closed or the limit is reached, and a
// PeerUnavailable error when the dial fails.
//
//siskingw:step connect
func (p *Pool) get(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	for {
		c, err := p.takeIdleOrReserve(addr)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx, addr, deadline)
		}
		if c.alive() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdleOrReserve removes the most recently used idle connection. If there is
// none, it reserves capacity for a new connection and returns nil. It returns a
// NotRun error when the pool is closed or the limit is reached.
func (p *Pool) takeIdleOrReserve(addr string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errdefs.NotRun.New("the pool is closed")
	}
	conns := p.byAddr[addr]
	if conns == nil {
		conns = &addrConns{}
		p.byAddr[addr] = conns
	}
	if n := len(conns.idle); n > 0 {
		c := conns.idle[n-1]
		conns.idle[n-1] = nil
		conns.idle = conns.idle[:n-1]
		return c, nil
	}
	if conns.open >= p.opts.MaxPerAddress {
		return nil, errdefs.NotRun.New("all %d connections to %s are in use", conns.open, addr)
	}
	if p.opts.MaxOpen > 0 && p.open >= p.opts.MaxOpen && !p.closeOneIdle() {
		p.forgetUnused(addr)
		if p.opts.OnFull != nil {
			p.opts.OnFull()
		}
		return nil, errdefs.NotRun.New("all %d connections to other addresses are in use", p.open)
	}
	conns.open++
	p.open++
	return nil, nil
}

// dial opens a connection with the capacity that takeIdleOrReserve reserved.
func (p *Pool) dial(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	d := p.dialer
	d.Deadline = deadline
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, errdefs.PeerUnavailable.Wrap(err, "no connection to %s", addr)
	}
	return newConn(nc, addr), nil
}

// release returns the capacity of a closed connection.
func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddr[addr].open--
	p.open--
	p.forgetUnused(addr)
}

// forgetUnused forgets an address without connections. The caller holds p.mu.
func (p *Pool) forgetUnused(addr string) {
	if p.byAddr[addr].open == 0 {
		delete(p.byAddr, addr)
	}
}

// closeOneIdle closes an idle connection to any address. It reports whether there was
// one. The caller holds p.mu.
func (p *Pool) closeOneIdle() bool {
	for addr, conns := range p.byAddr {
		if len(conns.idle) == 0 {
			continue
		}
		c := conns.idle[0]
		conns.idle = append(conns.idle[:0], conns.idle[1:]...)
		c.Close()
		conns.open--
		p.open--
		p.forgetUnused(addr)
		return true
	}
	return false
}

// discard closes a connection that must not be reused.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.release(c.addr)
}

// put returns a connection to the pool after a complete exchange.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	defer p.mu.Unlock()
	conns := p.byAddr[c.addr]
	conns.idle = append(conns.idle, c)
	if p.idleTimer == nil {
		p.idleTimer = time.AfterFunc(p.opts.IdleTimeout, p.closeExpired)
	}
}

// closeExpired closes connections that have been idle for longer than the idle
// timeout and restarts the timer while idle connections remain.
func (p *Pool) closeExpired() {
	p.closeIdleBefore(time.Now().Add(-p.opts.IdleTimeout), "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimer = nil
	for _, conns := range p.byAddr {
		if len(conns.idle) > 0 && !p.closed {
			p.idleTimer = time.AfterFunc(p.opts.IdleTimeout/2, p.closeExpired)
			return
		}
	}
}

// closeIdleBefore closes the connections that became idle before the given
// time: those to addr or, if addr is empty, all.
func (p *Pool) closeIdleBefore(before time.Time, addr string) {
	p.mu.Lock()
	var expired []*conn
	for a, conns := range p.byAddr {
		if addr != "" && a != addr {
			continue
		}
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if c.idleSince.Before(before) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(conns.idle[len(kept):])
		conns.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// CloseIdle closes the idle connections to addr, for example when its node
// drains.
func (p *Pool) CloseIdle(addr string) { p.closeIdleBefore(time.Now().Add(time.Hour), addr) }

// Close closes idle connections and makes the pool refuse new calls.
// Connections in use are closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdleBefore(time.Now().Add(time.Hour), "")
}
