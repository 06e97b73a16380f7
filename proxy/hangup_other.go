//go:build !linux

package proxy

import "syscall"

// hangups is not available: calls end by their deadline when a caller's node
// goes away.
type hangups struct{}

func newHangups() (*hangups, error) { return &hangups{}, nil }

func (*hangups) add(syscall.Conn, func()) (remove func(), err error) { return func() {}, nil }

func (*hangups) close() {}
