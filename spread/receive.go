package spread

import (
	"siskingw/errdefs"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// HandleOffer handles a push or an announcement of a peer. A repeated or older
// offer changes nothing and costs one comparison.
//
//siskingw:step check-version
func (n *Node) HandleOffer(r *peerpb.OfferRequest) *peerpb.OfferReply {
	from, known := n.peerByID(r.Sender)
	if known {
		n.pushStates.confirm(from.ID, r.Version)
		n.recordPeerContact(from, 1)
	}
	info := offerInfo{sender: r.Sender, origin: r.OriginRegion, isNew: true, asRoot: r.AsRoot, asHead: r.AsHead}
	if currentVersion := n.current.Version(); r.Version <= currentVersion {
		n.stats.have.Inc()
		if r.Version < currentVersion {
			n.stats.countRefused(errdefs.Stale.New("version %d is older than %d", r.Version, currentVersion))
		} else {
			n.performDelegatedRoles(n.topology(), info)
		}
		return n.reply(peerpb.OfferReply_HAVE)
	}
	task := pullTask{source: from, version: r.Version, info: info}
	if !n.recovery.finished() {
		n.recovery.addHint(from, r.Version)
		return n.reply(peerpb.OfferReply_WANT)
	}
	if len(r.Deltas) == 0 {
		return n.replyWant(task)
	}
	return n.receiveDeltas(r, task)
}

// receiveDeltas applies pushed deltas. A version that cannot be applied is
// fetched.
func (n *Node) receiveDeltas(r *peerpb.OfferRequest, task pullTask) *peerpb.OfferReply {
	err := n.applyDeltas(r.Deltas, task.info)
	switch {
	case err == nil && n.current.Version() >= r.Version:
		n.stats.applied.Inc()
		if n.needsRegionAck(task.source) && !n.regionAcks.wait(n.ctx, r.Version) {
			return n.reply(peerpb.OfferReply_REFUSED) // the sender tries the next relay
		}
		return n.reply(peerpb.OfferReply_APPLIED)
	case err == nil:
		err = errdefs.Corrupt.New("deltas end at version %d, want %d", n.current.Version(), r.Version)
	case isStale(err):
		n.stats.have.Inc()
		return n.reply(peerpb.OfferReply_HAVE)
	}
	n.stats.countRefused(err)
	n.log.Info("cannot apply offered deltas", "cause", cause(err), "error", err.Error(),
		"sender", r.Sender, "version", r.Version)
	if cause(err) == cause(errdefs.BaseMismatch.NewWithNoMessage()) {
		return n.replyWant(task)
	}
	task.needSnapshot = true
	n.queuePull(task)
	return n.reply(peerpb.OfferReply_REFUSED)
}

// needsRegionAck reports whether an offer came from another region while this
// region has other nodes that can confirm the version.
func (n *Node) needsRegionAck(from Peer) bool {
	t := n.topology()
	return from.Region != "" && from.Region != t.self.Region && len(t.ranked)+len(t.domainGroups) > 1
}

func (n *Node) reply(s peerpb.OfferReply_Status) *peerpb.OfferReply {
	return &peerpb.OfferReply{Status: s, Version: n.current.Version()}
}

func (n *Node) replyWant(task pullTask) *peerpb.OfferReply {
	n.queuePull(task)
	return n.reply(peerpb.OfferReply_WANT)
}

// applyDeltas applies a chain of encoded deltas. Deltas up to the version in
// force are skipped. If one fails, those before it stay in force and its error
// is returned; a Stale error means that no delta was newer.
func (n *Node) applyDeltas(chain [][]byte, info offerInfo) error {
	deltas := make([]*snapshot.Delta, len(chain))
	for i, data := range chain {
		d, err := snapshot.DecodeDelta(data)
		if err != nil {
			return err
		}
		deltas[i] = d
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	next, entries, failed := applyAll(n.current.Load(), deltas, chain)
	if next == nil {
		return failed
	}
	if err := n.applyAndForward(next, entries, info); err != nil {
		return err
	}
	return failed
}

// applyAll applies the deltas that are newer than base; chain holds the same
// deltas encoded. It returns the snapshot after the last successful delta, or
// nil, the deltas that were applied, and the error that ended the chain: a
// BaseMismatch error without a base, a Stale error if no delta is newer, or that
// of Snapshot.Apply.
func applyAll(base *snapshot.Snapshot, deltas []*snapshot.Delta,
	chain [][]byte) (*snapshot.Snapshot, []encodedDelta, error) {
	if base == nil {
		return nil, nil, errdefs.BaseMismatch.New("no version is in force yet")
	}
	var next *snapshot.Snapshot
	var entries []encodedDelta
	for i, d := range deltas {
		if d.Version <= base.Version() {
			continue
		}
		s, err := base.Apply(d)
		if err != nil {
			return next, entries, err
		}
		base, next = s, s
		entries = append(entries, newEncodedDelta(d, chain[i]))
	}
	if next == nil {
		return nil, nil, errdefs.Stale.New("no delta is newer than version %d in force", base.Version())
	}
	return next, entries, nil
}

// applySnapshot decodes a whole snapshot and puts it in force.
func (n *Node) applySnapshot(data []byte, info offerInfo) error {
	next, err := snapshot.Decode(data)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applyAndForward(next, nil, info)
}
