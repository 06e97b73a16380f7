package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// class returns the class of the link to a peer.
func (n *Node) class(p Peer) peer.LinkClass {
	self := n.view.Self()
	return peer.Class(peer.Place{Region: self.Region, FailureDomain: self.FailureDomain}, p.Place())
}

// Compare exchanges versions with a peer; the side that is behind fetches what
// it lacks. It returns a PeerUnavailable error if the peer cannot be reached.
func (n *Node) Compare(ctx context.Context, p Peer) error {
	_, err := n.compareWithTimeout(ctx, p, callTimeout)
	return err
}

// compare is compareWithTimeout with the node's context.
func (n *Node) compare(p Peer, timeout time.Duration) (*peerpb.HeadReply, error) {
	return n.compareWithTimeout(n.ctx, p, timeout)
}

// compareWithTimeout is Compare with a timeout; it returns the peer's reply.
func (n *Node) compareWithTimeout(ctx context.Context, p Peer, timeout time.Duration) (*peerpb.HeadReply, error) {
	reply, err := n.queryHead(ctx, p, timeout)
	if err != nil {
		return nil, err
	}
	p.ID = reply.Id
	n.lastCompared.record(p.Region)
	n.recordPeerContact(p, reply.StoreAgeMs)
	n.compareSummary(p, reply.Version, reply.Digest)
	return reply, nil
}

// queryHead asks a peer for the version that it has in force.
func (n *Node) queryHead(ctx context.Context, p Peer, timeout time.Duration) (*peerpb.HeadReply, error) {
	return n.sendHead(ctx, p, n.headRequest(), timeout)
}

// headRequest returns a request that states the version in force here.
func (n *Node) headRequest() *peerpb.HeadRequest {
	r := &peerpb.HeadRequest{Sender: n.view.Self().ID, StoreAgeMs: n.storeContactAge(), LostReaders: n.lostReaders()}
	if s := n.current.Load(); s != nil {
		d := s.Digest()
		r.Version, r.Digest = s.Version(), d[:]
	}
	return r
}

func (n *Node) sendHead(ctx context.Context, p Peer, r *peerpb.HeadRequest, timeout time.Duration) (*peerpb.HeadReply, error) {
	ctx, cancel := withLocalTimeout(ctx, timeout)
	defer cancel()
	n.stats.compares.Inc()
	return n.opts.Transport.Head(ctx, p, r)
}

// runComparer repairs pushes between failure domains that were missed.
// Heartbeats do the same within a failure domain.
func (n *Node) runComparer() {
	for sleep(n.ctx, jittered(n.opts.CompareInterval)) {
		t := n.topology()
		if t.isRelay() {
			n.compareRegion(t)
		}
	}
}

// compareRegion compares with the preceding relays of the region until one
// answers. The region's head, or a relay for which none of them answers,
// compares with a later relay of the region and with the head of each other
// region.
func (n *Node) compareRegion(t *topology) {
	for _, p := range t.regionRelays[:t.relayRank] {
		if _, err := n.compare(p, takeoverTimeout); err == nil {
			return
		}
	}
	if rest := t.regionRelays[t.relayRank+1:]; len(rest) > 0 {
		_, _ = n.compare(rest[rand.IntN(len(rest))], takeoverTimeout)
	}
	for _, g := range t.regionGroups {
		// The other region's head compares too; once in a period is enough.
		if !n.lastCompared.within(g.name, n.opts.CompareInterval*9/10) {
			n.tasks.spawn(func() { n.compareGroup(g) })
		}
	}
}

// compareGroup compares with the first candidate of the group that answers.
func (n *Node) compareGroup(g group) {
	for _, p := range g.candidates {
		if _, err := n.compare(p, takeoverTimeout); err == nil || n.ctx.Err() != nil {
			return
		}
	}
}

// recordPeerContact records that a peer answered, and when that peer last had
// contact with the store's region (ageMs is the time since then in ms plus 1,
// or 0 for never).
func (n *Node) recordPeerContact(p Peer, ageMs uint32) {
	now := n.monotonicMs()
	switch {
	case n.opts.Readers.Count == 0 && p.Region == n.opts.StoreRegion:
		atomicMax(&n.storeContactMs, now)
	case ageMs > 1:
		atomicMax(&n.storeContactMs, now-int64(min(ageMs-1, maxAgeMs)))
	}
}

// storeContactAge returns the time since the last known contact with the
// store's region in ms plus 1, or 0 for never.
func (n *Node) storeContactAge() uint32 {
	if n.opts.Readers.Count == 0 && n.view.Self().Region == n.opts.StoreRegion {
		return 1
	}
	at := n.storeContactMs.Load()
	if at == 0 {
		return 0
	}
	return uint32(min(max(n.monotonicMs()-at, 0), maxAgeMs)) + 1
}

// jittered returns d changed at random by up to a tenth.
func jittered(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}

// regionTimes holds the time of the last version comparison with each region.
type regionTimes struct {
	mu sync.Mutex
	m  map[string]time.Time
}

func (r *regionTimes) record(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = make(map[string]time.Time)
	}
	r.m[region] = time.Now()
}

// within reports whether the last comparison with a region is less than d ago.
func (r *regionTimes) within(region string, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.m[region]
	return ok && time.Since(at) < d
}
