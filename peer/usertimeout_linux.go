package peer

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// UserTimeoutControl returns a net.Dialer.Control function that sets
// TCP_USER_TIMEOUT: the kernel closes a connection when sent data stays
// unacknowledged for longer than limit.
func UserTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
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
