package status

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"siskingw/member"
	"siskingw/peer"
)

// trackerNode is a node with a fixed membership that serves gRPC on loopback.
type trackerNode struct {
	dir     *member.Directory
	tracker *Tracker
	server  *grpc.Server
	cancel  context.CancelFunc
}

// startTrackers starts nodes in the given number of failure domains, two per
// region.
func startTrackers(t *testing.T, domains, each int) []*trackerNode {
	t.Helper()
	var records []member.Record
	var listeners []net.Listener
	for i := range domains * each {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		records = append(records, member.Record{
			ID: fmt.Sprintf("n%02d", i), Incarnation: 1, Sequence: 1, State: member.Alive, PeerAddr: l.Addr().String(),
			FailureDomain: fmt.Sprintf("fd-%d", i%domains), Region: fmt.Sprintf("region-%d", i%domains/2),
		})
	}
	var nodes []*trackerNode
	for i, r := range records {
		n := &trackerNode{dir: member.NewDirectory(r, member.DirectoryOptions{}), server: peer.NewServer()}
		n.dir.Merge(records)
		pool := peer.NewPool(r.Place(), &peer.Traffic{}, peer.Options{})
		n.tracker = New(n.dir, Options{Connect: pool.Conn, Interval: 200 * time.Millisecond, BatchDelay: 10 * time.Millisecond})
		n.tracker.Register(n.server)
		go func() { _ = n.server.Serve(listeners[i]) }()
		ctx, cancel := context.WithCancel(context.Background())
		n.cancel = cancel
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.tracker.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			n.server.Stop()
			pool.Close()
		})
		nodes = append(nodes, n)
	}
	return nodes
}

// pollSummary polls a node's summary until the condition holds and returns the
// time that took.
func pollSummary(t *testing.T, n *trackerNode, what string, condition func(Fleet) bool) time.Duration {
	t.Helper()
	began := time.Now()
	for {
		f := n.tracker.Summary(context.Background())
		if condition(f) {
			return time.Since(began)
		}
		if time.Since(began) > 4*time.Second {
			t.Fatalf("%s: %s sees %+v", what, n.dir.Self().ID, f)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against nodes that report different states or a version too early,
// against missing laggards, and against a failure domain that stopped reporting
// and is still reported as in force.
func TestStatusOverTheNetwork(t *testing.T) {
	is := is.New(t)
	const domains, each = 3, 8
	nodes := startTrackers(t, domains, each)
	slow := nodes[16] // fd-1
	for _, n := range nodes {
		if n != slow {
			n.tracker.Confirm(7)
		}
	}
	for _, n := range nodes[:domains] {
		pollSummary(t, n, "one laggard", func(f Fleet) bool {
			d := f.Domains[1]
			return len(f.Domains) == domains && f.Domains[0].State == InForce && f.Domains[2].State == InForce &&
				d.State == Pending && d.Version == 0 && d.Confirmed == each-1 &&
				len(d.Laggards) == 1 && d.Laggards[0].ID == slow.dir.Self().ID
		})
	}
	is.True(!nodes[0].tracker.Summary(context.Background()).InForce(7))
	slow.tracker.Confirm(7)
	for i, n := range nodes {
		took := pollSummary(t, n, "in force", func(f Fleet) bool { return f.InForce(7) })
		if i == 0 {
			t.Logf("in force everywhere %s after the last confirmation", took)
		}
	}
	for i, n := range nodes { // fd-2 stops
		if i%domains == 2 {
			n.cancel()
			n.server.Stop()
		}
	}
	pollSummary(t, nodes[0], "fd-2 unreachable", func(f Fleet) bool {
		return f.Domains[2].State == Unreachable && f.Domains[0].State == InForce && !f.InForce(7)
	})
}
