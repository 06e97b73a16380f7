package publish

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/snapshot"
	"siskingw/store"
)

// errHeadChanged reports that the head changed or may have changed during an
// attempt, which must be retried with the latest head.
var errHeadChanged = errorx.NewNamespace("publish").NewType("lost_swap", errdefs.Retriable)

// Bounds of the backoff interval between the attempts of one batch.
const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// newBackOff returns an exponential backoff whose delays are uniform between 0
// and twice the interval (full jitter), so that acceptors that failed on the
// same swap do not retry at the same time.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	b.Multiplier, b.RandomizationFactor = 2, 1
	return b
}

// batch is one batch of requests and its progress. try is called until the
// outcome of every request is certain or the batch times out.
type batch struct {
	acceptor    *Acceptor
	requests    []*pendingRequest
	outcomes    map[*pendingRequest]outcome // of the current attempt; a missing request is deferred
	unknownSwap *newVersion                 // version of a swap whose response was lost, or nil
}

// newVersion is a version that a head swap published or may have published.
type newVersion struct {
	snapshot    *snapshot.Snapshot
	delta       *snapshot.Delta
	headWritten store.Position // of the head that the swap compared
	commit      *Commit
	commitID    snapshot.Digest
}

// try makes one attempt with the latest head. It returns nil when every request
// has an outcome or is deferred, and errHeadChanged when it must be called
// again.
func (b *batch) try(ctx context.Context) error {
	b.outcomes = make(map[*pendingRequest]outcome, len(b.requests))
	head, written, err := b.acceptor.reader.Head(ctx)
	if err != nil && !errorx.IsOfType(err, errdefs.NotFound) {
		return err
	}
	if err := b.resolveApplied(ctx, head, written); err != nil {
		return err
	}
	if len(b.outcomes) == len(b.requests) {
		return nil
	}
	base, err := b.acceptor.loadBase(ctx, head)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return errHeadChanged.Wrap(err, "the head changed while its parts were being read")
	}
	if err != nil {
		return err
	}
	w := newWorkingSet(base, max(head.Version, b.acceptor.cur.Version())+1)
	accepted := b.evaluate(w, head.Version)
	if len(accepted) == 0 {
		return nil
	}
	return b.publishVersion(ctx, head, written, w, accepted)
}

// resolveApplied sets the outcome of the requests that an earlier attempt or
// another acceptor already published.
func (b *batch) resolveApplied(ctx context.Context, head Head, written store.Position) error {
	for _, p := range b.requests {
		v, found, err := b.acceptor.reader.findOperation(ctx, head, p.OperationID, p.Since)
		switch {
		case errorx.IsOfType(err, errdefs.StoreUnknown):
			b.outcomes[p] = outcome{err: err}
		case err != nil:
			return err
		case found:
			b.outcomes[p] = outcome{result: Result{Version: v, Changed: true}}
			b.confirmSwap(head, v)
		}
	}
	if b.unknownSwap != nil && b.unknownSwap.headWritten != written {
		b.unknownSwap = nil // the head has changed, so the swap can no longer succeed
	}
	return nil
}

// confirmSwap reports the version of a swap whose response was lost, now that
// the store is known to contain it.
func (b *batch) confirmSwap(head Head, version uint64) {
	v := b.unknownSwap
	if v == nil || v.snapshot.Version() != version ||
		(head.Version == version && head.Snapshot != v.snapshot.Digest()) {
		return
	}
	b.unknownSwap = nil
	b.acceptor.reportPublished(v)
}

// findOperation searches for an operation in the head and, if the head does not
// list every operation after since, in the commits. It returns a StoreUnknown
// error when commits that may contain the operation have been
// garbage-collected.
func (r *Reader) findOperation(ctx context.Context, h Head, id string,
	since uint64) (version uint64, found bool, err error) {
	if v, ok := h.findOperation(id); ok {
		return v, true, nil
	}
	if since >= h.completeAfter() {
		return 0, false, nil
	}
	oldest, visited := h.Version, 0
	_, err = r.walkCommits(ctx, h, func(_ snapshot.Digest, c *Commit) bool {
		for _, o := range c.Operations {
			if o.ID == id {
				version, found = c.Version, true
			}
		}
		oldest = c.ParentVersion
		visited++
		return !found && oldest > since && (since > 0 || visited < maxSearchedCommits)
	})
	if err == nil && !found && since > 0 && oldest > since {
		err = errdefs.StoreUnknown.New("operation %s may be part of versions %d to %d, which are no longer retained",
			id, since+1, oldest)
	}
	return version, found, err
}

// evaluate stages every request that has no outcome yet and returns those that
// change an object; w then holds their changes.
func (b *batch) evaluate(w *workingSet, current uint64) []acceptedRequest {
	undecided := slices.DeleteFunc(slices.Clone(b.requests), func(p *pendingRequest) bool {
		_, ok := b.outcomes[p]
		return ok
	})
	outcomes, accepted := w.stageAll(undecided, current, nil)
	if len(accepted) > 0 && w.validate(w.changed) != nil {
		// At least one request is invalid: validate them one by one.
		outcomes, accepted = w.stageAll(undecided, current, w.validate)
	}
	maps.Copy(b.outcomes, outcomes)
	return accepted
}

// acceptedRequest is a valid request that changes at least one object.
type acceptedRequest struct {
	*pendingRequest
	staged map[object.Key]*object.Object // new state of each changed object; nil: deleted
}

// stageAll evaluates the requests in order and stores their changes in w. It
// returns the outcomes of the requests that fail or change nothing, and the
// requests that change an object. A request in neither must wait for the next
// version. validate, unless nil, checks each request together with those
// accepted before it.
func (w *workingSet) stageAll(requests []*pendingRequest, current uint64,
	validate func(map[object.Key]*object.Object) error) (map[*pendingRequest]outcome, []acceptedRequest) {
	w.changed = make(map[object.Key]*object.Object)
	outcomes := make(map[*pendingRequest]outcome)
	var accepted []acceptedRequest
	ids := make(map[string]bool)
	for _, p := range requests {
		if ids[p.OperationID] || w.overlaps(p.Request) {
			continue
		}
		ids[p.OperationID] = true
		staged, err := w.stage(p.Request)
		changed := maps.Clone(w.changed)
		maps.Copy(changed, staged)
		if err == nil && len(staged) > 0 && validate != nil {
			err = validate(changed)
		}
		switch {
		case err != nil:
			outcomes[p] = outcome{err: err}
		case len(staged) == 0:
			outcomes[p] = outcome{result: Result{Version: current}}
		default:
			w.changed = changed
			accepted = append(accepted, acceptedRequest{p, staged})
		}
	}
	return outcomes, accepted
}

// publishVersion writes the parts of the next version and publishes it by a
// compare-and-swap of the head. It returns errHeadChanged when another writer
// changed the head or the response was lost.
//
//siskingw:step swap-head
func (b *batch) publishVersion(ctx context.Context, head Head, written store.Position, w *workingSet,
	accepted []acceptedRequest) error {
	next, delta, err := w.next()
	if err != nil {
		return err
	}
	ops := b.acceptor.newOperations(accepted)
	v := &newVersion{snapshot: next, delta: delta, headWritten: written}
	parts, err := v.parts(head, w.base, ops)
	if err != nil {
		return err
	}
	newHead := Head{
		Version: next.Version(), Commit: v.commitID, Snapshot: next.Digest(),
		GCEpoch: head.GCEpoch, Operations: head.withOperations(next.Version(), ops),
	}
	value, err := newHead.encode()
	if err != nil {
		return err
	}
	if err := putParts(ctx, b.acceptor.store, parts); err != nil {
		return err
	}
	_, err = b.acceptor.store.CompareAndSwap(ctx, HeadKey, written, value, 0)
	switch {
	case errorx.IsOfType(err, errdefs.Conflict):
		return errHeadChanged.Wrap(err, "version %d was not published", next.Version())
	case errorx.IsOfType(err, errdefs.StoreUnknown):
		b.unknownSwap = v
		return errHeadChanged.Wrap(err, "response to the head swap for version %d was lost", next.Version())
	case err != nil:
		return err
	}
	b.unknownSwap = nil
	for _, p := range accepted {
		b.outcomes[p.pendingRequest] = outcome{result: Result{Version: next.Version(), Changed: true}}
	}
	b.acceptor.reportPublished(v)
	return nil
}

// parts returns the changed shards, the delta and the commit of a version, and
// sets the commit. It omits a delta that is too large for one store value;
// readers then read the changed shards.
func (v *newVersion) parts(head Head, base *snapshot.Snapshot, ops []Operation) ([]part, error) {
	c := &Commit{
		Version: v.snapshot.Version(), Parent: head.Commit, ParentVersion: head.Version,
		Snapshot: v.snapshot.Digest(), Operations: ops,
	}
	var parts []part
	for i := range c.Shards {
		c.Shards[i] = v.snapshot.ShardDigest(i)
		if c.Shards[i] == base.ShardDigest(i) || c.Shards[i] == emptyPart {
			continue
		}
		p, err := newPart(fmt.Sprintf("shard %d", i), v.snapshot.ShardContent(i))
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	if p, err := newJSONPart("delta", v.delta); err == nil {
		c.Delta = p.digest
		parts = append(parts, p)
	} else if !errorx.IsOfType(err, errdefs.Invalid) {
		return nil, err
	}
	p, err := newJSONPart("commit", c)
	if err != nil {
		return nil, err
	}
	v.commit, v.commitID = c, p.digest
	return append(parts, p), nil
}

// deliverOutcomes sends every known outcome to its request and returns the
// requests without one.
func (b *batch) deliverOutcomes() (deferred []*pendingRequest) {
	for _, p := range b.requests {
		if o, ok := b.outcomes[p]; ok {
			p.done <- o
		} else {
			deferred = append(deferred, p)
		}
	}
	return deferred
}

// failAll ends every request with err, or with a StoreUnknown error when the
// outcome of a swap is unknown.
func (b *batch) failAll(err error) {
	if b.unknownSwap != nil {
		err = errdefs.StoreUnknown.Wrap(err, "version %d may have been published", b.unknownSwap.snapshot.Version())
	}
	for _, p := range b.requests {
		p.done <- outcome{err: err}
	}
}

// loadBase returns the snapshot of the head's version. It reads from the store
// only what differs from the newest local snapshot that is not newer than the
// head.
func (a *Acceptor) loadBase(ctx context.Context, head Head) (*snapshot.Snapshot, error) {
	if head.Version == 0 {
		return snapshot.New(0, nil)
	}
	var local *snapshot.Snapshot
	for _, s := range []*snapshot.Snapshot{a.lastSnapshot, a.cur.Load()} {
		if s != nil && s.Version() <= head.Version && (local == nil || s.Version() > local.Version()) {
			local = s
		}
	}
	s, err := a.reader.Load(ctx, head, local)
	if err == nil {
		a.lastSnapshot = s
	}
	return s, err
}

// newOperations returns the commit's entries for the accepted requests.
func (a *Acceptor) newOperations(accepted []acceptedRequest) []Operation {
	now := a.opts.Clock.Now().UTC().Truncate(time.Millisecond)
	var ops []Operation
	for _, p := range accepted {
		ops = append(ops, Operation{ID: p.OperationID, Author: p.Author, Time: now, Summary: summarize(p.staged)})
	}
	return ops
}

// reportPublished caches, logs and reports a version that this node published.
func (a *Acceptor) reportPublished(v *newVersion) {
	a.lastSnapshot = v.snapshot
	a.reader.cacheCommit(v.commitID, v.commit)
	a.opts.Log.Info("version published", "version", v.snapshot.Version(), "operations", len(v.commit.Operations))
	a.opts.OnPublish(v.snapshot, v.delta)
}
