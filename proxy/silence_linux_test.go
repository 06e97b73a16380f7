package proxy

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections to other nodes without a limit on silence.
func TestPoolLimitsSilence(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	p := NewPool(PoolOptions{SilenceTimeout: 800 * time.Millisecond})
	defer p.Close()
	c, err := p.get(t.Context(), l.Addr().String(), time.Now().Add(3*time.Second))
	is.NoErr(err)
	ms := 0
	is.NoErr(c.raw.Control(func(fd uintptr) {
		ms, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	is.NoErr(err)
	is.Equal(ms, 800)
}
