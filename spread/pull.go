package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

const (
	// pullJitter is the maximum random delay of pulls that follow a heartbeat,
	// so that a version already being pushed down the tree arrives first.
	pullJitter = 100 * time.Millisecond
	// maxFetchAttempts bounds the attempts for one snapshot; the next heartbeat
	// starts over.
	maxFetchAttempts = 8
	// Attempts are separated by full jitter: a random time up to a limit that
	// doubles from retryBase to retryMax.
	retryBase = 50 * time.Millisecond
	retryMax  = 2 * time.Second
)

// pullTask is a version that a peer has and this node lacks.
type pullTask struct {
	source       Peer
	version      uint64
	info         offerInfo
	jitter       bool // wait a random time, because the version may be pushed meanwhile
	needSnapshot bool // a delta could not be applied; fetch the snapshot
}

// queuePull queues a version to be fetched.
func (n *Node) queuePull(task pullTask) {
	if task.source.Addr == "" {
		return // the sender is not in the view yet; a heartbeat names another source
	}
	_ = n.pullQueue.Push(n.ctx, task) // drops the oldest entry, never fails
}

// runPuller fetches missing versions, one at a time.
func (n *Node) runPuller() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case task := <-n.pullQueue.C():
			n.pull(task)
		}
	}
}

// HandleSummary compares the version that a peer's heartbeat states with the one
// in force here. The side that is behind fetches what it lacks.
func (n *Node) HandleSummary(p *member.Record, version uint64, digest snapshot.Digest) {
	n.compareSummary(PeerOf(p), version, digest[:])
}

func (n *Node) compareSummary(p Peer, version uint64, digest []byte) {
	n.pushStates.confirm(p.ID, version)
	s := n.current.Load()
	switch {
	case version == 0:
	case !n.recovery.finished():
		n.recovery.addHint(p, version)
	case s == nil || version > s.Version():
		n.queuePull(pullTask{source: p, version: version, info: offerInfo{isNew: true}, jitter: true})
	case version == s.Version():
		if d := s.Digest(); string(digest) != string(d[:]) {
			err := errdefs.Corrupt.New("version %d has digest %x at peer %s, %s here", version, digest, p.ID, d)
			n.stats.countRefused(err)
			n.log.Error(err, "peer has different content for the same version", "peer", p.ID)
		}
	}
}

// pull fetches one missing version unless it has arrived meanwhile.
func (n *Node) pull(task pullTask) {
	if task.version <= n.current.Version() {
		return
	}
	if task.jitter && !sleep(n.ctx, rand.N(pullJitter)) {
		return
	}
	base := n.current.Load()
	if !n.recovery.finished() || base != nil && task.version <= base.Version() {
		return
	}
	n.stats.pulls.Inc()
	if base != nil && !task.needSnapshot && n.pullDeltas(task, base) {
		return
	}
	if err := n.fetchSnapshot(n.ctx, []Peer{task.source}, task.version, task.info); err != nil {
		n.log.Info("cannot fetch snapshot", "peer", task.source.ID, "version", task.version,
			"cause", cause(err), "error", err.Error())
	}
}

// pullDeltas fetches and applies a delta chain. It reports false if the
// snapshot must be fetched instead.
func (n *Node) pullDeltas(task pullTask, base *snapshot.Snapshot) bool {
	ctx, cancel := withLocalTimeout(n.ctx, callTimeout)
	defer cancel()
	digest := base.Digest()
	reply, err := n.opts.Transport.FetchDeltas(ctx, task.source,
		&peerpb.FetchDeltasRequest{Version: base.Version(), Digest: digest[:]})
	if err != nil {
		n.log.V(1).Info("cannot fetch deltas", "peer", task.source.ID, "error", err.Error())
		return true
	}
	if reply.NeedSnapshot {
		return false
	}
	if len(reply.Deltas) == 0 {
		return true
	}
	if err := n.applyDeltas(reply.Deltas, task.info); err != nil && !isStale(err) {
		n.stats.countRefused(err)
		n.log.Info("cannot apply fetched deltas", "peer", task.source.ID, "cause", cause(err), "error", err.Error())
		return false
	}
	return true
}

// fetchSnapshot fetches a snapshot of at least the version from one of the
// sources. A busy source names further ones.
func (n *Node) fetchSnapshot(ctx context.Context, sources []Peer, version uint64, info offerInfo) error {
	var lastErr error
	maxDelay := retryBase
	for range maxFetchAttempts {
		if n.current.Version() >= version {
			return nil
		}
		i := rand.IntN(len(sources))
		busy, err := n.fetchFrom(ctx, sources[i], info)
		if err == nil && busy == nil {
			return nil
		}
		if err != nil {
			lastErr = err
		} else {
			lastErr = errdefs.Busy.New("peer %s is at its limit of %d snapshot transfers", sources[i].Addr, maxTransfers)
			sources = n.mergeSources(sources, busy.Peers)
			maxDelay = max(maxDelay, time.Duration(busy.RetryMs)*time.Millisecond)
		}
		if !sleep(ctx, rand.N(maxDelay)) {
			return errdefs.Stopped.New("node stopped while fetching version %d", version)
		}
		maxDelay = min(2*maxDelay, retryMax)
	}
	return lastErr
}

// fetchFrom fetches the snapshot of one peer and puts it in force. A snapshot
// that is not newer is no error.
func (n *Node) fetchFrom(ctx context.Context, from Peer, info offerInfo) (*peerpb.Busy, error) {
	self := n.view.Self()
	caller := PeerOf(self).source()
	data, busy, err := n.opts.Transport.FetchSnapshot(ctx, from, &peerpb.FetchSnapshotRequest{Caller: caller})
	if err != nil || busy != nil {
		return busy, err
	}
	n.stats.snapshots.Inc()
	n.recordPeerContact(from, 1)
	if err := n.applySnapshot(data, info); err != nil && !isStale(err) {
		n.stats.countRefused(err)
		n.log.Info("cannot apply fetched snapshot", "peer", from.Addr, "cause", cause(err), "error", err.Error())
		return nil, err
	}
	return nil, nil
}

// maxSources bounds the peers that one fetch tries.
const maxSources = 16

// mergeSources adds the peers that a busy source names. Peers across a more
// expensive link class than that of every known source are left out.
func (n *Node) mergeSources(sources []Peer, extra []*peerpb.Source) []Peer {
	maxClass := n.class(sources[0])
	for _, p := range sources {
		maxClass = max(maxClass, n.class(p))
	}
	for _, s := range extra {
		p := peerOfSource(s)
		known := p.ID == n.view.Self().ID || hasAddr(sources, p.Addr)
		if !known && n.class(p) <= maxClass && len(sources) < maxSources {
			sources = append(sources, p)
		}
	}
	return sources
}
