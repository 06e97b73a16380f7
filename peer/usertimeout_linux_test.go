package peer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against dead connections between nodes that stay in use, for example
// after the other instance lost power: every call on them times out, and gRPC
// does not reconnect while the kernel reports them as established.
func TestConnectionsSetUserTimeout(t *testing.T) {
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
	is.Equal(ms, int(unackedTimeout.Milliseconds()))
}
