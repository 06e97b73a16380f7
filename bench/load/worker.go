package load

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/object"
)

// worker simulates a target without HTTP: each call occupies one of its slots for
// the work time. In front of the slots is a gate or, without one, an unbounded
// queue. Like many targets, it does not stop work when the caller gives up.
type worker struct {
	gate        *admit.Gate   // nil for none
	slots       chan struct{} // one element for each slot in use
	meanWork    time.Duration // mean work time; actual ones are uniform from 0.5 to 1.5 times it
	workFactor  atomic.Int64  // of the work time, 1 by default
	alwaysFails atomic.Bool   // fails every call immediately
	calls       atomic.Int64  // admitted calls
}

func newWorker(slots int, work time.Duration, gate *admit.Gate) *worker {
	w := &worker{gate: gate, slots: make(chan struct{}, slots), meanWork: work}
	w.workFactor.Store(1)
	return w
}

// call executes one call, unless the gate refuses it.
func (w *worker) call(ctx context.Context, kind object.WorkKind) Outcome {
	if w.gate != nil {
		t, err := w.gate.Enter(ctx, kind)
		if err != nil {
			return Refused
		}
		defer t.Release()
	}
	w.calls.Add(1)
	if w.alwaysFails.Load() {
		return Failed
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	jitter := 0.5 + rand.Float64()
	time.Sleep(time.Duration(float64(w.meanWork) * jitter * float64(w.workFactor.Load())))
	if ctx.Err() != nil {
		return Late
	}
	return Good
}
