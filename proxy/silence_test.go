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

// silentConn is a connection whose peer acknowledges nothing: the kernel ends
// it with ETIMEDOUT after the request has been sent.
type silentConn struct{ net.Conn }

func (silentConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// Guards against calls that go on using the kept connections to an instance that
// has lost power: each of them would wait until its deadline, and the instance
// would be selected until five of them had failed.
func TestSilentConnectionMakesItsInstanceUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	p := NewPool(PoolOptions{})
	defer p.Close()
	addr, soon := l.Addr().String(), time.Now().Add(3*time.Second)
	first, err := p.get(t.Context(), addr, soon)
	is.NoErr(err)
	other, err := p.get(t.Context(), addr, soon)
	is.NoErr(err)
	p.put(other)
	first.sent = 100

	x := exchange{pool: p, conn: first}
	_, readErr := silentConn{first.Conn}.Read(nil)
	f := x.fail(causeLost, "no answer", readErr)
	is.Equal(f.outcome, OutcomeUnknown) // the call may have run
	is.True(f.unreachable)
	is.Equal(len(p.hosts), 0) // no connection to it is kept
}

// Guards against a broken connection that counts as a silent one: the target may
// have closed it, and its instance is well.
func TestResetConnectionLeavesItsInstanceReachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	p := NewPool(PoolOptions{})
	defer p.Close()
	c, err := p.get(t.Context(), l.Addr().String(), time.Now().Add(3*time.Second))
	is.NoErr(err)
	c.sent = 100
	x := exchange{pool: p, conn: c}
	is.True(!x.fail(causeLost, "no answer", syscall.ECONNRESET).unreachable)
}

// Guards against a call whose caller left, or that ends because the node stops,
// and that is logged and counted as an answer which its target lost.
func TestCallEndedOnThisSideIsNoLostAnswer(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		reason error
		want   cause
	}{{context.Canceled, causeCallerGone}, {errStopping, causeStopping}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		p := NewPool(PoolOptions{})
		defer p.Close()
		cn, err := p.get(t.Context(), l.Addr().String(), time.Now().Add(3*time.Second))
		is.NoErr(err)
		cn.sent = 100
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(c.reason)
		x := exchange{pool: p, conn: cn, ctx: ctx}
		f := x.fail(causeLost, "no answer", net.ErrClosed)
		is.Equal(f.cause, c.want)
		is.Equal(f.outcome, OutcomeUnknown)
	}
}
