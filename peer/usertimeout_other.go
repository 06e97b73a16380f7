//go:build !linux

package peer

import (
	"syscall"
	"time"
)

// UserTimeoutControl returns nil, because TCP_USER_TIMEOUT exists only on Linux.
// Calls on dead connections end by their own timeouts.
func UserTimeoutControl(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}
