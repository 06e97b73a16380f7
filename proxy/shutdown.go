package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"siskingw/errdefs"
)

// shutdownState controls how a handler stops: the handler first refuses the calls
// that would not end in time, then all new calls, and then aborts those in flight,
// so that each caller still gets a response before the process is killed.
type shutdownState struct {
	refusing atomic.Bool
	endsAt   atomic.Pointer[time.Time] // when calls are aborted; nil before the stop begins
	ctx      context.Context           // canceled to abort the calls in flight
	abort    context.CancelFunc
}

// maxCutProbability is the probability, from 0 to 1, that a call is aborted by the
// stop of its node, above which the node refuses the call as not run.
const maxCutProbability = 0.1

var errStopping = errdefs.Stopped.New("the node stops")

func newShutdownState() *shutdownState {
	s := &shutdownState{}
	s.ctx, s.abort = context.WithCancel(context.Background())
	return s
}

// EndCallsAt limits the deadlines of new calls to the time at which they will be
// aborted. Calls that will probably not end by then are refused with a not-run
// outcome.
func (s *shutdownState) EndCallsAt(at time.Time) { s.endsAt.Store(&at) }

// limitDeadline limits the deadline of a new call to the end of the stop, if that
// has begun.
func (s *shutdownState) limitDeadline(c *call) {
	if at := s.endsAt.Load(); at != nil && at.Before(c.deadline) {
		c.deadline, c.endsWithNode = *at, true
	}
}

// refuseIfCut returns a refusal if the node stops and will probably abort the call.
// missed is the probability, from 0 to 1, that the call misses its deadline.
func (c *call) refuseIfCut(missed float64) *refusal {
	if !c.endsWithNode || missed <= maxCutProbability {
		return nil
	}
	return notRun(causeStopping, "the node stops before the call would end", nil)
}

// Refuse makes the handler refuse new calls with a not-run outcome.
func (s *shutdownState) Refuse() { s.refusing.Store(true) }

// Abort refuses new calls and aborts those in flight. Their outcome is not-run
// if no byte was sent to the next hop, and unknown otherwise.
func (s *shutdownState) Abort() {
	s.refusing.Store(true)
	s.abort()
}

// cancelOnAbort cancels the call's context when the handler aborts. The
// returned function releases the context and must be called when the call has
// ended.
func (s *shutdownState) cancelOnAbort(c *call) (end func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.ctx = ctx
	unlink := context.AfterFunc(s.ctx, func() { cancel(errStopping) })
	return func() {
		unlink()
		cancel(nil)
	}
}
