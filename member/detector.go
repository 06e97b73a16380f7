package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// helperCount is the number of members asked for an indirect probe.
	helperCount = 3
	// probeHistoryLength is the number of recent probes from which a node
	// judges whether it is isolated itself.
	probeHistoryLength = 8
	// minProbeHistory is the smallest number of probes for that judgement.
	minProbeHistory = 3
	// maxResponsivePeers is the number of recently responsive peers that are
	// preferred as helpers.
	maxResponsivePeers = 6
	// trustedNegativeReplies is the number of negative replies from helpers
	// that count even when this node seems isolated: the helpers answered, so
	// its own link works.
	trustedNegativeReplies = 2
	// declareJitterHeartbeats is the range of the random delay, in heartbeats,
	// after which nodes that are not relays declare a member dead, so that
	// their reports do not all reach rank 0 at once.
	declareJitterHeartbeats = 5
	// pauseHeartbeats is the gap between two ticks, in heartbeats, beyond which
	// this process is taken to have been paused.
	pauseHeartbeats = 3
)

// probeResult is the result of one probe.
type probeResult struct {
	member          *Record
	started         time.Time
	answered        bool // the member answered this node or a helper
	helpersAsked    int  // number of helpers asked
	negativeReplies int  // number of helpers that got no answer from the member
}

// suspicion is a Suspect record that this node turns into Dead at a deadline
// unless the member refutes it.
type suspicion struct {
	incarnation, sequence uint64
	deadline              time.Time
}

// detector decides which member of the local failure domain to probe and when
// to declare one suspect or dead. It has no clock, goroutine or transport of
// its own.
type detector struct {
	view      View
	rand      *rand.Rand
	heartbeat time.Duration
	timeout   time.Duration // time from Suspect to Dead

	probeOrder   []string // shuffled ids, consumed from the end
	probeHistory []bool   // whether the member or a helper answered each probe, newest last
	responsive   []string // ids of members that answered recently, newest last
	suspicions   map[string]suspicion
	lastTick     time.Time
	resumedAt    time.Time // end of the last pause of this process
}

func newDetector(v View, heartbeat, timeout time.Duration, r *rand.Rand) *detector {
	return &detector{view: v, rand: r, heartbeat: heartbeat, timeout: timeout, suspicions: make(map[string]suspicion)}
}

// tick returns the member to probe now, or nil when there is none. A long gap
// since the last tick means that this process was paused and that its
// observations are too old to suspect any member.
func (t *detector) tick(now time.Time) *Record {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > pauseHeartbeats*t.heartbeat {
		t.resetAfterPause(now)
	}
	t.lastTick = now
	for range 2 {
		for len(t.probeOrder) > 0 {
			id := t.probeOrder[len(t.probeOrder)-1]
			t.probeOrder = t.probeOrder[:len(t.probeOrder)-1]
			if r := t.peer(id); r != nil {
				return r
			}
		}
		t.shuffleProbeOrder()
	}
	return nil
}

// resetAfterPause discards the observations from before a pause and restarts
// the timeout of every suspected member.
func (t *detector) resetAfterPause(now time.Time) {
	t.resumedAt = now
	t.probeHistory = nil
	for id, s := range t.suspicions {
		s.deadline = now.Add(t.declareDelay())
		t.suspicions[id] = s
	}
}

func (t *detector) shuffleProbeOrder() {
	ranked := t.view.Ranked(t.view.Self().FailureDomain)
	t.probeOrder = t.probeOrder[:0]
	for _, r := range ranked {
		t.probeOrder = append(t.probeOrder, r.ID)
	}
	t.rand.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
}

// peer returns the live member of the local failure domain with the given id.
// It returns nil for this node and for members of other failure domains.
func (t *detector) peer(id string) *Record {
	self := t.view.Self()
	r := t.view.Lookup(id)
	if r == nil || !r.Live() || id == self.ID || r.FailureDomain != self.FailureDomain {
		return nil
	}
	return r
}

// helpers returns the members to ask for an indirect probe: recently responsive
// ones first, then others of the local failure domain, then relays of other
// failure domains.
func (t *detector) helpers(member *Record) []*Record {
	var picked []*Record
	add := func(r *Record) {
		if r != nil && r.State != Suspect && r.ID != member.ID && r.ID != t.view.Self().ID &&
			len(picked) < helperCount && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	for _, id := range slices.Backward(t.responsive) {
		if len(picked) < helperCount-1 { // the last one is chosen at random
			add(t.peer(id))
		}
	}
	ranked := t.view.Ranked(t.view.Self().FailureDomain)
	for range min(4*helperCount, 4*len(ranked)) {
		add(ranked[t.rand.IntN(len(ranked))])
	}
	for _, d := range t.view.FailureDomains() {
		if d.Name != member.FailureDomain && !d.Unreachable {
			for _, r := range Relays(t.view, d.Name) {
				add(r)
			}
		}
	}
	return picked
}

// observe processes the result of a probe and returns the Suspect record to
// merge, if any.
func (t *detector) observe(now time.Time, o probeResult) []Record {
	if o.started.Before(t.resumedAt) {
		return nil
	}
	if o.answered || o.helpersAsked > 0 { // with no helper asked, the fault may lie on either side
		t.probeHistory = append(t.probeHistory, o.answered || o.negativeReplies > 0)
		t.probeHistory = t.probeHistory[max(0, len(t.probeHistory)-probeHistoryLength):]
	}
	if o.answered {
		t.markResponsive(o.member.ID)
		return nil
	}
	current := t.peer(o.member.ID)
	if current == nil || current.Incarnation != o.member.Incarnation || current.Sequence != o.member.Sequence {
		return nil
	}
	if !t.conclusive(o) || current.State == Suspect {
		return nil
	}
	s := *current
	s.State = Suspect
	t.suspicions[s.ID] = suspicion{s.Incarnation, s.Sequence, now.Add(t.timeout)}
	return []Record{s}
}

// conclusive reports whether a failed probe is evidence about the probed member
// rather than about this node's own link.
func (t *detector) conclusive(o probeResult) bool {
	if o.negativeReplies >= trustedNegativeReplies {
		return true
	}
	if o.helpersAsked > 0 && o.negativeReplies == 0 {
		return false
	}
	return !t.isolated()
}

// isolated reports whether this node is probably isolated: neither the member
// nor a helper answered most of the recent probes.
func (t *detector) isolated() bool {
	silent := 0
	for _, heard := range t.probeHistory {
		if !heard {
			silent++
		}
	}
	return len(t.probeHistory) >= minProbeHistory && 2*silent > len(t.probeHistory)
}

func (t *detector) markResponsive(id string) {
	t.responsive = slices.DeleteFunc(t.responsive, func(g string) bool { return g == id })
	t.responsive = append(t.responsive, id)
	t.responsive = t.responsive[max(0, len(t.responsive)-maxResponsivePeers):]
}

// trackSuspicions tracks suspicions raised by other nodes, so that the member
// is declared dead even when the node that raised the suspicion fails to do so.
func (t *detector) trackSuspicions(now time.Time, changed []*Record) {
	for _, r := range changed {
		if r.State != Suspect || t.peer(r.ID) == nil {
			continue
		}
		if w, ok := t.suspicions[r.ID]; ok && w.incarnation == r.Incarnation && w.sequence == r.Sequence {
			continue
		}
		t.suspicions[r.ID] = suspicion{r.Incarnation, r.Sequence, now.Add(t.declareDelay())}
	}
}

// declareDelay returns how long this node waits before it declares a member
// dead that another node suspects. Relays are staggered by rank; other nodes
// follow after a random delay.
func (t *detector) declareDelay() time.Duration {
	p := Position(t.view, t.view.Self().ID)
	if p >= 0 && p < RelayCount {
		return t.timeout + time.Duration(p+1)*t.heartbeat
	}
	return t.timeout + (RelayCount+1)*t.heartbeat +
		time.Duration(t.rand.Int64N(int64(declareJitterHeartbeats*t.heartbeat)))
}

// declareDead returns Dead records for the members that did not refute a
// suspicion in time.
func (t *detector) declareDead(now time.Time) []Record {
	var dead []Record
	for id, s := range t.suspicions {
		r := t.peer(id)
		if r == nil || r.State != Suspect || r.Incarnation != s.incarnation || r.Sequence != s.sequence {
			delete(t.suspicions, id)
			continue
		}
		if now.Before(s.deadline) || t.isolated() || now.Sub(t.lastTick) > pauseHeartbeats*t.heartbeat {
			continue
		}
		d := *r
		d.State = Dead
		dead = append(dead, d)
		delete(t.suspicions, id)
	}
	return dead
}
