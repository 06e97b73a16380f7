//go:build !linux

package proxy

import "syscall"

// hangupWatcher detects nothing on this platform: calls of a caller that
// disconnects run until their deadline.
type hangupWatcher struct{}

func newHangupWatcher() (*hangupWatcher, error) { return &hangupWatcher{}, nil }

func (*hangupWatcher) watch(syscall.Conn, func()) (remove func(), err error) { return func() {}, nil }

func (*hangupWatcher) close() {}
