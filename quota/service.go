package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/organisation"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

const (
	// askInterval is the longest time between two questions to the pool.
	askInterval = 250 * time.Millisecond
	// minAskInterval is the shortest time between two questions, and urgentInterval
	// the one between the end of a question and the next while calls wait. With 60 ms
	// for both, the median response of the most frequent class in a quiet fleet was 72 ms later than without
	// quotas.
	minAskInterval = 60 * time.Millisecond
	urgentInterval = 10 * time.Millisecond
	// askTimeout is two round trips between regions and a retransmission.
	askTimeout = 400 * time.Millisecond
	// maxWait is how long a call waits for the pool: the end of a question in
	// flight, a question of its own and, nearby, some more.
	maxWait = 200 * time.Millisecond
	// idleInterval is the time after which a node without quotas looks again.
	idleInterval = time.Second
	// maxPooled is the number of instances up to which one pool serves all. It gets
	// 4 messages per second from each, and up to one for each call that waits.
	maxPooled = 1_000
)

// Options configures a Service. Connect, View and Current are required.
type Options struct {
	// Connect returns a connection to the node with this peer address, like
	// peer.Pool.Conn.
	Connect       func(addr string, place peer.Place) (grpc.ClientConnInterface, error)
	View          member.View
	Current       *snapshot.Current
	Organisations *organisation.Cache // nil for one of its own
	Bounds        Bounds              // zero selects DefaultBounds
	Metrics       *metrics.Set        // nil records no metrics
	// Roster keeps the list of the instances in the store; nil for none, so that each
	// process counts those that it knows.
	Roster *RosterStore
	// Reader reports whether this node watches the store, and how many nodes that do
	// precede it. It is required with a Roster.
	Reader func() (index int, ok bool)
	// State puts the number of instances into the node's membership record, 0 for none.
	// It is required with a Roster.
	State func(instances int)
	Log   logr.Logger
}

// Service keeps the quotas on one node: it asks the pool for credit, and is a pool
// for the nodes that ask it.
type Service struct {
	peerpb.UnimplementedQuotaServer

	opts          Options
	organisations *organisation.Cache
	ledger        *Ledger
	pool          *Pool
	members       *members
	metrics       *serviceMetrics
	wake          chan struct{} // capacity 1
	urgent        chan struct{} // capacity 1; a call waits
	limited       atomic.Bool   // the version in force has an organisation with a quota

	roster rosterTask

	loans errgroup.Group // questions to the pools of other regions

	mu       sync.Mutex
	begun    uint64        // questions that were begun
	done     uint64        // questions that have ended
	lending  int           // questions to the pools of other regions in flight
	borrowed uint64        // such questions that have ended
	changed  chan struct{} // closed when done or borrowed rises
}

// NewService returns the service of a process that starts now.
func NewService(opts Options) *Service {
	if opts.Bounds.Window <= 0 {
		opts.Bounds = DefaultBounds
	}
	if opts.Organisations == nil {
		opts.Organisations = new(organisation.Cache)
	}
	now, self := time.Now(), opts.View.Self()
	s := &Service{opts: opts, organisations: opts.Organisations, members: newMembers(opts.View, now), wake: make(chan struct{}, 1), urgent: make(chan struct{}, 1),
		ledger:  NewLedger(self.ID, self.Incarnation, opts.Bounds, now, rand.Float64),
		pool:    NewPool(self.ID, self.Incarnation, opts.Bounds, now, rand.Float64),
		changed: make(chan struct{}),
	}
	s.metrics = newServiceMetrics(opts.Metrics, s.pool, s.members)
	s.members.hasRoster = opts.Roster != nil
	opts.View.OnChange(s.members.update)
	opts.Current.OnAdvance(func(next *snapshot.Snapshot) {
		s.limited.Store(s.organisations.Of(next).Limited())
		s.wakeUp()
	})
	return s
}

// Register registers the pool with the server for other nodes.
func (s *Service) Register(srv *grpc.Server) { peerpb.RegisterQuotaServer(srv, s) }

// Close gives up the pledges to this node's pool, which is about to stop.
func (s *Service) Close() { s.pool.Close() }

// Ask implements peerpb.QuotaServer.
func (s *Service) Ask(_ context.Context, in *peerpb.QuotaAsk) (*peerpb.QuotaAnswer, error) {
	return s.answer(askFromProto(in, s.opts.View.Self().ID)).toProto(), nil
}

func (s *Service) answer(a Ask) Answer { return s.pool.Answer(a, s.set(), time.Now()) }

// set returns the organisations of the version in force.
func (s *Service) set() *organisation.Set {
	snap := s.opts.Current.Load()
	if snap == nil {
		return new(organisation.Set)
	}
	return s.organisations.Of(snap)
}

// Acquire takes the credit for one call of an organisation with a quota. It waits for the
// pool for up to 200 ms if there is none here and may be some there. The decision is
// Allowed or Refused. late is set for a call that has missed its target latency.
func (s *Service) Acquire(ctx context.Context, t *organisation.Organisation, late bool) Decision {
	start := time.Now()
	var d Decision
	if late {
		d = s.ledger.TakeLate(t, true, start)
	} else {
		d = s.ledger.Take(t, true, true, start)
	}
	if d.Low {
		s.wakeUp()
	}
	if d.Verdict == Pending {
		ctx, cancel := context.WithDeadline(ctx, start.Add(maxWait))
		defer cancel()
		for d.Verdict == Pending {
			s.awaitAnswer(ctx)
			if d = s.ledger.Take(t, false, ctx.Err() == nil, time.Now()); d.Verdict == Pending && s.awaitLoan(ctx) {
				d = s.ledger.Take(t, false, ctx.Err() == nil, time.Now())
			}
		}
	}
	s.metrics.count(d)
	return d
}

// Peek returns the credit of an organisation at this instance and the decision that a call
// would get now. It changes nothing.
func (s *Service) Peek(t *organisation.Organisation) State { return s.ledger.Peek(t, time.Now()) }

// Return gives back the credit of a call that has not run.
func (s *Service) Return(c Credit) { s.ledger.Return(c, time.Now()) }

// awaitAnswer waits for the end of a question that begins from now on, or of ctx.
func (s *Service) awaitAnswer(ctx context.Context) {
	s.mu.Lock()
	wanted := s.begun + 1
	s.mu.Unlock()
	for {
		signal(s.urgent)
		s.mu.Lock()
		done, changed := s.done, s.changed
		s.mu.Unlock()
		if done >= wanted {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitLoan waits for the end of one question to the pool of another region, or of
// ctx. It returns false at once if no such question is in flight.
func (s *Service) awaitLoan(ctx context.Context) bool {
	s.mu.Lock()
	before, lending := s.borrowed, s.lending
	s.mu.Unlock()
	if lending == 0 {
		return false
	}
	for {
		s.mu.Lock()
		borrowed, changed := s.borrowed, s.changed
		s.mu.Unlock()
		if borrowed != before {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

// wakeUp makes Run ask the pool soon.
func (s *Service) wakeUp() { signal(s.wake) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run asks the pool until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	if s.opts.Roster != nil {
		go s.keepRoster(ctx)
	}
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = s.loans.Wait() // no question returns an error
			return nil
		case <-s.wake:
		case <-s.urgent:
		case <-timer.C:
		}
		next := idleInterval
		if s.limited.Load() {
			s.ask(ctx)
			next = s.interval()
			s.pause(ctx)
		}
		timer.Reset(next)
	}
}

// interval returns the time until the next question: credit must not lapse before
// more is asked for. A random part keeps the questions of a fleet apart.
func (s *Service) interval() time.Duration {
	d := askInterval
	s.set().All(func(t *organisation.Organisation) {
		if t.Limited() {
			d = min(d, s.opts.Bounds.grantLife(t)/2)
		}
	})
	return max(time.Duration(float64(d)*(0.8+0.2*rand.Float64()))-minAskInterval, minAskInterval)
}

// pause waits between two questions. It returns early when ctx ends.
func (s *Service) pause(ctx context.Context) {
	t := time.NewTimer(minAskInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
		return
	case <-s.urgent:
	}
	signal(s.urgent) // for Run
	t.Reset(urgentInterval)
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ask asks the pool once.
func (s *Service) ask(ctx context.Context) {
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	defer s.announce(func() { s.done = s.begun })
	now := time.Now()
	n := s.divide(now)
	s.ledger.SetInstances(n)
	if n > maxPooled {
		return // each instance uses its own fraction
	}
	pool, lenders := s.members.pools(now)
	if pool == nil {
		return
	}
	if old := s.ledger.Pledged(now); old != "" && old != pool.ID {
		s.withdraw(ctx, old)
	}
	asked := time.Now()
	a := s.ledger.NewAsk(pool.ID, s.set(), asked)
	answer := s.send(ctx, pool, a, asked)
	if a.Echo.Pool == "" {
		asked = time.Now()
		a = s.ledger.NewAsk(pool.ID, s.set(), asked) // the first question cannot pledge
		answer = s.send(ctx, pool, a, asked)
	}
	for i, b := range s.ledger.NewBorrows(a, answer, len(lenders), time.Now()) {
		s.borrow(ctx, lenders[i], b)
	}
}

// announce wakes the calls that wait for an answer, after change.
func (s *Service) announce(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// borrow asks the pool of another region for credit, beside the questions to the own
// one.
func (s *Service) borrow(ctx context.Context, from *member.Record, a Ask) {
	s.mu.Lock()
	s.lending++
	s.mu.Unlock()
	asked := time.Now()
	s.loans.Go(func() error {
		s.send(ctx, from, a, asked)
		s.announce(func() { s.lending--; s.borrowed++ })
		return nil
	})
}

// withdraw tells a pool that the pledge moves to another one. If it does not answer,
// the pledge binds until it ends.
func (s *Service) withdraw(ctx context.Context, id string) {
	if r := s.opts.View.Lookup(id); r != nil && r.Live() {
		s.send(ctx, r, s.ledger.NewWithdrawal(), time.Now())
	}
}

// send sends one question, made at the time asked, and applies the answer, which it
// returns; the zero value if there is none.
func (s *Service) send(ctx context.Context, to *member.Record, a Ask, asked time.Time) Answer {
	answer, err := s.call(ctx, to, a)
	switch {
	case err != nil:
		s.members.markFailed(to.ID, time.Now())
		s.metrics.asksFailed.Inc()
		if a.Borrow {
			s.ledger.Unanswered(a, time.Now())
		}
		return Answer{}
	case answer.Closed:
		s.members.markFailed(to.ID, time.Now())
		s.wakeUp() // the next pool can be asked at once
	}
	s.metrics.asksAnswered.Inc()
	s.ledger.Apply(a, answer, asked, time.Now())
	return answer
}

// call sends a question to a node. It returns a PeerUnavailable error if it is not
// answered.
func (s *Service) call(ctx context.Context, to *member.Record, a Ask) (Answer, error) {
	if to.ID == s.opts.View.Self().ID {
		return s.answer(a), nil
	}
	cc, err := s.opts.Connect(to.PeerAddr, peer.Place{Region: to.Region, FailureDomain: to.FailureDomain})
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	out, err := peerpb.NewQuotaClient(cc).Ask(ctx, a.toProto())
	if err != nil {
		return Answer{}, errdefs.PeerUnavailable.Wrap(err, "ask the quota pool of %q", to.ID)
	}
	return answerFromProto(out, to.ID), nil
}
