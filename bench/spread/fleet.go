package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
	"siskingw/spread"
)

const (
	regionCount  = 3
	domainCount  = 2 // failure domains in each region
	heartbeat    = time.Second
	pollInterval = time.Millisecond
)

// fleet is a number of nodes in this process that talk over loopback.
type fleet struct {
	nodes                    []*node
	versions                 *versions
	strategy                 strategy
	log                      logr.Logger
	transfers, peakTransfers atomic.Int64
	messages                 atomic.Uint64 // calls sent by nodes
}

// node is one node of a fleet.
type node struct {
	fleet   *fleet
	rec     member.Record
	view    member.View
	traffic *peer.Traffic

	near, far []*node // partners for gossip and heartbeats

	mu     sync.Mutex
	cur    *snapshot.Current
	spread *spread.Node
	trans  spread.Transport
	server *grpc.Server
	// frozen silences the node's listener, stopped ends what it left open.
	frozen, stopped chan struct{}
	pool            *peer.Pool
	cancel          context.CancelFunc
	at              map[uint64]time.Time // when each version came in force
	ready           time.Time
	dead            bool
	// onAdvance is called with each version after the first; it may be nil.
	onAdvance func(s *snapshot.Snapshot)
}

// newFleet starts n nodes with the snapshot in force.
func newFleet(n int, base *snapshot.Snapshot, v *versions, s strategy) (*fleet, error) {
	f := &fleet{versions: v, strategy: s, log: logr.Discard()}
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errdefs.Internal.Wrap(err, "listener of node %d", i)
		}
		listeners[i] = l
		region, domain := i%regionCount, i/regionCount%domainCount
		f.nodes = append(f.nodes, &node{fleet: f, traffic: new(peer.Traffic), rec: member.Record{
			ID: fmt.Sprintf("node-%03d", i), Incarnation: 1, Sequence: 1, State: member.Alive,
			Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-%d", region, domain),
			PeerAddr: l.Addr().String()}})
	}
	v.place = f.nodes[0].place()
	for i, nd := range f.nodes {
		nd.view = s.view(f, nd)
		nd.near, nd.far = f.partners(nd)
		nd.start(listeners[i], base)
	}
	return f, nil
}

func (n *node) place() peer.Place {
	return peer.Place{Region: n.rec.Region, FailureDomain: n.rec.FailureDomain}
}

// fullView returns a directory of the whole fleet.
func fullView(f *fleet, n *node) member.View {
	d := member.NewDirectory(n.rec, member.DirectoryOptions{})
	var records []member.Record
	for _, o := range f.nodes {
		records = append(records, o.rec)
	}
	d.Merge(records)
	return d
}

// loneView returns a directory of the node alone, for strategies without a tree.
func loneView(_ *fleet, n *node) member.View {
	return member.NewDirectory(n.rec, member.DirectoryOptions{})
}

// start starts a process of the node; base is nil for one without state.
func (n *node) start(l net.Listener, base *snapshot.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cur, n.dead, n.ready = new(snapshot.Current), false, time.Time{}
	n.at = make(map[uint64]time.Time)
	cur := n.cur
	cur.OnAdvance(func(s *snapshot.Snapshot) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cur != cur {
			return
		}
		n.at[s.Version()] = time.Now()
		if n.ready.IsZero() {
			n.ready = time.Now()
		}
		if n.onAdvance != nil {
			n.onAdvance(s)
		}
	})
	if base != nil {
		n.mu.Unlock()
		_ = n.cur.Advance(base)
		n.mu.Lock()
	}
	n.pool = peer.NewPool(n.place(), n.traffic, peer.Options{Dial: dial})
	n.trans = &counting{Transport: spread.NewTransport(n.pool, n.place()), fleet: n.fleet}
	opts := spread.Options{View: n.view, Current: n.cur, Transport: n.trans, StoreRegion: n.fleet.versions.place.Region, Log: n.fleet.log}
	n.fleet.strategy.configure(n, &opts)
	n.spread = spread.New(opts)
	n.server, n.frozen, n.stopped = peer.NewServer(), make(chan struct{}), make(chan struct{})
	l = &freezer{Listener: l, frozen: n.frozen, stopped: n.stopped}
	n.spread.Register(n.server)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Serve(l) }()
	go func() { _ = n.spread.Run(ctx) }()
	n.fleet.strategy.run(ctx, n)
}

// kill ends the process of the node at once and without notice.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	server, pool, cancel := n.server, n.pool, n.cancel
	select {
	case <-n.stopped:
	default:
		close(n.stopped)
	}
	n.mu.Unlock()
	cancel()
	server.Stop()
	pool.Close()
}

// freeze silences the node: its connections stay open and it does nothing.
func (n *node) freeze() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	close(n.frozen)
	n.cancel()
}

// restart starts a process without state at the same address.
func (n *node) restart() error {
	l, err := net.Listen("tcp", n.rec.PeerAddr)
	if err != nil {
		return errdefs.Internal.Wrap(err, "listener of %s", n.rec.ID)
	}
	n.start(l, nil)
	return nil
}

// stop ends every node.
func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.kill)
	}
	wg.Wait()
}

// inForceSince returns when a version at least as high came in force, or false.
func (n *node) inForceSince(version uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return time.Time{}, true
	}
	if n.cur.Version() < version {
		return time.Time{}, false
	}
	var first time.Time
	for v, t := range n.at {
		if v >= version && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first, true
}

// wait waits until the version is in force on every live node and returns when
// the last one had it. It fails with Timeout after limit.
func (f *fleet) wait(version uint64, limit time.Duration) (time.Time, error) {
	end := time.Now().Add(limit)
	var last time.Time
	for _, n := range f.nodes {
		for {
			at, ok := n.inForceSince(version)
			if ok {
				if at.After(last) {
					last = at
				}
				break
			}
			if time.Now().After(end) {
				return last, errdefs.Timeout.New("version %d is not in force on %s after %s", version, n.rec.ID, limit)
			}
			time.Sleep(pollInterval)
		}
	}
	return last, nil
}

// repair puts the latest version in force where it is missing, so that one
// change that did not reach every node does not spoil the next measurement.
func (f *fleet) repair() {
	for _, n := range f.nodes {
		_ = n.cur.Advance(f.versions.latest) // Stale where it is in force already
	}
}

// bytes returns the control bytes so far by link class: those between nodes,
// both directions, and those from the store.
func (f *fleet) bytes() [len(latency)]uint64 {
	var sum [len(latency)]uint64
	for c := range sum {
		for _, n := range f.nodes {
			sum[c] += n.traffic.Sent(peer.LinkClass(c)) + n.traffic.Received(peer.LinkClass(c))
		}
		sum[c] += f.versions.bytes[c].Load()
	}
	return sum
}

// peerOf returns the address of a node.
func peerOf(n *node) spread.Peer { return spread.PeerOf(&n.rec) }

const (
	// Gossip partners of a node. They are drawn once, because a connection
	// between every two of 200 nodes would need 80,000 file descriptors.
	nearPartners = 16
	farPartners  = 8
)

// partners returns some other nodes of the failure domain and of the fleet.
func (f *fleet) partners(n *node) (near, far []*node) {
	for _, i := range rand.Perm(len(f.nodes)) {
		o := f.nodes[i]
		switch {
		case o == n:
		case o.rec.FailureDomain == n.rec.FailureDomain && len(near) < nearPartners:
			near = append(near, o)
		case o.rec.FailureDomain != n.rec.FailureDomain && len(far) < farPartners:
			far = append(far, o)
		}
	}
	return near, far
}

// randomPeer returns one of the node's partners; in the same failure domain if
// near is set.
func (n *node) randomPeer(near bool) *node {
	from := n.far
	if near {
		from = n.near
	}
	if len(from) == 0 {
		return nil
	}
	return from[rand.IntN(len(from))]
}

// counting counts the calls of a node and the snapshot transfers of the fleet.
type counting struct {
	spread.Transport
	fleet *fleet
}

func (c *counting) Offer(ctx context.Context, to spread.Peer, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.Offer(ctx, to, r)
}

func (c *counting) FetchDeltas(ctx context.Context, to spread.Peer, r *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.FetchDeltas(ctx, to, r)
}

func (c *counting) Head(ctx context.Context, to spread.Peer, r *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.Head(ctx, to, r)
}

func (c *counting) FetchSnapshot(ctx context.Context, to spread.Peer, r *peerpb.FetchSnapshotRequest) ([]byte, *peerpb.Busy, error) {
	c.fleet.messages.Add(1)
	now := c.fleet.transfers.Add(1)
	defer c.fleet.transfers.Add(-1)
	for peak := c.fleet.peakTransfers.Load(); now > peak && !c.fleet.peakTransfers.CompareAndSwap(peak, now); {
		peak = c.fleet.peakTransfers.Load()
	}
	return c.Transport.FetchSnapshot(ctx, to, r)
}
