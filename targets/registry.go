// Package targets knows the target beside a node: what the target states about
// itself and whether it may get work.
//
// Guarantee: once a departure is acknowledged, that start of the target never
// becomes current again. A delayed announcement of an earlier start at the same
// address replaces nothing.
package targets

import (
	"sync"
	"time"

	"siskingw/errdefs"
)

// Announcement is what a target states about itself.
type Announcement struct {
	ID       string
	Service  string
	Address  string    // host:port
	Started  time.Time // of this start; a target may start again under its id
	Sequence uint64    // rises with each announcement of one start
	Slots    int       // calls that it runs at once
	Leaving  bool      // it takes no new work
	ColdFor  time.Duration
}

// Target is one start of a target that may get work.
type Target struct {
	ID        string
	Service   string
	Address   string // host:port
	Started   time.Time
	Slots     int       // calls that it runs at once
	ColdUntil time.Time // it is slow until then
}

// start identifies one start of a target.
type start struct {
	id      string
	started int64 // ms since 1970
}

// entry is what is known about one start.
type entry struct {
	target   Target
	sequence uint64
	leaving  bool
	found    bool // answered a health check, but has not announced itself yet
	heardAt  time.Time
}

const (
	// maxEntries bounds the starts that are remembered.
	maxEntries = 64
	// forgetAfter is how long a start is remembered after its last statement: a
	// delayed one must still be told from a new one.
	forgetAfter = 10 * time.Minute
)

// Registry holds the targets of one instance. Its methods are safe for
// concurrent use.
type Registry struct {
	expiry time.Duration // silence after which a target counts as gone

	mu        sync.Mutex
	entries   map[start]*entry
	departed  map[string]time.Time // when a start that is not known left, by id
	current   *entry
	published *Target // as last reported to onChange
	onChange  func(*Target, Loss)
}

// Loss tells why the target that may get work changed. The zero Loss stands for
// the first one.
type Loss struct {
	Target *Target       // the one before; nil for none
	Reason string        // why it gets no more work
	Silent time.Duration // since its last announcement
}

// Reasons of a Loss.
const (
	LostLeaving  = "leaving"  // it said that it leaves, or another one answers at its address
	LostSilent   = "silent"   // it has not announced itself for too long
	LostReplaced = "replaced" // a later start has taken its place
)

// NewRegistry returns an empty registry. expiry is how long a target may be
// silent before it counts as gone.
func NewRegistry(expiry time.Duration) *Registry {
	return &Registry{expiry: expiry, entries: make(map[start]*entry), departed: make(map[string]time.Time)}
}

// OnChange registers f, which is called with the current target, or nil, and the
// reason after each change of it. It must return quickly, must not call the
// registry and be registered before use.
func (r *Registry) OnChange(f func(*Target, Loss)) { r.onChange = f }

// Announce takes a statement. It returns a Stale error for one that is older
// than what is known.
func (r *Registry) Announce(a Announcement, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := start{a.ID, a.Started.UnixMilli()}
	r.dropFound()
	e := r.entries[k]
	if e != nil && a.Sequence <= e.sequence {
		return errdefs.Stale.New("announcement %d of %q is not newer than %d", a.Sequence, a.ID, e.sequence)
	}
	if e == nil {
		e = &entry{}
		r.remember(k, e, now)
	}
	e.sequence, e.heardAt = a.Sequence, now
	e.leaving = e.leaving || a.Leaving || !a.Started.After(r.departed[a.ID])
	cold := e.target.ColdUntil
	if cold.IsZero() && a.ColdFor > 0 {
		cold = now.Add(a.ColdFor)
	}
	e.target = Target{ID: a.ID, Service: a.Service, Address: a.Address, Started: a.Started, Slots: a.Slots, ColdUntil: cold}
	r.choose(now)
	return nil
}

// Find takes a target that answers its health check before it has announced
// itself to this process. It is used until the first announcement. It returns a
// Stale error when the target has announced itself, or its departure, already.
func (r *Registry) Find(t Target, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.departed[t.ID]; left || len(r.entries) > 0 {
		return errdefs.Stale.New("target %q has announced itself", t.ID)
	}
	r.entries[start{t.ID, t.Started.UnixMilli()}] = &entry{target: t, found: true, heardAt: now}
	r.choose(now)
	return nil
}

// dropFound forgets the target that was only found. The registry is locked.
func (r *Registry) dropFound() {
	for k, e := range r.entries {
		if e.found {
			delete(r.entries, k)
		}
	}
}

// Leave notes that a target leaves for good. A start of zero means every start
// under the id so far, also those that this registry has not heard of: it may be
// younger than the target.
func (r *Registry) Leave(id string, started time.Time, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, e := range r.entries {
		if k.id == id && (started.IsZero() || k.started <= started.UnixMilli()) {
			e.leaving, e.heardAt = true, now
		}
	}
	if started.IsZero() {
		r.rememberDeparture(id, now)
	} else {
		k := start{id, started.UnixMilli()}
		if r.entries[k] == nil {
			r.remember(k, &entry{leaving: true, heardAt: now, target: Target{ID: id, Started: started}}, now)
		}
	}
	r.choose(now)
}

// Gone notes that the target does not exist any more: another one answers at
// its address.
func (r *Registry) Gone(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[start{t.ID, t.Started.UnixMilli()}]; e != nil {
		e.leaving = true
	}
	r.choose(now)
}

// Current returns the target that may get work, or nil.
func (r *Registry) Current() *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return nil
	}
	t := r.current.target
	return &t
}

// Expire drops targets that have been silent for too long. It must be called
// from time to time.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.choose(now)
}

// choose selects the start that was begun last among those that may get work.
// The registry is locked.
func (r *Registry) choose(now time.Time) {
	var best *entry
	for _, e := range r.entries {
		if e.leaving || now.Sub(e.heardAt) > r.expiry {
			continue
		}
		if best == nil || e.target.Started.After(best.target.Started) ||
			e.target.Started.Equal(best.target.Started) && e.target.ID > best.target.ID {
			best = e
		}
	}
	// An earlier start at the address of a later one is gone, whatever is known
	// of the later one by now.
	if best != nil && r.superseded(best) {
		best = nil
	}
	loss := r.loss(best, now)
	r.current = best
	if best == nil {
		r.publish(nil, loss)
		return
	}
	t := best.target
	r.publish(&t, loss)
}

// loss tells why the target so far gives way to next, which may be nil. The
// registry is locked.
func (r *Registry) loss(next *entry, now time.Time) Loss {
	old := r.current
	if old == nil || old == next {
		return Loss{}
	}
	t := old.target
	l := Loss{Target: &t, Reason: LostReplaced, Silent: now.Sub(old.heardAt)}
	switch {
	case old.leaving:
		l.Reason = LostLeaving
	case l.Silent > r.expiry:
		l.Reason = LostSilent
	}
	return l
}

// publish reports the current target when it differs from the last one
// reported. The registry is locked.
func (r *Registry) publish(t *Target, loss Loss) {
	if t == nil && r.published == nil || t != nil && r.published != nil && *t == *r.published {
		return
	}
	r.published = t
	if r.onChange != nil {
		r.onChange(t, loss)
	}
}

func (r *Registry) superseded(e *entry) bool {
	for _, o := range r.entries {
		if o.target.Address == e.target.Address && o.target.Started.After(e.target.Started) {
			return true
		}
	}
	return false
}

// remember adds an entry and forgets old ones. The registry is locked.
func (r *Registry) remember(k start, e *entry, now time.Time) {
	for old, o := range r.entries {
		if now.Sub(o.heardAt) > forgetAfter {
			delete(r.entries, old)
		}
	}
	if len(r.entries) >= maxEntries {
		r.forgetOldest()
	}
	r.entries[k] = e
}

// rememberDeparture notes the departure of starts that may not be known. The
// registry is locked.
func (r *Registry) rememberDeparture(id string, now time.Time) {
	for old, at := range r.departed {
		if now.Sub(at) > forgetAfter {
			delete(r.departed, old)
		}
	}
	if len(r.departed) >= maxEntries {
		clear(r.departed) // more departures than one instance can have
	}
	r.departed[id] = now
}

func (r *Registry) forgetOldest() {
	var oldest start
	var at time.Time
	for k, e := range r.entries {
		if e != r.current && (at.IsZero() || e.heardAt.Before(at)) {
			oldest, at = k, e.heardAt
		}
	}
	delete(r.entries, oldest)
}
