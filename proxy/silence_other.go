//go:build !linux

package proxy

import (
	"syscall"
	"time"
)

// limitSilence does nothing: calls on a silent connection end at their deadline.
func limitSilence(syscall.RawConn, time.Duration) error { return nil }
