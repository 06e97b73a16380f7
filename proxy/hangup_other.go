//go:build !linux

package proxy

import (
	"syscall"

	"siskingw/faults"
)

// hangups is not available: calls end by their deadline when a caller's node
// goes away.
type hangups struct{}

func newHangups() (*hangups, error) {
	return nil, faults.Internal.New("ends of connections are reported on Linux only")
}

func (*hangups) add(syscall.Conn, func()) (remove func(), err error) { return func() {}, nil }

func (*hangups) close() {}
