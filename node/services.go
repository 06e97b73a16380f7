package node

import (
	"context"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/platform"
	"siskingw/publish"
	"siskingw/settings"
	"siskingw/snapshot"
	"siskingw/spread"
	"siskingw/store"
	"siskingw/store/etcd"
	"siskingw/telemetry"
)

// Names under which services are registered.
const (
	namePeer     = "peer"
	nameStore    = "store"
	nameMember   = "member"
	nameSpread   = "spread"
	namePublish  = "publish"
	nameStatus   = "status"
	nameAdmin    = "admin"
	nameOutbound = "outbound"
	nameInbound  = "inbound"
	nameTarget   = "target" // on the platform only
	nameReady    = "ready"  // on the platform only
	nameMetrics  = "metrics"
)

// peerService owns the gRPC listener and the connections to other nodes.
type peerService struct {
	node    *Node
	pool    *peer.Pool
	traffic peer.Traffic
	server  *grpc.Server
	lis     net.Listener
}

func (s *peerService) Name() string    { return namePeer }
func (s *peerService) Needs() []string { return nil }

func (s *peerService) Start(context.Context, *kernel.Kernel) error {
	lis, err := net.Listen("tcp", s.node.settings.Listen.Peer)
	if err != nil {
		return errdefs.Invalid.Wrap(err, "peer listener")
	}
	s.lis = lis
	s.server = peer.NewServer()
	s.pool = peer.NewPool(s.node.place(), &s.traffic, peer.Options{LocalAddr: s.node.localAddr()})
	exportTraffic(s.node.metrics, &s.traffic)
	return nil
}

func (s *peerService) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.server.Stop)
	defer stop()
	if err := s.server.Serve(s.lis); err != nil && ctx.Err() == nil {
		return errdefs.Internal.Wrap(err, "peer listener")
	}
	return nil
}

func (s *peerService) Stop(context.Context) error {
	if s.server == nil {
		return nil // Start failed
	}
	s.pool.Close()
	s.server.Stop()
	return nil
}

// storeService owns the connection to the platform's store.
type storeService struct {
	node   *Node
	store  store.Store // nil for a node without a store endpoint
	reader *publish.Reader
}

func (s *storeService) Name() string    { return nameStore }
func (s *storeService) Needs() []string { return nil }

func (s *storeService) Start(context.Context, *kernel.Kernel) error {
	if s.node.settings.Store.Endpoint == "" {
		return nil
	}
	if s.node.settings.Platform != nil {
		s.store = platform.NewStore(platform.StoreOptions{
			Endpoint: s.node.settings.Store.Endpoint, LocalAddr: s.node.localAddr(),
			WatchWait: watchWait, WatchPause: watchPause, OnCall: storeCalls(s.node.metrics),
		})
		return nil
	}
	client, err := etcd.New(etcd.Options{Endpoint: s.node.settings.Store.Endpoint, LocalAddr: s.node.localAddr()})
	if err != nil {
		return err
	}
	s.store, s.reader = client, publish.NewReader(client)
	return nil
}

func (s *storeService) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (s *storeService) Stop(context.Context) error {
	if s.store == nil {
		return nil
	}
	return s.store.Close()
}

// source returns the store as spread reads it, or nil.
func (s *storeService) source() spread.Source {
	switch {
	case s.store == nil:
		return nil
	case s.node.settings.Platform != nil:
		return platform.NewSource(s.store, func(err error) {
			s.node.log.Error(err, "configuration refused")
		})
	}
	return spread.NewSource(s.store, s.reader)
}

const (
	// watchWait is how long the platform's store holds a watch. Each answer
	// shows that this node still reaches the store.
	watchWait = time.Second
	// watchPause collects configurations that come in quick succession.
	watchPause = 250 * time.Millisecond
	// platformReaders is the number of nodes that watch the platform's store.
	platformReaders = 2
	// contactSilence is the age of the contact to the platform's store from
	// which further nodes watch it.
	contactSilence = 2200 * time.Millisecond
	// readerSettle and readerSpread bound the start of the duty: the fleet
	// learns of itself within a second.
	readerSettle = 500 * time.Millisecond
	readerSpread = 2 * time.Second
)

// platformJoinStagger lets a starting node ask the next seed when one is slow:
// the platform's seeds may be down without refusing connections.
const platformJoinStagger = 100 * time.Millisecond

// platformJoinTimeout bounds one join there. It is above the time of a join
// across regions and short enough for a node that asks a dark seed first.
const platformJoinTimeout = 500 * time.Millisecond

// joinTimeout returns the bound of one join, 0 for the usual one.
func (n *Node) joinTimeout() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformJoinTimeout
}

// joinStagger returns the stagger of a joining node, 0 for the usual one.
func (n *Node) joinStagger() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformJoinStagger
}

// announceTimeout bounds the wait for relays that are told of a drain or a
// departure on the platform, where the grace before SIGKILL is short: a relay
// may be stopping as well.
const announceTimeout = 300 * time.Millisecond

// announceContext bounds an announcement of the node's own state.
func (n *Node) announceContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if n.settings.Platform == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, announceTimeout)
}

// platformCrossStep lets starting nodes fetch across failure domains soon: a
// snapshot has a few KB there.
const platformCrossStep = 150 * time.Millisecond

// crossStep returns the stagger of starting nodes, 0 for the usual one.
func (n *Node) crossStep() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformCrossStep
}

// readers returns the options of the store reader's duty.
func (n *Node) readers() spread.ReaderOptions {
	if n.settings.Platform == nil {
		return spread.ReaderOptions{}
	}
	return spread.ReaderOptions{
		Count: platformReaders, ContactTimeout: contactSilence, PushGracePeriod: -1,
		SettleTime: readerSettle, IsolatedJitter: readerSpread,
	}
}

// memberService keeps the membership.
type memberService struct {
	node    *Node
	service *member.Service
	hints   *spread.Hints // nil without a store
	spread  *spreadService
}

func (s *memberService) Name() string    { return nameMember }
func (s *memberService) Needs() []string { return []string{namePeer, nameStore} }

func (s *memberService) Start(_ context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peerService](k, namePeer)
	if err != nil {
		return err
	}
	st, err := kernel.Lookup[*storeService](k, nameStore)
	if err != nil {
		return err
	}
	if s.spread, err = kernel.Lookup[*spreadService](k, nameSpread); err != nil {
		return err
	}
	if st.store != nil {
		s.hints = &spread.Hints{Store: st.store, View: s.node.dir}
	}
	s.service = member.NewService(s.node.dir, member.Options{
		Connect:       peers.pool.Conn,
		LocalSummary:  s.node.localSummary,
		OnSummary:     s.onSummary,
		Seeds:         s.memberSeeds(settingsSeeds(s.node.settings)),
		FallbackSeeds: s.hintedSeeds,
		JoinTimeout:   s.node.joinTimeout(), JoinStagger: s.node.joinStagger(),
		Log: s.node.log,
	})
	s.service.Register(peers.server)
	return nil
}

// hintedSeeds returns the seeds that the store names. They are read only when
// no other seed answers: one read at each start would exceed the store's rate
// when a failure domain restarts.
func (s *memberService) hintedSeeds(ctx context.Context) []member.Seed {
	return s.memberSeeds(s.readHints(ctx))
}

// memberSeeds returns peers as seeds of the membership, without this node.
func (s *memberService) memberSeeds(peers []spread.Peer) []member.Seed {
	var seeds []member.Seed
	for _, p := range peers {
		if p.Addr != s.node.settings.Advertise.Peer {
			seeds = append(seeds, member.Seed{Addr: p.Addr, Place: p.Place()})
		}
	}
	return seeds
}

// readHints returns the seed hints of the store, or none.
func (s *memberService) readHints(ctx context.Context) []spread.Peer {
	if s.hints == nil {
		return nil
	}
	return s.hints.Read(ctx)
}

// settingsSeeds returns the seeds of the settings as peers. This node may be
// one of them: its place among the seeds decides who fetches a snapshot across
// the failure domain's boundary first.
func settingsSeeds(s *settings.Settings) []spread.Peer {
	peers := make([]spread.Peer, len(s.Seeds))
	for i, seed := range s.Seeds {
		peers[i] = spread.Peer{Addr: seed.Address, Region: seed.Region, FailureDomain: seed.FailureDomain}
	}
	return peers
}

// localSummary returns what heartbeats carry about the version in force.
func (n *Node) localSummary() member.Summary {
	s := n.current.Load()
	if s == nil {
		return member.Summary{}
	}
	return member.Summary{Version: s.Version(), Digest: s.Digest()}
}

func (s *memberService) onSummary(from *member.Record, sum member.Summary) {
	if n := s.spread.spread; n != nil {
		n.HandleSummary(from, sum.Version, sum.Digest)
	}
}

func (s *memberService) Run(ctx context.Context) error {
	var g errgroup.Group
	if s.hints != nil {
		g.Go(func() error { return s.hints.Run(ctx, s.node.settings.Store.Region) })
	}
	g.Go(func() error { return s.service.Run(ctx) })
	return g.Wait()
}

// Stop tells the failure domain that this process ends.
func (s *memberService) Stop(ctx context.Context) error {
	if s.service == nil {
		return nil // Start failed
	}
	ctx, cancel := s.node.announceContext(ctx)
	defer cancel()
	s.service.Leave(ctx)
	return nil
}

// spreadService spreads configuration versions.
type spreadService struct {
	node   *Node
	spread *spread.Node
}

func (s *spreadService) Name() string    { return nameSpread }
func (s *spreadService) Needs() []string { return []string{namePeer, nameStore, nameMember} }

func (s *spreadService) Start(_ context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peerService](k, namePeer)
	if err != nil {
		return err
	}
	st, err := kernel.Lookup[*storeService](k, nameStore)
	if err != nil {
		return err
	}
	m, err := kernel.Lookup[*memberService](k, nameMember)
	if err != nil {
		return err
	}
	s.spread = spread.New(spread.Options{
		View: s.node.dir, Current: s.node.current, Transport: spread.NewTransport(peers.pool, s.node.place()),
		Source: st.source(), StoreRegion: s.node.settings.Store.Region, Readers: s.node.readers(),
		CrossStep: s.node.crossStep(),
		Seeds:     settingsSeeds(s.node.settings), SeedHints: m.readHints,
		Log: s.node.log, Metrics: s.node.metrics,
	})
	s.spread.Register(peers.server)
	s.node.current.OnAdvance(func(next *snapshot.Snapshot) {
		s.node.log.Info(telemetry.EventVersion, "version", next.Version(), "digest", next.Digest().String(), "objects", next.Len())
	})
	return nil
}

func (s *spreadService) Run(ctx context.Context) error { return s.spread.Run(ctx) }
func (s *spreadService) Stop(context.Context) error    { return nil }
