// Package spread distributes configuration versions to every node: each failure
// domain pushes along a tree, each other region receives one transfer,
// comparisons between nodes (anti-entropy) repair missed pushes, some relays
// watch the store, and a starting node recovers the version from its peers.
//
// A version is in force on a node once its snapshot.Current holds it. Safety
// never depends on ranks, membership or timing: every version is applied
// through snapshot.Current, which refuses a version that is not newer.
package spread

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/queue"
	"siskingw/snapshot"
)

const (
	// takeoverTimeout is how long a node waits for another one before it does
	// that node's work itself.
	takeoverTimeout = 300 * time.Millisecond
	// callTimeout bounds every call to a peer except snapshot transfers.
	callTimeout = 2 * time.Second
	// maxPushBytes is the most delta bytes that one offer carries. A larger
	// change is only announced, and the receiver fetches it.
	maxPushBytes = 64 << 10
	// maxTransfers is the number of snapshots that a node sends concurrently.
	maxTransfers = 4
	// maxQueuedPulls bounds the queue of versions to fetch. The oldest ones are
	// dropped first; the next heartbeat or comparison queues them again.
	maxQueuedPulls = 32
	// defaultCompareInterval is the period of version comparisons between relays.
	defaultCompareInterval = 2 * time.Second
)

// Options configures a Node. View, Current and Transport are required.
type Options struct {
	View        member.View
	Current     *snapshot.Current
	Transport   Transport
	Source      Source // the platform's store; nil for a node that never reads it
	StoreRegion string // region of the store
	Readers     ReaderOptions
	Seeds       []Peer // nodes from the settings to query at start
	// SeedHints returns further nodes to query at start. It may be nil.
	SeedHints func(ctx context.Context) []Peer
	Log       logr.Logger
	Metrics   *metrics.Set // nil selects a new set
	// CrossStep is the stagger between starting nodes that fetch a version from
	// outside their failure domain. The default is 1 s.
	CrossStep time.Duration
	// CompareInterval is the period of version comparisons between relays; a
	// negative value disables them. The default is 2 s.
	CompareInterval time.Duration
}

// Node distributes versions. Its methods are safe for concurrent use.
type Node struct {
	opts    Options
	view    member.View
	current *snapshot.Current
	log     logr.Logger
	stats   stats

	ctx    context.Context
	cancel context.CancelFunc
	tasks  tasks

	mu               sync.Mutex // serializes changes of current
	forwardedVersion uint64     // highest version passed to forward

	history          history
	remoteVersion    atomic.Uint64 // highest known version that was introduced in another region
	pushStates       pushStates
	pending          pendingGroups
	pullQueue        *queue.Queue[pullTask]
	transfers        chan struct{}
	recentRecipients recipients
	recovery         recovery
	lastCompared     regionTimes
	regionAcks       regionAcks
	started          time.Time
	loadingVersion   atomic.Uint64 // highest version that is being loaded from the store; 0 for none
	storeVersion     atomic.Uint64 // highest version in the store that this node has read; 0 for none
	storeContactMs   atomic.Int64  // monotonicMs of the last known contact with the store's region; 0 for never
	lost             lostReaders
	storeLost        atomic.Bool  // this node watches the store and has lost it
	ownContactMs     atomic.Int64 // monotonicMs of the last answer of the store to this node
	cachedTopology   atomic.Pointer[cachedTopology]
}

type cachedTopology struct {
	generation uint64
	topology   topology
}

// New returns a node whose handlers can be called at once. Run starts its
// background work.
func New(opts Options) *Node {
	opts.Readers = opts.Readers.withDefaults()
	if opts.CrossStep == 0 {
		opts.CrossStep = defaultCrossStep
	}
	if opts.CompareInterval == 0 {
		opts.CompareInterval = defaultCompareInterval
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Log.GetSink() == nil {
		opts.Log = logr.Discard()
	}
	n := &Node{
		opts: opts, view: opts.View, current: opts.Current, log: opts.Log, stats: newStats(opts.Metrics),
		pullQueue: queue.New[pullTask](maxQueuedPulls, queue.DropOldest),
		transfers: make(chan struct{}, maxTransfers),
		started:   time.Now(),
	}
	opts.Metrics.GetOrCreateGauge("siskingw_spread_version", func() float64 { return float64(n.current.Version()) })
	opts.Metrics.GetOrCreateGauge("siskingw_spread_store_version", func() float64 { return float64(n.storeVersion.Load()) })
	n.recovery.wake = make(chan struct{}, 1)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Run recovers the version in force from peers or the store and then
// distributes versions until ctx ends. It returns nil and can be called once.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, n.cancel)
	defer stop()
	n.tasks.spawn(n.runPuller)
	n.tasks.spawn(n.runRecovery)
	if n.opts.CompareInterval > 0 {
		n.tasks.spawn(n.runComparer)
	}
	if n.opts.Source != nil {
		n.tasks.spawn(n.runStoreReader)
		if n.opts.Readers.Count > 0 {
			n.tasks.spawn(n.runFirstRead)
			n.tasks.spawn(n.runContactReporter)
		}
	}
	<-n.ctx.Done()
	n.tasks.close()
	return nil
}

// maxAgeMs bounds the ages in ms that nodes send each other, about 12 days.
const maxAgeMs = 1 << 30

// monotonicMs returns a positive, monotonic time in ms. With the wall clock, a
// step back would make the last contact with the store's region look recent for
// as long as the step, and no node would watch the store meanwhile.
func (n *Node) monotonicMs() int64 { return 2*maxAgeMs + time.Since(n.started).Milliseconds() }

// Ready reports whether a version is in force.
func (n *Node) Ready() bool { return n.current.Version() > 0 }

// Offer puts a version that was accepted at this node in force and distributes
// it. d is the delta to next; it is nil for the first version.
func (n *Node) Offer(next *snapshot.Snapshot, d *snapshot.Delta) {
	n.applyPublished(next, d, "accepted here")
}

// applyPublished puts a version from the store in force and distributes it. The
// store's head is the highest version that exists, so recovery is finished.
func (n *Node) applyPublished(next *snapshot.Snapshot, d *snapshot.Delta, source string) {
	var entries []encodedDelta
	if d != nil {
		data, err := snapshot.EncodeDelta(d)
		if err != nil {
			n.log.Error(err, "cannot encode delta; announcing the version instead", "version", next.Version())
		} else {
			entries = append(entries, newEncodedDelta(d, data))
		}
	}
	n.recovery.finish()
	n.mu.Lock()
	defer n.mu.Unlock()
	// The acceptor may have advanced the shared Current itself.
	if err := n.current.Advance(next); err != nil && !errorx.IsOfType(err, errdefs.Stale) {
		n.stats.countRefused(err)
		n.log.Error(err, "cannot apply version", "version", next.Version(), "how", source)
		return
	}
	n.history.add(entries...)
	if next.Version() <= n.forwardedVersion {
		return
	}
	n.forwardedVersion = next.Version()
	n.forward(offerInfo{origin: n.view.Self().Region, isNew: true, introducedHere: true})
}

// applyAndForward puts next in force and forwards it. It returns a Stale error
// if next is not newer. The caller holds n.mu.
func (n *Node) applyAndForward(next *snapshot.Snapshot, entries []encodedDelta, info offerInfo) error {
	if err := n.current.Advance(next); err != nil {
		return err
	}
	n.history.add(entries...)
	n.forwardedVersion = max(n.forwardedVersion, next.Version())
	if info.origin != n.view.Self().Region {
		n.remoteVersion.Store(next.Version())
	}
	n.forward(info)
	return nil
}

// topology returns the current topology. It is computed once for each
// generation of the view.
func (n *Node) topology() *topology {
	g := n.view.Generation()
	if c := n.cachedTopology.Load(); c != nil && c.generation == g {
		return &c.topology
	}
	c := &cachedTopology{generation: g, topology: topologyOf(n.view)}
	n.cachedTopology.Store(c)
	return &c.topology
}

// peerByID returns the address of a member, or false if the view does not
// contain it.
func (n *Node) peerByID(id string) (Peer, bool) {
	r := n.view.Lookup(id)
	if r == nil || r.PeerAddr == "" {
		return Peer{}, false
	}
	return PeerOf(r), true
}

// withLocalTimeout returns a context that ends with ctx or after d. It has no
// deadline, because gRPC would send a deadline to the peer with every call,
// which costs about 20 bytes on a metered link.
func withLocalTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(d, cancel)
	return ctx, func() { t.Stop(); cancel() }
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// tasks tracks the goroutines of a node.
type tasks struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// spawn runs f in a goroutine unless the tasks are closed.
func (t *tasks) spawn(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

// close waits for every goroutine and prevents new ones.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}
