package publish

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/queue"
	"siskingw/snapshot"
	"siskingw/store"
)

// Defaults of Options.
const (
	defaultBatchWindow  = 20 * time.Millisecond
	defaultBatchTimeout = 10 * time.Second
	defaultQueueLength  = 256
)

// maxBatch limits the requests of one version to the operations that the head
// can list.
const maxBatch = maxHeadOperations

// Options configures an Acceptor.
type Options struct {
	// OnPublish is called with each version that this node published, in order.
	// It must return quickly. It is not called for a version whose store
	// response was lost and which only a later request finds in the store;
	// store readers learn of that version by watching the head.
	OnPublish    func(next *snapshot.Snapshot, d *snapshot.Delta)
	Log          logr.Logger
	Clock        clockwork.Clock // default: the real clock
	BatchWindow  time.Duration   // time to collect requests that share one head swap, default 20 ms
	BatchTimeout time.Duration   // timeout of all store calls of one batch, default 10 s
	QueueLength  int             // queued requests, default 256; Apply returns a Busy error when full
}

func (o Options) withDefaults() Options {
	if o.OnPublish == nil {
		o.OnPublish = func(*snapshot.Snapshot, *snapshot.Delta) {}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.BatchWindow == 0 {
		o.BatchWindow = defaultBatchWindow
	}
	if o.BatchTimeout == 0 {
		o.BatchTimeout = defaultBatchTimeout
	}
	if o.QueueLength == 0 {
		o.QueueLength = defaultQueueLength
	}
	return o
}

// Acceptor validates operators' requests and publishes them as versions. Any
// number of acceptors may use the same store concurrently.
type Acceptor struct {
	store        store.Store
	reader       *Reader
	cur          *snapshot.Current
	opts         Options
	queue        *queue.Queue[*pendingRequest]
	stopped      chan struct{}
	stopOnce     sync.Once
	lastSnapshot *snapshot.Snapshot // latest base or published snapshot; used only by Run
}

// pendingRequest is a request whose outcome is not known yet.
type pendingRequest struct {
	Request
	done chan outcome // has capacity 1, so that Run never blocks
}

type outcome struct {
	result Result
	err    error
}

// NewAcceptor returns an acceptor for the store. cur saves reads of the base
// version from the store; it may hold an older version or none. Run must be
// called to process the requests of Apply.
func NewAcceptor(st store.Store, cur *snapshot.Current, opts Options) *Acceptor {
	opts = opts.withDefaults()
	return &Acceptor{
		store: st, reader: NewReader(st), cur: cur, opts: opts,
		queue:   queue.New[*pendingRequest](opts.QueueLength, queue.Reject),
		stopped: make(chan struct{}),
	}
}

// Apply publishes the request and returns the version that contains its
// changes.
//
// It returns an Invalid error (object.FaultsOf lists the faults), a Conflict
// error (ConflictsOf lists the objects), NotFound for the deletion of an absent
// object, and Busy, StoreUnavailable or Stopped when the request certainly had
// no effect. After StoreUnknown the request may or may not have taken effect;
// it can be retried safely with the same operation id.
func (a *Acceptor) Apply(ctx context.Context, req Request) (Result, error) {
	if err := req.validate(); err != nil {
		return Result{}, err
	}
	p := &pendingRequest{Request: req, done: make(chan outcome, 1)}
	if err := a.queue.Push(ctx, p); err != nil {
		return Result{}, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return Result{}, errdefs.StoreUnknown.Wrap(ctx.Err(),
			"operation %s was not confirmed before the deadline", req.OperationID)
	case <-a.stopped:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return Result{}, errdefs.Stopped.New("operation %s was not started: the acceptor has stopped", req.OperationID)
	}
}

// Run publishes queued requests until ctx is done and returns nil. It must be
// called at most once.
func (a *Acceptor) Run(ctx context.Context) error {
	defer a.stopOnce.Do(func() { close(a.stopped) })
	for {
		requests := a.collectBatch(ctx)
		for len(requests) > 0 {
			requests = a.publishBatch(ctx, requests)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// collectBatch waits for a request and returns it with those that arrive within
// the batch window. It returns nil when ctx is done first.
func (a *Acceptor) collectBatch(ctx context.Context) []*pendingRequest {
	var requests []*pendingRequest
	select {
	case p := <-a.queue.C():
		requests = append(requests, p)
	case <-ctx.Done():
		return nil
	}
	window := a.opts.Clock.NewTimer(a.opts.BatchWindow)
	defer window.Stop()
	for len(requests) < maxBatch {
		select {
		case p := <-a.queue.C():
			requests = append(requests, p)
		case <-window.Chan():
			return requests
		case <-ctx.Done():
			return requests
		}
	}
	return requests
}

// publishBatch delivers an outcome to the requests of one batch and returns
// those that must wait for the next version.
func (a *Acceptor) publishBatch(ctx context.Context, requests []*pendingRequest) (deferred []*pendingRequest) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.BatchTimeout)
	defer cancel()
	b := &batch{acceptor: a, requests: requests}
	retry := newBackOff()
	for {
		err := b.try(ctx)
		if err == nil {
			return b.deliverOutcomes()
		}
		if !errorx.IsOfType(err, errHeadChanged) {
			b.failAll(err)
			return nil
		}
		a.opts.Log.V(1).Info("retrying head swap", "reason", err.Error())
		select {
		case <-a.opts.Clock.After(retry.NextBackOff()):
		case <-ctx.Done():
			b.failAll(errdefs.StoreUnavailable.Wrap(err, "no version was published within %s", a.opts.BatchTimeout))
			return nil
		}
	}
}

// History returns the operations of at most limit versions, latest first. The
// store retains at least the latest 64 versions.
func (a *Acceptor) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	return a.reader.History(ctx, limit)
}

// HistoryEntry lists the operations of one version in the history.
type HistoryEntry struct {
	Version    uint64      `json:"version"`
	Operations []Operation `json:"operations"`
}

// History returns the operations of at most limit versions, latest first. It
// returns nil before the first version.
func (r *Reader) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	h, _, err := r.Head(ctx)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return nil, nil
	}
	if err != nil || limit <= 0 {
		return nil, err
	}
	var entries []HistoryEntry
	_, err = r.walkCommits(ctx, h, func(_ snapshot.Digest, c *Commit) bool {
		entries = append(entries, HistoryEntry{Version: c.Version, Operations: c.Operations})
		return len(entries) < limit
	})
	return entries, err
}
