package member

import (
	"sync/atomic"
	"time"
)

// contact tells whether this node is cut off from the other nodes. It reacts to a
// single probe, unlike the detector's judgement of several: what follows from it
// costs little, and a node that is cut off must act within a few seconds.
type contact struct {
	heardAt atomic.Int64 // last ping of another node, ms since 1970
	cutOff  atomic.Bool
}

// heard records that another node reached this one.
func (c *contact) heard(now time.Time) {
	c.heardAt.Store(now.UnixMilli())
	c.cutOff.Store(false)
}

// observe records the result of a probe. The node counts as cut off when neither
// the member nor any helper answered and no other node reached it meanwhile.
func (c *contact) observe(o probeResult) {
	switch {
	case o.answered || o.negativeReplies > 0:
		c.cutOff.Store(false)
	case c.heardAt.Load() < o.started.UnixMilli():
		c.cutOff.Store(true)
	}
}

// CutOff reports whether the last probe shows that this node reaches no other
// node. It is false on a node that is alone in its failure domain, which probes
// nobody.
func (s *Service) CutOff() bool { return s.contact.cutOff.Load() }
