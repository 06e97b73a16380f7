package spread

import (
	"slices"
	"sync"
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// offerInfo describes how a version reached this node, or with which roles it
// is offered to a peer.
type offerInfo struct {
	sender         string // id of the peer that offered the version; empty without an offer
	origin         string // region in which the version was introduced; empty if unknown or another region
	isNew          bool   // the version is new to the fleet; false for recovery
	introducedHere bool   // the version was introduced at this node, by its acceptor or from the store
	asRoot         bool   // this node acts as the root of its failure domain's tree
	asHead         bool   // this node acts as the head of its region
}

// forwarded returns the info with which the version is forwarded.
func (i offerInfo) forwarded() offerInfo { return offerInfo{origin: i.origin, isNew: i.isNew} }

// forward pushes the version in force to the nodes that this node is
// responsible for. It does not wait for any peer.
func (n *Node) forward(info offerInfo) {
	t := n.topology()
	outgoing := info.forwarded()
	if t.position >= 0 {
		n.pushChildren(t, t.position, outgoing)
	}
	n.performDelegatedRoles(t, info)
	if !info.isNew {
		return
	}
	switch {
	case info.asHead:
	case t.relayRank == 0:
		n.distribute(t, outgoing)
	case t.isRelay():
		version := n.current.Version()
		n.tasks.spawn(func() { n.backUpHead(t, outgoing, version) })
	}
	if info.introducedHere {
		n.pushToRootAndHead(t, outgoing)
	}
}

// performDelegatedRoles does the work of the tree's root or of the region's
// head if a node that could not reach them asked for it.
func (n *Node) performDelegatedRoles(t *topology, info offerInfo) {
	if info.asRoot && t.position > 0 {
		n.pushChildren(t, 0, info.forwarded())
	}
	if info.asHead {
		n.distribute(t, info.forwarded())
	}
}

// pushChildren pushes to the children of position p. If a child does not
// answer, it pushes to that child's children directly.
//
//siskingw:step spread-domain
func (n *Node) pushChildren(t *topology, p int, info offerInfo) {
	first, end := member.ChildPositions(p, len(t.ranked))
	for c := first; c < end; c++ {
		if c == t.position {
			continue
		}
		n.deliver(t.ranked[c], info, nil, func() { n.pushChildren(t, c, info) })
	}
}

// pushToRootAndHead sends a version that was introduced at this node to the
// root of the failure domain and to the region's head. If none of the
// candidates before this node answers, it does their work itself.
func (n *Node) pushToRootAndHead(t *topology, info offerInfo) {
	if t.position != 0 {
		g := group{candidates: t.ranked[:min(maxCandidates, len(t.ranked))]}
		if t.position > 0 {
			g.candidates = t.ranked[:min(maxCandidates, t.position)]
		}
		n.deliverToGroup(g, 0, info, func() { n.pushChildren(t, 0, info) })
	}
	if t.relayRank != 0 {
		g := group{isRegion: true, candidates: t.regionRelays}
		if t.relayRank > 0 {
			g.candidates = t.regionRelays[:t.relayRank]
		}
		n.deliverToGroup(g, 0, info, func() { n.distribute(t, info) })
	}
}

// distribute does the work of the region's head: one transfer to each other
// failure domain of the region and, for a version that was introduced in this
// region, one to each other region.
//
//siskingw:step spread-region
func (n *Node) distribute(t *topology, info offerInfo) {
	for _, g := range t.groups(info) {
		version := n.current.Version()
		n.pending.add(g.name, version)
		n.deliverToGroup(g, 0, info, nil)
		if !g.isRegion && len(g.candidates) > 1 {
			n.tasks.spawn(func() { n.verifyGroupDelivery(g, info, version) })
		}
	}
}

// verifyGroupDelivery asks the second relay of a failure domain, or the next
// one that answers, whether the version has reached it, one takeoverTimeout
// after the delivery to the first one. Without this check, a root that applies
// a version and crashes before it forwards it delays the version until the
// relays compare, up to 4 s. Other regions are not checked, because that would
// cost a message over a metered link for each change.
func (n *Node) verifyGroupDelivery(g group, info offerInfo, version uint64) {
	if !sleep(n.ctx, takeoverTimeout) || n.current.Version() > version {
		return
	}
	for i, p := range g.candidates[1:] {
		reply, err := n.compare(p, takeoverTimeout)
		if err != nil {
			continue
		}
		if reply.Version < version {
			n.stats.takeovers.Inc()
			n.deliverToGroup(g, i+1, info, nil)
		}
		return
	}
}

// groups returns the groups that the region's head delivers to.
func (t *topology) groups(info offerInfo) []group {
	if info.origin != t.self.Region {
		return t.domainGroups
	}
	return slices.Concat(t.regionGroups, t.domainGroups)
}

// deliverToGroup delivers to the i-th candidate of a group, and to the next one
// if that one refuses or does not answer in time. Any candidate but the first
// acts as the root of the failure domain and, for a region, as its head.
// onExhausted, if set, runs when the last candidate has failed.
func (n *Node) deliverToGroup(g group, i int, info offerInfo, onExhausted func()) {
	if i >= len(g.candidates) {
		if onExhausted != nil {
			n.stats.takeovers.Inc()
			onExhausted()
		}
		return
	}
	candidateInfo := info
	candidateInfo.asRoot, candidateInfo.asHead = i > 0, i > 0 && g.isRegion
	n.deliver(g.candidates[i], candidateInfo, func(version uint64) { n.pending.remove(g.name, version) },
		func() { n.deliverToGroup(g, i+1, info, onExhausted) })
}

// backUpHead waits for one takeoverTimeout per preceding relay of the region
// and then verifies that the version was distributed: it asks the preceding
// relays and delivers what is missing.
func (n *Node) backUpHead(t *topology, info offerInfo, version uint64) {
	if !sleep(n.ctx, time.Duration(t.relayRank)*takeoverTimeout) || n.current.Version() > version {
		return
	}
	for _, p := range t.regionRelays[:t.relayRank] {
		reply, err := n.compare(p, takeoverTimeout)
		if err != nil {
			continue
		}
		if reply.Version < version {
			n.deliver(p, info, nil, nil)
			return
		}
		for _, g := range t.groups(info) {
			if slices.Contains(reply.Undelivered, g.name) {
				n.stats.takeovers.Inc()
				n.deliverToGroup(g, 0, info, nil)
			}
		}
		return
	}
	n.stats.takeovers.Inc()
	n.distribute(t, info)
}

// pushState is the state of the pushes to one peer. At most one push to a peer
// is in flight; versions that arrive meanwhile are sent together.
type pushState struct {
	mu               sync.Mutex
	pushing          bool
	failing          bool   // the last push failed, or the current one is late
	queued           *push  // runs after the push in flight
	confirmedVersion uint64 // highest version that the peer confirmed
}

// push is one delivery to a peer. Both functions may be nil.
type push struct {
	info        offerInfo
	onConfirmed func(version uint64) // the peer has the version
	onFailure   func()               // the peer refused or did not answer in time
}

// merge returns a push with the roles and callbacks of both; p may be nil.
func (p *push) merge(q *push) *push {
	if p == nil {
		return q
	}
	merged := &push{info: q.info}
	merged.info.asRoot = p.info.asRoot || q.info.asRoot
	merged.info.asHead = p.info.asHead || q.info.asHead
	merged.onConfirmed = func(version uint64) { p.succeed(version); q.succeed(version) }
	merged.onFailure = func() { p.fail(); q.fail() }
	return merged
}

func (p *push) succeed(version uint64) {
	if p.onConfirmed != nil {
		p.onConfirmed(version)
	}
}

func (p *push) fail() {
	if p.onFailure != nil {
		p.onFailure()
	}
}

func (s *pushState) confirm(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedVersion = max(s.confirmedVersion, version)
}

func (s *pushState) confirmed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedVersion
}

// setFailing records whether the peer fails to answer and returns the queued
// push, or nil.
func (s *pushState) setFailing(v bool) *push {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = v
	return s.queued
}

// startOrQueue starts p, or queues it if a push is in flight.
func (s *pushState) startOrQueue(p *push) (started, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pushing {
		s.queued = s.queued.merge(p)
		return false, s.failing
	}
	s.pushing = true
	return true, false
}

// takeNext returns the queued push. If there is none, the peer counts as idle
// again.
func (s *pushState) takeNext() *push {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.queued
	s.queued = nil
	s.pushing = p != nil
	return p
}

// pushStates holds a pushState for each peer that was pushed to.
type pushStates struct {
	mu sync.Mutex
	m  map[string]*pushState
}

// maxPushStates bounds the table. A node pushes to a few dozen peers at most; a
// dropped idle entry costs one announcement that is answered with "have".
const maxPushStates = 256

func (s *pushStates) get(id string) *pushState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.m[id]; ok {
		return state
	}
	if s.m == nil || len(s.m) >= maxPushStates {
		s.m = make(map[string]*pushState)
	}
	state := new(pushState)
	s.m[id] = state
	return state
}

// confirm records the version of a peer if this node pushes to it. Heartbeats
// come from every member of the failure domain and must not fill the table.
func (s *pushStates) confirm(id string, version uint64) {
	s.mu.Lock()
	state := s.m[id]
	s.mu.Unlock()
	if state != nil {
		state.confirm(version)
	}
}

// deliver pushes the version in force to a peer without waiting for it.
func (n *Node) deliver(to Peer, info offerInfo, onConfirmed func(uint64), onFailure func()) {
	state := n.pushStates.get(to.ID)
	p := &push{info: info, onConfirmed: onConfirmed}
	if onFailure != nil {
		p.onFailure = sync.OnceFunc(onFailure)
	}
	started, failing := state.startOrQueue(p)
	if !started {
		if failing {
			p.fail()
		}
		return
	}
	n.tasks.spawn(func() {
		for p != nil && n.ctx.Err() == nil {
			n.pushOnce(state, to, p)
			p = state.takeNext()
		}
	})
}

// pushOnce sends one offer. It calls the failure callback if the call fails,
// the peer refuses, or the answer takes longer than takeoverTimeout; the offer
// itself may still succeed after that.
func (n *Node) pushOnce(state *pushState, to Peer, p *push) {
	s := n.current.Load()
	if s == nil {
		return
	}
	if state.confirmed() >= s.Version() && !p.info.asRoot && !p.info.asHead {
		p.succeed(s.Version())
		return
	}
	reportFailure := sync.OnceFunc(func() {
		queued := state.setFailing(true)
		n.stats.missed.Inc()
		p.fail()
		if queued != nil {
			queued.fail() // it would wait behind this one for up to callTimeout
		}
	})
	lateTimer := time.AfterFunc(takeoverTimeout, reportFailure)
	ctx, cancel := withLocalTimeout(n.ctx, callTimeout)
	defer cancel()
	n.stats.offers.Inc()
	reply, err := n.opts.Transport.Offer(ctx, to, n.offerFor(to, s, state.confirmed(), p.info))
	lateTimer.Stop()
	if err != nil {
		n.log.V(1).Info("offer to peer failed", "peer", to.ID, "error", err.Error())
		reportFailure()
		return
	}
	if reply.Status == peerpb.OfferReply_REFUSED || reply.Version == 0 {
		// A starting node takes the offer as a hint: it forwards nothing until its
		// recovery ends, and performs no role that the offer asks for.
		reportFailure()
		return
	}
	state.setFailing(false)
	state.confirm(reply.Version)
	if to.Region == n.view.Self().Region {
		n.regionAcks.record(reply.Version)
	}
	n.recordPeerContact(to, 1)
	if reply.Version > s.Version() {
		n.queuePull(pullTask{source: to, version: reply.Version, info: offerInfo{isNew: true}, jitter: true})
	}
	p.succeed(s.Version())
}

// offerFor returns the offer of s for a peer with the given confirmed version:
// the deltas that the peer lacks, or an announcement if they are unknown or too
// large.
func (n *Node) offerFor(to Peer, s *snapshot.Snapshot, confirmed uint64, info offerInfo) *peerpb.OfferRequest {
	self := n.view.Self()
	r := &peerpb.OfferRequest{Sender: self.ID, Version: s.Version(), AsRoot: info.asRoot, AsHead: info.asHead}
	if to.Region == self.Region {
		r.OriginRegion = info.origin
	} else if remote := n.remoteVersion.Load(); remote < s.Version() {
		// The peer's region has the versions that were introduced in other
		// regions, because the heads of those regions delivered them.
		confirmed = max(confirmed, remote)
	}
	if confirmed < s.Version() {
		r.Deltas = n.history.chainFrom(confirmed, s.Version())
	}
	if r.Deltas == nil && confirmed < s.Version() {
		r.Deltas = n.history.chainFrom(0, s.Version())
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

// pendingGroups holds the groups that have not confirmed a version yet.
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
