package spread

import (
	"context"
	"sync"
	"time"
)

// regionAckTimeout bounds the wait for a confirmation. Together with the round
// trip between regions it stays below takeoverTimeout, after which the sender
// tries the next relay.
const regionAckTimeout = 200 * time.Millisecond

// regionAcks holds the highest version that another node of the region
// confirmed.
//
// A node that applies a version from another region replies once another node
// of its region has confirmed it, and refuses the offer if none does in time. If
// a head crashes before it forwards the version, or reaches no node of its
// region, its sender offers the version to the next relay. Querying the region
// afterwards would cost a message on a metered link for each change.
type regionAcks struct {
	mu      sync.Mutex
	version uint64
	changed chan struct{} // closed and replaced when version increases
}

// record records that another node of the region has the version.
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

// wait waits until another node has the version. It reports false if none has
// confirmed it after regionAckTimeout, or if ctx ends first.
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
			return false
		case <-ctx.Done():
			return false
		}
	}
}
