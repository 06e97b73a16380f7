package spread

import (
	"slices"
	"sync"
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// event tells how a version reached this node and what it does for others.
type event struct {
	from    string // sender, empty for a version from the store
	origin  string // region in which the version entered the fleet; empty when unknown or another one
	fresh   bool   // the version is new to the fleet; false for recovery
	entered bool   // the version entered the fleet at this node
	asRoot  bool   // this node stands in for the root of its tree
	asHead  bool   // this node stands in for its region's head
}

// onward returns the event as it is passed on.
func (e event) onward() event { return event{origin: e.origin, fresh: e.fresh} }

// forward passes the version in force on. It does not wait for any peer.
func (n *Node) forward(ev event) {
	t := n.topology()
	next := ev.onward()
	if t.position >= 0 {
		n.pushChildren(t, t.position, next)
	}
	n.standIn(t, ev)
	if !ev.fresh {
		return
	}
	switch {
	case ev.asHead:
	case t.rank == 0:
		n.distribute(t, next)
	case t.isRelay():
		version := n.cur.Version()
		n.tasks.spawn(func() { n.standBy(t, next, version) })
	}
	if ev.entered {
		n.lift(t, next)
	}
}

// standIn does the part of the tree's root or of the region's head, if a node
// that could not reach them asks for it.
func (n *Node) standIn(t *topology, ev event) {
	if ev.asRoot && t.position > 0 {
		n.pushChildren(t, 0, ev.onward())
	}
	if ev.asHead {
		n.distribute(t, ev.onward())
	}
}

// pushChildren pushes to the children of position p. The children of a child
// that does not answer are pushed to directly.
//
//siskingw:step spread-domain
func (n *Node) pushChildren(t *topology, p int, ev event) {
	first, end := member.ChildPositions(p, len(t.ranked))
	for c := first; c < end; c++ {
		if c == t.position {
			continue
		}
		n.deliver(t.ranked[c], ev, nil, func() { n.pushChildren(t, c, ev) })
	}
}

// lift hands a version that entered here to the root of the failure domain and
// to the region's head, or does their part when none of those before it answers.
func (n *Node) lift(t *topology, ev event) {
	if t.position != 0 {
		g := group{order: t.ranked[:min(candidates, len(t.ranked))]}
		if t.position > 0 {
			g.order = t.ranked[:min(candidates, t.position)]
		}
		n.deliverGroup(g, 0, ev, func() { n.pushChildren(t, 0, ev) })
	}
	if t.rank != 0 {
		g := group{region: true, order: t.head}
		if t.rank > 0 {
			g.order = t.head[:t.rank]
		}
		n.deliverGroup(g, 0, ev, func() { n.distribute(t, ev) })
	}
}

// distribute does the part of the region's head: one transfer to each other
// failure domain of the region and, for a version that entered in this region,
// one to each other region.
//
//siskingw:step spread-region
func (n *Node) distribute(t *topology, ev event) {
	for _, g := range t.groups(ev) {
		version := n.cur.Version()
		n.pending.add(g.name, version)
		n.deliverGroup(g, 0, ev, nil)
		if !g.region && len(g.order) > 1 {
			n.tasks.spawn(func() { n.checkGroup(g, ev, version) })
		}
	}
}

// checkGroup asks the second relay of a failure domain, one stagger after the
// delivery to the first one, whether the version has reached it. A root that
// takes a version and dies before it passes it on would otherwise hold it back
// until the relays compare, up to 4 s. Between regions this would cost a
// message over a paid link for each change.
func (n *Node) checkGroup(g group, ev event, version uint64) {
	if !sleep(n.ctx, takeoverAfter) || n.cur.Version() > version {
		return
	}
	for i, p := range g.order[1:] {
		reply, err := n.compare(p, takeoverAfter)
		if err != nil {
			continue
		}
		if reply.Version < version {
			n.stats.takeovers.Inc()
			n.deliverGroup(g, i+1, ev, nil)
		}
		return
	}
}

// groups returns what the region's head delivers to.
func (t *topology) groups(ev event) []group {
	if ev.origin != t.self.Region {
		return t.domains
	}
	return slices.Concat(t.regions, t.domains)
}

// deliverGroup delivers to the i-th member of a group and to the next one when
// that does not answer; exhausted, if set, runs when none is left.
func (n *Node) deliverGroup(g group, i int, ev event, exhausted func()) {
	if i >= len(g.order) {
		if exhausted != nil {
			n.stats.takeovers.Inc()
			exhausted()
		}
		return
	}
	e := ev
	e.asRoot, e.asHead = i > 0, i > 0 && g.region
	n.deliver(g.order[i], e, func(version uint64) { n.pending.remove(g.name, version) },
		func() { n.deliverGroup(g, i+1, ev, exhausted) })
}

// standBy waits for its turn among the region's relays and makes sure that the
// version was distributed: it asks those before it and does what is missing.
func (n *Node) standBy(t *topology, ev event, version uint64) {
	if !sleep(n.ctx, time.Duration(t.rank)*takeoverAfter) || n.cur.Version() > version {
		return
	}
	for _, p := range t.head[:t.rank] {
		reply, err := n.compare(p, takeoverAfter)
		if err != nil {
			continue
		}
		if reply.Version < version {
			n.deliver(p, ev, nil, nil)
			return
		}
		for _, g := range t.groups(ev) {
			if slices.Contains(reply.Undelivered, g.name) {
				n.stats.takeovers.Inc()
				n.deliverGroup(g, 0, ev, nil)
			}
		}
		return
	}
	n.stats.takeovers.Inc()
	n.distribute(t, ev)
}

// link is what a node knows about one peer that it pushes to. At most one push
// to a peer is under way; versions that come up meanwhile are sent together.
type link struct {
	mu      sync.Mutex
	busy    bool
	failing bool   // the last push failed, or the present one is late
	next    *push  // to do after the push under way
	version uint64 // highest version that the peer confirmed
}

// push is one delivery to a peer. Both functions may be nil.
type push struct {
	event event
	done  func(version uint64) // the peer took the version
	miss  func()               // the peer did not answer in time
}

// and returns a push that does the duties of both; p may be nil.
func (p *push) and(q *push) *push {
	if p == nil {
		return q
	}
	both := &push{event: q.event}
	both.event.asRoot = p.event.asRoot || q.event.asRoot
	both.event.asHead = p.event.asHead || q.event.asHead
	both.done = func(version uint64) { p.succeed(version); q.succeed(version) }
	both.miss = func() { p.fail(); q.fail() }
	return both
}

func (p *push) succeed(version uint64) {
	if p.done != nil {
		p.done(version)
	}
}

func (p *push) fail() {
	if p.miss != nil {
		p.miss()
	}
}

func (l *link) confirm(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, version)
}

func (l *link) confirmed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version
}

// setFailing notes whether the peer answers and returns the push that waits.
func (l *link) setFailing(v bool) *push {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = v
	return l.next
}

// begin claims the link for p. When a push is under way p is left for after it.
func (l *link) begin(p *push) (started, failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy {
		l.next = l.next.and(p)
		return false, l.failing
	}
	l.busy = true
	return true, false
}

// end returns the push to do next and releases the link when there is none.
func (l *link) end() *push {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.next
	l.next = nil
	l.busy = p != nil
	return p
}

// links holds a link for each peer that was pushed to.
type links struct {
	mu sync.Mutex
	m  map[string]*link
}

// maxLinks bounds the table. A node pushes to a few dozen peers at most; a
// dropped idle link costs one announcement that is answered with "have".
const maxLinks = 256

func (l *links) of(id string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k, ok := l.m[id]; ok {
		return k
	}
	if l.m == nil || len(l.m) >= maxLinks {
		l.m = make(map[string]*link)
	}
	k := new(link)
	l.m[id] = k
	return k
}

// confirm notes the version of a peer if this node pushes to it. Heartbeats come
// from every member of the failure domain and must not fill the table.
func (l *links) confirm(id string, version uint64) {
	l.mu.Lock()
	k := l.m[id]
	l.mu.Unlock()
	if k != nil {
		k.confirm(version)
	}
}

// deliver pushes the version in force to a peer without waiting for it.
func (n *Node) deliver(to Peer, ev event, done func(uint64), miss func()) {
	l := n.links.of(to.ID)
	p := &push{event: ev, done: done}
	if miss != nil {
		p.miss = sync.OnceFunc(miss)
	}
	started, failing := l.begin(p)
	if !started {
		if failing {
			p.fail()
		}
		return
	}
	n.tasks.spawn(func() {
		for p != nil && n.ctx.Err() == nil {
			n.pushOnce(l, to, p)
			p = l.end()
		}
	})
}

// pushOnce sends one offer. It calls miss when the answer fails or is later
// than takeoverAfter; the offer itself may still succeed after that.
func (n *Node) pushOnce(l *link, to Peer, p *push) {
	s := n.cur.Load()
	if s == nil {
		return
	}
	if l.confirmed() >= s.Version() && !p.event.asRoot && !p.event.asHead {
		p.succeed(s.Version())
		return
	}
	miss := sync.OnceFunc(func() {
		waiting := l.setFailing(true)
		n.stats.missed.Inc()
		p.fail()
		if waiting != nil {
			waiting.fail() // it would wait behind this one for up to callTimeout
		}
	})
	late := time.AfterFunc(takeoverAfter, miss)
	ctx, cancel := within(n.ctx, callTimeout)
	defer cancel()
	n.stats.offers.Inc()
	reply, err := n.opts.Transport.Offer(ctx, to, n.offerFor(to, s, l.confirmed(), p.event))
	late.Stop()
	if err != nil {
		n.log.V(1).Info("offer failed", "peer", to.ID, "error", err.Error())
		miss()
		return
	}
	if reply.Status == peerpb.OfferReply_REFUSED {
		miss()
		return
	}
	l.setFailing(false)
	l.confirm(reply.Version)
	if to.Region == n.view.Self().Region {
		n.copies.raise(reply.Version)
	}
	n.hear(to, 1)
	if reply.Version > s.Version() {
		n.want(want{from: to, version: reply.Version, event: event{fresh: true}, jitter: true})
	}
	p.succeed(s.Version())
}

// offerFor returns the offer of s for a peer that has confirmed a version: the
// deltas that it lacks, or an announcement when they are unknown or too large.
func (n *Node) offerFor(to Peer, s *snapshot.Snapshot, confirmed uint64, ev event) *peerpb.OfferRequest {
	self := n.view.Self()
	r := &peerpb.OfferRequest{Sender: self.ID, Version: s.Version(), AsRoot: ev.asRoot, AsHead: ev.asHead}
	if to.Region == self.Region {
		r.OriginRegion = ev.origin
	} else if foreign := n.foreign.Load(); foreign < s.Version() {
		// The heads of their regions delivered the versions that entered there.
		confirmed = max(confirmed, foreign)
	}
	if confirmed < s.Version() {
		r.Deltas = n.hist.chainFrom(confirmed, s.Version())
	}
	if r.Deltas == nil && confirmed < s.Version() {
		r.Deltas = n.hist.chainFrom(0, s.Version())
	}
	if len(r.Deltas) > 0 && totalBytes(r.Deltas) <= maxPushBytes {
		return r
	}
	digest := s.Digest()
	r.Deltas, r.Digest = nil, digest[:]
	return r
}

func totalBytes(chain [][]byte) int {
	n := 0
	for _, b := range chain {
		n += len(b)
	}
	return n
}

// pendingGroups names the groups that did not confirm a version yet.
type pendingGroups struct {
	mu sync.Mutex
	m  map[string]uint64
}

func (p *pendingGroups) add(name string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]uint64)
	}
	p.m[name] = version
}

func (p *pendingGroups) remove(name string, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m[name] <= version {
		delete(p.m, name)
	}
}

func (p *pendingGroups) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name := range p.m {
		out = append(out, name)
	}
	return out
}
