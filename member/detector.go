package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// helperCount is the number of members asked for an indirect probe.
	helperCount = 3
	// historyLength is the number of probes that decide about self-doubt.
	historyLength = 8
	// historyMin is the number of probes from which a majority says something.
	historyMin = 3
	// goodPeers is the number of recently answering peers preferred as helpers.
	goodPeers = 6
	// corroborating negative answers of helpers outweigh self-doubt: the helpers
	// were reached, so this node's own link works.
	corroborating = 2
	// lateBurials spreads the statements of nodes that are no relays, in
	// heartbeats, so that they do not all reach rank 0 at once.
	lateBurials = 5
	// missedTicks is the number of heartbeats without a tick that mean that
	// this process was paused.
	missedTicks = 3
)

// outcome is the result of one probe.
type outcome struct {
	target   *Record
	started  time.Time
	answered bool // the target answered this node or a helper
	asked    int  // helpers asked
	negative int  // helpers that answered that the target did not
}

// suspicion is a Suspect record that this node watches.
type suspicion struct {
	incarnation, sequence uint64
	due                   time.Time
}

// detector decides whom to probe and when to suspect or bury a member of the
// own failure domain. It has no clock, goroutine or transport of its own.
type detector struct {
	view      View
	rand      *rand.Rand
	heartbeat time.Duration
	timeout   time.Duration // from Suspect to Dead

	order    []string // shuffled ids, probed from the end
	history  []bool   // whether a probe brought any answer at all, newest last
	good     []string // ids that answered lately, newest last
	watched  map[string]suspicion
	lastTick time.Time
	resumed  time.Time // end of the last pause of this process
}

func newDetector(v View, heartbeat, timeout time.Duration, r *rand.Rand) *detector {
	return &detector{view: v, rand: r, heartbeat: heartbeat, timeout: timeout, watched: make(map[string]suspicion)}
}

// tick returns the member to probe now, or nil when there is none. A gap since
// the last tick means that this process was paused: what it knows is then too
// old to suspect anyone.
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

// resume forgets what was observed before a pause and gives every suspected
// member its full time again.
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

// peer returns the live member of the own failure domain with the id, or nil
// for others and for this node itself.
func (t *detector) peer(id string) *Record {
	self := t.view.Self()
	r := t.view.Lookup(id)
	if r == nil || !r.Live() || id == self.ID || r.FailureDomain != self.FailureDomain {
		return nil
	}
	return r
}

// helpers returns members to ask for an indirect probe: those that answered
// lately first, then others of the own failure domain, then relays elsewhere.
func (t *detector) helpers(target *Record) []*Record {
	var picked []*Record
	add := func(r *Record) {
		if r != nil && r.State != Suspect && r.ID != target.ID && r.ID != t.view.Self().ID &&
			len(picked) < helperCount && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	for _, id := range slices.Backward(t.good) {
		if len(picked) < helperCount-1 { // one is always chosen at random
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

// observe takes the result of a probe and returns the statement to merge, if any.
func (t *detector) observe(now time.Time, o outcome) []Record {
	if o.started.Before(t.resumed) {
		return nil
	}
	if o.answered || o.asked > 0 { // without helpers, silence may have either cause
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

// believable reports whether a failed probe says something about its target
// rather than about this node.
func (t *detector) believable(o outcome) bool {
	if o.negative >= corroborating {
		return true
	}
	if o.asked > 0 && o.negative == 0 {
		return false
	}
	return !t.doubtful()
}

// doubtful reports whether most recent probes brought no answer from anyone.
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

// watch notes the suspicions of others. Relays bury a member that the node
// that suspected it does not bury in time.
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

// delay returns how long this node waits for a member that another one
// suspects: relays take turns, other nodes come last and at random.
func (t *detector) delay() time.Duration {
	p := Position(t.view, t.view.Self().ID)
	if p >= 0 && p < RelayCount {
		return t.timeout + time.Duration(p+1)*t.heartbeat
	}
	return t.timeout + (RelayCount+1)*t.heartbeat + time.Duration(t.rand.Int64N(int64(lateBurials*t.heartbeat)))
}

// due returns the members that did not refute their suspicion in time as Dead.
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
