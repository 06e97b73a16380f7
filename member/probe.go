package member

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"siskingw/errdefs"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// probeLoop runs the failure detector of the local failure domain.
func (s *Service) probeLoop(ctx context.Context) {
	if !s.sleep(ctx, s.jitter(s.opts.Heartbeat)) {
		return
	}
	ticker := s.clock.NewTicker(s.opts.Heartbeat)
	defer ticker.Stop()
	results := make(chan probeResult, 1)
	running := false
	for {
		select {
		case <-ctx.Done():
			return
		case changed := <-s.changes.C():
			s.detector.trackSuspicions(s.clock.Now(), changed)
		case o := <-results:
			running = false
			s.contact.observe(o)
			s.apply(s.detector.observe(s.clock.Now(), o), origin{local: true})
		case <-ticker.Chan():
			now := s.clock.Now()
			member := s.detector.tick(now)
			s.apply(s.detector.declareDead(now), origin{local: true})
			if member != nil && !running {
				running = true
				helpers := s.detector.helpers(member)
				go func() { results <- s.probe(ctx, member, helpers) }()
			}
		}
	}
}

// probe pings a member. When the member does not answer within the probe
// timeout, helpers ping it as well, while the direct ping continues for almost
// another probe timeout.
func (s *Service) probe(ctx context.Context, member *Record, helpers []*Record) probeResult {
	o := probeResult{member: member, started: s.clock.Now()}
	probeCtx, cancel := context.WithTimeout(ctx, 2*s.opts.ProbeTimeout-s.opts.ProbeTimeout/10)
	defer cancel()
	direct := make(chan error, 1)
	go func() {
		reply, err := s.ping(probeCtx, member)
		direct <- err
		if err == nil {
			s.handlePingReply(ctx, reply)
		}
	}()
	select {
	case err := <-direct:
		if err == nil {
			o.answered = true
			return o
		}
	case <-s.clock.After(s.opts.ProbeTimeout):
	}
	o.helpersAsked = len(helpers)
	answers := make(chan helperReply, len(helpers))
	for _, h := range helpers {
		go func() { answers <- s.pingVia(probeCtx, h, member) }()
	}
	for range helpers {
		select {
		case err := <-direct:
			if err == nil {
				o.answered = true
				return o
			}
			direct = nil
			o.addReply(<-answers)
		case a := <-answers:
			o.addReply(a)
		}
	}
	return o
}

// helperReply is the result of an indirect probe by one helper.
type helperReply int

const (
	helperSilent helperReply = iota
	memberSilent
	memberAnswered
)

func (o *probeResult) addReply(a helperReply) {
	switch a {
	case memberAnswered:
		o.answered = true
	case memberSilent:
		o.negativeReplies++
	}
}

// pingVia asks a helper to ping a member.
func (s *Service) pingVia(ctx context.Context, helper, member *Record) helperReply {
	client, err := s.client(helper)
	if err != nil {
		return helperSilent
	}
	reply, err := client.PingIndirect(ctx, &peerpb.PingIndirectRequest{
		Id: member.ID, PeerAddr: member.PeerAddr, FailureDomain: member.FailureDomain, Region: member.Region,
	})
	switch {
	case err != nil:
		return helperSilent
	case reply.Answered:
		return memberAnswered
	}
	return memberSilent
}

// ping probes a node. It returns a PeerUnavailable error when the node does not
// answer or when another node answers at its address. A record without an id
// matches any node.
func (s *Service) ping(ctx context.Context, member *Record) (*peerpb.PingReply, error) {
	client, err := s.client(member)
	if err != nil {
		return nil, err
	}
	self := s.dir.Self()
	reply, err := client.Ping(ctx, &peerpb.PingRequest{From: keyOf(self), Summary: s.localSummary(), About: keyOf(member)})
	if err != nil {
		return nil, errdefs.PeerUnavailable.Wrap(err, "ping of %q at %s", member.ID, member.PeerAddr)
	}
	if reply.From == nil || (reply.From.Id != member.ID && member.ID != "") {
		return nil, errdefs.PeerUnavailable.New("a node other than %q answers at %s", member.ID, member.PeerAddr)
	}
	return reply, nil
}

// handlePingReply merges the peer's own record, corrects the peer's record of
// this node and starts an anti-entropy exchange when the membership digests
// differ.
func (s *Service) handlePingReply(ctx context.Context, reply *peerpb.PingReply) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if reply.Record != nil {
		s.apply([]Record{codec{s.clock.Now()}.fromProto(reply.Record)}, origin{local: true})
	}
	from := s.dir.Lookup(reply.From.Id)
	if from == nil {
		return
	}
	if reply.About != nil {
		s.correctPeer(ctx, from, reply.About)
	}
	if !from.Live() {
		return
	}
	summary := summaryFromProto(reply.Summary)
	s.opts.OnSummary(from, summary)
	if s.shouldSync(summary.MembersRoot) {
		s.syncWithPeer(ctx, from)
	}
}

// correctPeer refutes what a peer holds about this node and sends it this
// node's current record.
func (s *Service) correctPeer(ctx context.Context, to *Record, about *peerpb.MemberKey) {
	if about.Incarnation > 0 {
		s.dir.Merge([]Record{recordWithKey(s.dir.Self(), about)})
	}
	_, err := s.push(ctx, to, pushRequest{edge: edge{kind: edgeUp}, records: []*Record{s.dir.Self()}})
	if err != nil {
		s.opts.Log.V(1).Info("peer did not accept the record of this node", "peer", to.ID, "error", err.Error())
	}
}

// client returns the client for a node. A connection in backoff is retried at
// once: the probe interval already limits the attempts, and a recovered link
// must not stay unused for gRPC's backoff of up to 2 min.
func (s *Service) client(r *Record) (peerpb.MembershipClient, error) {
	cc, err := s.opts.Connect(r.PeerAddr, r.Place())
	if err != nil {
		return nil, err
	}
	// ResetConnectBackoff reads gRPC's set of subchannels without holding its
	// lock. That is safe here because the set only changes before the first
	// connection attempt has failed.
	if b, ok := cc.(backoffConn); ok && b.GetState() == connectivity.TransientFailure {
		b.ResetConnectBackoff()
	}
	return peerpb.NewMembershipClient(cc), nil
}

// backoffConn is the part of grpc.ClientConn that controls reconnecting.
type backoffConn interface {
	GetState() connectivity.State
	ResetConnectBackoff()
}

func (s *Service) localSummary() *peerpb.NodeSummary {
	local := s.opts.LocalSummary()
	p := &peerpb.NodeSummary{Version: local.Version, MembersRoot: s.dir.RootDigest()}
	if local.Version > 0 {
		p.SnapshotDigest = local.Digest[:]
	}
	return p
}

func summaryFromProto(p *peerpb.NodeSummary) Summary {
	s := Summary{Version: p.GetVersion(), MembersRoot: p.GetMembersRoot()}
	if len(p.GetSnapshotDigest()) == len(snapshot.Digest{}) {
		s.Digest = snapshot.Digest(p.SnapshotDigest)
	}
	return s
}

// Ping serves a probe by another node.
func (s *Service) Ping(_ context.Context, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if req.About != nil && req.About.Id == s.dir.Self().ID && !keyMatches(req.About, s.dir.Self()) {
		s.dir.Merge([]Record{recordWithKey(s.dir.Self(), req.About)})
	}
	self := s.dir.Self()
	reply := &peerpb.PingReply{From: keyOf(self), Summary: s.localSummary()}
	if !keyMatches(req.About, self) {
		reply.Record = codec{s.clock.Now()}.toProto(self)
	}
	if req.From == nil {
		return reply, nil
	}
	s.contact.heard(s.clock.Now())
	from := s.dir.Lookup(req.From.Id)
	switch {
	case from == nil:
		reply.About = &peerpb.MemberKey{Id: req.From.Id}
	case !keyMatches(req.From, from):
		reply.About = keyOf(from)
	}
	if from != nil && from.Live() {
		s.opts.OnSummary(from, summaryFromProto(req.Summary))
	}
	return reply, nil
}

// PingIndirect pings a member on behalf of another node. It returns the error of
// Options.Connect; a ping without an answer is not an error.
func (s *Service) PingIndirect(ctx context.Context, req *peerpb.PingIndirectRequest) (*peerpb.PingIndirectReply, error) {
	member := &Record{ID: req.Id, PeerAddr: req.PeerAddr, FailureDomain: req.FailureDomain, Region: req.Region}
	if known := s.dir.Lookup(req.Id); known != nil && known.PeerAddr == req.PeerAddr {
		member = known
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProbeTimeout*8/10)
	defer cancel()
	cc, err := s.opts.Connect(member.PeerAddr, peer.Place{Region: member.Region, FailureDomain: member.FailureDomain})
	if err != nil {
		return nil, err
	}
	reply, err := peerpb.NewMembershipClient(cc).Ping(ctx, &peerpb.PingRequest{About: keyOf(member)}, grpc.WaitForReady(false))
	return &peerpb.PingIndirectReply{Answered: err == nil && reply.From.GetId() == req.Id}, nil
}

// sleep waits for d on the service's clock. It returns false when ctx ended
// first.
func (s *Service) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(d):
		return true
	}
}
