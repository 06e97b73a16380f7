package proxy

import (
	"context"
	"sync/atomic"

	"siskingw/faults"
)

// stopping is the end of a handler: first it refuses new calls, then it ends
// those in flight, each with an answer of its own, before the process is killed.
type stopping struct {
	refusing atomic.Bool
	ctx      context.Context // ends when the calls in flight must end
	abort    context.CancelFunc
}

var errStopping = faults.Stopped.New("the node stops")

func newStopping() *stopping {
	s := &stopping{}
	s.ctx, s.abort = context.WithCancel(context.Background())
	return s
}

// Refuse refuses new calls from now on as not run.
func (s *stopping) Refuse() { s.refusing.Store(true) }

// Abort refuses new calls and ends those in flight: as not run where no byte was
// sent, otherwise as unknown.
func (s *stopping) Abort() {
	s.refusing.Store(true)
	s.abort()
}

// follow makes the call end when the handler aborts. The returned function must
// be called at the end of the call.
func (s *stopping) follow(c *call) (end func()) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.ctx = ctx
	unlink := context.AfterFunc(s.ctx, func() { cancel(errStopping) })
	return func() {
		unlink()
		cancel(nil)
	}
}
