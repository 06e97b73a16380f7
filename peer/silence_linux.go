package peer

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// LimitSilence returns a net.Dialer.Control with which the kernel ends a
// connection once something sent stays without acknowledgement for the given
// time.
func LimitSilence(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
		}); e != nil {
			return e
		}
		return err
	}
}
