package idem

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
)

const (
	// maxClockSkew is how far the issue time of a key may lie in the future by the
	// owner's clock.
	maxClockSkew = 5 * time.Second
	// keyLifetime is how long after its issue time a key is accepted and kept in the
	// ledger.
	keyLifetime = 10 * time.Minute
	// DefaultMaxBytes is the default of Options.MaxBytes.
	DefaultMaxBytes = 16 << 20
	// MaxResponseBytes is the size limit of one stored response in bytes, header and
	// body together.
	MaxResponseBytes = 64 << 10
	// responseSharePercent is the share of the memory limit, in percent, that stored
	// responses may use. The rest is reserved to record that further keys ran.
	responseSharePercent = 50
	// entryBytes is the memory in bytes counted for an entry without its response:
	// 96 for the entry and up to 80 for its share of a map that has just grown.
	// With 154, the heap use is 0.5% above the counted bytes.
	entryBytes = 176
	// responseOverheadBytes is the memory counted on top of a stored response: the
	// allocator's average rounding.
	responseOverheadBytes = 16
)

// Action is the ledger's decision about a keyed request.
type Action int

// Values of Action.
const (
	// Run: this request may run the call; RecordResponse, RecordUnknown,
	// RecordNotRun or Withdraw must follow.
	Run Action = iota + 1
	// Replay: the call ran, and Decision.Response is its response.
	Replay
	// Moved: the key was handed over to Decision.Owner with Decision.Voucher.
	Moved
	// Refused: the call has not run here so far, but an earlier attempt that is
	// still in transit may run later.
	Refused
	// Unknown: the call may have run.
	Unknown
	// RanNotStored: the call ran and got a complete response, but the response is
	// not stored.
	RanNotStored
	// Closed: the call certainly never ran and never will.
	Closed
)

// String returns the action's name, or "invalid".
func (a Action) String() string {
	names := [...]string{Run: "run", Replay: "replay", Moved: "moved", Refused: "refused",
		Unknown: "unknown", RanNotStored: "ran", Closed: "closed"}
	if a < Run || a > Closed {
		return "invalid"
	}
	return names[a]
}

// Decision is the result of Ledger.Begin.
type Decision struct {
	Action   Action
	Response *Response      // for Replay
	Owner    *member.Record // for Moved
	Voucher  string         // for Moved
}

// Options configures a Ledger. Zero values select the defaults.
type Options struct {
	MaxBytes int              // memory limit in bytes; default DefaultMaxBytes
	Secret   []byte           // key that signs vouchers, shared by all nodes
	Now      func() time.Time // must never go back; nil for wall time at the start, advanced by monotonic time
}

// Ledger records the keys that this process ran. It never evicts a key that is
// still accepted: when its memory limit is reached, it refuses new keys instead.
type Ledger struct {
	owner       string
	incarnation uint64 // at the start of the process
	opts        Options

	mu                sync.Mutex
	entries           map[[nonceBytes]byte]*entry
	expiry            expiryList
	bytes             int                      // counted memory of entries and responses
	responseBytes     int                      // part of bytes used by responses
	successor         func(Key) *member.Record // selects the new owner of a key; nil unless draining
	laterIncarnations []uint64                 // further incarnations of this process
}

// state is the state of one key.
type state uint8

const (
	stateRunning  state = iota + 1
	stateFinished       // ran and got a complete response, stored or not
	stateUnknown        // may have run
	stateMoved          // handed over to another owner; never runs here
	stateClosed         // permanently refused; never ran and never will
)

// entry is the record of one key. It is kept small, because the number of keys that
// fit into the memory limit limits the rate of keyed calls. It is guarded by
// Ledger.mu.
type entry struct {
	nonce        [nonceBytes]byte
	issuedMs     int64
	keyOwner     *keyOwner      // owner in the key; nil for this process with its first incarnation
	response     string         // encoded response; empty if it is not stored
	newOwner     *member.Record // new owner of a moved key
	settled      chan struct{}  // closed when the key is no longer running; nil until a request waits for it
	older, newer *entry         // links in the expiry list
	state        state
	expired      bool // removed from the expiry list
}

// keyOwner is the owner in a key if it is another process, or this one with a later
// incarnation.
type keyOwner struct {
	id          string
	incarnation uint64
}

// keyOwnerBytes is the memory counted for a keyOwner without the owner's ID.
const keyOwnerBytes = 32

// size returns the memory counted for the entry, in bytes.
func (e *entry) size() int {
	n := entryBytes
	if e.keyOwner != nil {
		n += keyOwnerBytes + len(e.keyOwner.id)
	}
	if e.response != "" {
		n += len(e.response) + responseOverheadBytes
	}
	return n
}

// newEntry returns an entry for k in state s.
func (l *Ledger) newEntry(k Key, s state) *entry {
	e := &entry{nonce: k.Nonce, issuedMs: k.IssuedMs, state: s}
	if k.Owner != l.owner || k.Incarnation != l.incarnation {
		e.keyOwner = &keyOwner{strings.Clone(k.Owner), k.Incarnation}
	}
	return e
}

// key returns the key of an entry.
func (l *Ledger) key(e *entry) Key {
	k := Key{Owner: l.owner, Incarnation: l.incarnation, IssuedMs: e.issuedMs, Nonce: e.nonce}
	if e.keyOwner != nil {
		k.Owner, k.Incarnation = e.keyOwner.id, e.keyOwner.incarnation
	}
	return k
}

// NewLedger returns an empty ledger for the process with the given node ID and
// incarnation.
func NewLedger(ownerID string, incarnation uint64, opts Options) *Ledger {
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.Now == nil {
		opts.Now = monotonicClock()
	}
	return &Ledger{owner: ownerID, incarnation: incarnation, opts: opts, entries: make(map[[nonceBytes]byte]*entry)}
}

// Drain makes the ledger hand over the keys that it has not recorded yet.
// successor selects the new owner of a key and returns nil if there is none.
func (l *Ledger) Drain(successor func(Key) *member.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successor = successor
}

// AddIncarnation adds an incarnation that this process adopted after its start,
// because the membership record of an earlier process had a higher one. Without it,
// keys with the new incarnation get Unknown. No other process may use the
// incarnation.
func (l *Ledger) AddIncarnation(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation && !slices.Contains(l.laterIncarnations, incarnation) {
		l.laterIncarnations = append(l.laterIncarnations, incarnation)
	}
}

// Begin decides what to do with a keyed request; voucher may be empty. While another
// request runs the same key, it waits until that one ends or ctx is done.
// The error is a NotRun error with Refused and Closed, an OutcomeUnknown error
// with Unknown, and nil otherwise. After Run the caller must call
// RecordResponse, RecordUnknown, RecordNotRun or Withdraw.
func (l *Ledger) Begin(ctx context.Context, k Key, voucher string) (Decision, error) {
	for {
		l.mu.Lock()
		d, wait, err := l.decide(k, voucher)
		l.mu.Unlock()
		if wait == nil {
			return d, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Decision{Action: Unknown}, errdefs.OutcomeUnknown.Wrap(ctx.Err(), "key is still running")
		}
	}
}

// decide returns the decision for k, or a channel to wait for before the next try.
// l.mu must be held.
func (l *Ledger) decide(k Key, voucher string) (Decision, <-chan struct{}, error) {
	now := l.opts.Now()
	l.expire(now)
	if now.Add(-keyLifetime).UnixMilli() >= k.IssuedMs {
		return unknownDecision(errExpired)
	}
	if e, ok := l.entries[k.Nonce]; ok {
		if l.key(e) != k {
			return unknownDecision(errNonceReused)
		}
		return l.decideRecorded(e)
	}
	if !l.mayRun(k, voucher) {
		return unknownDecision(errOtherProcess)
	}
	if now.Add(maxClockSkew).UnixMilli() < k.IssuedMs {
		return refusedDecision(errIssuedInFuture)
	}
	e := l.newEntry(k, stateRunning)
	if l.bytes+e.size() > l.opts.MaxBytes {
		return refusedDecision(errFull)
	}
	if l.successor != nil {
		return l.handOver(k, e)
	}
	l.add(e)
	return Decision{Action: Run}, nil, nil
}

// mayRun reports whether this process may run k: the key names it, or the
// voucher is valid and hands the key over to it.
func (l *Ledger) mayRun(k Key, voucher string) bool {
	if k.Owner == l.owner && l.ownIncarnation(k.Incarnation) {
		return true
	}
	if voucher == "" {
		return false
	}
	valid := func(incarnation uint64) bool { return verifyVoucher(l.opts.Secret, voucher, k, l.owner, incarnation) }
	return valid(l.incarnation) || slices.ContainsFunc(l.laterIncarnations, valid)
}

// ownIncarnation reports whether incarnation is one of this process.
func (l *Ledger) ownIncarnation(incarnation uint64) bool {
	return incarnation == l.incarnation || slices.Contains(l.laterIncarnations, incarnation)
}

// handOver hands a key that is not recorded yet over to another owner. l.mu must
// be held.
func (l *Ledger) handOver(k Key, e *entry) (Decision, <-chan struct{}, error) {
	to := l.successor(k)
	if to == nil || to.ID == l.owner {
		return refusedDecision(errNoOwner)
	}
	e.state, e.newOwner = stateMoved, to
	l.add(e)
	return l.decideRecorded(e)
}

// decideRecorded returns the decision for a recorded key. l.mu must be held.
func (l *Ledger) decideRecorded(e *entry) (Decision, <-chan struct{}, error) {
	switch e.state {
	case stateRunning:
		if e.settled == nil {
			e.settled = make(chan struct{})
		}
		return Decision{}, e.settled, nil
	case stateFinished:
		if e.response == "" {
			return Decision{Action: RanNotStored}, nil, nil
		}
		return Decision{Action: Replay, Response: decodeResponse(e.response)}, nil, nil
	case stateMoved:
		v := signVoucher(l.opts.Secret, l.key(e), e.newOwner.ID, e.newOwner.Incarnation)
		return Decision{Action: Moved, Owner: e.newOwner, Voucher: v}, nil, nil
	case stateClosed:
		return Decision{Action: Closed}, nil, errClosed
	}
	return unknownDecision(errMayHaveRun)
}

// Errors of decisions. They are created once, because creating an error with a
// stack trace costs more than the decision itself.
var (
	errExpired        = errdefs.OutcomeUnknown.New("key has expired")
	errNonceReused    = errdefs.OutcomeUnknown.New("another key has the same nonce")
	errOtherProcess   = errdefs.OutcomeUnknown.New("key belongs to another process")
	errMayHaveRun     = errdefs.OutcomeUnknown.New("an earlier attempt may have run")
	errIssuedInFuture = errdefs.NotRun.New("key was issued in the future")
	errFull           = errdefs.NotRun.New("ledger is full")
	errClosed         = errdefs.NotRun.New("key was refused for good")
	errNoOwner        = errdefs.NotRun.New("owner is draining and knows no other owner")
)

func unknownDecision(reason error) (Decision, <-chan struct{}, error) {
	return Decision{Action: Unknown}, nil, reason
}

func refusedDecision(reason error) (Decision, <-chan struct{}, error) {
	return Decision{Action: Refused}, nil, reason
}
