// Package peer provides gRPC between nodes: a cache of client connections, which
// closes idle ones and counts bytes by link class, and a server.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"siskingw/errdefs"
)

// LinkClass classifies a link by the cost of its traffic.
type LinkClass int

// The link classes, from the cheapest to the most expensive.
const (
	SameDomain LinkClass = iota
	SameRegion
	CrossRegion
	numLinkClasses
)

// String returns the class's name.
func (c LinkClass) String() string {
	return [...]string{"same-domain", "same-region", "cross-region"}[c]
}

// Place is the location of a node.
type Place struct {
	Region        string
	FailureDomain string
}

// Class returns the class of the link between two places.
func Class(a, b Place) LinkClass {
	switch {
	case a == b:
		return SameDomain
	case a.Region == b.Region:
		return SameRegion
	}
	return CrossRegion
}

// Traffic counts control bytes by link class, on the connections that a node
// opened. Bytes are counted on the wire, after compression.
type Traffic struct {
	sent     [numLinkClasses]atomic.Uint64
	received [numLinkClasses]atomic.Uint64
}

// Sent returns the bytes that the node sent over links of class c, on
// connections that it opened.
func (t *Traffic) Sent(c LinkClass) uint64 { return t.sent[c].Load() }

// Received returns the bytes that the node received on connections that it opened.
func (t *Traffic) Received(c LinkClass) uint64 { return t.received[c].Load() }

// Options configures a Pool.
type Options struct {
	// Dial opens a connection before ctx ends. The default dials TCP.
	Dial func(ctx context.Context, addr string, class LinkClass) (net.Conn, error)
	// LocalAddr is the address that the default Dial connects from; nil lets the system choose.
	LocalAddr net.Addr
	// MaxIdle is how long an unused connection is kept. The default is 30 s.
	MaxIdle time.Duration
}

const (
	defaultMaxIdle = 30 * time.Second
	// dialTimeout is ten round trips between regions. The kernel retransmits a
	// lost SYN only after 1 s, so a new attempt is the faster way to reach an
	// instance that comes back meanwhile.
	dialTimeout = 400 * time.Millisecond
	// firstDialTimeout is the timeout of the first shortAttempts attempts after a
	// connection was requested or lost. When a fleet starts, nodes dial seeds
	// whose instances come up a moment later and drop the first SYN.
	firstDialTimeout = 150 * time.Millisecond
	shortAttempts    = 2
	// unackedTimeout is the TCP user timeout. It closes connections to instances
	// that are down or partitioned, and allows for three retransmissions of a
	// lost packet on the longest links.
	unackedTimeout = 1500 * time.Millisecond
	// maxConnectDelay is the longest delay before the next connection attempt.
	maxConnectDelay = time.Second
	// gRPC's windows and buffers are small: a node has few control bytes in
	// flight, and with 128 MB of memory the size of each connection matters.
	initialWindowBytes = 64 << 10
	bufferBytes        = 4 << 10
	maxMessageBytes    = 4 << 20
)

// Pool caches connections to peers and closes idle ones. Its methods are safe
// for concurrent use.
type Pool struct {
	self    Place
	opts    Options
	traffic *Traffic

	mu     sync.Mutex
	conns  map[string]*pooledConn
	closed bool
}

type pooledConn struct {
	cc       *grpc.ClientConn
	lastUsed time.Time
}

// NewPool returns a pool for a node at self, which counts its bytes in traffic.
func NewPool(self Place, traffic *Traffic, opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialerFrom(opts.LocalAddr)
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = defaultMaxIdle
	}
	return &Pool{self: self, opts: opts, traffic: traffic, conns: make(map[string]*pooledConn)}
}

// dialerFrom returns a function that opens TCP connections from a local address,
// or from one that the system chooses if it is nil.
func dialerFrom(local net.Addr) func(context.Context, string, LinkClass) (net.Conn, error) {
	d := net.Dialer{LocalAddr: local, Control: UserTimeoutControl(unackedTimeout)}
	return func(ctx context.Context, addr string, _ LinkClass) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// Conn returns a connection to the peer at addr (host:port). It does not wait for
// the connection to be established; calls on it fail with their own context. It
// returns a Stopped error after Close, and a PeerUnavailable error for an invalid
// address.
func (p *Pool) Conn(addr string, place Place) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errdefs.Stopped.New("peer connection pool is closed")
	}
	p.closeIdle()
	if c, ok := p.conns[addr]; ok {
		c.lastUsed = time.Now()
		return c.cc, nil
	}
	cc, err := p.open(addr, Class(p.self, place))
	if err != nil {
		return nil, err
	}
	p.conns[addr] = &pooledConn{cc: cc, lastUsed: time.Now()}
	return cc, nil
}

func (p *Pool) open(addr string, class LinkClass) (*grpc.ClientConn, error) {
	var failures atomic.Int32 // attempts since the last connection
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		timeout := dialTimeout
		if failures.Load() < shortAttempts {
			timeout = firstDialTimeout
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c, err := p.opts.Dial(ctx, a, class)
		if err != nil {
			failures.Add(1)
			return nil, err
		}
		failures.Store(0)
		return &countingConn{Conn: c, sent: &p.traffic.sent[class], received: &p.traffic.received[class]}, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff(), MinConnectTimeout: dialTimeout}),
		grpc.WithInitialWindowSize(initialWindowBytes),
		grpc.WithInitialConnWindowSize(initialWindowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errdefs.PeerUnavailable.Wrap(err, "invalid peer address %q", addr)
	}
	return cc, nil
}

// connectBackoff bounds the delay between connection attempts. gRPC's default
// grows to 2 min, during which a restored link would stay unused.
func connectBackoff() backoff.Config {
	c := backoff.DefaultConfig
	c.BaseDelay, c.MaxDelay = 100*time.Millisecond, maxConnectDelay
	return c
}

// closeIdle closes connections that have not been used for MaxIdle. p.mu must be
// held.
func (p *Pool) closeIdle() {
	deadline := time.Now().Add(-p.opts.MaxIdle)
	for addr, c := range p.conns {
		if c.lastUsed.Before(deadline) {
			_ = c.cc.Close()
			delete(p.conns, addr)
		}
	}
}

// Len returns the number of cached connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes every connection. Conn fails from then on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.cc.Close()
	}
	p.conns = nil
}

// NewServer returns a gRPC server whose buffers, messages, streams and idle
// connections are limited. A Guard has further options.
func NewServer(opts ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append([]grpc.ServerOption{
		grpc.InitialWindowSize(initialWindowBytes),
		grpc.InitialConnWindowSize(initialWindowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(256),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * defaultMaxIdle}),
	}, opts...)...)
}

// countingConn counts the bytes sent and received on a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Uint64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}
