package spread

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskingw/member"
	"siskingw/peer"
)

const (
	// minSources is the number of sources with a version that a starting node
	// waits for, so that a single source that is behind does not determine its
	// version.
	minSources = 3
	// queryTimeout bounds the queries of one round over all link classes.
	queryTimeout = time.Second
	// nearQueryTimeout is how long the sources of a nearer link class are
	// queried before farther ones are.
	nearQueryTimeout = 250 * time.Millisecond
	// noVersionWait is how long a query waits for the remaining sources if at
	// least half have answered and none has a version: two round trips between
	// regions.
	noVersionWait = 100 * time.Millisecond
	// maxQueried bounds the sources of one link class that are queried in a
	// round.
	maxQueried = 6
	// recoveryRetryBase and recoveryRetryMax bound the full jitter between
	// rounds.
	recoveryRetryBase = 100 * time.Millisecond
	recoveryRetryMax  = 2 * time.Second
	// defaultCrossStep is the default stagger between the first-ranked starting
	// nodes of a failure domain that may fetch from outside it.
	defaultCrossStep = time.Second
	// storeLoadDelay is how long a starting store reader looks for a peer
	// before it loads a version from the store.
	storeLoadDelay = time.Second
	// localCopyTimeout is how long any other starting node waits for a copy
	// within its failure domain before it also fetches from outside.
	localCopyTimeout = 30 * time.Second
	// A node that has waited for localCopyTimeout queries outside its failure
	// domain in one of outsideQueryRounds rounds, at random.
	outsideQueryRounds = 8
)

// recovery is the state of a starting node. Until it is finished, offers are
// only hints: the first offer may come from a peer that is behind.
type recovery struct {
	mu          sync.Mutex
	done        bool
	hints       map[string]answer // by address
	startedAt   time.Time         // when runRecovery started
	firstSeenAt time.Time         // when a source with a version first became known
	wake        chan struct{}
}

// answer is the reply of a source.
type answer struct {
	peer    Peer
	version uint64
}

// begin records the start of the recovery.
func (r *recovery) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = time.Now()
}

func (r *recovery) sinceStart() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.startedAt)
}

// sinceSeen returns the time since a version first became known, which is the
// time of the first call.
func (r *recovery) sinceSeen() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstSeenAt.IsZero() {
		r.firstSeenAt = time.Now()
	}
	return time.Since(r.firstSeenAt)
}

func (r *recovery) finished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

func (r *recovery) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done = true
	r.signal()
}

// addHint records that a peer has a version.
func (r *recovery) addHint(p Peer, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Addr == "" {
		return
	}
	if r.hints == nil || len(r.hints) >= maxSources {
		r.hints = make(map[string]answer)
	}
	r.hints[p.Addr] = answer{peer: p, version: version}
	r.signal()
}

func (r *recovery) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *recovery) takeHints() []answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]answer, 0, len(r.hints))
	for _, a := range r.hints {
		out = append(out, a)
	}
	r.hints = nil
	return out
}

// runRecovery finds the highest version among several sources and fetches it.
// It ends when a version is in force.
func (n *Node) runRecovery() {
	if n.current.Version() > 0 {
		n.recovery.finish()
	}
	n.recovery.begin()
	maxDelay := recoveryRetryBase
	answered := true
	for n.ctx.Err() == nil && !n.recovery.finished() {
		answers := n.querySources(!answered)
		answered = len(answers) > 0
		if n.recoverFrom(answers) {
			n.recovery.finish()
			n.log.Info("recovered", "version", n.current.Version(), "sources", len(answers),
				"duration", n.recovery.sinceStart().String())
			return
		}
		n.waitRetry(rand.N(maxDelay))
		maxDelay = min(2*maxDelay, recoveryRetryMax)
	}
}

// waitRetry waits for d, or less if a hint arrives.
func (n *Node) waitRetry(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.recovery.wake:
		sleep(n.ctx, rand.N(retryBase)) // hints arrive in bursts
	case <-n.ctx.Done():
	}
}

// recoverFrom fetches the highest version among the answers and reports whether
// a version is in force. If there is none the node waits: the relays that read
// the store as a last resort announce what they find.
func (n *Node) recoverFrom(answers []answer) bool {
	highest := uint64(0)
	for _, a := range answers {
		highest = max(highest, a.version)
	}
	if highest == 0 {
		return n.current.Version() > 0
	}
	sources := n.nearestSources(answers, highest)
	if class := n.class(sources[0]); !n.mayFetchOver(class, answers) {
		n.reportFound(sources[0], highest, class, answers)
		return false
	}
	if err := n.fetchSnapshot(n.ctx, sources, highest, offerInfo{}); err != nil {
		n.log.Info("recovery attempt failed", "version", highest, "cause", cause(err), "error", err.Error())
	}
	return n.current.Version() >= highest
}

// mayFetchOver reports whether this starting node may fetch over a link of the
// class. From outside its failure domain only the first-ranked starting nodes
// fetch, one after another, and from outside the region those of its first
// failure domain come first. The delays count from the moment at which a
// version first became known.
func (n *Node) mayFetchOver(class peer.LinkClass, answers []answer) bool {
	if class == peer.SameDomain {
		return true
	}
	waited := n.recovery.sinceSeen()
	rank, _ := n.startupRank(answers)
	if rank >= member.RelayCount {
		return waited >= localCopyTimeout
	}
	if class == peer.CrossRegion {
		rank += member.RelayCount * n.topology().domainRank()
	}
	return waited >= time.Duration(rank)*n.opts.CrossStep
}

// reportFound tells the starting nodes that fetch over a link of the class before
// this one about a version. Otherwise one of them that is between two rounds may
// find it only after this node's turn has come, and both fetch it. Nodes after the
// first-ranked ones tell nobody: with a whole failure domain starting, that would
// be thousands of messages.
func (n *Node) reportFound(source Peer, version uint64, class peer.LinkClass, answers []answer) {
	rank, preceding := n.startupRank(answers)
	if rank >= member.RelayCount {
		return
	}
	if class == peer.CrossRegion {
		for _, p := range n.topology().regionRelays {
			if p.FailureDomain == n.view.Self().FailureDomain {
				break
			}
			preceding = append(preceding, p)
		}
	}
	for _, p := range preceding {
		n.tasks.spawn(func() {
			r := n.headRequest()
			r.FoundVersion, r.FoundAt = version, source.source()
			_, _ = n.sendHead(n.ctx, p, r, nearQueryTimeout) // this node fetches the version itself when its turn comes
		})
	}
}

// nearestSources returns the sources of the version over the cheapest link
// class.
func (n *Node) nearestSources(answers []answer, version uint64) []Peer {
	var out []Peer
	for _, a := range answers {
		if a.version == version {
			out = append(out, a.peer)
		}
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return cmp.Compare(n.class(a), n.class(b)) })
	best := n.class(out[0])
	return slices.DeleteFunc(out, func(p Peer) bool { return n.class(p) != best })
}

// startupRank returns this node's rank among the starting nodes of its failure
// domain, and the nodes that rank before it if it is one of the first-ranked ones.
// All nodes of a failure domain have the same seeds, so the seeds come first,
// ordered by the hash of their address. If the failure domain has no seeds, the
// membership view determines the rank.
func (n *Node) startupRank(answers []answer) (rank int, preceding []Peer) {
	self := PeerOf(n.view.Self())
	isStarting := func(addr string) bool {
		return slices.ContainsFunc(answers, func(a answer) bool { return a.peer.Addr == addr && a.version == 0 })
	}
	var order []Peer
	for _, p := range n.opts.Seeds {
		if p.FailureDomain == self.FailureDomain && (p.Addr == self.Addr || isStarting(p.Addr)) {
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b Peer) int {
		return cmp.Compare(member.RankHash(a.Addr), member.RankHash(b.Addr))
	})
	if len(order) == 0 {
		for _, p := range n.topology().ranked {
			if p.ID == self.ID {
				break
			}
			if isStarting(p.Addr) {
				order = append(order, p)
			}
		}
		order = append(order, self)
	}
	rank = slices.IndexFunc(order, func(p Peer) bool { return p.Addr == self.Addr })
	if rank < 0 || rank >= member.RelayCount {
		return member.RelayCount, nil
	}
	return rank, order[:rank]
}

// querySources asks for versions: the node's failure domain first, and farther
// sources if fewer than minSources have a version or when time passes. The
// store's seed hints are read only if no source answered in the previous round.
func (n *Node) querySources(useHints bool) []answer {
	deadline := time.Now().Add(queryTimeout)
	answers := n.recovery.takeHints()
	for class, peers := range n.sourcesByClass(useHints) {
		if len(peers) == 0 {
			continue
		}
		timeout := nearQueryTimeout
		if peer.LinkClass(class) == peer.CrossRegion {
			timeout = time.Until(deadline)
		}
		if peer.LinkClass(class) != peer.SameDomain {
			peers = peers[:min(minSources, len(peers))]
		}
		answers = append(answers, n.query(peers, min(timeout, time.Until(deadline)))...)
		if countWithVersion(answers) >= minSources || n.deferToOthers(answers) {
			break
		}
	}
	return answers
}

// deferToOthers reports whether other starting nodes of the failure domain look
// for a version outside it and no node inside has one. After localCopyTimeout
// the node queries outside in some rounds, in case those others cannot.
func (n *Node) deferToOthers(answers []answer) bool {
	if len(answers) == 0 || countWithVersion(answers) > 0 {
		return false
	}
	if rank, _ := n.startupRank(answers); rank < member.RelayCount {
		return false
	}
	return n.recovery.sinceStart() < localCopyTimeout || rand.IntN(outsideQueryRounds) != 0
}

func countWithVersion(answers []answer) int {
	count := 0
	for _, a := range answers {
		if a.version > 0 {
			count++
		}
	}
	return count
}

// query queries the peers concurrently and returns the answers that arrive in
// time. When a hint ends it early, a peer that has not answered yet counts as
// starting, so that this node does not take itself for a node of a lower rank.
func (n *Node) query(peers []Peer, timeout time.Duration) []answer {
	type reply struct {
		answer
		failed bool
	}
	replies := make(chan reply, len(peers))
	for _, p := range peers {
		n.tasks.spawn(func() {
			r, err := n.queryHead(n.ctx, p, timeout)
			if err != nil {
				replies <- reply{answer: answer{peer: p}, failed: true}
				return
			}
			n.recordPeerContact(p, r.StoreAgeMs)
			p.ID = r.Id
			replies <- reply{answer: answer{peer: p, version: r.Version}}
		})
	}
	var answers []answer
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	noVersionTimer := time.NewTimer(noVersionWait)
	defer noVersionTimer.Stop()
	gotHint, waited := false, false
	for pending := slices.Clone(peers); len(pending) > 0; {
		select {
		case r := <-replies:
			pending = slices.DeleteFunc(pending, func(p Peer) bool { return p.Addr == r.peer.Addr })
			if !r.failed {
				answers = append(answers, r.answer)
			}
		case <-deadline.C:
			return answers
		case <-noVersionTimer.C:
			waited = true
		case <-n.recovery.wake:
			gotHint = true
		case <-n.ctx.Done():
			return answers
		}
		// When a whole fleet starts, most sources have no version. Waiting for
		// the remaining ones is not necessary: some cannot answer yet, and the
		// first node that gets a version announces it.
		if (gotHint || waited) && 2*len(answers) >= len(peers) && countWithVersion(answers) == 0 {
			if !waited {
				for _, p := range pending {
					answers = append(answers, answer{peer: p})
				}
			}
			break
		}
	}
	if gotHint {
		answers = append(answers, n.recovery.takeHints()...)
	}
	return answers
}

// sourcesByClass returns the sources to query by link class: the first ranks
// and the seeds, then others at random, at most maxQueried of each class. With
// useHints it also reads the store's seed hints.
func (n *Node) sourcesByClass(useHints bool) [peer.CrossRegion + 1][]Peer {
	var byClass [peer.CrossRegion + 1][]Peer
	self := n.view.Self()
	add := func(peers []Peer) {
		for _, p := range peers {
			c := n.class(p)
			if p.Addr != self.PeerAddr && p.Addr != "" && !hasAddr(byClass[c], p.Addr) && len(byClass[c]) < maxQueried {
				byClass[c] = append(byClass[c], p)
			}
		}
	}
	t := n.topology()
	add(t.ranked[:min(member.RelayCount, len(t.ranked))])
	add(shuffled(n.opts.Seeds))
	if n.opts.SeedHints != nil && useHints {
		ctx, cancel := withLocalTimeout(n.ctx, nearQueryTimeout)
		add(n.opts.SeedHints(ctx))
		cancel()
	}
	add(shuffled(t.ranked))
	for _, g := range slices.Concat(t.domainGroups, t.regionGroups) {
		add(g.candidates[:1])
	}
	for _, g := range shuffled(slices.Concat(t.domainGroups, t.regionGroups)) {
		add(g.candidates)
	}
	return byClass
}

func shuffled[T any](in []T) []T {
	out := slices.Clone(in)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func hasAddr(peers []Peer, addr string) bool {
	return slices.ContainsFunc(peers, func(p Peer) bool { return p.Addr == addr })
}
