package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/object"
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
	nameQuota    = "quota"
	nameAdmin    = "admin"
	nameOutbound = "outbound"
	nameInbound  = "inbound"
	nameTarget   = "target"  // on the platform only
	nameReady    = "ready"   // on the platform only
	nameRollout  = "rollout" // on the platform, if it has roll-outs
	nameMetrics  = "metrics"
)

// peerService owns the gRPC server and the connections to other nodes.
type peerService struct {
	node     *Node
	pool     *peer.Pool
	traffic  peer.Traffic
	server   *grpc.Server
	guard    *peer.Guard
	listener net.Listener
}

func (s *peerService) Name() string    { return namePeer }
func (s *peerService) Needs() []string { return nil }

func (s *peerService) Start(context.Context, *kernel.Kernel) error {
	lis, err := net.Listen("tcp", s.node.settings.Listen.Peer)
	if err != nil {
		return errdefs.Invalid.Wrap(err, "open the peer listener")
	}
	s.guard = s.node.clients.newPeerGuard(s.node)
	s.listener = s.guard.Listen(lis)
	s.server = peer.NewServer(s.guard.Options()...)
	s.pool = peer.NewPool(s.node.place(), &s.traffic, peer.Options{LocalAddr: s.node.localAddr()})
	exportTraffic(s.node.metrics, &s.traffic)
	return nil
}

func (s *peerService) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.server.Stop)
	defer stop()
	if err := s.server.Serve(s.listener); err != nil && ctx.Err() == nil {
		return errdefs.Internal.Wrap(err, "serve on the peer listener")
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
	onHead atomic.Pointer[headHook] // set once the node has started; nil for none
}

// headHook is called in its own goroutine after each read of the head from the store.
type headHook struct{ call func(context.Context) }

// hookedSource is a source that calls the store service's headHook.
type hookedSource struct {
	spread.Source
	service *storeService
}

// Head implements spread.Source.
func (s hookedSource) Head(ctx context.Context) (spread.Head, error) {
	h, err := s.Source.Head(ctx)
	if hook := s.service.onHead.Load(); hook != nil && (err == nil || errorx.IsOfType(err, errdefs.NotFound)) {
		go hook.call(context.WithoutCancel(ctx)) // it limits its time itself
	}
	return h, err
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
			OnEra: s.node.storeEra.observe(s.node.log),
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

// source returns the source of configuration versions for spread, or nil
// without a store.
func (s *storeService) source() spread.Source {
	switch {
	case s.store == nil:
		return nil
	case s.node.settings.Platform != nil:
		refused := s.node.metrics.NewCounter("siskingw_configurations_refused_total")
		var reported atomic.Uint64 // last version whose faults were logged: a version may be read again
		src := platform.NewSource(s.store, func(err error) {
			refused.Inc()
			s.node.log.Error(err, "configuration refused")
		}).WithPartial(func(version uint64, faults []object.Fault) {
			if reported.Swap(version) != version {
				s.node.log.Error(object.NewInvalid(faults), "configuration has faults", "version", version)
			}
		})
		if s.node.rollouts != nil {
			src = src.WithOrders(s.node.rollouts.onOrder)
		}
		return hookedSource{src, s}
	}
	return hookedSource{spread.NewSource(s.store, s.reader), s}
}

const (
	// watchWait is how long the platform's store holds a watch request open. Each
	// response shows that this node can still reach the store.
	watchWait = time.Second
	// watchPause is the minimum time between two watch responses with events. It
	// batches configurations that are published in quick succession.
	watchPause = 250 * time.Millisecond
	// platformReaders is the number of nodes that watch the platform's store at a
	// time.
	platformReaders = 2
	// contactTimeout is the age of the last contact with the platform's store at
	// which other nodes start to watch it.
	contactTimeout = 2200 * time.Millisecond
	// readerSettleTime is how long a node must be a reader before it calls the
	// store, and isolatedJitter the jitter added for a node that knows no other
	// member. Both are short because starting nodes learn of each other within a
	// second.
	readerSettleTime = 500 * time.Millisecond
	isolatedJitter   = 2 * time.Second
)

// platformJoinStagger is the delay after which a joining node contacts the next
// seed as well: the platform's seeds may be down without refusing connections.
const platformJoinStagger = 100 * time.Millisecond

// platformJoinTimeout limits one join attempt on the platform. It is longer
// than a join across regions takes, and short enough for a node whose first
// seed does not respond.
const platformJoinTimeout = 500 * time.Millisecond

// joinTimeout returns the timeout of one join attempt, or 0 for the default.
func (n *Node) joinTimeout() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformJoinTimeout
}

// joinStagger returns the delay before a joining node contacts a further seed,
// or 0 for the default.
func (n *Node) joinStagger() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformJoinStagger
}

// announceTimeout limits the wait for relays when a drain or a departure is
// announced on the platform: the grace period before SIGKILL is short there,
// and a relay may be stopping as well.
const announceTimeout = 300 * time.Millisecond

// announceContext returns the context for an announcement of the node's own
// state, which has a timeout on the platform.
func (n *Node) announceContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if n.settings.Platform == nil {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, announceTimeout)
}

// platformCrossStep is the stagger between starting nodes that fetch a version
// from another failure domain. It is short because a snapshot has a few KB on
// the platform.
const platformCrossStep = 150 * time.Millisecond

// crossStep returns the stagger between starting nodes that fetch a version
// from another failure domain, or 0 for the default.
func (n *Node) crossStep() time.Duration {
	if n.settings.Platform == nil {
		return 0
	}
	return platformCrossStep
}

// readerOptions returns the options for the nodes that watch the store.
func (n *Node) readerOptions(m *memberService) spread.ReaderOptions {
	if n.settings.Platform == nil {
		return spread.ReaderOptions{}
	}
	return spread.ReaderOptions{
		Count: platformReaders, ContactTimeout: contactTimeout, PushGracePeriod: -1,
		SettleTime: readerSettleTime, IsolatedJitter: isolatedJitter, CutOff: m.service.CutOff,
	}
}

// memberService runs the membership protocol.
type memberService struct {
	node     *Node
	service  *member.Service
	hints    *spread.Hints // nil without a store
	fallback *spread.FallbackHints
	spread   *spreadService
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
		s.fallback = spread.NewFallbackHints(*s.hints)
	}
	s.service = member.NewService(s.node.dir, member.Options{
		Connect:       peers.pool.Conn,
		LocalSummary:  s.node.localSummary,
		OnSummary:     s.handleSummary,
		Seeds:         s.memberSeeds(settingsSeeds(s.node.settings)),
		FallbackSeeds: s.fallbackSeeds,
		JoinTimeout:   s.node.joinTimeout(), JoinStagger: s.node.joinStagger(),
		Log: s.node.log,
	})
	s.service.Register(peers.server)
	return nil
}

// fallbackSeeds returns the seed hints recorded in the store. They are read only
// when no other seed answers for some time: one read at each start would exceed
// the store's rate limit when a failure domain restarts.
func (s *memberService) fallbackSeeds(ctx context.Context) []member.Seed {
	return s.memberSeeds(s.readHints(ctx))
}

// memberSeeds converts peers to seeds of the membership and omits this node.
func (s *memberService) memberSeeds(peers []spread.Peer) []member.Seed {
	var seeds []member.Seed
	for _, p := range peers {
		if p.Addr != s.node.settings.Advertise.Peer {
			seeds = append(seeds, member.Seed{Addr: p.Addr, Place: p.Place()})
		}
	}
	return seeds
}

// readHints returns the seed hints recorded in the store, see spread.FallbackHints,
// or nil without a store.
func (s *memberService) readHints(ctx context.Context) []spread.Peer {
	if s.fallback == nil {
		return nil
	}
	return s.fallback.Read(ctx)
}

// settingsSeeds converts the seeds of the settings to peers. This node may be
// one of them: the order of the seeds determines which node is the first to
// fetch a snapshot from another failure domain.
func settingsSeeds(s *settings.Settings) []spread.Peer {
	peers := make([]spread.Peer, len(s.Seeds))
	for i, seed := range s.Seeds {
		peers[i] = spread.Peer{Addr: seed.Address, Region: seed.Region, FailureDomain: seed.FailureDomain}
	}
	return peers
}

// localSummary returns the version in force and its digest, which heartbeats
// carry.
func (n *Node) localSummary() member.Summary {
	s := n.current.Load()
	if s == nil {
		return member.Summary{}
	}
	return member.Summary{Version: s.Version(), Digest: s.Digest()}
}

// handleSummary passes the summary in a heartbeat of another node to spread,
// once that has started.
func (s *memberService) handleSummary(from *member.Record, sum member.Summary) {
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

// Stop announces to the failure domain that this process leaves.
func (s *memberService) Stop(ctx context.Context) error {
	if s.service == nil {
		return nil // Start failed
	}
	ctx, cancel := s.node.announceContext(ctx)
	defer cancel()
	s.service.Leave(ctx)
	return nil
}

// spreadService distributes configuration versions.
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
		Source: st.source(), StoreRegion: s.node.settings.Store.Region, Readers: s.node.readerOptions(m),
		CrossStep: s.node.crossStep(),
		Seeds:     settingsSeeds(s.node.settings), SeedHints: m.readHints,
		Log: s.node.log, Metrics: s.node.metrics,
	})
	s.spread.Register(peers.server)
	s.node.current.OnAdvance(func(next *snapshot.Snapshot) {
		s.node.log.Info(telemetry.EventVersion, "version", next.Version(), "digest", next.Digest().String(),
			"objects", next.Len(), "unavailableRoutes", len(next.Unavailable()))
	})
	return nil
}

func (s *spreadService) Run(ctx context.Context) error { return s.spread.Run(ctx) }
func (s *spreadService) Stop(context.Context) error    { return nil }
