package publish

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"siskingw/errdefs"
	"siskingw/snapshot"
	"siskingw/store"
)

// Defaults of CollectorOptions.
const (
	defaultKeepCommits = 64
	defaultMinAge      = 10 * time.Minute
	defaultInterval    = 5 * time.Minute
)

// Rate limit of deletes. A day without collection leaves about 25,000 parts,
// and deleting them must not use up the several hundred writes/s that the store
// sustains for all its users.
const (
	maxDeletesPerSecond = 50
	deleteBurst         = 100
)

// CollectorOptions configures a Collector. Zero values select the defaults.
type CollectorOptions struct {
	// Due reports whether this node is to run the collection now; nil means
	// always. Several collectors may run at the same time safely.
	Due         func() bool
	Log         logr.Logger
	Clock       clockwork.Clock // default: the real clock
	KeepCommits int             // number of latest commits whose parts are retained, default 64
	MinAge      time.Duration   // minimum time that a part is unreferenced before it is deleted, default 10 min
	Interval    time.Duration   // time between two passes, default 5 min
}

// Collector is the garbage collector of the store: it deletes parts that no
// retained version refers to.
//
// A part is deleted only when two passes at least MinAge apart found it
// unreferenced at the same mod revision, and only after a compare-and-swap of
// the head has incremented the GC epoch. If an acceptor wrote the part before
// that swap and is about to publish it, its own swap fails and it writes the
// part again. This changes the mod revision, which the delete compares, so the
// part is not deleted.
type Collector struct {
	store         store.Store
	reader        *Reader
	opts          CollectorOptions
	candidates    map[string]candidate // unreferenced parts by key
	deleteLimiter *rate.Limiter        // limits deletes
}

// candidate is a part that an earlier pass found unreferenced.
type candidate struct {
	written   store.Position
	firstSeen time.Time
}

// NewCollector returns a garbage collector for the store.
func NewCollector(st store.Store, opts CollectorOptions) *Collector {
	if opts.Due == nil {
		opts.Due = func() bool { return true }
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.KeepCommits == 0 {
		opts.KeepCommits = defaultKeepCommits
	}
	if opts.MinAge == 0 {
		opts.MinAge = defaultMinAge
	}
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}
	return &Collector{store: st, reader: NewReader(st), opts: opts,
		deleteLimiter: rate.NewLimiter(maxDeletesPerSecond, deleteBurst)}
}

// Run makes a pass at each interval at which Due reports true, until ctx is
// done. It returns nil.
func (c *Collector) Run(ctx context.Context) error {
	ticker := c.opts.Clock.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return nil
		}
		if !c.opts.Due() {
			c.candidates = nil
			continue
		}
		if n, err := c.Collect(ctx); err != nil {
			c.opts.Log.Error(err, "garbage collection failed", "deleted", n)
		} else if n > 0 {
			c.opts.Log.Info("deleted unreferenced parts", "deleted", n)
		}
	}
}

// Collect makes one pass and returns the number of deleted parts, also with an
// error. It never deletes a referenced part. It must not be called
// concurrently.
//
// It returns a Conflict error when the head changed before the first delete, a
// NotFound error when the head's commit has been garbage-collected, a Corrupt
// error when the head or a commit is damaged, a Timeout error when ctx ends
// while parts are deleted, and otherwise the error of the store.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	head, written, err := c.reader.Head(ctx)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	referenced, err := c.referencedKeys(ctx, head)
	if err != nil {
		return 0, err
	}
	parts, err := c.listParts(ctx)
	if err != nil {
		return 0, err
	}
	expired := c.selectExpired(parts, referenced)
	if len(expired) == 0 {
		return 0, nil
	}
	if err := c.incrementEpoch(ctx, head, written); err != nil {
		return 0, err
	}
	return c.deleteParts(ctx, expired)
}

// listParts returns every part without its value. It reads the keys in 16
// groups to keep each response small when no collection has run for days.
func (c *Collector) listParts(ctx context.Context) ([]store.KeyValue, error) {
	var parts []store.KeyValue
	for _, digit := range "0123456789abcdef" {
		group, _, err := c.store.Range(ctx, partPrefix+string(digit), true)
		if err != nil {
			return nil, err
		}
		parts = append(parts, group...)
	}
	return parts, nil
}

// referencedKeys returns the keys of the retained commits and of every part
// that they refer to.
func (c *Collector) referencedKeys(ctx context.Context, head Head) (map[string]bool, error) {
	keys := make(map[string]bool)
	kept := 0
	_, err := c.reader.walkCommits(ctx, head, func(d snapshot.Digest, commit *Commit) bool {
		keys[partKey(d)] = true
		keys[partKey(commit.Delta)] = true
		for _, shard := range commit.Shards {
			keys[partKey(shard)] = true
		}
		kept++
		return kept < c.opts.KeepCommits
	})
	return keys, err
}

// selectExpired updates the candidates to the unreferenced parts and returns
// those that an earlier pass found at the same mod revision at least MinAge
// ago.
func (c *Collector) selectExpired(parts []store.KeyValue, referenced map[string]bool) []store.KeyValue {
	now := c.opts.Clock.Now()
	next := make(map[string]candidate)
	var expired []store.KeyValue
	for _, kv := range parts {
		if referenced[kv.Key] {
			continue
		}
		cand, ok := c.candidates[kv.Key]
		if !ok || cand.written != kv.Position {
			cand = candidate{written: kv.Position, firstSeen: now}
		}
		next[kv.Key] = cand
		if now.Sub(cand.firstSeen) >= c.opts.MinAge {
			expired = append(expired, kv)
		}
	}
	c.candidates = next
	return expired
}

// incrementEpoch increments the GC epoch in the head. When the compare-and-swap
// fails or its outcome is unknown, nothing may be deleted, because the parts
// were selected against a head that may have changed.
func (c *Collector) incrementEpoch(ctx context.Context, head Head, written store.Position) error {
	head.GCEpoch++
	value, err := head.encode()
	if err != nil {
		return err
	}
	_, err = c.store.CompareAndSwap(ctx, HeadKey, written, value, 0)
	return err
}

// deleteParts deletes the parts whose mod revision has not changed since they
// were listed, and returns how many it deleted. It returns a Timeout error when
// ctx ends before it has tried all.
func (c *Collector) deleteParts(ctx context.Context, parts []store.KeyValue) (int, error) {
	deleted := 0
	for _, kv := range parts {
		if err := c.deleteLimiter.Wait(ctx); err != nil {
			return deleted, errdefs.Timeout.Wrap(err, "garbage collection was canceled before all parts were deleted")
		}
		err := c.store.CompareAndDelete(ctx, kv.Key, kv.Position)
		if err != nil && !errorx.IsOfType(err, errdefs.Conflict) {
			return deleted, err
		}
		delete(c.candidates, kv.Key)
		if err == nil {
			deleted++
		}
	}
	return deleted, nil
}
