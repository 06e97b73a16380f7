package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/ring"
	"siskingw/snapshot"
)

// Defaults of Options.
const (
	defaultHeartbeat      = time.Second
	defaultProbeTimeout   = 500 * time.Millisecond
	defaultSuspectTimeout = 5 * time.Second
	defaultBatchDelay     = 100 * time.Millisecond
	// defaultByteRate leaves room for comparisons, heartbeats and status
	// reports within a node's 6 KB/s.
	defaultByteRate = 3584
	// defaultByteBurst lets the restart of a whole failure domain of 2,222 nodes
	// through at once to a few tree children.
	defaultByteBurst = 512 << 10
	// defaultJoinTimeout is enough for the records of 20,000 members.
	defaultJoinTimeout = 2 * time.Second
	// urgentDelay collects the records of one departure without holding it up.
	urgentDelay = 20 * time.Millisecond
	// changeQueue bounds the merges whose suspicions the detector has not seen.
	changeQueue = 256
)

// Summary is what two nodes compare with each heartbeat.
type Summary struct {
	Version     uint64          // configuration version in force, 0 for none
	Digest      snapshot.Digest // of the snapshot in force
	MembersRoot uint64          // set by the service
}

// Seed is an address to join through. A seed may be any node; Place may be
// empty when it is not known.
type Seed struct {
	Addr  string
	Place peer.Place
}

// Options configures a Service. Connect is required.
type Options struct {
	// Connect returns a connection to a node, as peer.Pool.Conn does.
	Connect func(addr string, place peer.Place) (grpc.ClientConnInterface, error)
	// LocalSummary returns the version and digest in force on this node.
	LocalSummary func() Summary
	// OnSummary is called with the summary of each live member that this node
	// probed or was probed by. It must return quickly.
	OnSummary func(from *Record, s Summary)

	Seeds []Seed
	// MoreSeeds is called in a round of joining in which no seed answered. It
	// may be nil.
	MoreSeeds      func(ctx context.Context) []Seed
	Clock          clockwork.Clock // default: the real clock
	Log            logr.Logger
	Heartbeat      time.Duration // between probes, default 1 s
	ProbeTimeout   time.Duration // until indirect probes start, default 500 ms
	SuspectTimeout time.Duration // from Suspect to Dead, default 5 s
	BatchDelay     time.Duration // how long changed records are collected, default 100 ms
	ByteRate       int           // budget for records, in bytes/s, default 3,584 bytes/s
	ByteBurst      int           // budget that may be used at once, in bytes, default 512 KiB
	JoinTimeout    time.Duration // bound of one join, default 2 s
	JoinStagger    time.Duration // after which a join asks a further node, default JoinTimeout
}

func (o Options) withDefaults() Options {
	setDefault(&o.Heartbeat, defaultHeartbeat)
	setDefault(&o.ProbeTimeout, min(defaultProbeTimeout, o.Heartbeat/2))
	setDefault(&o.SuspectTimeout, defaultSuspectTimeout)
	setDefault(&o.BatchDelay, defaultBatchDelay)
	setDefault(&o.ByteRate, defaultByteRate)
	setDefault(&o.ByteBurst, defaultByteBurst)
	setDefault(&o.JoinTimeout, defaultJoinTimeout)
	setDefault(&o.JoinStagger, o.JoinTimeout)
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.LocalSummary == nil {
		o.LocalSummary = func() Summary { return Summary{} }
	}
	if o.OnSummary == nil {
		o.OnSummary = func(*Record, Summary) {}
	}
	return o
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Service keeps a directory up to date: it probes, spreads and compares
// records and serves the same to others.
type Service struct {
	peerpb.UnimplementedMembershipServer

	dir      *Directory
	opts     Options
	clock    clockwork.Clock
	detector *detector // used by the goroutine of probeLoop only
	changes  *ring.Ring[[]*Record]
	joins    atomic.Int64  // that are served
	complete chan struct{} // closed when a full set of records was received

	compareLimit *rate.Limiter

	mu           sync.Mutex
	outbox       *outbox
	notes        notes
	softened     map[string]softening
	lastChange   time.Time
	lastSync     time.Time
	completeOnce sync.Once
	wake         chan struct{} // the disseminator has new records
	hurry        chan struct{} // and some of them are urgent
}

// NewService returns a service for the directory.
func NewService(dir *Directory, opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		dir: dir, opts: opts, clock: opts.Clock,
		detector: newDetector(dir, opts.Heartbeat, opts.SuspectTimeout, newRand()),
		changes:  ring.New[[]*Record](changeQueue, ring.DropOldest),
		complete: make(chan struct{}),
		outbox:   newOutbox(dir, opts.ByteRate, opts.ByteBurst),
		softened: make(map[string]softening),
		wake:     make(chan struct{}, 1),

		compareLimit: rate.NewLimiter(compareRate, compareBurst),
		hurry:        make(chan struct{}, 1),
	}
	dir.OnChange(s.onChange)
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Register adds the service to a gRPC server.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterMembershipServer(r, joinServer{s})
}

// Run probes, spreads and compares records until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, loop := range []func(context.Context){s.probeLoop, s.spreadLoop, s.relayLoop, s.joinLoop} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// Joined is closed when this node has received a full set of records.
func (s *Service) Joined() <-chan struct{} { return s.complete }

// Drain states that this node's target leaves and returns when the relays of
// its failure domain have the statement or ctx ends.
//
//siskingw:step drain
func (s *Service) Drain(ctx context.Context) { s.announce(ctx, Draining) }

// Leave states that this process ends and returns when the relays of its
// failure domain have the statement or ctx ends.
//
//siskingw:step leave
func (s *Service) Leave(ctx context.Context) { s.announce(ctx, Left) }

// announce changes the own state and sends it directly to every relay.
func (s *Service) announce(ctx context.Context, state State) {
	self := s.dir.UpdateSelf(func(r *Record) { r.State = state })
	var g errgroup.Group
	for _, r := range Relays(s.dir, self.FailureDomain) {
		if r.ID == self.ID {
			continue
		}
		g.Go(func() error {
			_, err := s.push(ctx, r, pushRequest{lane: lane{kind: laneUp}, records: []*Record{self}})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.opts.Log.V(1).Info("a relay did not take the own state", "state", state.String(), "error", err.Error())
	}
}

// onChange notes every change of the directory. Changes of the own record are
// spread from here, because several parties make them.
func (s *Service) onChange(changed []*Record) {
	_ = s.changes.Push(context.Background(), changed) // DropOldest never fails
	s.mu.Lock()
	s.lastChange = s.clock.Now()
	s.mu.Unlock()
	for _, r := range changed {
		if r.ID == s.dir.Self().ID {
			s.spread([]*Record{r}, origin{local: true})
		}
	}
}

// apply merges records and spreads those that changed.
func (s *Service) apply(records []Record, o origin) []*Record {
	if len(records) == 0 {
		return nil
	}
	if !o.local {
		s.soften(records)
	}
	changed := s.dir.Merge(records)
	others := make([]*Record, 0, len(changed))
	for _, r := range changed {
		if r.ID != s.dir.Self().ID {
			others = append(others, r)
		}
	}
	s.spread(others, o)
	return changed
}

// softening is a Dead statement that was taken as Suspect.
type softening struct {
	incarnation, sequence uint64
	at                    time.Time
}

// soften takes Dead as Suspect for members of the own failure domain that this
// node holds as alive. After a partition each half calls the other one dead;
// the members then have time to refute it before anyone drops them. The same
// statement is accepted when it comes again later.
func (s *Service) soften(records []Record) {
	now := s.clock.Now()
	self := s.dir.Self()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		r := &records[i]
		if r.State != Dead || r.FailureDomain != self.FailureDomain || r.ID == self.ID {
			continue
		}
		old := s.dir.Lookup(r.ID)
		if old == nil || !old.Live() || old.State == Suspect || !r.Supersedes(old) {
			continue
		}
		known, ok := s.softened[r.ID]
		if ok && known.incarnation == r.Incarnation && known.sequence == r.Sequence && now.Sub(known.at) >= s.opts.SuspectTimeout {
			delete(s.softened, r.ID)
			continue
		}
		if !ok || known.incarnation != r.Incarnation || known.sequence != r.Sequence {
			s.softened[r.ID] = softening{r.Incarnation, r.Sequence, now}
		}
		r.State, r.DepartedMs = Suspect, 0
	}
	for id, k := range s.softened {
		if now.Sub(k.at) > 2*s.opts.SuspectTimeout {
			delete(s.softened, id)
		}
	}
}

// spread queues records for the edges that their origin asks for.
func (s *Service) spread(records []*Record, o origin) {
	if len(records) == 0 {
		return
	}
	lanes := lanesFor(s.dir, o)
	s.mu.Lock()
	s.outbox.add(lanes, records)
	s.mu.Unlock()
	signal(s.wake)
	if urgent(records) {
		signal(s.hurry)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
