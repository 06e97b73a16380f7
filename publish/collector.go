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

// The store sustains several hundred writes/s for everyone. A day without
// collection leaves about 25,000 parts, which must not take all of them.
const (
	deletesPerSecond = 50
	deleteBurst      = 100
)

// CollectorOptions configures a Collector.
type CollectorOptions struct {
	// Due tells whether this node runs the collection now. nil: always. Two
	// collectors at the same time are harmless.
	Due         func() bool
	Log         logr.Logger
	Clock       clockwork.Clock // default: the real clock
	KeepCommits int             // latest commits whose parts are kept, default 64
	MinAge      time.Duration   // shortest time between the two passes, default 10 min
	Interval    time.Duration   // between two collections, default 5 min
}

// Collector deletes parts that no retained version refers to.
//
// A part is deleted only when two passes, MinAge apart, found it unreferenced
// at the same mod revision, and only after a swap of the head has raised the
// GC epoch. An acceptor that wrote the part before that swap loses its own
// swap and writes the part again, which changes the mod revision; the delete
// compares the mod revision and leaves the part alone.
type Collector struct {
	st         store.Store
	reader     *Reader
	opts       CollectorOptions
	candidates map[string]candidate // by part key
	pace       *rate.Limiter        // of deletes
}

// candidate is a part that an earlier pass found unreferenced.
type candidate struct {
	modRevision int64
	since       time.Time
}

// NewCollector returns a collector for the store.
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
	return &Collector{st: st, reader: NewReader(st), opts: opts, pace: rate.NewLimiter(deletesPerSecond, deleteBurst)}
}

// Run collects at each interval while the collection is due on this node.
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
			c.opts.Log.Error(err, "collection did not finish", "deleted", n)
		} else if n > 0 {
			c.opts.Log.Info("parts collected", "deleted", n)
		}
	}
}

// Collect makes one pass and returns the number of deleted parts. It must not
// be called concurrently. An error leaves every referenced part in place.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	head, rev, err := c.reader.Head(ctx)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	referenced, err := c.referenced(ctx, head)
	if err != nil {
		return 0, err
	}
	parts, err := c.list(ctx)
	if err != nil {
		return 0, err
	}
	victims := c.pass(parts, referenced)
	if len(victims) == 0 {
		return 0, nil
	}
	if err := c.raiseEpoch(ctx, head, rev); err != nil {
		return 0, err
	}
	return c.remove(ctx, victims)
}

// list returns every part without its value. It reads the keys in 16 groups,
// so that an answer stays small when the collection was not run for days.
func (c *Collector) list(ctx context.Context) ([]store.KeyValue, error) {
	var parts []store.KeyValue
	for _, digit := range "0123456789abcdef" {
		group, _, err := c.st.Range(ctx, partPrefix+string(digit), true)
		if err != nil {
			return nil, err
		}
		parts = append(parts, group...)
	}
	return parts, nil
}

// referenced returns the keys of every part that the retained commits name.
func (c *Collector) referenced(ctx context.Context, head Head) (map[string]bool, error) {
	keys := make(map[string]bool)
	kept := 0
	_, err := c.reader.walk(ctx, head, func(d snapshot.Digest, commit *Commit) bool {
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

// pass remembers the unreferenced parts and returns those that an earlier pass
// found at the same mod revision at least MinAge ago.
func (c *Collector) pass(parts []store.KeyValue, referenced map[string]bool) []store.KeyValue {
	now := c.opts.Clock.Now()
	next := make(map[string]candidate)
	var victims []store.KeyValue
	for _, kv := range parts {
		if referenced[kv.Key] {
			continue
		}
		found, ok := c.candidates[kv.Key]
		if !ok || found.modRevision != kv.ModRevision {
			found = candidate{modRevision: kv.ModRevision, since: now}
		}
		next[kv.Key] = found
		if now.Sub(found.since) >= c.opts.MinAge {
			victims = append(victims, kv)
		}
	}
	c.candidates = next
	return victims
}

// raiseEpoch swaps the head for itself with a higher epoch. When the swap is
// lost or its outcome unknown, nothing may be deleted: the victims were chosen
// against another head.
func (c *Collector) raiseEpoch(ctx context.Context, head Head, rev int64) error {
	head.GCEpoch++
	value, err := head.encode()
	if err != nil {
		return err
	}
	_, err = c.st.CompareAndSwap(ctx, HeadKey, rev, value, 0)
	return err
}

// remove deletes the victims that were not written again.
func (c *Collector) remove(ctx context.Context, victims []store.KeyValue) (int, error) {
	deleted := 0
	for _, kv := range victims {
		if err := c.pace.Wait(ctx); err != nil {
			return deleted, errdefs.Timeout.Wrap(err, "collection ended before every part was deleted")
		}
		err := c.st.CompareAndDelete(ctx, kv.Key, kv.ModRevision)
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
