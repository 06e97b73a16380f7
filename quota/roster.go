package quota

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/store"
)

// rosterKey is the key of the roster in the store.
const rosterKey = "siskingw/quota/instances"

// Roster lists the instances that share the quotas. The store keeps it for processes that
// start: they do not know which instances exist that they cannot reach.
type Roster struct {
	Live []string         `json:"live"`           // in touch with the writer, sorted
	Gone map[string]int64 `json:"gone,omitempty"` // vanished without leaving, with the time, ms since 1970
}

// has reports whether the roster lists an instance.
func (r Roster) has(id string) bool {
	_, gone := r.Gone[id]
	_, live := slices.BinarySearch(r.Live, id)
	return live || gone
}

// lacks reports whether other lists an instance that r does not.
func (r Roster) lacks(other Roster) bool {
	missing := func(id string) bool { return !r.has(id) }
	return slices.ContainsFunc(other.Live, missing) || slices.ContainsFunc(slices.Collect(maps.Keys(other.Gone)), missing)
}

// RosterStore keeps the roster in the store.
type RosterStore struct{ Store store.Store }

// Read returns the roster, which is empty if there is none or it cannot be decoded, and
// the position of its last write. It returns the errors of store.Get but NotFound.
func (s RosterStore) Read(ctx context.Context) (Roster, store.Position, error) {
	kv, err := s.Store.Get(ctx, rosterKey)
	if err != nil && !errorx.IsOfType(err, errdefs.NotFound) {
		return Roster{}, store.Position{}, err
	}
	var r Roster
	if err != nil || json.Unmarshal(kv.Value, &r) != nil {
		return Roster{}, kv.Position, nil
	}
	slices.Sort(r.Live)
	return r, kv.Position, nil
}

// Write replaces the roster that was written at last. It returns the errors of
// store.CompareAndSwap.
func (s RosterStore) Write(ctx context.Context, r Roster, last store.Position) (store.Position, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return store.Position{}, errdefs.Internal.Wrap(err, "list of the instances that share the quotas")
	}
	return s.Store.CompareAndSwap(ctx, rosterKey, last, b, 0)
}

const (
	// growDelay and shrinkDelay are how long the roster in the store may lack an
	// instance, and list one that has left. A list that is too long costs credit only
	// after a restart; the longer delay spares the writes of rolling restarts.
	growDelay   = time.Second
	shrinkDelay = 4 * time.Second
	// rosterPoll is the interval at which the first node that watches the store reads
	// the roster again: one in another part of the fleet may have written it.
	rosterPoll = 10 * time.Second
	// rosterRetry is the pause after a failed call to the store.
	rosterRetry = 5 * time.Second
)

// rosterWriter decides when the first node that watches the store writes the roster. It
// is not safe for concurrent use.
type rosterWriter struct {
	known      bool   // stored is what the store holds
	stored     Roster // as read or written last, also while it is not known
	readAt     time.Time
	written    store.Position
	growSince  time.Time // since when stored lacks an instance; zero if it does not
	otherSince time.Time // since when stored differs; zero if it does not
	retryAt    time.Time
}

// rosterAction is what a rosterWriter asks for.
type rosterAction int

const (
	rosterKeep rosterAction = iota
	rosterRead
	rosterWrite
)

// next returns what is to be done about the roster that the node knows.
func (w *rosterWriter) next(current Roster, now time.Time) rosterAction {
	if now.Before(w.retryAt) {
		return rosterKeep
	}
	if !w.known || now.Sub(w.readAt) >= rosterPoll {
		return rosterRead
	}
	since := func(t *time.Time, differs bool, delay time.Duration) bool {
		switch {
		case !differs:
			*t = time.Time{}
		case t.IsZero():
			*t = now
		}
		return differs && now.Sub(*t) >= delay
	}
	grown := since(&w.growSince, w.stored.lacks(current), growDelay)
	other := since(&w.otherSince, w.stored.lacks(current) || current.lacks(w.stored), shrinkDelay)
	if grown || other {
		return rosterWrite
	}
	return rosterKeep
}

// read records what the store holds. It returns the instances that have been added since
// the last time: a part of the fleet that is cut off has them.
func (w *rosterWriter) read(r Roster, at store.Position, now time.Time) (added []string) {
	if !w.readAt.IsZero() {
		lacking := func(id string) bool { return w.stored.has(id) }
		added = slices.DeleteFunc(append(slices.Collect(maps.Keys(r.Gone)), r.Live...), lacking)
	}
	w.known, w.stored, w.written, w.readAt = true, r, at, now
	return added
}

// wrote records the result of a write. After a failed one the roster is read again.
func (w *rosterWriter) wrote(r Roster, at store.Position, err error, now time.Time) {
	if err == nil {
		w.stored, w.written = r, at
		return
	}
	w.failed(now)
	if errorx.IsOfType(err, errdefs.Conflict) {
		w.retryAt = now // another node has written it
	}
}

// failed records a failed call.
func (w *rosterWriter) failed(now time.Time) { w.known, w.retryAt = false, now.Add(rosterRetry) }
