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
)

// errLostSwap reports that the head changed or may have changed during an
// attempt, which must be retried with the latest head.
var errLostSwap = errorx.NewNamespace("publish").NewType("lost_swap", errdefs.Retriable)

// Bounds of the backoff interval between the attempts of one batch.
const (
	firstRetry = 10 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
)

// newBackOff returns an exponential backoff whose delays are uniform between 0
// and twice the interval (full jitter), so that acceptors that failed on the
// same swap do not retry at the same time.
func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, maxRetry
	b.Multiplier, b.RandomizationFactor = 2, 1
	return b
}

// attempt is one batch of requests and its progress. try is called until the
// outcome of every request is certain or the batch times out.
type attempt struct {
	a         *Acceptor
	batch     []*pending
	outcomes  map[*pending]outcome // of the current attempt; a missing request is deferred
	unsettled *published           // version of a swap whose response was lost, or nil
}

// published is a version that a head swap published or may have published.
type published struct {
	next     *snapshot.Snapshot
	delta    *snapshot.Delta
	swapped  int64 // mod revision of the head that the swap compared
	commit   *Commit
	commitID snapshot.Digest
}

// try makes one attempt with the latest head. It returns nil when every request
// has an outcome or is deferred, and errLostSwap when it must be called again.
func (t *attempt) try(ctx context.Context) error {
	t.outcomes = make(map[*pending]outcome, len(t.batch))
	head, rev, err := t.a.reader.Head(ctx)
	if err != nil && !errorx.IsOfType(err, errdefs.NotFound) {
		return err
	}
	if err := t.settle(ctx, head, rev); err != nil {
		return err
	}
	if len(t.outcomes) == len(t.batch) {
		return nil
	}
	base, err := t.a.base(ctx, head)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return errLostSwap.Wrap(err, "the head changed while its parts were being read")
	}
	if err != nil {
		return err
	}
	w := newWorking(base, max(head.Version, t.a.cur.Version())+1)
	list := t.evaluate(w, head.Version)
	if len(list) == 0 {
		return nil
	}
	return t.swap(ctx, head, rev, w, list)
}

// settle sets the outcome of the requests that an earlier attempt or another
// acceptor already published.
func (t *attempt) settle(ctx context.Context, head Head, rev int64) error {
	for _, p := range t.batch {
		v, found, err := t.a.reader.findOperation(ctx, head, p.OperationID, p.Since)
		switch {
		case errorx.IsOfType(err, errdefs.StoreUnknown):
			t.outcomes[p] = outcome{err: err}
		case err != nil:
			return err
		case found:
			t.outcomes[p] = outcome{result: Result{Version: v, Changed: true}}
			t.confirm(head, v)
		}
	}
	if t.unsettled != nil && t.unsettled.swapped != rev {
		t.unsettled = nil // the head has changed, so the swap can no longer succeed
	}
	return nil
}

// confirm reports the version of a swap whose response was lost, now that the
// store is known to contain it.
func (t *attempt) confirm(head Head, version uint64) {
	u := t.unsettled
	if u == nil || u.next.Version() != version || (head.Version == version && head.Snapshot != u.next.Digest()) {
		return
	}
	t.unsettled = nil
	t.a.announce(u)
}

// findOperation searches for an operation in the head and, if the head does not
// list every operation after since, in the commits. It returns a StoreUnknown
// error when commits that may contain the operation have been
// garbage-collected.
func (r *Reader) findOperation(ctx context.Context, h Head, id string, since uint64) (version uint64, found bool, err error) {
	if v, ok := h.find(id); ok {
		return v, true, nil
	}
	if since >= h.listsAfter() {
		return 0, false, nil
	}
	oldest, visited := h.Version, 0
	_, err = r.walk(ctx, h, func(_ snapshot.Digest, c *Commit) bool {
		for _, o := range c.Operations {
			if o.ID == id {
				version, found = c.Version, true
			}
		}
		oldest = c.ParentVersion
		visited++
		return !found && oldest > since && (since > 0 || visited < maxSettleCommits)
	})
	if err == nil && !found && since > 0 && oldest > since {
		err = errdefs.StoreUnknown.New("operation %s may be part of versions %d to %d, which are no longer retained", id, since+1, oldest)
	}
	return version, found, err
}

// evaluate stages every request that has no outcome yet and returns those that
// change an object; w then holds their changes.
func (t *attempt) evaluate(w *working, current uint64) []accepted {
	open := slices.DeleteFunc(slices.Clone(t.batch), func(p *pending) bool {
		_, ok := t.outcomes[p]
		return ok
	})
	verdicts, list := w.stageAll(open, current, nil)
	if len(list) > 0 && w.validate(w.changed) != nil {
		// At least one request is invalid: validate them one by one.
		verdicts, list = w.stageAll(open, current, w.validate)
	}
	maps.Copy(t.outcomes, verdicts)
	return list
}

// accepted is a valid request that changes at least one object.
type accepted struct {
	*pending
	staged map[object.Key]*object.Object // new state of each changed object; nil: deleted
}

// stageAll evaluates the requests in order and stores their changes in w. It
// returns the outcomes of the requests that fail or change nothing, and the
// requests that change an object. A request in neither must wait for the next
// version. validate, unless nil, checks each request together with those
// accepted before it.
func (w *working) stageAll(open []*pending, current uint64, validate func(map[object.Key]*object.Object) error) (map[*pending]outcome, []accepted) {
	w.changed = make(map[object.Key]*object.Object)
	verdicts := make(map[*pending]outcome)
	var list []accepted
	ids := make(map[string]bool)
	for _, p := range open {
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
			verdicts[p] = outcome{err: err}
		case len(staged) == 0:
			verdicts[p] = outcome{result: Result{Version: current}}
		default:
			w.changed = changed
			list = append(list, accepted{p, staged})
		}
	}
	return verdicts, list
}

// swap writes the parts of the next version and publishes it by a
// compare-and-swap of the head. It returns errLostSwap when another writer
// changed the head or the response was lost.
//
//siskingw:step swap-head
func (t *attempt) swap(ctx context.Context, head Head, rev int64, w *working, list []accepted) error {
	next, delta, err := w.next()
	if err != nil {
		return err
	}
	ops := t.a.operations(list)
	u := &published{next: next, delta: delta, swapped: rev}
	parts, err := u.parts(head, w.base, ops)
	if err != nil {
		return err
	}
	newHead := Head{
		Version: next.Version(), Commit: u.commitID, Snapshot: next.Digest(),
		GCEpoch: head.GCEpoch, Operations: head.withOperations(next.Version(), ops),
	}
	value, err := newHead.encode()
	if err != nil {
		return err
	}
	if err := putParts(ctx, t.a.st, parts); err != nil {
		return err
	}
	_, err = t.a.st.CompareAndSwap(ctx, HeadKey, rev, value, 0)
	switch {
	case errorx.IsOfType(err, errdefs.Conflict):
		return errLostSwap.Wrap(err, "version %d was not published", next.Version())
	case errorx.IsOfType(err, errdefs.StoreUnknown):
		t.unsettled = u
		return errLostSwap.Wrap(err, "response to the head swap for version %d was lost", next.Version())
	case err != nil:
		return err
	}
	t.unsettled = nil
	for _, p := range list {
		t.outcomes[p.pending] = outcome{result: Result{Version: next.Version(), Changed: true}}
	}
	t.a.announce(u)
	return nil
}

// parts returns the changed shards, the delta and the commit of a version, and
// sets the commit. It omits a delta that is too large for one store value;
// readers then read the changed shards.
func (u *published) parts(head Head, base *snapshot.Snapshot, ops []Operation) ([]part, error) {
	c := &Commit{
		Version: u.next.Version(), Parent: head.Commit, ParentVersion: head.Version,
		Snapshot: u.next.Digest(), Operations: ops,
	}
	var parts []part
	for i := range c.Shards {
		c.Shards[i] = u.next.ShardDigest(i)
		if c.Shards[i] == base.ShardDigest(i) || c.Shards[i] == emptyPart {
			continue
		}
		p, err := newPart(fmt.Sprintf("shard %d", i), u.next.ShardContent(i))
		if err != nil {
			return nil, err
		}
		parts = append(parts, p)
	}
	if p, err := newJSONPart("delta", u.delta); err == nil {
		c.Delta = p.digest
		parts = append(parts, p)
	} else if !errorx.IsOfType(err, errdefs.Invalid) {
		return nil, err
	}
	p, err := newJSONPart("commit", c)
	if err != nil {
		return nil, err
	}
	u.commit, u.commitID = c, p.digest
	return append(parts, p), nil
}

// deliver sends every known outcome to its request and returns the requests
// without one.
func (t *attempt) deliver() (deferred []*pending) {
	for _, p := range t.batch {
		if o, ok := t.outcomes[p]; ok {
			p.done <- o
		} else {
			deferred = append(deferred, p)
		}
	}
	return deferred
}

// fail ends every request with err, or with a StoreUnknown error when the
// outcome of a swap is unknown.
func (t *attempt) fail(err error) {
	if t.unsettled != nil {
		err = errdefs.StoreUnknown.Wrap(err, "version %d may have been published", t.unsettled.next.Version())
	}
	for _, p := range t.batch {
		p.done <- outcome{err: err}
	}
}

// base returns the snapshot of the head's version. It reads from the store only
// what differs from the newest local snapshot that is not newer than the head.
func (a *Acceptor) base(ctx context.Context, head Head) (*snapshot.Snapshot, error) {
	if head.Version == 0 {
		return snapshot.New(0, nil)
	}
	var local *snapshot.Snapshot
	for _, s := range []*snapshot.Snapshot{a.last, a.cur.Load()} {
		if s != nil && s.Version() <= head.Version && (local == nil || s.Version() > local.Version()) {
			local = s
		}
	}
	s, err := a.reader.Load(ctx, head, local)
	if err == nil {
		a.last = s
	}
	return s, err
}

// operations returns the commit's entries for the accepted requests.
func (a *Acceptor) operations(list []accepted) []Operation {
	now := a.opts.Clock.Now().UTC().Truncate(time.Millisecond)
	var ops []Operation
	for _, p := range list {
		ops = append(ops, Operation{ID: p.OperationID, Author: p.Author, Time: now, Summary: summary(p.staged)})
	}
	return ops
}

// announce caches, logs and reports a version that this node published.
func (a *Acceptor) announce(u *published) {
	a.last = u.next
	a.reader.remember(u.commitID, u.commit)
	a.opts.Log.Info("version published", "version", u.next.Version(), "operations", len(u.commit.Operations))
	a.opts.OnAccept(u.next, u.delta)
}
