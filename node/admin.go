package node

import (
	"context"
	"net/http"
	"time"

	"siskingw/admin"
	"siskingw/errdefs"
	"siskingw/kernel"
	"siskingw/proxy"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/status"
	"siskingw/telemetry"
)

// statusTimeout limits the time of one status request, including the queries to
// relays.
const statusTimeout = 2 * time.Second

// statusService reports the version in force on this node and answers requests
// for the status of the fleet.
type statusService struct {
	node    *Node
	tracker *status.Tracker
}

func (s *statusService) Name() string    { return nameStatus }
func (s *statusService) Needs() []string { return []string{namePeer, nameMember, nameSpread} }

func (s *statusService) Start(_ context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peerService](k, namePeer)
	if err != nil {
		return err
	}
	s.tracker = status.New(s.node.dir, status.Options{Connect: peers.pool.Conn, Log: s.node.log})
	s.tracker.Register(peers.server)
	s.node.current.OnAdvance(func(next *snapshot.Snapshot) { s.tracker.Confirm(next.Version()) })
	return nil
}

func (s *statusService) Run(ctx context.Context) error { return s.tracker.Run(ctx) }
func (s *statusService) Stop(context.Context) error    { return nil }

// Status implements admin.StatusSource.
func (s *statusService) Status() admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	fleet := s.tracker.Summary(ctx)
	out := admin.Status{Node: s.node.settings.ID}
	out.StoreEra, out.StoreEraSince = s.node.storeEra.get()
	if snap := s.node.current.Load(); snap != nil {
		out.Version = snap.Version()
		out.AddUnavailable(snap.Unavailable())
	}
	for _, d := range fleet.Domains {
		out.Domains = append(out.Domains, adminDomain(d, fleet.Newest))
	}
	return out
}

// adminDomain converts the status of one failure domain. Confirmed counts
// members with the newest version of the failure domain; when that is lower
// than the newest version of the fleet, none of its members has confirmed the
// latter.
func adminDomain(d status.Domain, newest uint64) admin.Domain {
	out := admin.Domain{Name: d.Name, Region: d.Region, InForce: d.Version, Members: d.Live, Confirmed: d.Confirmed}
	if d.Newest < newest {
		out.Confirmed = 0
	}
	for _, l := range d.Laggards {
		out.Laggards = append(out.Laggards, l.ID)
	}
	if d.State == status.Unreachable {
		out.UnreachableSince = &d.AsOf
	}
	return out
}

// adminService serves the operators' API, metrics and health checks.
type adminService struct {
	node *Node
	httpListener
}

func (s *adminService) Name() string    { return nameAdmin }
func (s *adminService) Needs() []string { return []string{namePublish, nameStatus, nameOutbound} }

func (s *adminService) Start(_ context.Context, k *kernel.Kernel) error {
	p, err := kernel.Lookup[*publishService](k, namePublish)
	if err != nil {
		return err
	}
	st, err := kernel.Lookup[*statusService](k, nameStatus)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	telemetry.Mount(mux, s.node.ready)
	server := admin.NewServer(p.publisher(), s.node.current, st, s.node.log).WithRollouts(s.node.rolloutList)
	server.Register(mux)
	server.RegisterWhere(mux, s.node.settings.ID, s.node.outbound)
	return s.listenLimited(s.node, nameAdmin, s.node.settings.Listen.Admin, proxy.NewServer(mux, proxy.ServerOptions{}))
}

func (s *adminService) Stop(ctx context.Context) error { return s.shutdown(ctx) }

// ready returns nil when a configuration is in force, otherwise a NotFound
// error.
func (n *Node) ready() error {
	if n.current.Version() == 0 {
		return errdefs.NotFound.New("no configuration is in force yet")
	}
	return nil
}

// publisher returns the acceptor, or on a node without one a publisher that
// rejects every request.
func (s *publishService) publisher() admin.Publisher {
	if s.acceptor == nil {
		return noStore{}
	}
	return s.acceptor
}

// noStore is the publisher of a node that accepts no changes. Its methods
// return a StoreUnavailable error.
type noStore struct{}

// Apply implements admin.Publisher.
func (noStore) Apply(context.Context, publish.Request) (publish.Result, error) {
	return publish.Result{}, errNoStore()
}

// History implements admin.Publisher.
func (noStore) History(context.Context, int) ([]publish.HistoryEntry, error) {
	return nil, errNoStore()
}

func errNoStore() error {
	return errdefs.StoreUnavailable.New("this node has no store to publish to; send the request to another node")
}
