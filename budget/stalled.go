package budget

import (
	"slices"
	"time"
)

// stalledHold is a Hold whose client sends less than the minimum rate.
type stalledHold struct {
	hold *Hold
	wait time.Duration // time waited for the client since it last kept the rate
}

// beginSweep reports whether enough time has passed since the last search at *last. The
// caller holds b.mu.
func (b *Budget) beginSweep(last *time.Time, now time.Time) bool {
	if b.limits.StallTime <= 0 || now.Sub(*last) < sweepInterval {
		return false
	}
	*last = now
	return true
}

// stalled returns the stalled Holds that were not evicted yet, the longest stalled
// first. The caller holds b.mu.
func (b *Budget) stalled(now time.Time) []stalledHold {
	var found []stalledHold
	for h := range b.holds {
		if wait, _ := h.waited(now); wait >= b.limits.StallTime && !h.evicted.Load() {
			found = append(found, stalledHold{h, wait})
		}
	}
	slices.SortFunc(found, func(x, y stalledHold) int { return int(y.wait - x.wait) })
	return found
}

// stalledBytes returns stalled Holds that hold at least want bytes in all, or all of
// them. The caller holds b.mu.
func (b *Budget) stalledBytes(now time.Time, want int64) []*Hold {
	if !b.beginSweep(&b.sweptAt, now) {
		return nil
	}
	var victims []*Hold
	for _, s := range b.stalled(now) {
		victims = append(victims, s.hold)
		if want -= max(s.hold.bytes, 1); want <= 0 {
			break
		}
	}
	return victims
}

// excessStalled returns the stalled Holds beyond the limits on their number. The
// caller holds b.mu.
func (b *Budget) excessStalled(now time.Time) []*Hold {
	maxAll, maxOwner := b.limits.MaxStalled, b.limits.MaxStalledPerOwner
	if maxAll <= 0 || len(b.holds) <= min(maxAll, maxOwner) || !b.beginSweep(&b.countedAt, now) {
		return nil
	}
	found := b.stalled(now)
	byOwner := make(map[string]int)
	for _, s := range found {
		byOwner[s.hold.owner]++
	}
	left := len(found)
	var victims []*Hold
	for _, s := range found {
		if owner := s.hold.owner; left > maxAll || byOwner[owner] > maxOwner {
			victims = append(victims, s.hold)
			byOwner[owner]--
			left--
		}
	}
	return victims
}
