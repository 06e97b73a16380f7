package admit

import (
	"math"
	"sync"
	"time"

	"siskingw/errdefs"
)

// newWork is the share of the new work that a gate has refused lately, of one
// priority and the higher ones. Nested calls do not count.
type newWork struct {
	share float64   // 0..1
	at    time.Time // of the last call
}

const (
	// newWorkWeight is the weight of one call in newWork.share.
	newWorkWeight = 0.05
	// newWorkHalfLife is the half-life of the share without calls: what was
	// refused seconds ago says nothing about the room of now.
	newWorkHalfLife = time.Second
)

// shareAt returns the share at now.
func (n newWork) shareAt(now time.Time) float64 {
	return n.share * math.Exp2(-max(now.Sub(n.at), 0).Seconds()/newWorkHalfLife.Seconds())
}

// countNew records whether a call of priority p that is not nested was refused.
// g.mu must be held.
func (g *Gate) countNew(p int, refused bool, now time.Time) {
	v := 0.0
	if refused {
		v = 1
	}
	for i := p; i < numPriorities; i++ {
		n := &g.newWork[i]
		n.share, n.at = n.share+newWorkWeight*(v-n.share), now
	}
}

const (
	// adjustInterval is the time between two adjustments of the share of the
	// parents that are admitted.
	adjustInterval = 100 * time.Millisecond
	// adjustGain is the share of the difference, 0..1, by which the limit follows
	// what the last nested calls have shown. The limit then changes within about
	// half a second, which is longer than a report takes to follow the change.
	adjustGain = 0.15
	// minParentShare is the lowest share of the parents, 0..1, that are admitted,
	// so that reports keep arriving.
	minParentShare = 0.1
)

var errParentRefused = errdefs.NotRun.New("services that this call needs are full")

// Parents limits the new calls that a target takes while the calls that it makes
// during them cannot be served, or are served in the place of more urgent work. A
// parent that is refused early costs nothing, one whose nested call fails has cost
// its whole run. Parents are refused as often as their nested calls, and no less
// often than the more urgent work at the services that these call. It is safe for
// concurrent use.
type Parents struct {
	mu         sync.Mutex
	byPriority [numPriorities]parentShare
	adjustedAt time.Time
	nested     int // nested calls since adjustedAt
	refused    int // those of them that were refused for want of room
}

// parentShare is the state of the calls of one priority.
type parentShare struct {
	limited float64 // share of the calls, 0..1, that is refused
	carry   float64 // fraction of a call that remains to be refused
	crowded float64 // sum since adjustedAt of how much more often more urgent work was refused
}

// Observe records a nested call: whether it was refused for want of room, the state
// of the gate that it met last, and that of the gate of the target that made it.
func (p *Parents) Observe(refused bool, met, own Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adjust(now)
	p.nested++
	if refused {
		p.refused++
	}
	for i := 1; i < numPriorities; i++ {
		p.byPriority[i].crowded += met.RefusedShare[i-1] - own.RefusedShare[i]
	}
}

// adjust updates the limits once per adjustInterval. p.mu must be held.
func (p *Parents) adjust(now time.Time) {
	if now.Sub(p.adjustedAt) < adjustInterval {
		return
	}
	for i := range p.byPriority {
		s := &p.byPriority[i]
		refusals := 0.0
		if p.nested > 0 {
			refusals = max(s.crowded, float64(p.refused)) / float64(p.nested)
		}
		s.limited += adjustGain * (min(max(refusals, 0), 1-minParentShare) - s.limited)
		s.crowded = 0
	}
	p.adjustedAt, p.nested, p.refused = now, 0, 0
}

// Admit returns a NotRun error when a call must not be taken for want of room for
// the calls that the target would make. No other instance of the target's service
// can take it either. A nil Parents refuses nothing.
func (p *Parents) Admit(work Work, now time.Time) error {
	if p == nil || work.Nested {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adjust(now)
	s := &p.byPriority[work.Rank()]
	if s.carry += s.limited; s.carry >= 1 {
		s.carry--
		return errParentRefused
	}
	return nil
}

// Limited returns the share of the calls of a priority, 0..1, that is refused.
func (p *Parents) Limited(priority int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byPriority[min(max(priority, 0), numPriorities-1)].limited
}
