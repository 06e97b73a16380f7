package node

import (
	"context"
	"sync/atomic"
	"time"

	"siskingw/kernel"
	"siskingw/platform"
	"siskingw/proxy"
)

// readyService answers the platform's readiness checks. It stops first: callers
// stop using the node once it reports that it is not ready.
type readyService struct {
	node *Node
	httpListener
	stopping atomic.Bool
}

func (s *readyService) Name() string    { return nameReady }
func (s *readyService) Needs() []string { return []string{nameInbound} }

func (s *readyService) Start(context.Context, *kernel.Kernel) error {
	ready := func() bool { return !s.stopping.Load() && s.node.ready() == nil }
	return s.listenLimited(s.node, nameReady, s.node.settings.Platform.Ready,
		proxy.NewServer(platform.NewReady(ready), proxy.ServerOptions{}))
}

func (s *readyService) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	t := time.NewTimer(s.node.scheduleStop().linger)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return nil
}

const (
	// maxNotReadyLinger is how long a stopping node keeps serving after it reports
	// that it is not ready: callers leave it after two readiness checks a second
	// apart, and its target keeps running until then. With a short grace period it
	// is lingerShare of that, 0..1.
	maxNotReadyLinger = 1800 * time.Millisecond
	lingerShare       = 0.45
	// maxAcceptCalls is how long a stopping node accepts new calls at most: callers
	// have left by then. With a short grace period it is acceptShare of that, 0..1,
	// so that the calls can still end.
	maxAcceptCalls = 3 * time.Second
	acceptShare    = 0.5
	// maxAbortReserve is the part of the grace period before SIGKILL that is
	// reserved for answering aborted calls. With a short grace period it is
	// abortShare of that, 0..1.
	maxAbortReserve = 900 * time.Millisecond
	abortShare      = 1.0 / 7
	// maxCloseReserve and closeShare are the same for closing connections.
	maxCloseReserve = 500 * time.Millisecond
	closeShare      = 1.0 / 12
)

// stopSchedule are the times of a stop, from its beginning.
type stopSchedule struct {
	linger time.Duration // the target and the connections of callers are drained
	refuse time.Duration // new calls are refused
	abort  time.Duration // calls in flight are aborted
	end    time.Duration // connections are closed
}

// newStopSchedule returns the schedule of a stop that must end within the grace
// period.
func newStopSchedule(grace time.Duration) stopSchedule {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	return stopSchedule{
		linger: min(maxNotReadyLinger, share(lingerShare)),
		refuse: min(maxAcceptCalls, share(acceptShare)),
		abort:  grace - min(maxAbortReserve, share(abortShare)),
		end:    grace - min(maxCloseReserve, share(closeShare)),
	}
}

// scheduleStop schedules the refusal of new calls and the abort of those in
// flight before the process is killed. Calls that would probably be aborted are
// refused from now on.
func (n *Node) scheduleStop() stopSchedule {
	s := newStopSchedule(n.settings.Platform.Grace())
	abortAt := time.Now().Add(s.abort)
	n.outbound.EndCallsAt(abortAt)
	n.inbound.EndCallsAt(abortAt)
	time.AfterFunc(s.refuse, n.outbound.Refuse)
	time.AfterFunc(s.abort, func() {
		n.log.Info("aborting calls in flight: the grace period is almost over")
		n.outbound.Abort()
		n.inbound.Abort()
	})
	return s
}
