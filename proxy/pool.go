package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"siskingw/faults"
	"siskingw/peer"
)

// PoolOptions bounds the connections of a Pool. Zero values mean the defaults.
type PoolOptions struct {
	MaxPerAddress int           // open connections to one address; default 120
	IdleTimeout   time.Duration // idle connections are closed after it; default 30 s
	DialTimeout   time.Duration // default 400 ms
	// SilenceTimeout ends a connection whose peer acknowledges nothing for so
	// long, as when its instance has lost power or is cut off; default 0 leaves
	// that to the calls' deadlines.
	SilenceTimeout time.Duration
	LocalAddr      net.Addr // address to connect from; nil lets the system choose
}

const (
	defaultMaxPerAddress = 120              // the connection limit of the first users' endpoints
	defaultPoolIdle      = 30 * time.Second // below the idle timeout of a node's server, see NewServer
	// defaultDialTimeout is ten round trips between regions. The system repeats a
	// lost opening packet after 1 s only, when another instance has long answered.
	defaultDialTimeout = 400 * time.Millisecond
)

// Pool keeps open connections by address. A connection is used for one
// exchange at a time and returns only after a complete exchange.
type Pool struct {
	opts   PoolOptions
	dialer net.Dialer

	mu     sync.Mutex
	hosts  map[string]*host
	timer  *time.Timer // closes idle connections; nil while none is idle
	closed bool
}

// host holds the connections to one address.
type host struct {
	idle []*conn // the connection used last is at the end
	open int     // idle connections and those in use
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
		hosts:  make(map[string]*host),
	}
	if opts.SilenceTimeout > 0 {
		p.dialer.Control = peer.LimitSilence(opts.SilenceTimeout)
	}
	return p
}

// get returns a connection to addr that is idle and alive, or a new one. It
// returns a NotRun error when the limit is reached and a PeerUnavailable error
// when the dial fails.
//
//siskingw:step connect
func (p *Pool) get(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	for {
		c, err := p.takeIdle(addr)
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

// takeIdle removes the idle connection that was used last. Without one it
// reserves a place for a new connection and returns nil.
func (p *Pool) takeIdle(addr string) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, faults.NotRun.New("the pool is closed")
	}
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if h.open >= p.opts.MaxPerAddress {
		return nil, faults.NotRun.New("all %d connections to %s are in use", h.open, addr)
	}
	h.open++
	return nil, nil
}

// dial opens a connection in the place that takeIdle reserved.
func (p *Pool) dial(ctx context.Context, addr string, deadline time.Time) (*conn, error) {
	d := p.dialer
	d.Deadline = deadline
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(addr)
		return nil, faults.PeerUnavailable.Wrap(err, "no connection to %s", addr)
	}
	return newConn(nc, addr), nil
}

// release gives back the place of a connection that is closed.
func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	h.open--
	if h.open == 0 {
		delete(p.hosts, addr)
	}
}

// discard closes a connection that must not be used again.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.release(c.addr)
}

// put makes a connection available after a complete exchange.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	h.idle = append(h.idle, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.opts.IdleTimeout, p.sweep)
	}
}

// sweep closes connections that were idle for too long and rearms the timer
// while others remain.
func (p *Pool) sweep() {
	p.closeIdle(time.Now().Add(-p.opts.IdleTimeout), "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = nil
	for _, h := range p.hosts {
		if len(h.idle) > 0 && !p.closed {
			p.timer = time.AfterFunc(p.opts.IdleTimeout/2, p.sweep)
			return
		}
	}
}

// closeIdle closes connections that are idle since before the time, to one
// address or, if addr is empty, to all.
func (p *Pool) closeIdle(before time.Time, addr string) {
	p.mu.Lock()
	var expired []*conn
	for a, h := range p.hosts {
		if addr != "" && a != addr {
			continue
		}
		kept := h.idle[:0]
		for _, c := range h.idle {
			if c.idleSince.Before(before) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// Forget closes the idle connections to an address, for example of a node
// that leaves.
func (p *Pool) Forget(addr string) { p.closeIdle(time.Now().Add(time.Hour), addr) }

// Close closes idle connections and refuses new calls. Connections in use are
// closed when their exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(time.Now().Add(time.Hour), "")
}
