// Package targets tracks the target of an instance: what the target announces
// about itself and whether it may receive calls. A target that restarts may keep
// its ID and address; the registry tells its starts apart by their start times.
//
// Guarantee: once a departure is acknowledged, that start of the target never
// becomes current again. A delayed announcement of an earlier start at the same
// address does not replace the current one.
//
// The registry of a process does not know which departures an earlier process of
// the node has acknowledged. It takes the announcement of a start from before its
// own time only as a candidate, until the start is confirmed; see
// RequireConfirmation.
package targets

import (
	"cmp"
	"sync"
	"time"

	"siskingw/errdefs"
)

// Announcement is a target's periodic report about itself.
type Announcement struct {
	ID         string
	Service    string
	Address    string        // host:port
	Started    time.Time     // start time; a target may restart under the same ID
	Sequence   uint64        // increases with each announcement of one start
	Slots      int           // maximum of concurrent calls
	Leaving    bool          // it accepts no new calls
	WarmupLeft time.Duration // rest of its warm-up
	Version    string        // version of its software; may be empty
}

const (
	// MaxSlots is the largest credible number of slots. A target runs one request
	// at a time on a connection, and a node has fewer than 65,536 local ports.
	MaxSlots = 1<<16 - 1
	// maxWarmup is the longest credible warm-up.
	maxWarmup = time.Hour
	// maxVersionBytes bounds a version, which becomes part of the membership
	// record that every node holds.
	maxVersionBytes = 128
	// maxClockDifference is how far ahead of this node's clock a start time may
	// be. A start time in the far future would outrank every later start.
	maxClockDifference = time.Hour
	// minAnnounceInterval and sequenceSlack bound the sequence number of a start:
	// its age divided by the interval, plus the slack. After a higher number,
	// every announcement of the target itself would count as stale.
	minAnnounceInterval = time.Millisecond
	sequenceSlack       = 1 << 20
)

// validate returns an Invalid error for an announcement with a value that no
// target can have, such as those of a faulty writer.
func (a Announcement) validate(now time.Time) error {
	switch {
	case a.Slots <= 0 || a.Slots > MaxSlots:
		return errdefs.Invalid.New("announcement of %q: %d slots are not in the range 1 to %d", a.ID, a.Slots, MaxSlots)
	case a.WarmupLeft < 0 || a.WarmupLeft > maxWarmup:
		return errdefs.Invalid.New("announcement of %q: warm-up of %v is not in the range 0 to %v", a.ID, a.WarmupLeft, maxWarmup)
	case len(a.Version) > maxVersionBytes:
		return errdefs.Invalid.New("announcement of %q: version of %d bytes is longer than %d", a.ID, len(a.Version), maxVersionBytes)
	case a.Started.Sub(now) > maxClockDifference:
		return errdefs.Invalid.New("announcement of %q: start time %v is in the future", a.ID, a.Started.UTC())
	}
	if limit := max(now.Sub(a.Started), 0)/minAnnounceInterval + sequenceSlack; a.Sequence > uint64(limit) {
		return errdefs.Invalid.New("announcement of %q: sequence number %d is above %d, the highest that its age allows",
			a.ID, a.Sequence, limit)
	}
	return nil
}

// Target is one start of a target that may receive calls.
type Target struct {
	ID        string
	Service   string
	Address   string // host:port
	Started   time.Time
	Slots     int       // maximum of concurrent calls
	WarmupEnd time.Time // end of its warm-up, during which it is slow
	Version   string    // version of its software; empty if not stated
}

// startKey identifies one start of a target.
type startKey struct {
	id      string
	started int64 // ms since 1970
}

// entry is the state of one start.
type entry struct {
	target    Target
	sequence  uint64
	leaving   bool
	probed    bool // responded to a health check, but has not announced itself yet
	candidate bool // may have left before this registry existed, see RequireConfirmation
	lastHeard time.Time
	steady    time.Time // since when it has announced itself without a gap above the expiry
}

// departure is a departure that covers all starts of a target up to one.
type departure struct {
	until    time.Time // start time of the latest start that has left
	recorded time.Time
}

const (
	// maxEntries bounds the number of starts kept.
	maxEntries = 64
	// retention is how long a start is kept after its last message, so that a
	// delayed message of it is not taken for that of a new start.
	retention = 10 * time.Minute
)

// Registry holds the targets of one instance. Its methods are safe for
// concurrent use.
type Registry struct {
	expiry time.Duration // a target silent for longer counts as gone

	mu            sync.Mutex
	entries       map[startKey]*entry
	departures    map[string]departure // departures of starts that may be unknown, by target ID
	confirmBefore time.Time            // starts before it need a confirmation; zero for none
	current       *entry
	lastReported  *Target // as last passed to onChange
	onChange      func(*Target, Loss)
}

// Loss describes why the current target was lost. The zero Loss means that none
// was lost, as with the first target.
type Loss struct {
	Target *Target       // the lost target; nil for none
	Reason string        // why it no longer receives calls
	Silent time.Duration // time since its last announcement
}

// Reasons of a Loss.
const (
	LostLeaving  = "leaving"  // it announced its departure, or another target responds at its address
	LostSilent   = "silent"   // it has not announced itself for too long
	LostReplaced = "replaced" // a later start has replaced it
)

// NewRegistry returns an empty registry. A target that is silent for longer than
// expiry counts as gone.
func NewRegistry(expiry time.Duration) *Registry {
	return &Registry{expiry: expiry, entries: make(map[startKey]*entry), departures: make(map[string]departure)}
}

// OnChange registers f, which is called after each change of the current target
// with the new one, or nil, and the loss of the previous one. f must return
// quickly and must not call the registry. OnChange must be called before all
// other methods.
func (r *Registry) OnChange(f func(*Target, Loss)) { r.onChange = f }

// RequireConfirmation makes starts from before the given time candidates: an earlier
// process may have acknowledged their departure, and their announcements may be
// delayed ones. A candidate becomes usable when Confirm is called, or when it has
// announced itself without a gap for longer than the expiry: no target announces
// itself after its departure, and an announcement is not delayed for so long.
// RequireConfirmation must be called before all other methods.
func (r *Registry) RequireConfirmation(before time.Time) { r.confirmBefore = before }

// Knows reports whether a start of the target with the ID is known.
func (r *Registry) Knows(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.entries {
		if k.id == id {
			return true
		}
	}
	return false
}

// Heard reports whether the registry knows a target or the departure of one.
func (r *Registry) Heard() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries) > 0 || len(r.departures) > 0
}

// Candidate returns the latest start that needs a confirmation, or nil.
func (r *Registry) Candidate(now time.Time) *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *entry
	for _, e := range r.entries {
		if e.candidate && !e.leaving && now.Sub(e.lastHeard) <= r.expiry && !r.superseded(e) &&
			(best == nil || e.target.Started.After(best.target.Started)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	t := best.target
	return &t
}

// Confirm makes the candidates with the ID usable: their target has passed a
// health check, which it fails once it leaves.
func (r *Registry) Confirm(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, e := range r.entries {
		if k.id == id {
			e.candidate = false
		}
	}
	r.selectCurrent(now)
}

// Announce handles an announcement. It returns a Stale error if one of the same
// start with the same or a higher sequence number has been handled, and an
// Invalid error if it holds a value that no target can have.
func (r *Registry) Announce(a Announcement, now time.Time) error {
	if err := a.validate(now); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := startKey{a.ID, a.Started.UnixMilli()}
	confirmed, version := r.removeProbed(a.ID)
	e := r.entries[k]
	if e != nil && a.Sequence <= e.sequence {
		return errdefs.Stale.New("announcement %d of %q is not newer than %d", a.Sequence, a.ID, e.sequence)
	}
	if e == nil {
		e = &entry{candidate: !confirmed && a.Started.Before(r.confirmBefore), steady: now}
		r.addEntry(k, e, now)
	}
	if now.Sub(e.lastHeard) > r.expiry {
		e.steady = now
	}
	e.candidate = e.candidate && now.Sub(e.steady) <= r.expiry
	e.sequence, e.lastHeard = a.Sequence, now
	left, known := r.departures[a.ID]
	e.leaving = e.leaving || a.Leaving || known && !a.Started.After(left.until)
	warmupEnd := e.target.WarmupEnd
	if warmupEnd.IsZero() && a.WarmupLeft > 0 {
		warmupEnd = now.Add(a.WarmupLeft)
	}
	e.target = Target{ID: a.ID, Service: a.Service, Address: a.Address, Started: a.Started,
		Slots: a.Slots, WarmupEnd: warmupEnd, Version: cmp.Or(a.Version, e.target.Version, version)}
	r.selectCurrent(now)
	return nil
}

// AddProbed adds a target that responded to a health check before it announced
// itself to this process. It is used until the first announcement. AddProbed
// returns a Stale error if a target has already announced itself, or t its
// departure.
func (r *Registry) AddProbed(t Target, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.departures[t.ID]; left || len(r.entries) > 0 {
		return errdefs.Stale.New("target %q has already announced itself or its departure", t.ID)
	}
	r.entries[startKey{t.ID, t.Started.UnixMilli()}] = &entry{target: t, probed: true, lastHeard: now}
	r.selectCurrent(now)
	return nil
}

// removeProbed removes a target added by AddProbed. It reports whether it had the given
// ID, and its version in that case. r.mu must be held.
func (r *Registry) removeProbed(id string) (found bool, version string) {
	for k, e := range r.entries {
		if e.probed {
			if k.id == id {
				found, version = true, e.target.Version
			}
			delete(r.entries, k)
		}
	}
	return found, version
}

// Leave records the permanent departure of a target. A zero started means every
// start of the ID so far, including those unknown to this registry, which may
// have been created after the target started.
func (r *Registry) Leave(id string, started time.Time, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, e := range r.entries {
		if k.id == id && (started.IsZero() || k.started <= started.UnixMilli()) {
			e.leaving, e.lastHeard = true, now
		}
	}
	if started.IsZero() {
		r.addDeparture(id, departure{until: now, recorded: now})
	} else {
		k := startKey{id, started.UnixMilli()}
		if r.entries[k] == nil {
			r.addEntry(k, &entry{leaving: true, lastHeard: now, target: Target{ID: id, Started: started}}, now)
		}
	}
	r.selectCurrent(now)
}

// AddDeparture records a departure that another registry has acknowledged. It
// covers the starts of the target up to the given start time.
func (r *Registry) AddDeparture(id string, until, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, e := range r.entries {
		if k.id == id && (e.probed || k.started <= until.UnixMilli()) {
			e.leaving = true
		}
	}
	r.addDeparture(id, departure{until: until, recorded: now})
	r.selectCurrent(now)
}

// RecordGone records that a target no longer exists, because another one responds
// at its address.
func (r *Registry) RecordGone(t *Target, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[startKey{t.ID, t.Started.UnixMilli()}]; e != nil {
		e.leaving = true
	}
	r.selectCurrent(now)
}

// Current returns the target that may receive calls, or nil.
func (r *Registry) Current() *Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return nil
	}
	t := r.current.target
	return &t
}

// Expire deselects a target that has been silent for longer than the expiry time.
// It must be called periodically.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selectCurrent(now)
}

// selectCurrent makes the latest start among those that may receive calls the
// current target. r.mu must be held.
func (r *Registry) selectCurrent(now time.Time) {
	var best *entry
	for _, e := range r.entries {
		if e.leaving || e.candidate || now.Sub(e.lastHeard) > r.expiry {
			continue
		}
		if best == nil || e.target.Started.After(best.target.Started) ||
			e.target.Started.Equal(best.target.Started) && e.target.ID > best.target.ID {
			best = e
		}
	}
	// An earlier start at the address of a later one no longer exists, even if
	// the later one has left or gone silent since.
	if best != nil && r.superseded(best) {
		best = nil
	}
	loss := r.loss(best, now)
	r.current = best
	if best == nil {
		r.report(nil, loss)
		return
	}
	t := best.target
	r.report(&t, loss)
}

// loss returns why next, which may be nil, replaces the current target. r.mu must
// be held.
func (r *Registry) loss(next *entry, now time.Time) Loss {
	previous := r.current
	if previous == nil || previous == next {
		return Loss{}
	}
	t := previous.target
	l := Loss{Target: &t, Reason: LostReplaced, Silent: now.Sub(previous.lastHeard)}
	switch {
	case previous.leaving:
		l.Reason = LostLeaving
	case l.Silent > r.expiry:
		l.Reason = LostSilent
	}
	return l
}

// report passes the current target to onChange if it differs from the last one
// passed. r.mu must be held.
func (r *Registry) report(t *Target, loss Loss) {
	if t == nil && r.lastReported == nil || t != nil && r.lastReported != nil && *t == *r.lastReported {
		return
	}
	r.lastReported = t
	if r.onChange != nil {
		r.onChange(t, loss)
	}
}

// superseded reports whether a later start was announced at the address of e.
// r.mu must be held.
func (r *Registry) superseded(e *entry) bool {
	for _, o := range r.entries {
		if o.target.Address == e.target.Address && o.target.Started.After(e.target.Started) {
			return true
		}
	}
	return false
}

// addEntry adds an entry and removes old ones. r.mu must be held.
func (r *Registry) addEntry(k startKey, e *entry, now time.Time) {
	for old, o := range r.entries {
		if now.Sub(o.lastHeard) > retention {
			delete(r.entries, old)
		}
	}
	if len(r.entries) >= maxEntries {
		r.removeOldest()
	}
	r.entries[k] = e
}

// addDeparture records the departure of starts that may be unknown. r.mu
// must be held.
func (r *Registry) addDeparture(id string, added departure) {
	for old, d := range r.departures {
		if added.recorded.Sub(d.recorded) > retention {
			delete(r.departures, old)
		}
	}
	if len(r.departures) >= maxEntries {
		clear(r.departures) // more departures than one instance can produce
	}
	if known, ok := r.departures[id]; ok && known.until.After(added.until) {
		added.until = known.until
	}
	r.departures[id] = added
}

// removeOldest removes the entry that was silent for the longest time, except the
// current one. r.mu must be held.
func (r *Registry) removeOldest() {
	var oldest startKey
	var at time.Time
	for k, e := range r.entries {
		if e != r.current && (at.IsZero() || e.lastHeard.Before(at)) {
			oldest, at = k, e.lastHeard
		}
	}
	delete(r.entries, oldest)
}
