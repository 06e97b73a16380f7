package idem

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/errdefs"
	"siskingw/member"
)

// op is one step of a generated history with two owners.
type op struct {
	Kind    string // operation: mint, begin, settle, drain, restart, add incarnation, advance
	Owner   int    // 0 or 1
	Index   int    // selects the key or the running call
	Voucher int    // 0 none, 1 of this key, 2 of another key
	Result  int    // selects the result of a running call
	Seconds int    // change of the clock, in seconds
}

var ops = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	return op{
		Kind: rapid.SampledFrom([]string{"mint", "begin", "begin", "begin", "begin", "settle", "settle", "drain",
			"restart", "add incarnation", "advance"}).Draw(t, "kind"),
		Owner: rapid.IntRange(0, 1).Draw(t, "owner"), Index: rapid.IntRange(0, 30).Draw(t, "index"),
		Voucher: rapid.IntRange(0, 2).Draw(t, "voucher"), Result: rapid.IntRange(0, 4).Draw(t, "result"),
		Seconds: rapid.SampledFrom([]int{-700, -10, 0, 1, 4, 6, 10, 60, 300, 590, 700}).Draw(t, "seconds"),
	}
}), 50, 200)

// defect is a defect injected to show that the checks detect it.
type defect struct {
	beforeBegin     func(h *history, owner int, k Key) // runs before each Begin
	keepIncarnation bool                               // a restarted process keeps the incarnation
	followWallClock bool                               // the ledgers' clocks follow steps of the wall clock
	afterSettle     func(h *history, owner int, k Key) // runs after each settle
}

// process is the current process of one owner.
type process struct {
	record     *member.Record
	ledger     *Ledger
	clock      time.Time
	generation int // number of processes so far
}

// run is a call that Begin allowed to run and that has not ended.
type run struct {
	owner      int
	generation int // process.generation of the process that runs it
	key        Key
}

// history holds the processes and the test oracle: which keys ran, were refused or
// got which response.
type history struct {
	defect    defect
	procs     [2]*process
	keys      []Key
	vouchers  map[Key]string
	closed    map[Key]bool // permanently refused
	running   []run
	ran       map[Key]int
	responses map[Key]*Response
}

const testMaxBytes = 8 * entryBytes

func runHistory(steps []op, d defect) error {
	h := &history{defect: d, vouchers: map[Key]string{}, closed: map[Key]bool{}, ran: map[Key]int{}, responses: map[Key]*Response{}}
	for i := range h.procs {
		h.procs[i] = &process{clock: time.UnixMilli(1_800_000_000_000)}
		h.restart(i)
	}
	for i, s := range steps {
		if err := h.step(s); err != nil {
			return fmt.Errorf("step %d %+v: %w", i, s, err)
		}
	}
	return nil
}

// restart replaces the owner's process by one with a new incarnation and an empty
// ledger.
func (h *history) restart(i int) {
	p := h.procs[i]
	r := member.Record{ID: string(rune('a' + i)), Incarnation: 1}
	if p.record != nil {
		r.Incarnation = p.record.Incarnation
		if !h.defect.keepIncarnation {
			r.Incarnation++
		}
	}
	p.record, p.generation = &r, p.generation+1
	p.ledger = NewLedger(r.ID, r.Incarnation, Options{MaxBytes: testMaxBytes, Now: func() time.Time { return p.clock }})
}

func (h *history) step(s op) error {
	p := h.procs[s.Owner]
	switch s.Kind {
	case "mint": // issued by a node whose clock is some seconds off
		h.keys = append(h.keys, Mint(p.record, p.clock.Add(time.Duration(s.Seconds/10)*time.Second)))
	case "begin":
		return h.begin(s, p)
	case "settle":
		return h.settle(s)
	case "drain":
		other := h.procs[1-s.Owner]
		p.ledger.Drain(func(Key) *member.Record { return other.record })
	case "restart": // the wall clock may have stepped before the new process starts
		p.clock = p.clock.Add(time.Duration(s.Seconds) * time.Second)
		h.restart(s.Owner)
	case "add incarnation":
		r := *p.record
		r.Incarnation++
		p.record = &r
		p.ledger.AddIncarnation(r.Incarnation)
	case "advance":
		d := time.Duration(s.Seconds) * time.Second
		if d < 0 && !h.defect.followWallClock {
			d = -d
		}
		p.clock = p.clock.Add(d)
	}
	return nil
}

// begin calls Begin for one key at one owner and checks the decision against the
// oracle.
func (h *history) begin(s op, p *process) error {
	if len(h.keys) == 0 {
		return nil
	}
	k := h.keys[s.Index%len(h.keys)]
	voucher := ""
	switch s.Voucher {
	case 1:
		voucher = h.vouchers[k]
	case 2:
		voucher = h.vouchers[h.keys[(s.Index+1)%len(h.keys)]]
	}
	if h.defect.beforeBegin != nil {
		h.defect.beforeBegin(h, s.Owner, k)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel() // a retry of a running key must not wait
	d, err := p.ledger.Begin(ended, k, voucher)
	if n := p.ledger.Stats().Bytes; n > testMaxBytes {
		return fmt.Errorf("ledger counts %d bytes, at most %d allowed", n, testMaxBytes)
	}
	return h.checkDecision(d, err, run{s.Owner, p.generation, k})
}

func (h *history) checkDecision(d Decision, err error, r run) error {
	k := r.key
	ran := h.ran[k] > 0 || h.isRunning(k)
	switch d.Action {
	case Run:
		if ran || h.closed[k] {
			return fmt.Errorf("key runs again, or after it was permanently refused")
		}
		h.running = append(h.running, r)
	case Refused:
		if ran || !errorx.IsOfType(err, errdefs.NotRun) {
			return fmt.Errorf("refused as not run, but it ran: %v, error %v", ran, err)
		}
	case Replay:
		if h.responses[k] == nil || !reflect.DeepEqual(d.Response, h.responses[k]) {
			return fmt.Errorf("replayed the response of another call")
		}
	case RanNotStored:
		if h.ran[k] == 0 {
			return fmt.Errorf("key did not run")
		}
	case Closed:
		if ran || !errorx.IsOfType(err, errdefs.NotRun) {
			return fmt.Errorf("closed as not run, but it ran: %v, error %v", ran, err)
		}
		h.closed[k] = true
	case Moved:
		h.vouchers[k] = d.Voucher
	case Unknown:
		if !errorx.IsOfType(err, errdefs.OutcomeUnknown) {
			return fmt.Errorf("unknown with error %v", err)
		}
	default:
		return fmt.Errorf("no decision")
	}
	return nil
}

func (h *history) isRunning(k Key) bool {
	for _, r := range h.running {
		if r.key == k {
			return true
		}
	}
	return false
}

// settle ends one running call. If its process was restarted meanwhile, the call
// counts as run, but no ledger records it.
func (h *history) settle(s op) error {
	if len(h.running) == 0 {
		return nil
	}
	i := s.Index % len(h.running)
	r := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	p := h.procs[r.owner]
	if p.generation != r.generation {
		h.ran[r.key]++
		return nil
	}
	switch s.Result {
	case 0:
		p.ledger.Withdraw(r.key)
	case 2:
		p.ledger.RecordNotRun(r.key)
		h.closed[r.key] = true
	case 1:
		h.ran[r.key]++
		p.ledger.RecordUnknown(r.key)
	default:
		h.ran[r.key]++
		body := make([]byte, 50*s.Result)
		copy(body, r.key.Nonce[:])
		h.responses[r.key] = &Response{Status: 200, Header: http.Header{"Nonce": {"a", r.key.String()}}, Body: body}
		p.ledger.RecordResponse(r.key, h.responses[r.key])
	}
	if h.defect.afterSettle != nil {
		h.defect.afterSettle(h, r.owner, r.key)
	}
	return nil
}

// Guards against a key that runs twice, "not run" for a key that ran, the response
// of another call, and a ledger above its memory limit. The histories contain
// restarts, drains, clock changes, and reused, late and wrong vouchers.
func TestLedgerHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(ops.Draw(t, "ops"), defect{}); err != nil {
			t.Fatal(err)
		}
	})
}

// acceptForeignKey makes the owner's ledger treat k as its own unless it has recorded k.
func acceptForeignKey(h *history, owner int, k Key) {
	l := h.procs[owner].ledger
	if _, ok := l.entries[k.Nonce]; !ok {
		l.owner, l.incarnation, l.laterIncarnations = k.Owner, k.Incarnation, nil
	}
}

// Guards against checks that cannot fail: the histories must detect each injected
// defect.
func TestLedgerHistoriesDetectInjectedDefects(t *testing.T) {
	injected := map[string]defect{
		"restart keeps the incarnation": {keepIncarnation: true},
		"clock follows wall clock":      {followWallClock: true},
		"key removed after the run": {afterSettle: func(h *history, owner int, k Key) {
			delete(h.procs[owner].ledger.entries, k.Nonce)
		}},
		"handover not recorded": {beforeBegin: func(h *history, owner int, k Key) {
			if e := h.procs[owner].ledger.entries[k.Nonce]; e != nil && e.state == stateMoved {
				delete(h.procs[owner].ledger.entries, k.Nonce)
				h.procs[owner].ledger.successor = nil
			}
		}},
		"key accepted without a voucher": {beforeBegin: acceptForeignKey},
		"unknown outcome recorded as not run": {afterSettle: func(h *history, owner int, k Key) {
			if e := h.procs[owner].ledger.entries[k.Nonce]; e != nil && e.state == stateUnknown {
				e.state = stateRunning
				h.procs[owner].ledger.Withdraw(k)
			}
		}},
		"refused key removed": {afterSettle: func(h *history, owner int, k Key) {
			if e := h.procs[owner].ledger.entries[k.Nonce]; e != nil && e.state == stateClosed {
				delete(h.procs[owner].ledger.entries, k.Nonce)
			}
		}},
		"responses mixed up": {afterSettle: func(h *history, owner int, k Key) {
			for _, e := range h.procs[owner].ledger.entries {
				if e.response != "" {
					e.response = (&Response{Status: 200}).encode()
				}
			}
		}},
		"memory not counted": {beforeBegin: func(h *history, owner int, _ Key) {
			h.procs[owner].ledger.opts.MaxBytes = DefaultMaxBytes
		}},
	}
	for name, d := range injected {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for seed := 0; seed < 2000 && !found; seed++ {
				found = runHistory(ops.Example(seed), d) != nil
			}
			is.True(found) // fails if none of 2000 histories showed the defect
		})
	}
}
