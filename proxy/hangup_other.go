//go:build !linux

package proxy

import "syscall"

// hangups detects nothing on this platform: calls of a caller that disconnects
// run until their deadline.
type hangups struct{}

func newHangups() (*hangups, error) { return &hangups{}, nil }

func (*hangups) add(syscall.Conn, func()) (remove func(), err error) { return func() {}, nil }

func (*hangups) close() {}
