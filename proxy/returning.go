package proxy

import (
	"hash/maphash"
	"net/http"
	"time"
)

// ask identifies what a caller's call asks for; the zero value identifies nothing.
type ask struct {
	key      uint64
	first    time.Time // when the caller first asked
	deadline time.Time // until when the caller waits
}

// askSeed is the seed of the keys of asks.
var askSeed = maphash.MakeSeed()

// recall counts the target latency of a call that this node has refused before
// from when its caller first asked.
func (o *Outbound) recall(c *call, info CallerInfo) {
	if !info.HasDeadline || c.work.nested || c.work.targetTime.IsZero() {
		return
	}
	var h maphash.Hash
	h.SetSeed(askSeed)
	for _, s := range []string{c.work.class, c.r.Method, c.r.URL.RequestURI()} {
		_, _ = h.WriteString(s) // never fails
		_ = h.WriteByte(0)
	}
	c.ask.key, c.ask.deadline = h.Sum64(), c.start.Add(info.Deadline)
	c.ask.first = o.returning.First(c.ask.key, c.ask.deadline, c.start)
	if c.ask.first.Before(c.start) {
		o.opts.Metrics.countReturning()
		c.work.targetTime = c.work.targetTime.Add(c.ask.first.Sub(c.start))
	}
}

// remember records that the call was refused as not run, for recall.
func (o *Outbound) remember(c *call, f *refusal) {
	if c.ask.key != 0 && f.outcome == OutcomeNotRun && (f.status == http.StatusServiceUnavailable || f.cause == causeQuota) {
		o.returning.Refused(c.ask.key, c.ask.first, c.ask.deadline)
	}
}

// returned reports whether the caller came back with the call after a refusal.
func (a ask) returned(c *call) bool { return a.key != 0 && a.first.Before(c.start) }

// late reports whether the call had missed its target latency when it arrived.
func (a ask) late(c *call) bool {
	return a.key != 0 && !c.work.targetTime.After(c.start)
}
