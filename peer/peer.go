// Package peer carries gRPC between nodes: a bounded cache of connections and
// a server, both counting bytes by link class.
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

// LinkClass classifies a link by what a byte on it costs.
type LinkClass int

// The link classes from the cheapest to the most expensive.
const (
	SameDomain LinkClass = iota
	SameRegion
	CrossRegion
	linkClasses
)

// String returns the class's name.
func (c LinkClass) String() string {
	return [...]string{"same-domain", "same-region", "cross-region"}[c]
}

// Place is where a node runs.
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

// Traffic counts control bytes by link class. Bytes are counted on the wire,
// after compression, where they leave a node.
type Traffic struct {
	sent     [linkClasses]atomic.Uint64
	received [linkClasses]atomic.Uint64
}

// Sent returns the bytes that left the node over links of a class.
func (t *Traffic) Sent(c LinkClass) uint64 { return t.sent[c].Load() }

// Received returns the bytes that the node received on connections that it opened.
func (t *Traffic) Received(c LinkClass) uint64 { return t.received[c].Load() }

// Options configures a Pool.
type Options struct {
	// Dial opens a connection. The default is a TCP dialer with a timeout of 0.4 s.
	Dial func(ctx context.Context, addr string, class LinkClass) (net.Conn, error)
	// LocalAddr is the address that the default Dial connects from; nil lets the system choose.
	LocalAddr net.Addr
	// MaxIdle is how long an unused connection is kept. The default is 30 s.
	MaxIdle time.Duration
}

const (
	defaultMaxIdle = 30 * time.Second
	// dialTimeout is ten round trips between regions. The system repeats a lost
	// opening packet after 1 s only, so that an instance that comes back
	// meanwhile is reached sooner by a new attempt.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout ends connections to instances that are down or cut off. It
	// leaves room for three repeats of a lost packet on the longest links.
	silenceTimeout = 1500 * time.Millisecond
	// maxConnectDelay is the longest wait before the next connection attempt.
	maxConnectDelay = time.Second
	// The initial windows keep gRPC's buffers small: a node holds few bytes in
	// flight for control, and memory for each connection counts at 128 MB.
	windowBytes = 64 << 10
	bufferBytes = 4 << 10
	maxMsgBytes = 4 << 20
)

// Pool caches connections to peers. Unused ones are closed.
type Pool struct {
	self    Place
	opts    Options
	traffic *Traffic

	mu     sync.Mutex
	conns  map[string]*pooled
	closed bool
}

type pooled struct {
	cc   *grpc.ClientConn
	used time.Time
}

// NewPool returns a pool for a node at the given place.
func NewPool(self Place, traffic *Traffic, opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialerFrom(opts.LocalAddr)
	}
	if opts.MaxIdle == 0 {
		opts.MaxIdle = defaultMaxIdle
	}
	return &Pool{self: self, opts: opts, traffic: traffic, conns: make(map[string]*pooled)}
}

// dialerFrom returns a function that opens TCP connections from a local address.
func dialerFrom(local net.Addr) func(context.Context, string, LinkClass) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: local, Control: LimitSilence(silenceTimeout)}
	return func(ctx context.Context, addr string, _ LinkClass) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// Conn returns a connection to the peer at addr. It does not wait for the
// connection to be up; calls on it fail with their own context.
func (p *Pool) Conn(addr string, place Place) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errdefs.Stopped.New("peer pool is closed")
	}
	p.closeIdle()
	if c, ok := p.conns[addr]; ok {
		c.used = time.Now()
		return c.cc, nil
	}
	cc, err := p.open(addr, Class(p.self, place))
	if err != nil {
		return nil, err
	}
	p.conns[addr] = &pooled{cc: cc, used: time.Now()}
	return cc, nil
}

func (p *Pool) open(addr string, class LinkClass) (*grpc.ClientConn, error) {
	dial := func(ctx context.Context, a string) (net.Conn, error) {
		c, err := p.opts.Dial(ctx, a, class)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, sent: &p.traffic.sent[class], received: &p.traffic.received[class]}, nil
	}
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: connectBackoff(), MinConnectTimeout: dialTimeout}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMsgBytes)),
	)
	if err != nil {
		return nil, errdefs.PeerUnavailable.Wrap(err, "peer address %q", addr)
	}
	return cc, nil
}

// connectBackoff bounds the delay between connection attempts. gRPC's default
// grows to 2 min, in which a healed link would stay unused.
func connectBackoff() backoff.Config {
	c := backoff.DefaultConfig
	c.BaseDelay, c.MaxDelay = 100*time.Millisecond, maxConnectDelay
	return c
}

// closeIdle closes connections that were not used for MaxIdle.
func (p *Pool) closeIdle() {
	deadline := time.Now().Add(-p.opts.MaxIdle)
	for addr, c := range p.conns {
		if c.used.Before(deadline) {
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

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.cc.Close()
	}
	p.conns = nil
}

// NewServer returns a gRPC server with limits that fit a node.
func NewServer() *grpc.Server {
	return grpc.NewServer(
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.MaxRecvMsgSize(maxMsgBytes),
		grpc.MaxConcurrentStreams(256),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: 2 * defaultMaxIdle}),
	)
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Uint64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}
