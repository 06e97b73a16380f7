//go:build !linux

package peer

import (
	"syscall"
	"time"
)

// LimitSilence returns nil, because TCP_USER_TIMEOUT exists only on Linux. Calls
// on dead connections end by their own timeouts.
func LimitSilence(time.Duration) func(network, address string, raw syscall.RawConn) error { return nil }
