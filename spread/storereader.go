package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/snapshot"
	"siskingw/store"
	"siskingw/telemetry"
)

// Head is the head of the store as a Source read it.
type Head struct {
	Version  uint64         // configuration version, 0 before the first
	Position store.Position // of the head's last write, or of the read
	Content  any            // what the Source read; an input of its Load
}

// HeadEvent is a change of the head, or the error that ended the watch. An
// event without a version only shows that the store answered.
type HeadEvent struct {
	Head Head
	Err  error // StoreCompacted, StoreUnavailable or Corrupt; the channel is closed after it
}

// Source reads versions from the platform's store.
type Source interface {
	// Head returns the latest version. Before the first one it returns NotFound
	// and a head with the position from which to watch, or none.
	Head(ctx context.Context) (Head, error)
	// Load returns the snapshot of a head. base, which may be nil, saves reads.
	Load(ctx context.Context, h Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error)
	// Watch sends every head after a position until ctx ends or the watch fails; in
	// that case the last event has Err set. From the zero position, which Head may
	// return before the first version, it sends the current head first.
	Watch(ctx context.Context, from store.Position) <-chan HeadEvent
}

const (
	// readerCheckInterval is the period at which a node checks whether it is a
	// reader.
	readerCheckInterval = 500 * time.Millisecond
	// headPollInterval is the period at which a reader reads the head although
	// its watch reports nothing, in case the watch stalled.
	headPollInterval = 30 * time.Second
	// storeTimeout bounds one store call. The store answers in milliseconds,
	// and in several seconds when it is slow.
	storeTimeout = 5 * time.Second
	// storeRetryBase and storeRetryMax bound the full jitter between attempts
	// while the store fails. With 27 relays the store receives at most a few
	// calls a second from them during an outage.
	storeRetryBase = 500 * time.Millisecond
	storeRetryMax  = 10 * time.Second
)

// runStoreReader watches the head of the store while this node is a reader.
func (n *Node) runStoreReader() {
	for n.waitUntilReader() {
		n.log.Info("watching the store", "turn", n.readerIndex(), "contactAgeMs", n.storeContactAge())
		n.watchWhileReader()
		n.log.Info("no longer watching the store", "turn", n.readerIndex(), "contactAgeMs", n.storeContactAge())
	}
}

// watchWhileReader watches the store until the node stops or is no longer a
// reader. It logs when the store is lost and when it is back.
func (n *Node) watchWhileReader() {
	maxDelay := storeRetryBase
	var lostAt time.Time // zero while the store answers
	onAnswer := func() {
		if !lostAt.IsZero() {
			n.log.Info(telemetry.EventStoreBack, "afterMs", time.Since(lostAt).Milliseconds())
			lostAt, maxDelay = time.Time{}, storeRetryBase
		}
	}
	defer n.setStoreLost(false)
	for err := n.watchStore(onAnswer); err != nil && n.ctx.Err() == nil && n.isReader(); err = n.watchStore(onAnswer) {
		n.stats.storeErrors.Inc()
		if lostAt.IsZero() {
			lostAt = time.Now()
			n.log.Info(telemetry.EventStoreLost, "cause", cause(err), "error", err.Error())
			if n.opts.Readers.Count > 0 {
				sleep(n.ctx, rand.N(firstRetryMax))
				continue
			}
		} else {
			n.setStoreLost(true)
		}
		sleep(n.ctx, rand.N(maxDelay))
		maxDelay = min(2*maxDelay, n.opts.Readers.retryMax())
	}
}

// waitUntilReader waits until the node has been a reader for the settle time.
// It reports false when the node stops.
func (n *Node) waitUntilReader() bool {
	var since time.Time
	var settleTime time.Duration
	if n.opts.Readers.Count > 0 {
		since = n.started // a standby that takes over must not wait again once it knows the fleet
	}
	for n.ctx.Err() == nil {
		switch {
		case !n.isReader():
			if n.opts.Readers.Count == 0 {
				since = time.Time{}
			}
		case since.IsZero() || settleTime == 0:
			if since.IsZero() {
				since = time.Now()
			}
			settleTime = n.opts.Readers.SettleTime
			if n.topology().isIsolated() {
				settleTime += rand.N(n.opts.Readers.IsolatedJitter)
			}
		case time.Since(since) >= settleTime:
			return true
		}
		sleep(n.ctx, n.opts.Readers.checkInterval())
	}
	return false
}

// watchStore reads the head and follows it. It returns nil when the node is no
// longer a reader or stops, and otherwise the error that ended the watch. The
// next call reads the head again, so it finds a change that the watch missed.
// onAnswer is called once the store has answered.
//
//siskingw:step watch-fires
func (n *Node) watchStore(onAnswer func()) error {
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	h, err := n.readHead(ctx)
	if err != nil {
		return err
	}
	onAnswer()
	n.scheduleLoad(h)
	return n.followHead(ctx, n.opts.Source.Watch(ctx, h.Position))
}

// followHead handles every head that the watch sends. It also reads the head
// periodically, in case the watch stalled.
func (n *Node) followHead(ctx context.Context, events <-chan HeadEvent) error {
	check := time.NewTicker(readerCheckInterval)
	defer check.Stop()
	poll := time.NewTimer(jittered(headPollInterval))
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-events:
			if !ok {
				return errdefs.StoreUnavailable.New("store watch ended without an error")
			}
			if e.Err != nil {
				return e.Err
			}
			n.recordStoreContact()
			atomicMax(&n.storeVersion, e.Head.Version)
			n.scheduleLoad(e.Head)
		case <-check.C:
			if !n.isReader() {
				return nil
			}
			if n.monotonicMs()-n.ownContactMs.Load() > readerSilence.Milliseconds() {
				n.setStoreLost(true)
			}
		case <-poll.C:
			h, err := n.readHead(ctx)
			if err != nil {
				return err
			}
			n.scheduleLoad(h)
			poll.Reset(jittered(headPollInterval))
		}
	}
}

// readHead reads the head; before the first version, the head has version 0.
func (n *Node) readHead(ctx context.Context) (Head, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	h, err := n.opts.Source.Head(ctx)
	if errorx.IsOfType(err, errdefs.NotFound) {
		err = nil
	}
	if err == nil {
		n.recordStoreContact()
		atomicMax(&n.storeVersion, h.Version)
	}
	return h, err
}

// scheduleLoad loads a head that is newer than the version in force in its own
// goroutine, unless a peer delivers it first. It does not load a head that is
// being loaded: an event may arrive twice, and the poll finds the same head as
// the watch. Only the store reader's goroutine calls it.
func (n *Node) scheduleLoad(h Head) {
	if h.Version <= max(n.current.Version(), n.loadingVersion.Load()) {
		return
	}
	n.loadingVersion.Store(h.Version)
	n.tasks.spawn(func() {
		defer n.loadingVersion.CompareAndSwap(h.Version, 0)
		n.loadHead(h)
	})
}

// loadHead waits for this reader's load delay and loads the head. It retries
// while the store fails and the version is still missing.
func (n *Node) loadHead(h Head) {
	maxDelay := storeRetryBase
	delay := n.loadDelay()
	if n.current.Load() == nil {
		delay += storeLoadDelay // give the peers time to deliver it first
	}
	for sleep(n.ctx, delay) && n.current.Version() < h.Version {
		err := n.loadOnce(h)
		if err == nil {
			return
		}
		n.stats.storeErrors.Inc()
		n.log.Info("cannot load version from the store", "version", h.Version, "cause", cause(err), "error", err.Error())
		delay = rand.N(maxDelay)
		maxDelay = min(2*maxDelay, storeRetryMax)
		if latest, err := n.readHead(n.ctx); err == nil && latest.Version > h.Version {
			h = latest // the parts of the old head may have been garbage-collected
		}
	}
}

// loadOnce loads a head from the store and distributes it.
//
//siskingw:step read-version
func (n *Node) loadOnce(h Head) error {
	base := n.current.Load()
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
	n.applyPublished(next, d, "store")
	return nil
}

// atomicMax sets a to v if v is higher.
func atomicMax[T int64 | uint64](a interface {
	Load() T
	CompareAndSwap(old, new T) bool
}, v T) {
	for old := a.Load(); v > old; old = a.Load() {
		if a.CompareAndSwap(old, v) {
			return
		}
	}
}
