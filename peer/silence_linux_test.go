package peer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections between nodes that go silent, as when the other
// instance lost power, and are used on and on: every call on them times out, and
// gRPC opens no other while the kernel calls them established.
func TestConnectionsLimitSilence(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := dialerFrom(nil)(context.Background(), l.Addr().String(), SameDomain)
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	ms := 0
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	is.NoErr(err)
	is.Equal(ms, int(silenceTimeout.Milliseconds()))
}
