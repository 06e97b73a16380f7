package admit

import (
	"io"
	"sync/atomic"
	"time"
)

// Link tracks the request bodies in transfer over an instance's network link.
// On a slow link the bandwidth, not the target's slots, limits how many uploads
// an instance can take, and concurrent bodies delay every other call.
type Link struct {
	rate         float64      // bytes per second; 0 for unlimited
	pendingBytes atomic.Int64 // bytes of announced bodies that have not arrived yet
}

// NewLink returns a link with the given rate in bytes per second; 0 means
// unlimited.
func NewLink(rate float64) *Link { return &Link{rate: rate} }

// LinkReport is the state of a link as it is sent to other nodes.
type LinkReport struct {
	PendingBytes int64   // bytes that have not arrived yet
	Rate         float64 // bytes per second; 0 for unlimited
}

// TransferTime estimates the time until a new body of size bytes has arrived
// behind the pending ones; 0 for an unlimited link or a size of 0.
func (r LinkReport) TransferTime(size int64) time.Duration {
	if r.Rate <= 0 || size <= 0 {
		return 0
	}
	return time.Duration(float64(r.PendingBytes+size) / r.Rate * float64(time.Second))
}

// Report returns the state of the link. A nil link is unlimited.
func (l *Link) Report() LinkReport {
	if l == nil {
		return LinkReport{}
	}
	return LinkReport{PendingBytes: max(l.pendingBytes.Load(), 0), Rate: l.rate}
}

// Receive counts size bytes of body as pending until they are read through the
// returned reader. done must be called after the last read; it stops counting the
// bytes that were never read.
func (l *Link) Receive(body io.Reader, size int64) (r io.Reader, done func()) {
	if l == nil || l.rate <= 0 || size <= 0 {
		return body, func() {}
	}
	l.pendingBytes.Add(size)
	pending := &pendingBody{body: body, link: l, remaining: size}
	return pending, func() {
		l.pendingBytes.Add(-pending.remaining)
		pending.remaining = 0
	}
}

// pendingBody is a reader that subtracts the bytes it reads from the pending bytes
// of its link.
type pendingBody struct {
	body      io.Reader
	link      *Link
	remaining int64 // bytes still counted as pending
}

func (a *pendingBody) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	arrived := min(int64(n), a.remaining)
	a.remaining -= arrived
	a.link.pendingBytes.Add(-arrived)
	return n, err
}
