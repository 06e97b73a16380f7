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
	sent, received atomic.Uint64
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *traffic
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	traffic *traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// node runs the membership and, optionally, the status reports of one node.
type node struct {
	directory   *member.Directory
	service     *member.Service
	tracker     *status.Tracker
	server      *grpc.Server
	pool        *peer.Pool
	traffic     traffic
	linkTraffic peer.Traffic
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
}

// startNode starts a node that joins the fleet through the seeds.
func startNode(ctx context.Context, self member.Record, seeds []member.Seed, withStatus bool) (*node, error) {
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
	n := &node{directory: member.NewDirectory(self, member.DirectoryOptions{})}
	n.pool = peer.NewPool(self.Place(), &n.linkTraffic, peer.Options{Dial: n.dial})
	n.service = member.NewService(n.directory, member.Options{Connect: n.pool.Conn, Seeds: seeds})
	n.server = peer.NewServer()
	n.service.Register(n.server)
	runCtx, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	if withStatus {
		n.tracker = status.New(n.directory, status.Options{Connect: n.pool.Conn})
		n.tracker.Register(n.server)
		n.tracker.Confirm(1)
		n.goroutines.Go(func() { _ = n.tracker.Run(runCtx) })
	}
	n.goroutines.Go(func() { _ = n.server.Serve(countingListener{l, &n.traffic}) })
	n.goroutines.Go(func() { _ = n.service.Run(runCtx) })
	return n, nil
}

func (n *node) dial(ctx context.Context, addr string, _ peer.LinkClass) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return countingConn{c, &n.traffic}, nil
}

// crash stops the node without announcing its departure.
func (n *node) crash() {
	n.cancel()
	n.server.Stop()
	n.pool.Close()
	n.goroutines.Wait()
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
