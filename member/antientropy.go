package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
)

const (
	syncTimeout = 3 * time.Second
	// maxReplyFingerprints limits the fingerprints in one reply to 16 KB.
	// Differences that do not fit are found again at the next heartbeat.
	maxReplyFingerprints = 2048
	// settleTime is how long the local directory must be unchanged before a
	// differing digest counts as a missed record rather than one that is still
	// in flight.
	settleTime = time.Second
	// maxSettleWait limits the wait for a directory that keeps changing.
	maxSettleWait = 10 * time.Second
	// syncBytesPerSecond (bytes/s) and syncBurstBytes (bytes) are the traffic
	// budget of anti-entropy. It is separate from the budget of pushes, so that
	// a large exchange does not delay the report of a failed member.
	syncBytesPerSecond = 1536
	syncBurstBytes     = 256 << 10
)

// shouldSync reports whether a peer's membership digest calls for an exchange
// of the differing records.
func (s *Service) shouldSync(peerRootDigest uint64) bool {
	if peerRootDigest == s.dir.RootDigest() {
		return false
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastChange) < settleTime && now.Sub(s.lastSync) < maxSettleWait {
		return false
	}
	if s.syncLimiter.TokensAt(now) <= 0 {
		return false // an earlier exchange overdrew the budget
	}
	s.lastSync = now
	return true
}

// syncWithPeer exchanges the records in which this node and a peer differ, and
// charges the bytes sent to the budget.
func (s *Service) syncWithPeer(ctx context.Context, peer *Record) {
	sent, err := s.exchangeRecords(ctx, peer)
	s.syncLimiter.ReserveN(s.clock.Now(), min(sent, syncBurstBytes))
	if err != nil {
		s.opts.Log.V(1).Info("anti-entropy exchange of members failed", "peer", peer.ID, "error", err.Error())
	}
}

func (s *Service) exchangeRecords(ctx context.Context, peer *Record) (sent int, err error) {
	client, err := s.client(peer)
	if err != nil {
		return 0, err
	}
	digestRequest := &peerpb.SyncMembersRequest{Digests: s.dir.BucketDigests()}
	sent = proto.Size(digestRequest)
	reply, err := client.SyncMembers(ctx, digestRequest)
	if err != nil {
		return sent, errdefs.PeerUnavailable.Wrap(err, "comparing digests with %q", peer.ID)
	}
	records, want := s.dir.diffFingerprints(reply.Entries)
	if len(records) == 0 && len(want) == 0 {
		return sent, nil
	}
	c := codec{s.clock.Now()}
	recordRequest := &peerpb.SyncMembersRequest{Want: want}
	if recordRequest.Records, err = c.encode(records); err != nil {
		return sent, err
	}
	sent += proto.Size(recordRequest)
	if reply, err = client.SyncMembers(ctx, recordRequest); err != nil {
		return sent, errdefs.PeerUnavailable.Wrap(err, "exchanging records with %q", peer.ID)
	}
	theirs, err := c.decode(reply.Records)
	if err != nil {
		return sent, err
	}
	s.apply(theirs, s.syncedOrigin(peer.FailureDomain))
	return sent, nil
}

// syncedOrigin returns the origin of records obtained by anti-entropy, which
// decides where they are forwarded. They are forwarded right away, because a
// later push of the same records changes nothing here and is not forwarded.
// Rank 0 sends them to everyone; a relay that got them from another failure
// domain sends them to rank 0.
func (s *Service) syncedOrigin(peerDomain string) origin {
	self := s.dir.Self()
	if Position(s.dir, self.ID) == 0 || peerDomain != self.FailureDomain {
		return origin{direction: peerpb.PushDirection_PUSH_UP, domain: peerDomain}
	}
	return origin{direction: peerpb.PushDirection_PUSH_DOWN}
}

// SyncMembers serves one step of an anti-entropy exchange: it answers bucket
// digests with the fingerprints of the differing buckets, and records with the
// records that the caller asked for. It returns a Corrupt error for a damaged
// batch.
func (s *Service) SyncMembers(_ context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersReply, error) {
	if len(req.Digests) > 0 {
		return &peerpb.SyncMembersReply{Entries: s.dir.differingFingerprints(req.Digests)}, nil
	}
	c := codec{s.clock.Now()}
	theirs, err := c.decode(req.Records)
	if err != nil {
		return nil, err
	}
	batch, err := c.encode(s.dir.recordsByFingerprint(req.Want))
	if err != nil {
		return nil, err
	}
	s.apply(theirs, s.syncedOrigin(s.dir.Self().FailureDomain))
	return &peerpb.SyncMembersReply{Records: batch}, nil
}

// differingFingerprints returns the fingerprints of the records in every bucket
// whose digest differs from a peer's, up to about maxReplyFingerprints.
func (d *Directory) differingFingerprints(digests []uint32) []*peerpb.BucketEntries {
	var entries []*peerpb.BucketEntries
	n := 0
	for _, i := range d.DifferingBuckets(digests) {
		e := &peerpb.BucketEntries{Bucket: uint32(i)}
		for _, r := range d.Bucket(i) {
			e.Fingerprints = append(e.Fingerprints, r.Fingerprint())
		}
		entries = append(entries, e)
		if n += len(e.Fingerprints); n >= maxReplyFingerprints {
			break
		}
	}
	return entries
}

// diffFingerprints returns this node's records that the peer lacks and the
// fingerprints of the peer's records that this node lacks.
func (d *Directory) diffFingerprints(theirs []*peerpb.BucketEntries) (records []*Record, want []*peerpb.BucketEntries) {
	for _, e := range theirs {
		missing := make(map[uint64]bool, len(e.Fingerprints))
		for _, f := range e.Fingerprints {
			missing[f] = true
		}
		if e.Bucket >= BucketCount {
			continue
		}
		for _, r := range d.Bucket(int(e.Bucket)) {
			f := r.Fingerprint()
			if !missing[f] {
				records = append(records, r)
			}
			delete(missing, f)
		}
		if len(missing) == 0 {
			continue
		}
		w := &peerpb.BucketEntries{Bucket: e.Bucket}
		for f := range missing {
			w.Fingerprints = append(w.Fingerprints, f)
		}
		want = append(want, w)
	}
	return records, want
}

// recordsByFingerprint returns the records with the given fingerprints.
func (d *Directory) recordsByFingerprint(want []*peerpb.BucketEntries) []*Record {
	var records []*Record
	for _, e := range want {
		if e.Bucket >= BucketCount {
			continue
		}
		requested := make(map[uint64]bool, len(e.Fingerprints))
		for _, f := range e.Fingerprints {
			requested[f] = true
		}
		for _, r := range d.Bucket(int(e.Bucket)) {
			if requested[r.Fingerprint()] {
				records = append(records, r)
			}
		}
	}
	return records
}
