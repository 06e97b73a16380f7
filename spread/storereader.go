package spread

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/faults"
	"siskingw/snapshot"
	"siskingw/telemetry"
)

// Head is the head of the store as a Source read it.
type Head struct {
	Version  uint64
	Revision int64 // store revision of the head's last write
	Content  any   // what the Source read, for its Load
}

// HeadEvent is a change of the head, or the error that ended the watch. One
// without a version only shows that the store answered.
type HeadEvent struct {
	Head Head
	Err  error // StoreCompacted or StoreUnavailable; the channel closes after it
}

// Source reads versions from the platform's store.
type Source interface {
	// Head returns the latest version. Before the first one it returns NotFound
	// and a head with the store revision from which to watch.
	Head(ctx context.Context) (Head, error)
	// Load returns the snapshot of a head. base, which may be nil, saves reads.
	Load(ctx context.Context, h Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error)
	// Watch sends every head after a store revision until ctx ends or the
	// watch breaks; the last event then has Err set.
	Watch(ctx context.Context, fromRevision int64) <-chan HeadEvent
}

const (
	// dutyCheck is the period at which a node checks whether it is a reader.
	dutyCheck = 500 * time.Millisecond
	// pollEvery is the period at which a reader reads the head although its
	// watch reports nothing, in case the watch stalled.
	pollEvery = 30 * time.Second
	// storeTimeout bounds one store call. The store answers in milliseconds,
	// and several seconds when it is slow.
	storeTimeout = 5 * time.Second
	// storeRetryBase and storeRetryMax bound the full jitter between tries
	// while the store fails. With 27 relays the store sees at most a few calls
	// a second from them during an outage.
	storeRetryBase = 500 * time.Millisecond
	storeRetryMax  = 10 * time.Second
)

// runStoreReader watches the head of the store while this node has the duty.
func (n *Node) runStoreReader() {
	for n.awaitDuty() {
		n.log.Info("watching the store", "turn", n.readerTurn(), "contactAgeMs", n.storeAge())
		n.holdDuty()
		n.log.Info("no longer watching the store", "turn", n.readerTurn(), "contactAgeMs", n.storeAge())
	}
}

// holdDuty watches the store until the duty or the node ends. It reports when
// the store is lost and when it is back.
func (n *Node) holdDuty() {
	retry := storeRetryBase
	var lost time.Time // zero while the store answers
	answered := func() {
		if !lost.IsZero() {
			n.log.Info(telemetry.EventStoreBack, "afterMs", time.Since(lost).Milliseconds())
			lost, retry = time.Time{}, storeRetryBase
		}
	}
	for err := n.watchStore(answered); err != nil && n.ctx.Err() == nil && n.isReader(); err = n.watchStore(answered) {
		n.stats.storeErrors.Inc()
		if lost.IsZero() {
			lost = time.Now()
			n.log.Info(telemetry.EventStoreLost, "cause", cause(err), "error", err.Error())
		}
		sleep(n.ctx, rand.N(retry))
		retry = min(2*retry, n.opts.Readers.retryMax())
	}
}

// awaitDuty waits until the node has held the duty for long enough. It reports
// false when the node stops.
func (n *Node) awaitDuty() bool {
	var since time.Time
	var settle time.Duration
	if n.opts.Readers.Count > 0 {
		since = n.started // a successor must not wait once it knows the fleet
	}
	for n.ctx.Err() == nil {
		switch {
		case !n.isReader():
			if n.opts.Readers.Count == 0 {
				since = time.Time{}
			}
		case since.IsZero() || settle == 0:
			if since.IsZero() {
				since = time.Now()
			}
			settle = n.opts.Readers.Settle
			if n.topology().alone() {
				settle += rand.N(n.opts.Readers.AloneSpread)
			}
		case time.Since(since) >= settle:
			return true
		}
		sleep(n.ctx, n.opts.Readers.check())
	}
	return false
}

// watchStore reads the head and follows it. It returns nil when the duty ends
// and otherwise the error that broke the watch. After a gap the head is read
// again, so a change that the watch lost is found at the next start. answered is
// called once the store has answered.
//
//siskingw:step watch-fires
func (n *Node) watchStore(answered func()) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	h, err := n.readHead(ctx)
	if err != nil {
		return err
	}
	answered()
	n.considerHead(h)
	return n.followHead(ctx, n.opts.Source.Watch(ctx, h.Revision))
}

// followHead considers every head that the watch sends, and reads the head now
// and then in case the watch stalled.
func (n *Node) followHead(ctx context.Context, events <-chan HeadEvent) error {
	duty := time.NewTicker(dutyCheck)
	defer duty.Stop()
	poll := time.NewTimer(jittered(pollEvery))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-events:
			if !ok {
				return faults.StoreUnavailable.New("watch ended without an error")
			}
			if e.Err != nil {
				return e.Err
			}
			n.contacted()
			n.considerHead(e.Head)
		case <-duty.C:
			if !n.isReader() {
				return nil
			}
		case <-poll.C:
			h, err := n.readHead(ctx)
			if err != nil {
				return err
			}
			n.considerHead(h)
			poll.Reset(jittered(pollEvery))
		}
	}
}

// readHead reads the head; before the first version it has version 0.
func (n *Node) readHead(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := n.opts.Source.Head(ctx)
	if errorx.IsOfType(err, faults.NotFound) {
		err = nil
	}
	if err == nil {
		n.contacted()
	}
	return h, err
}

// considerHead loads a head that is newer than the version in force, in its
// own goroutine, when no peer delivers it first. A head that is being loaded is
// not loaded again: an event may come twice, and the poll finds what the watch
// found. Only the store reader's goroutine calls it.
func (n *Node) considerHead(h Head) {
	if h.Version <= max(n.cur.Version(), n.loading.Load()) {
		return
	}
	n.loading.Store(h.Version)
	n.tasks.spawn(func() {
		defer n.loading.CompareAndSwap(h.Version, 0)
		n.loadHead(h)
	})
}

// loadHead waits for this reader's turn and loads the head. It tries again
// while the store fails and the version is still missing.
func (n *Node) loadHead(h Head) {
	retry := storeRetryBase
	turn := n.loadWait()
	if n.cur.Load() == nil {
		turn += storeAfter // peers come first
	}
	for sleep(n.ctx, turn) && n.cur.Version() < h.Version {
		err := n.loadOnce(h)
		if err == nil {
			return
		}
		n.stats.storeErrors.Inc()
		n.log.Info("version not loaded from the store", "version", h.Version, "cause", cause(err), "error", err.Error())
		turn = rand.N(retry)
		retry = min(2*retry, storeRetryMax)
		if latest, err := n.readHead(n.ctx); err == nil && latest.Version > h.Version {
			h = latest // the parts of the old head may be gone
		}
	}
}

// loadOnce loads a head from the store and spreads it.
//
//siskingw:step read-version
func (n *Node) loadOnce(h Head) error {
	base := n.cur.Load()
	ctx, cancel := context.WithTimeout(n.ctx, 2*storeTimeout)
	defer cancel()
	n.stats.storeReads.Inc()
	next, err := n.opts.Source.Load(ctx, h, base)
	if err != nil {
		return err
	}
	var d *snapshot.Delta
	if base != nil && next.Version() > base.Version() {
		d = snapshot.Diff(base, next)
	}
	n.enter(next, d, "store")
	return nil
}

// raise sets a to v if that is higher.
func raise(a *atomic.Int64, v int64) {
	for old := a.Load(); v > old; old = a.Load() {
		if a.CompareAndSwap(old, v) {
			return
		}
	}
}
