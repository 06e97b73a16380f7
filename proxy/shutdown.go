package proxy

import (
	"context"
	"sync/atomic"

	"siskingw/errdefs"
)

// shutdownState controls how a handler stops: the handler first refuses
// new calls and then aborts those in flight, so that each caller still gets a
// response before the process is killed.
type shutdownState struct {
	refusing atomic.Bool
	ctx      context.Context // canceled to abort the calls in flight
	abort    context.CancelFunc
}

var errStopping = errdefs.Stopped.New("the node stops")

func newShutdownState() *shutdownState {
	s := &shutdownState{}
	s.ctx, s.abort = context.WithCancel(context.Background())
	return s
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
