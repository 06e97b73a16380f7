package proxy

import (
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
)

// unresponsiveAddr returns an address at which connection attempts hang: the
// accept queue of the listener is full, so the kernel drops every SYN.
func unresponsiveAddr(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	is.NoErr(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	is.NoErr(syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	is.NoErr(err)
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	const maxDials = 8 // a queue with backlog 0 holds one or two connections
	for range maxDials {
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the accept queue is not full")
	return ""
}

// Guards against a connection attempt that hangs, as on a link that drops all
// packets: it must end by the deadline or the dial timeout, and the outcome
// must be not-run.
func TestHangingConnectionAttemptIsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil, closedAddr(t))
	rec := *r.records[0]
	rec.InboundAddr = unresponsiveAddr(t)
	rec.Sequence++
	r.view.Merge([]member.Record{rec})
	for _, deadline := range []string{"200", "5000"} {
		began := time.Now()
		resp, _ := r.do(t, "POST", "/bids", "bid", HeaderDeadline, deadline)
		is.Equal(resp.Header.Get(HeaderOutcome), OutcomeNotRun)
		is.True(time.Since(began) < 2*defaultDialTimeout)
	}
}
