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
	regionCount       = 3
	domainsPerRegion  = 2 // failure domains in each region
	heartbeatInterval = time.Second
	pollInterval      = time.Millisecond
)

// fleet is a set of nodes in this process that communicate over loopback.
type fleet struct {
	nodes                    []*node
	versions                 *versionStore
	strategy                 strategy
	log                      logr.Logger
	transfers, peakTransfers atomic.Int64
	messages                 atomic.Uint64 // calls sent by nodes
}

// node is one node of a fleet.
type node struct {
	fleet   *fleet
	record  member.Record
	view    member.View
	traffic *peer.Traffic

	// Peers for gossip and heartbeats in the same failure domain and in others.
	localPartners, remotePartners []*node

	mu        sync.Mutex
	current   *snapshot.Current
	spread    *spread.Node
	transport spread.Transport
	server    *grpc.Server
	// Closing frozen makes the node's connections unresponsive; closing stopped
	// then ends them.
	frozen, stopped chan struct{}
	pool            *peer.Pool
	cancel          context.CancelFunc
	inForceTimes    map[uint64]time.Time // when each version was put in force
	readyAt         time.Time
	dead            bool
	// onAdvance is called with each new version in force; it may be nil. It is set
	// after the first version.
	onAdvance func(s *snapshot.Snapshot)
}

// newFleet starts n nodes that have the snapshot base in force.
func newFleet(n int, base *snapshot.Snapshot, v *versionStore, s strategy) (*fleet, error) {
	f := &fleet{versions: v, strategy: s, log: logr.Discard()}
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errdefs.Internal.Wrap(err, "listener of node %d", i)
		}
		listeners[i] = l
		region, domain := i%regionCount, i/regionCount%domainsPerRegion
		f.nodes = append(f.nodes, &node{fleet: f, traffic: new(peer.Traffic), record: member.Record{
			ID: fmt.Sprintf("node-%03d", i), Incarnation: 1, Sequence: 1, State: member.Alive,
			Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("region-%d-%d", region, domain),
			PeerAddr: l.Addr().String()}})
	}
	v.place = f.nodes[0].place()
	for i, nd := range f.nodes {
		nd.view = s.view(f, nd)
		nd.localPartners, nd.remotePartners = f.choosePartners(nd)
		nd.start(listeners[i], base)
	}
	return f, nil
}

func (n *node) place() peer.Place {
	return peer.Place{Region: n.record.Region, FailureDomain: n.record.FailureDomain}
}

// fullView returns a directory with all nodes of the fleet.
func fullView(f *fleet, n *node) member.View {
	d := member.NewDirectory(n.record, member.DirectoryOptions{})
	var records []member.Record
	for _, o := range f.nodes {
		records = append(records, o.record)
	}
	d.Merge(records)
	return d
}

// selfOnlyView returns a directory with only the node itself, for strategies
// without a tree.
func selfOnlyView(_ *fleet, n *node) member.View {
	return member.NewDirectory(n.record, member.DirectoryOptions{})
}

// start starts the node. base is the snapshot in force, or nil to start with no
// state.
func (n *node) start(l net.Listener, base *snapshot.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current, n.dead, n.readyAt = new(snapshot.Current), false, time.Time{}
	n.inForceTimes = make(map[uint64]time.Time)
	cur := n.current
	cur.OnAdvance(func(s *snapshot.Snapshot) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.current != cur {
			return
		}
		n.inForceTimes[s.Version()] = time.Now()
		if n.readyAt.IsZero() {
			n.readyAt = time.Now()
		}
		if n.onAdvance != nil {
			n.onAdvance(s)
		}
	})
	if base != nil {
		n.mu.Unlock()
		_ = n.current.Advance(base)
		n.mu.Lock()
	}
	n.pool = peer.NewPool(n.place(), n.traffic, peer.Options{Dial: dial})
	n.transport = &countingTransport{Transport: spread.NewTransport(n.pool, n.place()), fleet: n.fleet}
	opts := spread.Options{View: n.view, Current: n.current, Transport: n.transport,
		StoreRegion: n.fleet.versions.place.Region, Log: n.fleet.log}
	n.fleet.strategy.configure(n, &opts)
	n.spread = spread.New(opts)
	n.server, n.frozen, n.stopped = peer.NewServer(), make(chan struct{}), make(chan struct{})
	l = &freezableListener{Listener: l, frozen: n.frozen, stopped: n.stopped}
	n.spread.Register(n.server)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { _ = n.server.Serve(l) }()
	go func() { _ = n.spread.Run(ctx) }()
	n.fleet.strategy.start(ctx, n)
}

// kill stops the node immediately, without leaving the fleet first.
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

// freeze makes the node unresponsive: its connections stay open, but it neither
// reads requests nor sends anything.
func (n *node) freeze() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	close(n.frozen)
	n.cancel()
}

// restart starts the node with no state at the same address.
func (n *node) restart() error {
	l, err := net.Listen("tcp", n.record.PeerAddr)
	if err != nil {
		return errdefs.Internal.Wrap(err, "listener of %s", n.record.ID)
	}
	n.start(l, nil)
	return nil
}

// stop kills every node.
func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(n.kill)
	}
	wg.Wait()
}

// inForceSince returns the time at which version or a later one was put in force,
// or false if none was. For a killed or frozen node it returns the zero time and
// true, so that nothing waits for it.
func (n *node) inForceSince(version uint64) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return time.Time{}, true
	}
	if n.current.Version() < version {
		return time.Time{}, false
	}
	var first time.Time
	for v, t := range n.inForceTimes {
		if v >= version && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first, true
}

// waitInForce waits until the version is in force on every live node and
// returns the time at which the last node had it. It fails with Timeout after
// limit.
func (f *fleet) waitInForce(version uint64, limit time.Duration) (time.Time, error) {
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
				return last, errdefs.Timeout.New("version %d is not in force on %s after %s", version, n.record.ID, limit)
			}
			time.Sleep(pollInterval)
		}
	}
	return last, nil
}

// advanceAll puts the latest version in force on nodes that lack it, so that one
// change that did not reach every node does not distort the next measurement.
func (f *fleet) advanceAll() {
	for _, n := range f.nodes {
		_ = n.current.Advance(f.versions.latest) // fails with Stale where it is already in force
	}
}

// bytes returns the control bytes so far by link class: between nodes, in both
// directions, and from the store.
func (f *fleet) bytes() [len(latency)]uint64 {
	var sum [len(latency)]uint64
	for c := range sum {
		for _, n := range f.nodes {
			sum[c] += n.traffic.Sent(peer.LinkClass(c)) + n.traffic.Received(peer.LinkClass(c))
		}
		sum[c] += f.versions.sentBytes[c].Load()
	}
	return sum
}

// peerOf returns the peer that identifies a node to transports.
func peerOf(n *node) spread.Peer { return spread.PeerOf(&n.record) }

const (
	// Number of gossip partners of a node. They are chosen once, because
	// connections between all pairs of 200 nodes would need 80,000 file
	// descriptors.
	maxLocalPartners  = 16
	maxRemotePartners = 8
)

// choosePartners returns random nodes of the same failure domain and of other
// failure domains.
func (f *fleet) choosePartners(n *node) (local, remote []*node) {
	for _, i := range rand.Perm(len(f.nodes)) {
		o := f.nodes[i]
		switch {
		case o == n:
		case o.record.FailureDomain == n.record.FailureDomain && len(local) < maxLocalPartners:
			local = append(local, o)
		case o.record.FailureDomain != n.record.FailureDomain && len(remote) < maxRemotePartners:
			remote = append(remote, o)
		}
	}
	return local, remote
}

// randomPeer returns a random partner of the node, in the same failure domain if
// local is set and in another one otherwise, or nil if there is none.
func (n *node) randomPeer(local bool) *node {
	partners := n.remotePartners
	if local {
		partners = n.localPartners
	}
	if len(partners) == 0 {
		return nil
	}
	return partners[rand.IntN(len(partners))]
}

// countingTransport counts the calls of the fleet's nodes and the peak number of
// concurrent snapshot transfers.
type countingTransport struct {
	spread.Transport
	fleet *fleet
}

func (c *countingTransport) Offer(ctx context.Context, to spread.Peer, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.Offer(ctx, to, r)
}

func (c *countingTransport) FetchDeltas(ctx context.Context, to spread.Peer, r *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.FetchDeltas(ctx, to, r)
}

func (c *countingTransport) Head(ctx context.Context, to spread.Peer, r *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	c.fleet.messages.Add(1)
	return c.Transport.Head(ctx, to, r)
}

func (c *countingTransport) FetchSnapshot(ctx context.Context, to spread.Peer, r *peerpb.FetchSnapshotRequest) ([]byte, *peerpb.Busy, error) {
	c.fleet.messages.Add(1)
	now := c.fleet.transfers.Add(1)
	defer c.fleet.transfers.Add(-1)
	for peak := c.fleet.peakTransfers.Load(); now > peak && !c.fleet.peakTransfers.CompareAndSwap(peak, now); {
		peak = c.fleet.peakTransfers.Load()
	}
	return c.Transport.FetchSnapshot(ctx, to, r)
}
