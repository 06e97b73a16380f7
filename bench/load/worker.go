package load

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/object"
)

// worker is a target without HTTP: a number of slots that calls occupy for the
// work time, behind a gate or with an unbounded queue of its own. Like many
// targets, it works on although the caller has given up.
type worker struct {
	gate   *admit.Gate // nil for none
	slots  chan struct{}
	work   time.Duration // mean; uniform between half and one and a half of it
	factor atomic.Int64  // multiplies the work time
	fails  atomic.Bool   // answers with an error at once
	calls  atomic.Int64
}

func newWorker(slots int, work time.Duration, gate *admit.Gate) *worker {
	w := &worker{gate: gate, slots: make(chan struct{}, slots), work: work}
	w.factor.Store(1)
	return w
}

// call runs one call. The gate refuses it or keeps it within the slots.
func (w *worker) call(ctx context.Context, kind object.WorkKind) Outcome {
	if w.gate != nil {
		t, err := w.gate.Enter(ctx, kind)
		if err != nil {
			return Refused
		}
		defer t.Release()
	}
	w.calls.Add(1)
	if w.fails.Load() {
		return Failed
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	spread := 0.5 + rand.Float64()
	time.Sleep(time.Duration(float64(w.work) * spread * float64(w.factor.Load())))
	if ctx.Err() != nil {
		return Late
	}
	return Good
}
