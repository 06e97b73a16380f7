package spread

import (
	"math/rand/v2"
	"slices"
	"sync"

	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

const (
	// busyRetryMs is the shortest delay that a busy node asks for. A transfer
	// of a few hundred KB within a region takes tens of milliseconds.
	busyRetryMs = 100
	// maxRecentRecipients is the number of recent recipients that a node
	// remembers.
	maxRecentRecipients = 16
	// maxBusyPeers is the number of alternative sources that a Busy reply
	// names.
	maxBusyPeers = 4
)

// HandleFetchDeltas returns the delta chain from the caller's base, or
// NeedSnapshot if there is none.
func (n *Node) HandleFetchDeltas(r *peerpb.FetchDeltasRequest) *peerpb.FetchDeltasReply {
	s := n.current.Load()
	if s == nil || s.Version() <= r.Version {
		return &peerpb.FetchDeltasReply{Version: n.current.Version()}
	}
	reply := &peerpb.FetchDeltasReply{Version: s.Version(), NeedSnapshot: true}
	if len(r.Digest) == len(snapshot.Digest{}) {
		reply.Deltas = n.history.chain(r.Version, snapshot.Digest(r.Digest), s.Version())
		reply.NeedSnapshot = reply.Deltas == nil
	}
	return reply
}

// HandleFetchSnapshot returns the encoded snapshot in force, which is empty
// before the first version, or Busy. The caller calls release when the transfer
// has ended; done tells whether it succeeded.
func (n *Node) HandleFetchSnapshot(r *peerpb.FetchSnapshotRequest) (data []byte, release func(done bool), busy *peerpb.Busy) {
	select {
	case n.transfers <- struct{}{}:
	default:
		n.stats.busy.Inc()
		return nil, nil, &peerpb.Busy{RetryMs: busyRetryMs, Peers: n.recentRecipients.sample(r.Caller)}
	}
	release = func(done bool) {
		<-n.transfers
		if done && r.Caller != nil && r.Caller.Addr != "" {
			n.recentRecipients.add(r.Caller)
		}
	}
	if s := n.current.Load(); s != nil {
		data = n.history.encode(s)
	}
	return data, release, nil
}

// HandleHead exchanges versions with a peer. The request has the same effect as
// a heartbeat's summary.
func (n *Node) HandleHead(r *peerpb.HeadRequest) *peerpb.HeadReply {
	if p, ok := n.peerByID(r.Sender); ok {
		if r.Version > 0 { // a starting node has no version to compare
			n.lastCompared.record(p.Region)
		}
		n.recordPeerContact(p, r.StoreAgeMs)
		n.lost.note(r.Sender, r.LostReaders, n.monotonicMs())
		n.compareSummary(p, r.Version, r.Digest)
	}
	if r.FoundVersion > 0 && !n.recovery.finished() {
		n.recovery.addHint(peerOfSource(r.FoundAt), r.FoundVersion)
	}
	reply := &peerpb.HeadReply{Id: n.view.Self().ID, StoreAgeMs: n.storeContactAge(), Undelivered: n.pending.names()}
	if s := n.current.Load(); s != nil {
		d := s.Digest()
		reply.Version, reply.Digest = s.Version(), d[:]
	}
	return reply
}

// recipients holds the nodes that most recently fetched a snapshot from this
// node. A Busy reply names them as alternative sources.
type recipients struct {
	mu   sync.Mutex
	list []*peerpb.Source
}

func (r *recipients) add(s *peerpb.Source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = slices.DeleteFunc(r.list, func(o *peerpb.Source) bool { return o.Addr == s.Addr })
	r.list = append(r.list, s)
	if len(r.list) > maxRecentRecipients {
		r.list = r.list[1:]
	}
}

// sample returns some recipients, the nearest to the caller first.
func (r *recipients) sample(caller *peerpb.Source) []*peerpb.Source {
	r.mu.Lock()
	list := slices.Clone(r.list)
	r.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	place := placeOf(caller)
	slices.SortStableFunc(list, func(a, b *peerpb.Source) int {
		return int(peer.Class(place, placeOf(a))) - int(peer.Class(place, placeOf(b)))
	})
	return list[:min(len(list), maxBusyPeers)]
}

func peerOfSource(s *peerpb.Source) Peer {
	return Peer{ID: s.GetId(), Addr: s.GetAddr(), Region: s.GetRegion(), FailureDomain: s.GetFailureDomain()}
}

func placeOf(s *peerpb.Source) peer.Place {
	return peer.Place{Region: s.GetRegion(), FailureDomain: s.GetFailureDomain()}
}
