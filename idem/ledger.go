package idem

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"siskingw/faults"
	"siskingw/member"
)

const (
	// maxAhead is the accepted clock skew: how far the issue time of a key may lie in
	// the future by the owner's clock.
	maxAhead = 5 * time.Second
	// keyLifetime is how long after its issue time a key is accepted and kept in the
	// ledger.
	keyLifetime = 10 * time.Minute
	// DefaultMaxBytes is the default of Options.MaxBytes.
	DefaultMaxBytes = 16 << 20
	// MaxAnswerBytes is the size limit of one stored response in bytes, header and
	// body together.
	MaxAnswerBytes = 64 << 10
	// answerShare is the share of the memory limit, in percent, that stored
	// responses may use. The rest is reserved to record that further keys ran.
	answerShare = 50
	// entryBytes is the memory counted for an entry without its response: 96 bytes
	// for the entry and up to 80 for its share of a map that has just grown. A
	// value of 154 counts 0.5% too little.
	entryBytes = 176
	// answerBytes is the memory counted on top of a stored response: the allocator's
	// average rounding.
	answerBytes = 16
)

// Action is the ledger's decision about a keyed request.
type Action int

// Values of Action.
const (
	// Run: this request may run the call; Finish, Lost, NotRun or Withdraw must
	// follow.
	Run Action = iota + 1
	// Replay: the call ran, and Decision.Answer is its response.
	Replay
	// Moved: the key was handed over to Decision.Owner with Decision.Voucher.
	Moved
	// Refused: the call has not run here so far, but an earlier attempt that is
	// still in transit may run later.
	Refused
	// Unknown: the call may have run.
	Unknown
	// Ran: the call ran and got a complete response, but the response is not stored.
	Ran
	// Closed: the call certainly never ran and never will.
	Closed
)

// String returns the action's name, or "invalid".
func (a Action) String() string {
	names := [...]string{Run: "run", Replay: "replay", Moved: "moved", Refused: "refused", Unknown: "unknown", Ran: "ran", Closed: "closed"}
	if a < Run || a > Closed {
		return "invalid"
	}
	return names[a]
}

// Decision is the result of Ledger.Begin.
type Decision struct {
	Action  Action
	Answer  *Answer        // for Replay
	Owner   *member.Record // for Moved
	Voucher string         // for Moved
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

	mu          sync.Mutex
	entries     map[[nonceBytes]byte]*entry
	expiry      expiryList
	bytes       int                      // counted memory of entries and responses
	answerBytes int                      // part of bytes used by responses
	next        func(Key) *member.Record // selects the new owner of a key; nil unless draining
	raised      []uint64                 // further incarnations of this process
}

// state is the state of one key.
type state uint8

const (
	running  state = iota + 1
	finished       // ran and got a complete response, stored or not
	lost           // may have run
	moved          // handed over to another owner; never runs here
	closed         // permanently refused; never ran and never will
)

// entry is the record of one key. It is kept small, because the number of keys that
// fit into the memory limit limits the rate of keyed calls. It is guarded by
// Ledger.mu.
type entry struct {
	nonce        [nonceBytes]byte
	issuedMs     int64
	origin       *origin        // owner in the key; nil for this process with its first incarnation
	answer       string         // encoded response; empty if it is not stored
	to           *member.Record // new owner of a moved key
	settled      chan struct{}  // closed when the key is no longer running; nil until a request waits for it
	older, newer *entry         // links in the expiry list
	state        state
	expired      bool // removed from the expiry list
}

// origin is the owner in a key if it is another process, or this one with a later
// incarnation.
type origin struct {
	owner       string
	incarnation uint64
}

// originBytes is the memory counted for an origin without the owner's ID.
const originBytes = 32

// size returns the memory counted for the entry, in bytes.
func (e *entry) size() int {
	n := entryBytes
	if e.origin != nil {
		n += originBytes + len(e.origin.owner)
	}
	if e.answer != "" {
		n += len(e.answer) + answerBytes
	}
	return n
}

// newEntry returns an entry for k in state s.
func (l *Ledger) newEntry(k Key, s state) *entry {
	e := &entry{nonce: k.Nonce, issuedMs: k.IssuedMs, state: s}
	if k.Owner != l.owner || k.Incarnation != l.incarnation {
		e.origin = &origin{strings.Clone(k.Owner), k.Incarnation}
	}
	return e
}

// key returns the key of an entry.
func (l *Ledger) key(e *entry) Key {
	k := Key{Owner: l.owner, Incarnation: l.incarnation, IssuedMs: e.issuedMs, Nonce: e.nonce}
	if e.origin != nil {
		k.Owner, k.Incarnation = e.origin.owner, e.origin.incarnation
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
		opts.Now = processClock()
	}
	return &Ledger{owner: ownerID, incarnation: incarnation, opts: opts, entries: make(map[[nonceBytes]byte]*entry)}
}

// Drain makes the ledger hand over the keys that it has not recorded yet. next
// selects the new owner of a key and returns nil if there is none.
func (l *Ledger) Drain(next func(Key) *member.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// Raise adds an incarnation that this process adopted after its start, because the
// membership record of an earlier process had a higher one. Without it, keys with
// the new incarnation get Unknown. No other process may use the incarnation.
func (l *Ledger) Raise(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation && !slices.Contains(l.raised, incarnation) {
		l.raised = append(l.raised, incarnation)
	}
}

// Begin decides what to do with a keyed request; v is its voucher or empty. While
// another request runs the same key, it waits until that one ends or ctx is done.
// The error is a NotRun error with Refused and Closed, an OutcomeUnknown error
// with Unknown, and nil otherwise. After Run the caller must call Finish, Lost,
// NotRun or Withdraw.
func (l *Ledger) Begin(ctx context.Context, k Key, v string) (Decision, error) {
	for {
		l.mu.Lock()
		d, wait, err := l.decide(k, v)
		l.mu.Unlock()
		if wait == nil {
			return d, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return Decision{Action: Unknown}, faults.OutcomeUnknown.Wrap(ctx.Err(), "key is still running")
		}
	}
}

// decide returns the decision for k, or a channel to wait for before the next try.
// l.mu is held.
func (l *Ledger) decide(k Key, v string) (Decision, <-chan struct{}, error) {
	now := l.opts.Now()
	l.expire(now)
	if now.Add(-keyLifetime).UnixMilli() >= k.IssuedMs {
		return unknown(errExpired)
	}
	if e, ok := l.entries[k.Nonce]; ok {
		if l.key(e) != k {
			return unknown(errNonce)
		}
		return l.known(e)
	}
	if !l.owns(k, v) {
		return unknown(errForeign)
	}
	if now.Add(maxAhead).UnixMilli() < k.IssuedMs {
		return refused(errFuture)
	}
	e := l.newEntry(k, running)
	if l.bytes+e.size() > l.opts.MaxBytes {
		return refused(errFull)
	}
	if l.next != nil {
		return l.move(k, e)
	}
	l.add(e)
	return Decision{Action: Run}, nil, nil
}

// owns reports whether this process may run k: the key names it, or v is a valid
// voucher that hands the key over to it.
func (l *Ledger) owns(k Key, v string) bool {
	if k.Owner == l.owner && l.mine(k.Incarnation) {
		return true
	}
	if v == "" {
		return false
	}
	valid := func(incarnation uint64) bool { return validVoucher(l.opts.Secret, v, k, l.owner, incarnation) }
	return valid(l.incarnation) || slices.ContainsFunc(l.raised, valid)
}

// mine reports whether incarnation is one of this process.
func (l *Ledger) mine(incarnation uint64) bool {
	return incarnation == l.incarnation || slices.Contains(l.raised, incarnation)
}

// move hands a key that is not recorded yet over to another owner. l.mu is held.
func (l *Ledger) move(k Key, e *entry) (Decision, <-chan struct{}, error) {
	to := l.next(k)
	if to == nil || to.ID == l.owner {
		return refused(errNoOwner)
	}
	e.state, e.to = moved, to
	l.add(e)
	return l.known(e)
}

// known returns the decision for a recorded key. l.mu is held.
func (l *Ledger) known(e *entry) (Decision, <-chan struct{}, error) {
	switch e.state {
	case running:
		if e.settled == nil {
			e.settled = make(chan struct{})
		}
		return Decision{}, e.settled, nil
	case finished:
		if e.answer == "" {
			return Decision{Action: Ran}, nil, nil
		}
		return Decision{Action: Replay, Answer: decodeAnswer(e.answer)}, nil, nil
	case moved:
		v := voucher(l.opts.Secret, l.key(e), e.to.ID, e.to.Incarnation)
		return Decision{Action: Moved, Owner: e.to, Voucher: v}, nil, nil
	case closed:
		return Decision{Action: Closed}, nil, errClosed
	}
	return unknown(errLost)
}

// Errors of decisions. They are created once, because creating an error with a
// stack trace costs more than the decision itself.
var (
	errExpired = faults.OutcomeUnknown.New("key has expired")
	errNonce   = faults.OutcomeUnknown.New("another key has the same nonce")
	errForeign = faults.OutcomeUnknown.New("key belongs to another process")
	errLost    = faults.OutcomeUnknown.New("an earlier attempt may have run")
	errFuture  = faults.NotRun.New("key was issued in the future")
	errFull    = faults.NotRun.New("ledger is full")
	errClosed  = faults.NotRun.New("key was refused for good")
	errNoOwner = faults.NotRun.New("owner is draining and knows no other owner")
)

func unknown(reason error) (Decision, <-chan struct{}, error) {
	return Decision{Action: Unknown}, nil, reason
}

func refused(reason error) (Decision, <-chan struct{}, error) {
	return Decision{Action: Refused}, nil, reason
}
