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
	defaultInterval   = 2 * time.Second
	defaultBatchDelay = 50 * time.Millisecond
	// A child's report expires after three intervals, so that the loss of one
	// report has no effect.
	reportExpiryIntervals = 3
	// A summary is forwarded by up to three rank-0 nodes, each of which may delay
	// it by one interval.
	summaryExpiryIntervals = 5
	callTimeout            = time.Second
)

// Options configures a Tracker. Connect is required.
type Options struct {
	// Connect returns a connection to the node with this peer address, like
	// peer.Pool.Conn.
	Connect    func(addr string, place peer.Place) (grpc.ClientConnInterface, error)
	Clock      clockwork.Clock // default: the real clock
	Log        logr.Logger
	Interval   time.Duration // between reports when nothing changes; default: 2 s
	BatchDelay time.Duration // delay that batches changes into one report; default: 50 ms
}

// Tracker combines the version in force on this node with the reports of its
// children and reports the result to its parent. On rank 0 it also holds the
// summaries of all failure domains. Its methods are safe for concurrent use.
type Tracker struct {
	peerpb.UnimplementedStatusServer

	view        member.View
	opts        Options
	clock       clockwork.Clock
	reportDue   chan struct{}
	exchangeDue chan struct{}

	mu        sync.Mutex
	agg       *aggregator
	summaries summaryTable
}

// New returns a tracker for the node that owns the membership view.
func New(view member.View, opts Options) *Tracker {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}
	if opts.BatchDelay == 0 {
		opts.BatchDelay = defaultBatchDelay
	}
	t := &Tracker{
		view: view, opts: opts, clock: opts.Clock,
		reportDue: make(chan struct{}, 1), exchangeDue: make(chan struct{}, 1),
		agg:       newAggregator(view, reportExpiryIntervals*opts.Interval),
		summaries: summaryTable{domains: make(map[string]Domain)},
	}
	view.OnChange(t.onMembershipChange)
	return t
}

// Register registers the Status service with a gRPC server.
func (t *Tracker) Register(r grpc.ServiceRegistrar) { peerpb.RegisterStatusServer(r, t) }

// Confirm records that the version is in force in this process. It must be
// called after the version was put in force, never before.
func (t *Tracker) Confirm(version uint64) {
	t.mu.Lock()
	t.agg.confirm(version)
	t.mu.Unlock()
	signal(t.reportDue)
}

// onMembershipChange triggers a report when a member of the own failure domain
// changed.
func (t *Tracker) onMembershipChange(changed []*member.Record) {
	own := t.view.Self().FailureDomain
	for _, r := range changed {
		if r.FailureDomain == own {
			signal(t.reportDue)
			return
		}
	}
}

// signal wakes the receiver of c without blocking; c has a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends reports and exchanges summaries until ctx ends. It returns nil.
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

// reportLoop sends a report after each change and at every interval.
func (t *Tracker) reportLoop(ctx context.Context) { t.runPeriodically(ctx, t.reportDue, t.reportOnce) }

// runPeriodically calls f at every interval and, delayed by BatchDelay so that
// changes are batched, after each signal, until ctx ends.
func (t *Tracker) runPeriodically(ctx context.Context, trigger <-chan struct{}, f func(context.Context)) {
	ticker := t.clock.NewTicker(t.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-trigger:
			if !t.sleep(ctx, t.opts.BatchDelay) {
				return
			}
		case <-ticker.Chan():
		}
		f(ctx)
	}
}

// reportOnce sends a report to the parent; on rank 0 it updates the summary of
// the own failure domain instead.
//
//siskingw:step confirm
func (t *Tracker) reportOnce(ctx context.Context) {
	if t.updateOwnSummary() {
		return
	}
	parent := member.Parent(t.view, t.view.Self().ID)
	if parent == nil {
		return // this node is not a live member
	}
	t.mu.Lock()
	t.agg.expire(t.clock.Now())
	msg := t.agg.nextReport(t.clock.Now())
	t.mu.Unlock()
	if err := t.reportTo(ctx, parent, msg); err != nil {
		t.opts.Log.V(1).Info("report failed", "parent", parent.ID, "error", err.Error())
	}
}

// reportTo sends a report to the parent. It returns the error of
// Options.Connect, or a PeerUnavailable error when the call fails.
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
	t.raiseNewest(reply.Newest)
	return nil
}

// raiseNewest records the newest version that the parent knows, so that the
// next report lists the members of the subtree that do not have it.
func (t *Tracker) raiseNewest(newest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if newest > t.agg.newest {
		t.agg.newest = newest
		signal(t.reportDue)
	}
}

// updateOwnSummary updates the summary of the own failure domain and returns
// true if this node has rank 0; otherwise it returns false.
func (t *Tracker) updateOwnSummary() bool {
	if member.Position(t.view, t.view.Self().ID) != 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.agg.expire(now)
	next := t.agg.summary(now)
	old := t.summaries.domains[next.Name]
	t.summaries.domains[next.Name] = next
	if old.Version != next.Version || old.Newest != next.Newest {
		signal(t.exchangeDue)
	}
	return true
}

// Report records a child's report. It implements peerpb.StatusServer and
// returns no error.
func (t *Tracker) Report(_ context.Context, msg *peerpb.StatusReport) (*peerpb.StatusReportReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.agg.recordReport(t.clock.Now(), msg) {
		signal(t.reportDue)
	}
	return &peerpb.StatusReportReply{Newest: t.agg.newest}, nil
}

// sleep waits for d and returns false when ctx ends first.
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
