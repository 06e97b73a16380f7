package proxy

import (
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// limitSilence makes the kernel end a connection on which what was sent stays
// without acknowledgement for the given time.
func limitSilence(raw syscall.RawConn, limit time.Duration) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}
