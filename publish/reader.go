package publish

import (
	"context"
	"sync"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"siskingw/errdefs"
	"siskingw/snapshot"
	"siskingw/store"
)

const (
	// maxCachedCommits limits the commits that a Reader caches. A commit takes
	// about 3 KB of memory.
	maxCachedCommits = 256
	// maxSearchedCommits limits the commits that are searched for an operation
	// of unknown age. It is below maxCachedCommits, so that only the first
	// search reads all of them from the store.
	maxSearchedCommits = 128
)

// Reader reads versions from the store and caches commits. It is safe for
// concurrent use.
type Reader struct {
	store store.Store

	mu      sync.Mutex
	commits map[snapshot.Digest]*Commit
}

// NewReader returns a Reader of the store.
func NewReader(st store.Store) *Reader {
	return &Reader{store: st, commits: make(map[snapshot.Digest]*Commit)}
}

// Head returns the head and the position of its last write. It returns a NotFound error
// before the first version, and a Corrupt error when the head cannot be
// decoded.
func (r *Reader) Head(ctx context.Context) (Head, store.Position, error) {
	kv, err := r.store.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, store.Position{}, err
	}
	h, err := DecodeHead(kv.Value)
	return h, kv.Position, err
}

// Commit returns the commit with the digest. It returns a NotFound error when
// the commit has been garbage-collected, and a Corrupt error when it is
// damaged. The result is shared and must not be modified.
func (r *Reader) Commit(ctx context.Context, d snapshot.Digest) (*Commit, error) {
	r.mu.Lock()
	c := r.commits[d]
	r.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c = new(Commit)
	if err := getJSONPart(ctx, r.store, d, c); err != nil {
		return nil, err
	}
	r.cacheCommit(d, c)
	return c, nil
}

// cacheCommit caches a commit. Commits are immutable, so entries never expire.
func (r *Reader) cacheCommit(d snapshot.Digest, c *Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.commits[d]; ok {
		return
	}
	if len(r.commits) == maxCachedCommits {
		delete(r.commits, r.oldestCached())
	}
	r.commits[d] = c
}

// oldestCached returns the cached commit with the lowest version. A walk adds
// commits from the latest to the oldest, so evicting the entry that was added
// first would evict what the next walk reads first.
func (r *Reader) oldestCached() snapshot.Digest {
	var digest snapshot.Digest
	var found *Commit
	for d, c := range r.commits {
		if found == nil || c.Version < found.Version {
			digest, found = d, c
		}
	}
	return digest
}

// walkCommits calls visit for the head's commit and its ancestors, latest
// first, until visit returns false or no ancestor is left. complete is false
// when the walk ended at an ancestor that has been garbage-collected.
func (r *Reader) walkCommits(ctx context.Context, h Head,
	visit func(d snapshot.Digest, c *Commit) bool) (complete bool, err error) {
	for d := h.Commit; d != (snapshot.Digest{}); {
		c, err := r.Commit(ctx, d)
		if errorx.IsOfType(err, errdefs.NotFound) && d != h.Commit {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if !visit(d, c) {
			return true, nil
		}
		d = c.Parent
	}
	return true, nil
}

// Load returns the snapshot of the head's version. Unless base is nil, it reads
// only what differs from base: the deltas if that takes no more reads than the
// changed shards. It returns a NotFound error when a newer version has been
// published and the parts have been garbage-collected; read the head again in
// that case. A Corrupt error reports damaged parts.
func (r *Reader) Load(ctx context.Context, h Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	if base != nil && base.Version() == h.Version && base.Digest() == h.Snapshot {
		return base, nil
	}
	c, err := r.Commit(ctx, h.Commit)
	if err != nil {
		return nil, err
	}
	if c.Version != h.Version || c.Snapshot != h.Snapshot {
		return nil, errdefs.Corrupt.New("head refers to version %d, but its commit has version %d",
			h.Version, c.Version)
	}
	changed := changedShards(c, base)
	const readsPerDelta = 2 // the delta and its commit; the head's commit was read above
	if base != nil && base.Version() < h.Version && readsPerDelta*(h.Version-base.Version())-1 <= uint64(len(changed)) {
		next, err := r.loadDeltas(ctx, h, base)
		if next != nil || err != nil {
			return next, err
		}
	}
	return r.loadShards(ctx, c, base, changed)
}

// changedShards returns the indexes of the shards that differ from base, or of
// all shards when base is nil.
func changedShards(c *Commit, base *snapshot.Snapshot) []int {
	var changed []int
	for i, d := range c.Shards {
		if base == nil || base.ShardDigest(i) != d {
			changed = append(changed, i)
		}
	}
	return changed
}

// loadDeltas applies the deltas from base to the head. It returns nil without
// an error when a delta or commit is missing or damaged, or base is not an
// ancestor of the head.
func (r *Reader) loadDeltas(ctx context.Context, h Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	var chain []snapshot.Digest // digests of the deltas, latest first
	reached := false
	_, err := r.walkCommits(ctx, h, func(_ snapshot.Digest, c *Commit) bool {
		chain = append(chain, c.Delta)
		reached = c.ParentVersion == base.Version()
		return !reached && c.ParentVersion > base.Version() && c.Delta != (snapshot.Digest{})
	})
	if err != nil || !reached {
		return nil, ignoreUnusable(err)
	}
	next := base
	for i := len(chain) - 1; i >= 0; i-- {
		d := new(snapshot.Delta)
		if chain[i] == (snapshot.Digest{}) {
			return nil, nil
		}
		if err := getJSONPart(ctx, r.store, chain[i], d); err != nil {
			return nil, ignoreUnusable(err)
		}
		if next, err = next.Apply(d); err != nil {
			return nil, nil // base is not an ancestor of the head
		}
	}
	if next.Digest() != h.Snapshot || next.Version() != h.Version {
		return nil, nil
	}
	return next, nil
}

// ignoreUnusable returns nil if err reports that a part was garbage-collected
// or is damaged, because Load can then read the shards instead, which are
// verified on their own. It returns any other error unchanged.
func ignoreUnusable(err error) error {
	if errorx.IsOfType(err, errdefs.NotFound) || errorx.IsOfType(err, errdefs.Corrupt) {
		return nil
	}
	return err
}

// loadShards reads the changed shards and shares the others with base.
func (r *Reader) loadShards(ctx context.Context, c *Commit, base *snapshot.Snapshot,
	changed []int) (*snapshot.Snapshot, error) {
	contents := make([][]byte, len(changed))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxParallelParts)
	for n, i := range changed {
		g.Go(func() (err error) {
			contents[n], err = getPart(ctx, r.store, c.Shards[i])
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	byShard := make(map[int][]byte, len(changed))
	for n, i := range changed {
		byShard[i] = contents[n]
	}
	return snapshot.Rebuild(base, c.Version, c.Snapshot, byShard)
}
