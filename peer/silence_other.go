//go:build !linux

package peer

import (
	"syscall"
	"time"
)

// LimitSilence returns nil: silent connections end by the timeouts of the calls
// on them.
func LimitSilence(time.Duration) func(network, address string, raw syscall.RawConn) error { return nil }
