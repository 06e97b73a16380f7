package proxy

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// connWithRequestSent returns a connection on which a request was sent, and its
// pool, which holds another idle connection to the same address.
func connWithRequestSent(t *testing.T) (*Pool, *conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	p := NewPool(PoolOptions{})
	t.Cleanup(p.Close)
	addr, deadline := l.Addr().String(), time.Now().Add(3*time.Second)
	c, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	other, err := p.get(t.Context(), addr, deadline)
	is.NoErr(err)
	p.put(other)
	c.sentBytes = 100
	return p, c
}

// Guards against calls that use the pooled connections to an instance that has
// lost power: each call would wait until its deadline, and the instance would
// be selected until five of them had failed.
func TestSilentConnectionMakesItsInstanceUnreachable(t *testing.T) {
	is := is.New(t)
	p, c := connWithRequestSent(t)
	x := exchange{pool: p, conn: c}
	// The error that the kernel reports when no data is acknowledged.
	f := x.fail(causeAnswerLost, "no answer", &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)})
	is.Equal(f.outcome, OutcomeUnknown) // the call may have run
	is.True(f.unreachable)
	is.Equal(len(p.byAddr), 0) // no connection to it remains
}

// Guards against a reset connection that makes its instance unreachable: the
// target may have closed it although the instance is healthy.
func TestResetConnectionLeavesItsInstanceReachable(t *testing.T) {
	is := is.New(t)
	p, c := connWithRequestSent(t)
	x := exchange{pool: p, conn: c}
	is.True(!x.fail(causeAnswerLost, "no answer", syscall.ECONNRESET).unreachable)
	is.Equal(len(p.byAddr), 1)
}

// Guards against a call that ends because its caller disconnected or the node
// stops, and that is logged and counted as a response lost by the target.
func TestLocallyEndedCallIsNotALostResponse(t *testing.T) {
	is := is.New(t)
	for _, end := range []struct {
		reason error
		want   cause
	}{{context.Canceled, causeCallerGone}, {errStopping, causeStopping}} {
		p, c := connWithRequestSent(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(end.reason)
		x := exchange{pool: p, conn: c, ctx: ctx}
		f := x.fail(causeAnswerLost, "no answer", net.ErrClosed)
		is.Equal(f.cause, end.want)
		is.Equal(f.outcome, OutcomeUnknown)
	}
}
