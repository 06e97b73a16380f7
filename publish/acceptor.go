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

// maxBatch bounds the requests of one version to what the head can list.
const maxBatch = maxHeadOperations

// Options configures an Acceptor.
type Options struct {
	// OnAccept receives each version that this node published, in order. It
	// must return quickly. A version whose answer was lost and that is
	// settled only by a later request is not reported here; store readers
	// find it by watching the head.
	OnAccept     func(next *snapshot.Snapshot, d *snapshot.Delta)
	Log          logr.Logger
	Clock        clockwork.Clock // default: the real clock
	BatchWindow  time.Duration   // requests within it share one head swap, default 20 ms
	BatchTimeout time.Duration   // bounds the store calls of one batch, default 10 s
	QueueLength  int             // requests that wait, default 256; more are refused with Busy
}

func (o Options) withDefaults() Options {
	if o.OnAccept == nil {
		o.OnAccept = func(*snapshot.Snapshot, *snapshot.Delta) {}
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
// number of acceptors may work on the same store.
type Acceptor struct {
	st      store.Store
	reader  *Reader
	cur     *snapshot.Current
	opts    Options
	queue   *queue.Queue[*pending]
	stopped chan struct{}
	stop    sync.Once
	last    *snapshot.Snapshot // latest base or result; owned by Run
}

// pending is one request that waits for its outcome.
type pending struct {
	Request
	done chan outcome // holds one element, so that Run never blocks
}

type outcome struct {
	result Result
	err    error
}

// NewAcceptor returns an acceptor. cur serves as a local copy of the base
// version and may be behind or empty. Run must be called for Apply to work.
func NewAcceptor(st store.Store, cur *snapshot.Current, opts Options) *Acceptor {
	opts = opts.withDefaults()
	return &Acceptor{
		st: st, reader: NewReader(st), cur: cur, opts: opts,
		queue:   queue.New[*pending](opts.QueueLength, queue.Reject),
		stopped: make(chan struct{}),
	}
}

// Apply publishes the request and returns the version that contains it.
//
// Errors: Invalid (object.FaultsOf lists the faults), Conflict (ConflictsOf
// lists the objects), NotFound for the deletion of an absent object, Busy,
// StoreUnavailable and Stopped when the request certainly had no effect, and
// StoreUnknown when its outcome is not known; the caller then repeats it with
// the same operation id.
func (a *Acceptor) Apply(ctx context.Context, req Request) (Result, error) {
	if err := req.check(); err != nil {
		return Result{}, err
	}
	p := &pending{Request: req, done: make(chan outcome, 1)}
	if err := a.queue.Push(ctx, p); err != nil {
		return Result{}, err
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return Result{}, errdefs.StoreUnknown.Wrap(ctx.Err(), "operation %s was not confirmed in time", req.OperationID)
	case <-a.stopped:
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return Result{}, errdefs.Stopped.New("operation %s was not started: the acceptor has stopped", req.OperationID)
	}
}

// Run publishes requests until ctx ends. It must be called once.
func (a *Acceptor) Run(ctx context.Context) error {
	defer a.stop.Do(func() { close(a.stopped) })
	for {
		batch := a.collect(ctx)
		for len(batch) > 0 {
			batch = a.publish(ctx, batch)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// collect waits for a request and adds those that arrive within the window.
func (a *Acceptor) collect(ctx context.Context) []*pending {
	var batch []*pending
	select {
	case p := <-a.queue.C():
		batch = append(batch, p)
	case <-ctx.Done():
		return nil
	}
	window := a.opts.Clock.NewTimer(a.opts.BatchWindow)
	defer window.Stop()
	for len(batch) < maxBatch {
		select {
		case p := <-a.queue.C():
			batch = append(batch, p)
		case <-window.Chan():
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// publish brings one batch to its outcome and returns the requests that must
// wait for the next version.
func (a *Acceptor) publish(ctx context.Context, batch []*pending) (deferred []*pending) {
	ctx, cancel := context.WithTimeout(ctx, a.opts.BatchTimeout)
	defer cancel()
	b := &attempt{a: a, batch: batch}
	retry := newBackOff()
	for {
		err := b.try(ctx)
		if err == nil {
			return b.deliver()
		}
		if !errorx.IsOfType(err, errLostSwap) {
			b.fail(err)
			return nil
		}
		a.opts.Log.V(1).Info("head swap is repeated", "reason", err.Error())
		select {
		case <-a.opts.Clock.After(retry.NextBackOff()):
		case <-ctx.Done():
			b.fail(errdefs.StoreUnavailable.Wrap(err, "no version was published within %s", a.opts.BatchTimeout))
			return nil
		}
	}
}

// History returns the operations of the latest versions, latest first. limit
// bounds the versions; the store retains at least 64.
func (a *Acceptor) History(ctx context.Context, limit int) ([]Entry, error) {
	return a.reader.History(ctx, limit)
}

// Entry is one version of the history.
type Entry struct {
	Version    uint64      `json:"version"`
	Operations []Operation `json:"operations"`
}

// History returns the operations of the latest versions, latest first.
func (r *Reader) History(ctx context.Context, limit int) ([]Entry, error) {
	h, _, err := r.Head(ctx)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return nil, nil
	}
	if err != nil || limit <= 0 {
		return nil, err
	}
	var entries []Entry
	_, err = r.walk(ctx, h, func(_ snapshot.Digest, c *Commit) bool {
		entries = append(entries, Entry{Version: c.Version, Operations: c.Operations})
		return len(entries) < limit
	})
	return entries, err
}
