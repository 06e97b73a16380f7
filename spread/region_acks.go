package spread

import (
	"context"
	"sync"
	"time"
)

// regionAckTimeout bounds the wait for a copy. With the way between regions it stays
// below takeoverAfter, after which the sender turns to the next relay.
const regionAckTimeout = 200 * time.Millisecond

// regionAcks knows the highest version that another node of the region confirmed.
//
// A node that takes a version from another region answers when such a copy
// exists. A head that dies before it passed the version on then leaves its
// sender without an answer, and the next relay gets the version. Asking the
// region afterwards would cost a message on a paid link for each change.
type regionAcks struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{} // closed and replaced when version rises
}

// record notes that another node has the version.
func (a *regionAcks) record(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.version {
		return
	}
	a.version = version
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// wait waits until another node has the version, for at most copyTimeout. It
// reports false when ctx ends first.
func (a *regionAcks) wait(ctx context.Context, version uint64) bool {
	timeout := time.NewTimer(regionAckTimeout)
	defer timeout.Stop()
	for {
		a.mu.Lock()
		if a.version >= version {
			a.mu.Unlock()
			return true
		}
		if a.changed == nil {
			a.changed = make(chan struct{})
		}
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}
