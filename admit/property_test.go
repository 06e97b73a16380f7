package admit

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/object"
)

// op is one step of a generated history of operations on a gate.
type op struct {
	Action string // enter, release, cancel, advance, drain
	Kind   int
	Index  int // selects the ticket or waiter
	Ms     int // time to advance, or the deadline of a call when positive
}

var ops = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) op {
	return op{
		Action: rapid.SampledFrom([]string{"enter", "enter", "enter", "enter", "release", "release", "cancel",
			"advance", "release", "drain"}).Draw(t, "action"),
		Kind: rapid.IntRange(0, numPriorities-1).Draw(t, "kind"), Index: rapid.IntRange(0, 20).Draw(t, "index"),
		Ms: rapid.IntRange(-100, 100).Draw(t, "ms"),
	}
}), 0, 120)

var kindNames = []object.WorkKind{object.WorkBid, object.WorkUpload, object.WorkPage}

// caller is one call of Enter and its results.
type caller struct {
	kind     int
	cancel   context.CancelFunc
	results  atomic.Int32
	ticket   atomic.Pointer[Ticket]
	released bool
}

func (c *caller) waiting() bool { return c.results.Load() == 0 }
func (c *caller) running() bool { return c.ticket.Load() != nil && !c.released }

// defect is a defect injected to show that the checks detect it.
type defect struct {
	slots   int           // added to the gate's slots
	mapKind func(int) int // maps the kind that is passed to the gate
	release func(*Ticket) // replaces Ticket.Release
	after   func(*Gate)   // runs after each step
}

// history is the state of one generated history while it runs.
type history struct {
	gate     *Gate
	opts     Options
	defect   defect
	callers  []*caller
	draining bool
}

const (
	testSlots = 2
	testQueue = 4
)

func runHistory(steps []op, d Discipline, f defect) error {
	opts := Options{Slots: testSlots, QueueLength: testQueue, QueueTimeout: 50 * time.Millisecond, Discipline: d}
	h := &history{opts: opts, defect: f}
	opts.Slots += f.slots
	h.gate = New(opts)
	var err error
	for i, s := range steps {
		if err = h.step(s); err != nil {
			err = fmt.Errorf("step %d %+v: %w", i, s, err)
			break
		}
	}
	if end := h.finish(); err == nil {
		err = end
	}
	return err
}

func (h *history) find(index int, ok func(*caller) bool) *caller {
	var found []*caller
	for _, c := range h.callers {
		if ok(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[index%len(found)]
}

func (h *history) step(s op) error {
	waiting := h.waiting()
	switch s.Action {
	case "enter":
		h.enter(s)
	case "release":
		if c := h.find(s.Index, (*caller).running); c != nil {
			h.release(c)
		}
	case "cancel":
		if c := h.find(s.Index, (*caller).waiting); c != nil {
			c.cancel()
		}
	case "advance":
		time.Sleep(time.Duration(max(s.Ms, 0)) * time.Millisecond)
	case "drain":
		if s.Index == 0 { // rare, because few operations have an effect afterwards
			h.gate.Drain()
			h.draining = true
		}
	}
	synctest.Wait()
	if h.defect.after != nil {
		h.defect.after(h.gate)
	}
	return h.check(s, waiting)
}

func (h *history) enter(s op) {
	ctx, cancel := context.WithCancel(context.Background())
	if s.Ms > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), time.Duration(s.Ms)*time.Millisecond)
	}
	c := &caller{kind: s.Kind, cancel: cancel}
	h.callers = append(h.callers, c)
	kind := s.Kind
	if h.defect.mapKind != nil {
		kind = h.defect.mapKind(kind)
	}
	go func() {
		t, err := h.gate.Enter(ctx, kindNames[kind])
		if err == nil {
			c.ticket.Store(t)
		}
		c.results.Add(1)
	}()
}

func (h *history) release(c *caller) {
	c.released = true
	if h.defect.release != nil {
		h.defect.release(c.ticket.Load())
		return
	}
	c.ticket.Load().Release()
}

// waiting returns the number of callers without a result, by kind.
func (h *history) waiting() [numPriorities]int {
	var n [numPriorities]int
	for _, c := range h.callers {
		if c.waiting() {
			n[c.kind]++
		}
	}
	return n
}

// check compares the state of the gate with that of the callers.
func (h *history) check(s op, before [numPriorities]int) error {
	running := len(slices.DeleteFunc(slices.Clone(h.callers), func(c *caller) bool { return !c.running() }))
	if running > h.opts.Slots {
		return fmt.Errorf("%d calls run on %d slots", running, h.opts.Slots)
	}
	after := h.waiting()
	queued := after[0] + after[1] + after[2]
	if queued > h.opts.QueueLength {
		return fmt.Errorf("%d calls queued, at most %d allowed", queued, h.opts.QueueLength)
	}
	if queued > 0 && running < h.opts.Slots {
		return fmt.Errorf("%d calls queued while a slot is free", queued)
	}
	if want := float64(running+queued) / float64(h.opts.Slots); h.gate.Load() != want {
		return fmt.Errorf("load is %g, want %g", h.gate.Load(), want)
	}
	last := h.callers[max(len(h.callers)-1, 0):]
	for _, c := range last {
		if s.Action != "enter" {
			break
		}
		if h.draining && c.ticket.Load() != nil {
			return fmt.Errorf("admitted while draining")
		}
		if !c.waiting() && c.ticket.Load() == nil && c.kind == 0 && s.Ms <= 0 && !h.draining && after[1]+after[2] > 0 {
			return fmt.Errorf("bid refused while calls of lower priority stay queued")
		}
	}
	if s.Action == "release" && before[0] > 0 && after[0] == before[0] && after[1]+after[2] < before[1]+before[2] {
		return fmt.Errorf("call of lower priority admitted before a queued bid")
	}
	return nil
}

// finish completes every call and checks that each caller got exactly one result.
func (h *history) finish() error {
	for range 2 * len(h.callers) {
		for _, c := range h.callers {
			if c.running() {
				h.release(c)
			}
		}
		time.Sleep(h.opts.QueueTimeout)
		synctest.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.gate.Wait(ctx); err != nil {
		return err
	}
	for i, c := range h.callers {
		c.cancel()
		if n := c.results.Load(); n != 1 {
			return fmt.Errorf("caller %d got %d results, want 1", i, n)
		}
	}
	return nil
}

// Guards against more calls in flight than slots, queued calls without a result,
// bids served after pages, calls admitted while draining, and a wrong Load.
func TestGateHistories(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := rapid.SampledFrom([]Discipline{FIFO, LIFO, CoDel}).Draw(r, "discipline")
		steps := ops.Draw(r, "ops")
		var err error
		synctest.Test(t, func(*testing.T) { err = runHistory(steps, d, defect{}) })
		if err != nil {
			r.Fatal(err)
		}
	})
}

// Guards against checks that cannot fail: each injected defect must be detected.
func TestGateHistoriesDetectInjectedDefects(t *testing.T) {
	defects := map[string]defect{
		"one slot too many":   {slots: 1},
		"priorities reversed": {mapKind: func(k int) int { return numPriorities - 1 - k }},
		"slot released twice": {release: func(t *Ticket) {
			t.Release()
			t.released.Store(false)
			t.Release()
		}},
		"slot not released": {release: func(*Ticket) {}},
		"drain without effect": {after: func(g *Gate) {
			g.mu.Lock()
			g.draining = false
			g.mu.Unlock()
		}},
		"waiter without result": {after: func(g *Gate) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.queues[0].popFirst() != nil {
				g.queued--
			}
		}},
		"unbounded queue": {after: func(g *Gate) { g.opts.QueueLength = 1000 }},
	}
	for name, f := range defects {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(detected(t, f)) // none of 200 histories detected the defect
		})
	}
}

// detected reports whether one of 200 histories detects the defect.
func detected(t *testing.T, d defect) bool {
	var err error
	for seed := 0; seed < 200 && err == nil; seed++ {
		steps := ops.Example(seed)
		synctest.Test(t, func(*testing.T) { err = runHistory(steps, FIFO, d) })
	}
	return err != nil
}
