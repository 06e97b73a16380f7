package admit

import (
	"io"
	"sync/atomic"
	"time"
)

// Link follows the bodies that arrive over the link of an instance. Where links
// are slow they, not the target's slots, bound how many uploads an instance can
// take, and bodies that share the link delay every other call.
type Link struct {
	rate    float64 // bytes a second; 0 for a link that never binds
	pending atomic.Int64
}

// NewLink returns the state of a link with the given rate in bytes a second, or
// of one that never binds for a rate of 0.
func NewLink(rate float64) *Link { return &Link{rate: rate} }

// LinkReport is the state of a link as other nodes use it.
type LinkReport struct {
	Pending int64   // bytes that are still to arrive
	Rate    float64 // bytes a second; 0 for a link that never binds
}

// Transfer returns the time after which a body of the size has arrived.
func (r LinkReport) Transfer(size int64) time.Duration {
	if r.Rate <= 0 || size <= 0 {
		return 0
	}
	return time.Duration(float64(r.Pending+size) / r.Rate * float64(time.Second))
}

// Report returns the state of the link.
func (l *Link) Report() LinkReport {
	if l == nil {
		return LinkReport{}
	}
	return LinkReport{Pending: max(l.pending.Load(), 0), Rate: l.rate}
}

// Receive counts a body of the size until it was read through the returned
// reader. done must be called when no more is read.
func (l *Link) Receive(body io.Reader, size int64) (r io.Reader, done func()) {
	if l == nil || l.rate <= 0 || size <= 0 {
		return body, func() {}
	}
	l.pending.Add(size)
	counted := &arriving{body: body, link: l, left: size}
	return counted, func() {
		l.pending.Add(-counted.left)
		counted.left = 0
	}
}

// arriving is a body that is being read.
type arriving struct {
	body io.Reader
	link *Link
	left int64 // bytes still counted as pending
}

func (a *arriving) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	arrived := min(int64(n), a.left)
	a.left -= arrived
	a.link.pending.Add(-arrived)
	return n, err
}
