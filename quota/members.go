package quota

import (
	"slices"
	"sync"
	"time"

	"siskingw/member"
)

const (
	// settleTime is how long a process must be known before it is preferred as a
	// pool: by then all nodes know it and turn to it at the same time.
	settleTime = 2 * time.Second
	// failedTime is how long a pool that did not answer is not asked again.
	failedTime = time.Second
	// goneTime is how long an instance that vanished without leaving still counts:
	// it may be cut off and use its own fraction.
	goneTime = 10 * time.Minute
	// leftTime is how long an instance that left still counts: its next process may start
	// cut off from the others, which then cannot learn of it.
	leftTime = 30 * time.Second
	// aloneTime is how long a process that knows no other waits until it takes
	// itself for the only one: it may not have joined yet.
	aloneTime = 5 * time.Second
	// unlistedTime is how long a process that reaches no other, and that the roster did
	// not list at its start, uses no fraction: it adds itself to the roster, and the
	// others read that within rosterPoll; it reads within another what they have added.
	unlistedTime = 25 * time.Second
	// candidates is the number of nodes of a failure domain that may be the pool.
	candidates = 3
	// maxLenders bounds the other regions whose pools are asked for credit, each for
	// one round trip.
	maxLenders = 4
	// maxGone bounds the memory for vanished instances.
	maxGone = 20_000
)

// members tells which instances share the quotas and which of them is the pool.
type members struct {
	view    member.View
	clock   func() time.Time
	started time.Time

	mu     sync.Mutex
	known  map[string]process   // latest process of each live node
	gone   map[string]time.Time // nodes that vanished without leaving
	left   map[string]time.Time // nodes that left
	failed map[string]time.Time // pools that did not answer
	stated map[string]int       // numbers of instances that nodes state, also those in gone and left
	// hasRoster is set if there is a roster to read, rosterRead once this process has
	// read it, and listed if it listed an instance.
	hasRoster, rosterRead, listed bool
	unlisted                      bool // the first roster that was read did not list this instance
}

type process struct {
	incarnation uint64
	since       time.Time
}

func newMembers(v member.View, now time.Time) *members {
	self := v.Self()
	return &members{view: v, clock: time.Now, started: now, known: map[string]process{self.ID: {incarnation: self.Incarnation, since: now}},
		gone: make(map[string]time.Time), left: make(map[string]time.Time), failed: make(map[string]time.Time), stated: make(map[string]int)}
}

// update records changed members.
func (m *members) update(changed []*member.Record) {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range changed {
		switch {
		case r.Departed() || r.ID == m.view.Self().ID:
		case r.Live() && r.QuotaInstances > 0:
			m.stated[r.ID] = int(r.QuotaInstances)
		default:
			delete(m.stated, r.ID)
		}
		switch {
		case r.Live():
			delete(m.gone, r.ID)
			delete(m.left, r.ID)
			if p, ok := m.known[r.ID]; !ok || p.incarnation != r.Incarnation {
				m.known[r.ID] = process{incarnation: r.Incarnation, since: now}
			}
		case r.State == member.Dead && len(m.gone) < maxGone:
			delete(m.known, r.ID)
			m.gone[r.ID] = earlier(now, time.UnixMilli(r.DepartedMs))
		default:
			at := now
			if _, counted := m.known[r.ID]; !counted && m.gone[r.ID].IsZero() {
				at = earlier(now, time.UnixMilli(r.DepartedMs)) // it left before this process knew it
			}
			delete(m.known, r.ID)
			delete(m.gone, r.ID)
			if r.State == member.Left && len(m.left) < maxGone {
				m.left[r.ID] = at
			}
		}
	}
}

// division is the number of instances among which the quotas are divided, and where it is
// from.
type division struct {
	instances int // 0 while it is not known
	live      int // in touch with this node
	gone      int // vanished without leaving, as this node or the roster knows, or left a moment ago
	stated    int // by other nodes, which read the roster
}

// instances returns the number of instances that may use a fraction. It is not known
// before this process, or another one that it knows, has read the roster: it would count
// only the instances that it reaches, and some that it does not may use a fraction.
func (m *members) instances(now time.Time) division {
	var d division
	for _, domain := range m.view.FailureDomains() {
		d.live += domain.Live
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropGone(now)
	d.gone = len(m.gone) + len(m.left)
	for _, n := range m.stated {
		d.stated = max(d.stated, n)
	}
	known := m.rosterRead || d.stated > 0
	starting := now.Sub(m.started) < aloneTime
	switch n := max(d.live+d.gone, d.stated); {
	case m.hasRoster && !known && (starting || n == 1):
	case n == 1 && !m.listed && starting: // it may not have joined yet
	case d.live == 1 && m.unlisted && now.Sub(m.started) < unlistedTime: // the others do not count it yet
	default:
		d.instances = n
	}
	return d
}

// hasRead reports whether this process has read the roster.
func (m *members) hasRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rosterRead
}

// dropGone forgets the nodes that vanished or left long ago. m.mu must be held.
func (m *members) dropGone(now time.Time) {
	for id, at := range m.gone {
		if now.Sub(at) > goneTime {
			delete(m.gone, id)
			delete(m.stated, id)
		}
	}
	for id, at := range m.left {
		if now.Sub(at) > leftTime {
			delete(m.left, id)
			delete(m.stated, id)
		}
	}
}

// adopt takes over the roster that other processes have written: all of it when this
// process reads it first, and later what was added since. An instance that it lists and
// that is not known here counts as vanished, as it may be cut off. One that has left may
// have started again in a part of the fleet that is cut off; that part adds it again.
func (m *members) adopt(r Roster, added []string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, listed := !m.rosterRead, len(r.Live)+len(r.Gone) > 0
	if first {
		m.unlisted = listed && !r.has(m.view.Self().ID)
	}
	m.rosterRead, m.listed = true, m.listed || listed
	add := func(id string, at time.Time) {
		known := m.view.Lookup(id)
		_, gone := m.gone[id]
		switch {
		case gone || known != nil && known.Live() || !first && !slices.Contains(added, id) || len(m.gone)+len(m.left) >= maxGone:
		case first && known != nil && known.State == member.Left:
			m.left[id] = now
		default:
			m.gone[id] = at
			delete(m.left, id)
		}
	}
	for _, id := range r.Live {
		add(id, now)
	}
	for id, ms := range r.Gone {
		add(id, earlier(now, time.UnixMilli(ms)))
	}
	m.dropGone(now)
}

// roster returns the instances that this node knows.
func (m *members) roster(now time.Time) Roster {
	r := Roster{Gone: make(map[string]int64)}
	for _, d := range m.view.FailureDomains() {
		for _, known := range m.view.Ranked(d.Name) {
			r.Live = append(r.Live, known.ID)
		}
	}
	slices.Sort(r.Live)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropGone(now)
	for id, at := range m.gone {
		r.Gone[id] = at.UnixMilli()
	}
	return r
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// pools returns the nodes whose pools are to be asked: the one of the node's own
// region, to which it pledges its fraction, and those of other regions, which lend
// credit. If its own region has none, the first one takes its place.
func (m *members) pools(now time.Time) (home *member.Record, lenders []*member.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.view.FailureDomains()
	own := m.view.Self().Region
	var after, before []*member.Record // by region, relative to the own one
	for len(all) > 0 {
		n := 1
		for n < len(all) && all[n].Region == all[0].Region {
			n++
		}
		switch r := m.poolOf(all[:n], now); {
		case r == nil:
		case all[0].Region == own:
			home = r
		case all[0].Region < own:
			before = append(before, r)
		default:
			after = append(after, r)
		}
		all = all[n:]
	}
	lenders = append(after, before...)
	if home == nil && len(lenders) > 0 {
		home, lenders = lenders[0], lenders[1:]
	}
	return home, lenders[:min(len(lenders), maxLenders)]
}

// poolOf returns the node whose pool serves the failure domains of a region: the
// first, by failure domain, of the highest rank that is settled and answers; or nil.
// Nodes of the lowest ranks have duties in the distribution of configurations: while
// versions came every 0.2 s, a pool at the head of its region answered late.
func (m *members) poolOf(domains []member.DomainInfo, now time.Time) *member.Record {
	var unsettled *member.Record
	for _, d := range domains {
		if d.Unreachable {
			continue
		}
		ranked := m.view.Ranked(d.Name)
		for _, r := range slices.Backward(ranked[max(len(ranked)-candidates, 0):]) {
			if r.State != member.Alive || now.Sub(m.failed[r.ID]) < failedTime {
				continue
			}
			if p, ok := m.known[r.ID]; ok && now.Sub(p.since) >= settleTime {
				return r
			}
			if unsettled == nil {
				unsettled = r
			}
		}
	}
	return unsettled
}

// markFailed records that the pool of a node did not answer.
func (m *members) markFailed(id string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other, at := range m.failed {
		if now.Sub(at) > failedTime {
			delete(m.failed, other)
		}
	}
	m.failed[id] = now
}
