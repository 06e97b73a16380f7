package status

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// Defaults of Options.
const (
	defaultInterval = 2 * time.Second
	defaultCoalesce = 50 * time.Millisecond
	// A child's report counts for three intervals, so that a lost one does no harm.
	expiryIntervals = 3
	// A summary passes up to three ranks 0, each of which may hold it for an interval.
	fleetExpiryIntervals = 5
	callTimeout          = time.Second
)

// Options configures a Tracker. Connect is required.
type Options struct {
	// Connect returns a connection to a node, as peer.Pool.Conn does.
	Connect  func(addr string, place peer.Place) (grpc.ClientConnInterface, error)
	Clock    clockwork.Clock // default: the real clock
	Log      logr.Logger
	Interval time.Duration // between reports without a change, default 2 s
	Coalesce time.Duration // how long changes are collected, default 50 ms
}

// Tracker reports this node's version up the tree and combines the reports of
// its children. On rank 0 it also keeps the summaries of all failure domains.
type Tracker struct {
	peerpb.UnimplementedStatusServer

	view  member.View
	opts  Options
	clock clockwork.Clock
	kick  chan struct{} // a report is due
	share chan struct{} // an exchange is due

	mu    sync.Mutex
	agg   *aggregate
	board board
}

// New returns a tracker for the node whose membership view is given.
func New(view member.View, opts Options) *Tracker {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}
	if opts.Coalesce == 0 {
		opts.Coalesce = defaultCoalesce
	}
	t := &Tracker{
		view: view, opts: opts, clock: opts.Clock,
		kick: make(chan struct{}, 1), share: make(chan struct{}, 1),
		agg:   newAggregate(view, expiryIntervals*opts.Interval),
		board: board{domains: make(map[string]Domain)},
	}
	view.OnChange(t.onMembers)
	return t
}

// Register adds the service to a gRPC server.
func (t *Tracker) Register(r grpc.ServiceRegistrar) { peerpb.RegisterStatusServer(r, t) }

// Confirm states that this process has the version in force. Call it after
// each advance, never before.
func (t *Tracker) Confirm(version uint64) {
	t.mu.Lock()
	t.agg.confirm(version)
	t.mu.Unlock()
	signal(t.kick)
}

// onMembers asks for a new report when the own failure domain changed.
func (t *Tracker) onMembers(changed []*member.Record) {
	own := t.view.Self().FailureDomain
	for _, r := range changed {
		if r.FailureDomain == own {
			signal(t.kick)
			return
		}
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run reports and exchanges until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.exchangeLoop(ctx)
	}()
	t.reportLoop(ctx)
	<-done
	return nil
}

// reportLoop sends a report after each change and every interval.
func (t *Tracker) reportLoop(ctx context.Context) { t.repeat(ctx, t.kick, t.reportOnce) }

// repeat calls f after each signal, once the changes of Coalesce are in, and
// every interval, until ctx ends.
func (t *Tracker) repeat(ctx context.Context, signal <-chan struct{}, f func(context.Context)) {
	ticker := t.clock.NewTicker(t.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signal:
			if !t.sleep(ctx, t.opts.Coalesce) {
				return
			}
		case <-ticker.Chan():
		}
		f(ctx)
	}
}

// reportOnce reports to the parent; rank 0 renews its summary instead.
//
//siskingw:step confirm
func (t *Tracker) reportOnce(ctx context.Context) {
	if t.renew() {
		return
	}
	parent := member.Parent(t.view, t.view.Self().ID)
	if parent == nil {
		return // departed
	}
	t.mu.Lock()
	t.agg.expire(t.clock.Now())
	msg := t.agg.report(t.clock.Now())
	t.mu.Unlock()
	if err := t.reportTo(ctx, parent, msg); err != nil {
		t.opts.Log.V(1).Info("report failed", "parent", parent.ID, "error", err.Error())
	}
}

func (t *Tracker) reportTo(ctx context.Context, parent *member.Record, msg *peerpb.StatusReport) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := t.client(parent)
	if err != nil {
		return err
	}
	reply, err := client.Report(ctx, msg)
	if err != nil {
		return errdefs.PeerUnavailable.Wrap(err, "report to %q at %s", parent.ID, parent.PeerAddr)
	}
	t.learn(reply.Newest)
	return nil
}

// learn notes the newest version known above, so that the next report names
// the members of the subtree that do not have it.
func (t *Tracker) learn(newest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest > t.agg.newest {
		t.agg.newest = newest
		signal(t.kick)
	}
}

// renew updates the own failure domain's summary on rank 0. It returns false
// on other ranks.
func (t *Tracker) renew() bool {
	if member.Position(t.view, t.view.Self().ID) != 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.agg.expire(now)
	next := t.agg.summary(now)
	old := t.board.domains[next.Name]
	t.board.domains[next.Name] = next
	if old.Version != next.Version || old.Newest != next.Newest {
		signal(t.share)
	}
	return true
}

// Report takes a child's report.
func (t *Tracker) Report(_ context.Context, msg *peerpb.StatusReport) (*peerpb.StatusReportReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agg.take(t.clock.Now(), msg) {
		signal(t.kick)
	}
	return &peerpb.StatusReportReply{Newest: t.agg.newest}, nil
}

func (t *Tracker) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-t.clock.After(d):
		return true
	}
}

func (t *Tracker) client(r *member.Record) (peerpb.StatusClient, error) {
	cc, err := t.opts.Connect(r.PeerAddr, r.Place())
	if err != nil {
		return nil, err
	}
	return peerpb.NewStatusClient(cc), nil
}
