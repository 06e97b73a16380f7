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
	// maxAhead is how far the issue time may lie in the owner's future.
	maxAhead = 5 * time.Second
	// keyLifetime is how long after its issue time a key is accepted and remembered.
	keyLifetime = 10 * time.Minute
	// DefaultMaxBytes bounds the memory of a ledger.
	DefaultMaxBytes = 16 << 20
	// MaxAnswerBytes bounds one held answer, header and body together.
	MaxAnswerBytes = 64 << 10
	// answerShare is the part of the memory bound, in percent, that held
	// answers may fill. The rest stays free to record that further keys ran.
	answerShare = 50
	// entryBytes is the cost of one entry without its answer: 96 for the entry and
	// up to 80 for its share of a map that has just grown. With 154 the heap held
	// 0.5% more than was counted.
	entryBytes = 176
	// answerBytes is what the allocator rounds an answer up by, on average.
	answerBytes = 16
)

// Action is what the node does with a keyed request.
type Action int

// The actions.
const (
	// Run: this request runs the key; Finish, Lost, NotRun or Withdraw must follow.
	Run Action = iota + 1
	// Replay: the key ran; Decision.Answer is its answer.
	Replay
	// Moved: the key was handed over to Decision.Owner with Decision.Voucher.
	Moved
	// Refused: the key has not run here so far; an earlier attempt that is
	// still on its way may run later.
	Refused
	// Unknown: the key may have run.
	Unknown
	// Ran: the key ran and was answered in full, but the answer is not held.
	Ran
	// Closed: the key certainly never ran and never will.
	Closed
)

// String returns the action's name.
func (a Action) String() string {
	names := [...]string{Run: "run", Replay: "replay", Moved: "moved", Refused: "refused", Unknown: "unknown", Ran: "ran", Closed: "closed"}
	if a < Run || a > Closed {
		return "invalid"
	}
	return names[a]
}

// Decision tells the node how to go on with a keyed request.
type Decision struct {
	Action  Action
	Answer  *Answer        // for Replay
	Owner   *member.Record // for Moved
	Voucher string         // for Moved
}

// Options sets the limits of a ledger. Zero values select the defaults.
type Options struct {
	MaxBytes int
	Secret   []byte           // shared by the fleet, signs vouchers
	Now      func() time.Time // must never go back; nil for a clock that starts from wall time and advances by monotonic time
}

// Ledger records the keys that this process ran. It never forgets a key while
// the key is accepted; when its memory is full it refuses new keys instead.
type Ledger struct {
	owner       string
	incarnation uint64 // at the start of the process
	opts        Options

	mu          sync.Mutex
	entries     map[[nonceBytes]byte]*entry
	expiry      expiryList
	bytes       int // counted memory of entries and answers
	answerBytes int // part of bytes held by answers
	next        func(Key) *member.Record
	raised      []uint64 // further incarnations of this process
}

// state is the progress of one key.
type state uint8

const (
	running  state = iota + 1
	finished       // ran, answer held or not
	lost           // may have run
	moved          // handed over, will never run here
	closed         // refused for good, never ran and never will
)

// entry is what the ledger knows of one key. It is kept small, because the
// number of keys that fit into the memory bound limits the keyed calls per
// second. The ledger's lock guards it.
type entry struct {
	nonce        [nonceBytes]byte
	issuedMs     int64
	origin       *origin // whose key it is; nil for the ledger's own
	answer       string  // encoded, empty when it is not held
	to           *member.Record
	settled      chan struct{} // closed when a running key leaves that state; nil until awaited
	older, newer *entry        // neighbours in the expiry list
	state        state
	expired      bool // no longer filed for expiry
}

// origin is the owner that a key names when it is another process, or this one
// with a raised incarnation.
type origin struct {
	owner       string
	incarnation uint64
}

// originBytes is the cost of an origin without its owner's id.
const originBytes = 32

// size returns the bytes that the entry is counted with.
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

// newEntry returns the entry for k.
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

// NewLedger returns an empty ledger of the process with the given identity.
func NewLedger(ownerID string, incarnation uint64, opts Options) *Ledger {
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = DefaultMaxBytes
	}
	if opts.Now == nil {
		opts.Now = processClock()
	}
	return &Ledger{owner: ownerID, incarnation: incarnation, opts: opts, entries: make(map[[nonceBytes]byte]*entry)}
}

// Drain makes the ledger hand over keys that it has not run. next selects the
// new owner for a key and returns nil when there is none.
func (l *Ledger) Drain(next func(Key) *member.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = next
}

// Raise adds an incarnation that this process took on after its start, because a
// record of an earlier process had a higher one. Without it, keys that name the
// raised incarnation are unknown. No other process may use the incarnation.
func (l *Ledger) Raise(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if incarnation != l.incarnation && !slices.Contains(l.raised, incarnation) {
		l.raised = append(l.raised, incarnation)
	}
}

// Begin decides about a keyed request and waits while the key runs. The error
// is a NotRun error with Refused and Closed, an OutcomeUnknown error with
// Unknown, and nil otherwise. After Run the caller must call Finish, Lost,
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

// decide returns the decision for k, or a channel to wait for. The ledger is locked.
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

// owns reports whether this process may run k: it is named in the key, or the
// voucher hands the key over to it.
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

// mine reports whether the incarnation is one of this process.
func (l *Ledger) mine(incarnation uint64) bool {
	return incarnation == l.incarnation || slices.Contains(l.raised, incarnation)
}

// move hands an unseen key over to another owner.
func (l *Ledger) move(k Key, e *entry) (Decision, <-chan struct{}, error) {
	to := l.next(k)
	if to == nil || to.ID == l.owner {
		return refused(errNoOwner)
	}
	e.state, e.to = moved, to
	l.add(e)
	return l.known(e)
}

// known returns the decision for a recorded key.
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

// Reasons of decisions. They are made once because a stack trace for each
// refusal costs more than the decision.
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
