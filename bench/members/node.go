// Package members measures the control traffic, CPU time and memory of
// membership and status reports. It runs many nodes in one process, which
// communicate by gRPC over loopback.
package members

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/status"
)

// traffic counts the bytes that a node sends and receives, including the
// overhead of gRPC and HTTP/2 but not that of TCP and IP.
type traffic struct {
	out, in atomic.Uint64
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(uint64(n))
	return n, err
}

// countedListener counts the bytes of accepted connections.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.traffic}, nil
}

// node runs the membership and, optionally, the status reports of one node.
type node struct {
	dir     *member.Directory
	service *member.Service
	tracker *status.Tracker
	server  *grpc.Server
	pool    *peer.Pool
	traffic traffic
	links   peer.Traffic
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// start starts a node that joins the fleet through the seeds.
func start(ctx context.Context, self member.Record, seeds []member.Seed, withStatus bool) (*node, error) {
	addr := self.PeerAddr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "listen on %s", addr)
	}
	self.PeerAddr = l.Addr().String()
	self.Incarnation, self.Sequence = uint64(time.Now().UnixMilli()), 1
	n := &node{dir: member.NewDirectory(self, member.DirectoryOptions{})}
	n.pool = peer.NewPool(self.Place(), &n.links, peer.Options{Dial: n.dial})
	n.service = member.NewService(n.dir, member.Options{Connect: n.pool.Conn, Seeds: seeds})
	n.server = peer.NewServer()
	n.service.Register(n.server)
	runCtx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	if withStatus {
		n.tracker = status.New(n.dir, status.Options{Connect: n.pool.Conn})
		n.tracker.Register(n.server)
		n.tracker.Confirm(1)
		n.done.Go(func() { _ = n.tracker.Run(runCtx) })
	}
	n.done.Go(func() { _ = n.server.Serve(countedListener{l, &n.traffic}) })
	n.done.Go(func() { _ = n.service.Run(runCtx) })
	return n, nil
}

func (n *node) dial(ctx context.Context, addr string, _ peer.LinkClass) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return countedConn{c, &n.traffic}, nil
}

// crash stops the node without announcing its departure.
func (n *node) crash() {
	n.cancel()
	n.server.Stop()
	n.pool.Close()
	n.done.Wait()
}

// crashAll crashes the nodes concurrently.
func crashAll(nodes []*node) {
	var g errgroup.Group
	for _, n := range nodes {
		g.Go(func() error {
			n.crash()
			return nil
		})
	}
	_ = g.Wait()
}
