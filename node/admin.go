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

// statusTimeout bounds the question to a relay.
const statusTimeout = 2 * time.Second

// statusService confirms this node's version and knows the fleet's status.
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
	out := admin.Status{Node: s.node.settings.ID, Version: s.node.current.Version()}
	for _, d := range fleet.Domains {
		out.Domains = append(out.Domains, adminDomain(d, fleet.Newest))
	}
	return out
}

// adminDomain converts the status of one failure domain. A failure domain that
// has not heard of the newest version has no member that confirmed it.
func adminDomain(d status.Domain, newest uint64) admin.Domain {
	out := admin.Domain{Name: d.Name, Region: d.Region, InForce: d.Version, Members: d.Live, Confirmed: d.Confirmed}
	if d.Newest < newest {
		out.Confirmed = 0
	}
	for _, l := range d.Laggards {
		out.Laggards = append(out.Laggards, l.ID)
	}
	if d.State == status.Unasked {
		out.UnreachableSince = &d.AsOf
	}
	return out
}

// adminService serves operators, metrics and health checks.
type adminService struct {
	node *Node
	callServer
}

func (s *adminService) Name() string    { return nameAdmin }
func (s *adminService) Needs() []string { return []string{namePublish, nameStatus} }

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
	admin.NewServer(p.publisher(), s.node.current, st, s.node.log).Register(mux)
	return s.listen(nameAdmin, s.node.settings.Listen.Admin, proxy.NewServer(mux, proxy.ServerOptions{}))
}

func (s *adminService) Stop(ctx context.Context) error { return s.shutdown(ctx) }

// ready returns nil when a configuration is in force.
func (n *Node) ready() error {
	if n.current.Version() == 0 {
		return errdefs.NotFound.New("no configuration is in force yet")
	}
	return nil
}

// publisher returns the acceptor, or one that refuses everything on a node
// without a store.
func (s *publishService) publisher() admin.Publisher {
	if s.acceptor == nil {
		return noStore{}
	}
	return s.acceptor
}

// noStore is the publisher of a node whose settings name no store.
type noStore struct{}

// Apply implements admin.Publisher.
func (noStore) Apply(context.Context, publish.Request) (publish.Result, error) {
	return publish.Result{}, errNoStore()
}

// History implements admin.Publisher.
func (noStore) History(context.Context, int) ([]publish.Entry, error) { return nil, errNoStore() }

func errNoStore() error {
	return errdefs.StoreUnavailable.New("this node's settings name no store; ask another node")
}
