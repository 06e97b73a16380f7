package spread

import (
	"context"
	"sync"
	"time"
)

// copyTimeout bounds the wait for a copy. With the way between regions it stays
// below takeoverAfter, after which the sender turns to the next relay.
const copyTimeout = 200 * time.Millisecond

// copies knows the highest version that another node of the region confirmed.
//
// A node that takes a version from another region answers when such a copy
// exists. A head that dies before it passed the version on then leaves its
// sender without an answer, and the next relay gets the version. Asking the
// region afterwards would cost a message on a paid link for each change.
type copies struct {
	mu      sync.Mutex
	version uint64
	raised  chan struct{} // closed and replaced when version rises
}

// raise notes that another node has the version.
func (c *copies) raise(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version {
		return
	}
	c.version = version
	if c.raised != nil {
		close(c.raised)
		c.raised = nil
	}
}

// await waits until another node has the version, for at most copyTimeout. It
// reports false when ctx ends first.
func (c *copies) await(ctx context.Context, version uint64) bool {
	late := time.NewTimer(copyTimeout)
	defer late.Stop()
	for {
		c.mu.Lock()
		if c.version >= version {
			c.mu.Unlock()
			return true
		}
		if c.raised == nil {
			c.raised = make(chan struct{})
		}
		raised := c.raised
		c.mu.Unlock()
		select {
		case <-raised:
		case <-late.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
