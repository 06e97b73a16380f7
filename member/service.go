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
	"siskingw/queue"
	"siskingw/snapshot"
)

// Defaults of Options.
const (
	defaultHeartbeat      = time.Second
	defaultProbeTimeout   = 500 * time.Millisecond
	defaultSuspectTimeout = 5 * time.Second
	defaultBatchDelay     = 100 * time.Millisecond
	// defaultBytesPerSecond (bytes/s) leaves room for anti-entropy, heartbeats
	// and status reports within a node's 6 KB/s.
	defaultBytesPerSecond = 3584
	// defaultBurstBytes (bytes) lets the restart of a whole failure domain of
	// 2,222 nodes reach a few tree children without pacing.
	defaultBurstBytes = 512 << 10
	// defaultJoinTimeout is enough to transfer the records of 20,000 members.
	defaultJoinTimeout = 2 * time.Second
	// urgentDelay batches the records of one departure without holding them up.
	urgentDelay = 20 * time.Millisecond
	// changeQueueLength limits the number of merges whose suspicions the
	// detector has not processed yet.
	changeQueueLength = 256
)

// Summary is the state that two nodes compare with each heartbeat.
type Summary struct {
	Version     uint64          // configuration version in force, 0 for none
	Digest      snapshot.Digest // digest of the snapshot in force
	MembersRoot uint64          // set by the service; a LocalSummary function leaves it 0
}

// Seed is the address of a node to join through. Any node may serve as a seed.
// Place may be empty when it is unknown.
type Seed struct {
	Addr  string // host:port of the gRPC listener
	Place peer.Place
}

// Options configures a Service. Connect is required.
type Options struct {
	// Connect returns a connection to a node, as peer.Pool.Conn does.
	Connect func(addr string, place peer.Place) (grpc.ClientConnInterface, error)
	// LocalSummary returns the version and digest in force on this node. The
	// default returns the zero Summary.
	LocalSummary func() Summary
	// OnSummary is called with the summary of each live member that this node
	// probed or that probed this node. It must return quickly. It may be nil.
	OnSummary func(from *Record, s Summary)

	Seeds []Seed
	// FallbackSeeds returns further seeds in a join round in which no seed
	// answered. It may be nil.
	FallbackSeeds  func(ctx context.Context) []Seed
	Clock          clockwork.Clock // default: the real clock
	Log            logr.Logger
	Heartbeat      time.Duration // interval between probes, default 1 s
	ProbeTimeout   time.Duration // time until indirect probes start, default 500 ms, at most half of Heartbeat
	SuspectTimeout time.Duration // time from Suspect to Dead, default 5 s
	BatchDelay     time.Duration // how long changed records are batched, default 100 ms
	ByteRate       int           // budget for pushed records in bytes/s, default 3,584 bytes/s
	ByteBurst      int           // burst of that budget in bytes, default 512 KiB
	JoinTimeout    time.Duration // timeout of one join attempt, default 2 s
	JoinStagger    time.Duration // delay before a join asks a further node, default JoinTimeout
}

func (o Options) withDefaults() Options {
	setDefault(&o.Heartbeat, defaultHeartbeat)
	setDefault(&o.ProbeTimeout, min(defaultProbeTimeout, o.Heartbeat/2))
	setDefault(&o.SuspectTimeout, defaultSuspectTimeout)
	setDefault(&o.BatchDelay, defaultBatchDelay)
	setDefault(&o.ByteRate, defaultBytesPerSecond)
	setDefault(&o.ByteBurst, defaultBurstBytes)
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

// Service keeps a directory up to date: it probes members, disseminates changed
// records, runs anti-entropy with peers, and serves the corresponding RPCs.
type Service struct {
	peerpb.UnimplementedMembershipServer

	dir         *Directory
	opts        Options
	clock       clockwork.Clock
	detector    *detector // used only by the goroutine of probeLoop
	contact     contact
	changes     *queue.Queue[[]*Record]
	activeJoins atomic.Int64  // joins being served
	joined      chan struct{} // closed when a full set of records was received
	answered    chan struct{} // closed when another node has answered a join

	syncLimiter *rate.Limiter

	mu               sync.Mutex
	sendQueue        *sendQueue
	noteTimes        noteTimes
	downgradedDeaths map[string]downgradedDeath
	lastChange       time.Time
	lastSync         time.Time
	joinedOnce       sync.Once
	answeredOnce     sync.Once
	wake             chan struct{} // signals the dissemination loop that records are queued
	wakeUrgent       chan struct{} // signals that some of them are urgent
}

// NewService returns a service that maintains the directory.
func NewService(dir *Directory, opts Options) *Service {
	opts = opts.withDefaults()
	s := &Service{
		dir: dir, opts: opts, clock: opts.Clock,
		detector:         newDetector(dir, opts.Heartbeat, opts.SuspectTimeout, newRand()),
		changes:          queue.New[[]*Record](changeQueueLength, queue.DropOldest),
		joined:           make(chan struct{}),
		answered:         make(chan struct{}),
		sendQueue:        newSendQueue(dir, opts.ByteRate, opts.ByteBurst),
		downgradedDeaths: make(map[string]downgradedDeath),
		wake:             make(chan struct{}, 1),

		syncLimiter: rate.NewLimiter(syncBytesPerSecond, syncBurstBytes),
		wakeUrgent:  make(chan struct{}, 1),
	}
	dir.OnChange(s.onChange)
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Register adds the service to a gRPC server.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterMembershipServer(r, joinServer{s})
}

// Run probes, disseminates, synchronizes and joins until ctx ends. It always
// returns nil.
func (s *Service) Run(ctx context.Context) error {
	var g errgroup.Group
	for _, loop := range []func(context.Context){s.probeLoop, s.disseminateLoop, s.relayLoop, s.joinLoop} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	return g.Wait()
}

// Answered returns a channel that is closed when the first other node has answered
// a join. This node then knows what that node knew about its earlier processes.
func (s *Service) Answered() <-chan struct{} { return s.answered }

// Drain announces that this node's target takes no new calls. It returns when
// the relays of its failure domain have received that or ctx ends.
//
//siskingw:step drain
func (s *Service) Drain(ctx context.Context) { s.announce(ctx, Draining) }

// Leave announces that this process is ending. It returns when the relays of
// its failure domain have received that or ctx ends.
//
//siskingw:step leave
func (s *Service) Leave(ctx context.Context) { s.announce(ctx, Left) }

// announce changes this node's state and pushes it directly to every relay.
func (s *Service) announce(ctx context.Context, state State) {
	self := s.dir.UpdateSelf(func(r *Record) { r.State = state })
	var g errgroup.Group
	for _, r := range Relays(s.dir, self.FailureDomain) {
		if r.ID == self.ID {
			continue
		}
		g.Go(func() error {
			_, err := s.push(ctx, r, pushRequest{edge: edge{kind: edgeUp}, records: []*Record{self}})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		s.opts.Log.V(1).Info("relay did not accept the state of this node",
			"state", state.String(), "error", err.Error())
	}
}

// onChange processes every change of the directory. Changes of this node's own
// record are disseminated from here because several callers make them.
func (s *Service) onChange(changed []*Record) {
	_ = s.changes.Push(context.Background(), changed) // never fails with DropOldest
	s.mu.Lock()
	s.lastChange = s.clock.Now()
	s.mu.Unlock()
	for _, r := range changed {
		if r.ID == s.dir.Self().ID {
			s.disseminate([]*Record{r}, origin{local: true})
		}
	}
}

// apply merges records, disseminates those of other nodes that changed, and
// returns all that changed. onChange disseminates this node's own record.
func (s *Service) apply(records []Record, o origin) []*Record {
	if len(records) == 0 {
		return nil
	}
	if !o.local {
		s.downgradeDeaths(records)
	}
	changed := s.dir.Merge(records)
	changedRemote := make([]*Record, 0, len(changed))
	for _, r := range changed {
		if r.ID != s.dir.Self().ID {
			changedRemote = append(changedRemote, r)
		}
	}
	s.disseminate(changedRemote, o)
	s.returnStatements(records)
	return changed
}

// downgradedDeath is a Dead record that was merged as Suspect.
type downgradedDeath struct {
	incarnation, sequence uint64
	at                    time.Time
}

// downgradeDeaths turns Dead into Suspect for members of the local failure
// domain that this node holds as alive. After a partition each half declares
// the other one dead; the members then have time to refute that before they are
// dropped. The same Dead record is accepted when it arrives again after the
// suspect timeout.
func (s *Service) downgradeDeaths(records []Record) {
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
		known, ok := s.downgradedDeaths[r.ID]
		if ok && known.incarnation == r.Incarnation && known.sequence == r.Sequence &&
			now.Sub(known.at) >= s.opts.SuspectTimeout {
			delete(s.downgradedDeaths, r.ID)
			continue
		}
		if !ok || known.incarnation != r.Incarnation || known.sequence != r.Sequence {
			s.downgradedDeaths[r.ID] = downgradedDeath{r.Incarnation, r.Sequence, now}
		}
		r.State, r.DepartedMs = Suspect, 0
	}
	for id, k := range s.downgradedDeaths {
		if now.Sub(k.at) > 2*s.opts.SuspectTimeout {
			delete(s.downgradedDeaths, id)
		}
	}
}

// disseminate queues records for the edges that follow from their origin.
func (s *Service) disseminate(records []*Record, o origin) {
	if len(records) == 0 {
		return
	}
	edges := edgesFor(s.dir, o)
	s.mu.Lock()
	s.sendQueue.add(edges, records)
	s.mu.Unlock()
	signal(s.wake)
	if anyUrgent(records) {
		signal(s.wakeUrgent)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
