package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// helperCount is the number of members asked for an indirect probe.
	helperCount = 3
	// historyLength is the number of recent probes from which a node judges
	// whether it is isolated itself.
	historyLength = 8
	// historyMin is the smallest number of probes for that judgement.
	historyMin = 3
	// goodPeers is the number of recently responsive peers that are preferred
	// as helpers.
	goodPeers = 6
	// corroborating is the number of negative replies from helpers that count
	// even when this node seems isolated: the helpers answered, so its own link
	// works.
	corroborating = 2
	// lateBurials is the range of the random delay, in heartbeats, after which
	// nodes that are not relays declare a member dead, so that their reports do
	// not all reach rank 0 at once.
	lateBurials = 5
	// missedTicks is the gap between two ticks, in heartbeats, beyond which
	// this process is taken to have been paused.
	missedTicks = 3
)

// outcome is the result of one probe.
type outcome struct {
	target   *Record
	started  time.Time
	answered bool // the member answered this node or a helper
	asked    int  // number of helpers asked
	negative int  // number of helpers that got no answer from the member
}

// suspicion is a Suspect record that this node turns into Dead at a deadline
// unless the member refutes it.
type suspicion struct {
	incarnation, sequence uint64
	due                   time.Time
}

// detector decides which member of the local failure domain to probe and when
// to declare one suspect or dead. It has no clock, goroutine or transport of
// its own.
type detector struct {
	view      View
	rand      *rand.Rand
	heartbeat time.Duration
	timeout   time.Duration // time from Suspect to Dead

	order    []string // shuffled ids, consumed from the end
	history  []bool   // whether each probe brought an answer from anyone, newest last
	good     []string // ids of members that answered recently, newest last
	watched  map[string]suspicion
	lastTick time.Time
	resumed  time.Time // end of the last pause of this process
}

func newDetector(v View, heartbeat, timeout time.Duration, r *rand.Rand) *detector {
	return &detector{view: v, rand: r, heartbeat: heartbeat, timeout: timeout, watched: make(map[string]suspicion)}
}

// tick returns the member to probe now, or nil when there is none. A long gap
// since the last tick means that this process was paused and that its
// observations are too old to suspect anyone.
func (t *detector) tick(now time.Time) *Record {
	if !t.lastTick.IsZero() && now.Sub(t.lastTick) > missedTicks*t.heartbeat {
		t.resume(now)
	}
	t.lastTick = now
	for range 2 {
		for len(t.order) > 0 {
			id := t.order[len(t.order)-1]
			t.order = t.order[:len(t.order)-1]
			if r := t.peer(id); r != nil {
				return r
			}
		}
		t.shuffle()
	}
	return nil
}

// resume discards the observations from before a pause and restarts the timeout
// of every suspected member.
func (t *detector) resume(now time.Time) {
	t.resumed = now
	t.history = nil
	for id, s := range t.watched {
		s.due = now.Add(t.delay())
		t.watched[id] = s
	}
}

func (t *detector) shuffle() {
	ranked := t.view.Ranked(t.view.Self().FailureDomain)
	t.order = t.order[:0]
	for _, r := range ranked {
		t.order = append(t.order, r.ID)
	}
	t.rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
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
func (t *detector) helpers(target *Record) []*Record {
	var picked []*Record
	add := func(r *Record) {
		if r != nil && r.State != Suspect && r.ID != target.ID && r.ID != t.view.Self().ID &&
			len(picked) < helperCount && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	for _, id := range slices.Backward(t.good) {
		if len(picked) < helperCount-1 { // the last one is chosen at random
			add(t.peer(id))
		}
	}
	ranked := t.view.Ranked(t.view.Self().FailureDomain)
	for range min(4*helperCount, 4*len(ranked)) {
		add(ranked[t.rand.IntN(len(ranked))])
	}
	for _, d := range t.view.FailureDomains() {
		if d.Name != target.FailureDomain && !d.Unreachable {
			for _, r := range Relays(t.view, d.Name) {
				add(r)
			}
		}
	}
	return picked
}

// observe processes the result of a probe and returns the Suspect record to
// merge, if any.
func (t *detector) observe(now time.Time, o outcome) []Record {
	if o.started.Before(t.resumed) {
		return nil
	}
	if o.answered || o.asked > 0 { // with no helper asked, the fault may lie on either side
		t.history = append(t.history, o.answered || o.negative > 0)
		t.history = t.history[max(0, len(t.history)-historyLength):]
	}
	if o.answered {
		t.remember(o.target.ID)
		return nil
	}
	current := t.peer(o.target.ID)
	if current == nil || current.Incarnation != o.target.Incarnation || current.Sequence != o.target.Sequence {
		return nil
	}
	if !t.believable(o) || current.State == Suspect {
		return nil
	}
	s := *current
	s.State = Suspect
	t.watched[s.ID] = suspicion{s.Incarnation, s.Sequence, now.Add(t.timeout)}
	return []Record{s}
}

// believable reports whether a failed probe tells something about the probed
// member rather than about this node's own link.
func (t *detector) believable(o outcome) bool {
	if o.negative >= corroborating {
		return true
	}
	if o.asked > 0 && o.negative == 0 {
		return false
	}
	return !t.doubtful()
}

// doubtful reports whether this node is probably isolated: most recent probes
// brought no answer from anyone.
func (t *detector) doubtful() bool {
	silent := 0
	for _, heard := range t.history {
		if !heard {
			silent++
		}
	}
	return len(t.history) >= historyMin && 2*silent > len(t.history)
}

func (t *detector) remember(id string) {
	t.good = slices.DeleteFunc(t.good, func(g string) bool { return g == id })
	t.good = append(t.good, id)
	t.good = t.good[max(0, len(t.good)-goodPeers):]
}

// watch tracks suspicions raised by other nodes, so that the member is declared
// dead even when the node that raised the suspicion fails to do so.
func (t *detector) watch(now time.Time, changed []*Record) {
	for _, r := range changed {
		if r.State != Suspect || t.peer(r.ID) == nil {
			continue
		}
		if w, ok := t.watched[r.ID]; ok && w.incarnation == r.Incarnation && w.sequence == r.Sequence {
			continue
		}
		t.watched[r.ID] = suspicion{r.Incarnation, r.Sequence, now.Add(t.delay())}
	}
}

// delay returns how long this node waits before it declares a member dead that
// another node suspects. Relays are staggered by rank; other nodes follow after
// a random delay.
func (t *detector) delay() time.Duration {
	p := Position(t.view, t.view.Self().ID)
	if p >= 0 && p < RelayCount {
		return t.timeout + time.Duration(p+1)*t.heartbeat
	}
	return t.timeout + (RelayCount+1)*t.heartbeat + time.Duration(t.rand.Int64N(int64(lateBurials*t.heartbeat)))
}

// due returns Dead records for the members that did not refute a suspicion in
// time.
func (t *detector) due(now time.Time) []Record {
	var dead []Record
	for id, s := range t.watched {
		r := t.peer(id)
		if r == nil || r.State != Suspect || r.Incarnation != s.incarnation || r.Sequence != s.sequence {
			delete(t.watched, id)
			continue
		}
		if now.Before(s.due) || t.doubtful() || now.Sub(t.lastTick) > missedTicks*t.heartbeat {
			continue
		}
		d := *r
		d.State = Dead
		dead = append(dead, d)
		delete(t.watched, id)
	}
	return dead
}
