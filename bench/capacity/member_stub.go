package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// memberStub serves the peer API for every member that the measured node calls.
// All members share one directory and one snapshot. Joins, member syncs and
// pushes are served by a member.Service that is not running, so it makes no
// calls itself.
type memberStub struct {
	peerpb.MembershipServer
	peerpb.UnimplementedStatusServer

	dir            *member.Directory
	current        *snapshot.Current
	byAddr         map[string]string // node ID by peer address
	server         *grpc.Server
	calls          [callKindCount]atomic.Int64
	offeredVersion atomic.Uint64 // highest version offered by the node
	nodeRootDigest atomic.Uint64 // membership digest in the node's last ping
}

// callKind is a method of the peer API that the node calls.
type callKind int

const (
	callPing callKind = iota
	callPingIndirect
	callPushMembers
	callSyncMembers
	callReport
	callExchange
	callOffer
	callHead
	callFetch
	callKindCount
)

// String returns the name used in tables and results.
func (k callKind) String() string {
	return [...]string{"Ping", "PingIndirect", "PushMembers", "SyncMembers",
		"Report", "Exchange", "Offer", "Head", "Fetch"}[k]
}

// newMemberStub returns a stub that holds the records and has s in force, if s is
// not nil.
func newMemberStub(records []member.Record, s *snapshot.Snapshot) (*memberStub, error) {
	stub := &memberStub{current: new(snapshot.Current), dir: member.NewDirectory(records[0], member.DirectoryOptions{}),
		byAddr: make(map[string]string)}
	service := member.NewService(stub.dir, member.Options{Connect: refuseConnection})
	if err := service.Join(context.Background()); err != nil { // marks the directory as complete
		return nil, err
	}
	service.Register(registrar{stub})
	stub.dir.Merge(records[1:])
	for i := range records {
		stub.byAddr[records[i].PeerAddr] = records[i].ID
	}
	if s == nil {
		return stub, nil
	}
	return stub, stub.current.Advance(s)
}

func refuseConnection(addr string, _ peer.Place) (grpc.ClientConnInterface, error) {
	return nil, errdefs.PeerUnavailable.New("member stub makes no calls: %s", addr)
}

// registrar captures the handlers of a member.Service.
type registrar struct{ stub *memberStub }

// RegisterService implements grpc.ServiceRegistrar.
func (r registrar) RegisterService(_ *grpc.ServiceDesc, impl any) {
	r.stub.MembershipServer = impl.(peerpb.MembershipServer)
}

// serve listens on the addresses of the members of the node's failure domain and
// of the relays of all others.
func (stub *memberStub) serve(ownDomain string) error {
	stub.server = peer.NewServer()
	peerpb.RegisterMembershipServer(stub.server, stub)
	peerpb.RegisterStatusServer(stub.server, stub)
	peerpb.RegisterSpreadServer(stub.server, spreadServer{stub: stub})
	reached := stub.dir.Ranked(ownDomain)
	for _, d := range stub.dir.FailureDomains() {
		if d.Name != ownDomain {
			reached = append(reached[:len(reached):len(reached)], member.Relays(stub.dir, d.Name)...)
		}
	}
	for _, r := range reached {
		l, err := net.Listen("tcp", r.PeerAddr)
		if err != nil {
			return errdefs.Internal.Wrap(err, "listener of member %s", r.ID)
		}
		go func() { _ = stub.server.Serve(l) }()
	}
	return nil
}

// calledMember returns the record of the member whose address was called.
func (stub *memberStub) calledMember(ctx context.Context) *member.Record {
	if p, ok := grpcpeer.FromContext(ctx); ok && p.LocalAddr != nil {
		if r := stub.dir.Lookup(stub.byAddr[p.LocalAddr.String()]); r != nil {
			return r
		}
	}
	return stub.dir.Self()
}

func memberKey(r *member.Record) *peerpb.MemberKey {
	return &peerpb.MemberKey{Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State)}
}

func memberRecord(r *member.Record) *peerpb.MemberRecord {
	return &peerpb.MemberRecord{
		Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State),
		FailureDomain: r.FailureDomain, Region: r.Region, PeerAddr: r.PeerAddr,
		InboundAddr: r.InboundAddr, Service: r.Service, Slots: r.Slots,
	}
}

func (stub *memberStub) summary() *peerpb.NodeSummary {
	s := &peerpb.NodeSummary{Version: stub.current.Version(), MembersRoot: stub.dir.RootDigest()}
	if v := stub.current.Load(); v != nil {
		d := v.Digest()
		s.SnapshotDigest = d[:]
	}
	return s
}

// Ping responds as the called member.
func (stub *memberStub) Ping(ctx context.Context, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	stub.calls[callPing].Add(1)
	stub.nodeRootDigest.Store(req.Summary.GetMembersRoot())
	self := stub.calledMember(ctx)
	reply := &peerpb.PingReply{From: memberKey(self), Summary: stub.summary()}
	if a := req.About; a == nil || a.Incarnation != self.Incarnation || a.Sequence != self.Sequence || a.State != uint32(self.State) {
		reply.Record = memberRecord(self)
	}
	return reply, nil
}

// PingIndirect reports that the member responded.
func (stub *memberStub) PingIndirect(context.Context, *peerpb.PingIndirectRequest) (*peerpb.PingIndirectReply, error) {
	stub.calls[callPingIndirect].Add(1)
	return &peerpb.PingIndirectReply{Answered: true}, nil
}

// PushMembers counts the call and merges the pushed records.
func (stub *memberStub) PushMembers(ctx context.Context, req *peerpb.PushMembersRequest) (*peerpb.PushMembersReply, error) {
	stub.calls[callPushMembers].Add(1)
	return stub.MembershipServer.PushMembers(ctx, req)
}

// SyncMembers counts the call and compares records.
func (stub *memberStub) SyncMembers(ctx context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersReply, error) {
	stub.calls[callSyncMembers].Add(1)
	return stub.MembershipServer.SyncMembers(ctx, req)
}

// Report receives the node's status report as its tree parent.
func (stub *memberStub) Report(context.Context, *peerpb.StatusReport) (*peerpb.StatusReportReply, error) {
	stub.calls[callReport].Add(1)
	return &peerpb.StatusReportReply{Newest: stub.current.Version()}, nil
}

// Exchange returns the summaries of the failure domains in the called member's
// region, or of all failure domains when the calling node is in that region.
func (stub *memberStub) Exchange(ctx context.Context, req *peerpb.FleetSummary) (*peerpb.FleetSummary, error) {
	stub.calls[callExchange].Add(1)
	return stub.fleetSummary(stub.calledMember(ctx), req.FromRegion), nil
}

func (stub *memberStub) fleetSummary(self *member.Record, toRegion string) *peerpb.FleetSummary {
	out := &peerpb.FleetSummary{FromDomain: self.FailureDomain, FromRegion: self.Region}
	version := stub.current.Version()
	for _, d := range stub.dir.FailureDomains() {
		if d.Region == self.Region || toRegion == self.Region {
			out.Domains = append(out.Domains, &peerpb.DomainSummary{
				FailureDomain: d.Name, Region: d.Region, Version: version, Newest: version,
				Live: uint32(d.Live), Confirmed: uint32(d.Live),
			})
		}
	}
	return out
}

// spreadServer serves the snapshot that the stub has in force.
type spreadServer struct {
	peerpb.UnimplementedSpreadServer
	stub *memberStub
}

func (s spreadServer) recordOffer(r *peerpb.OfferRequest) *peerpb.OfferReply {
	s.stub.calls[callOffer].Add(1)
	s.stub.offeredVersion.Store(max(s.stub.offeredVersion.Load(), r.Version))
	return &peerpb.OfferReply{Status: peerpb.OfferReply_APPLIED, Version: r.Version}
}

// Offer confirms any offered version.
func (s spreadServer) Offer(_ context.Context, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	return s.recordOffer(r), nil
}

// OfferStream confirms any offered version.
func (s spreadServer) OfferStream(stream grpc.BidiStreamingServer[peerpb.OfferRequest, peerpb.OfferReply]) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := stream.Send(s.recordOffer(r)); err != nil {
			return nil
		}
	}
}

// Head returns the version in force.
func (s spreadServer) Head(ctx context.Context, _ *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	s.stub.calls[callHead].Add(1)
	sum := s.stub.summary()
	return &peerpb.HeadReply{Id: s.stub.calledMember(ctx).ID, Version: sum.Version, Digest: sum.SnapshotDigest, StoreAgeMs: 1}, nil
}

// FetchDeltas returns no deltas and requests a snapshot transfer instead.
func (s spreadServer) FetchDeltas(context.Context, *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	s.stub.calls[callFetch].Add(1)
	return &peerpb.FetchDeltasReply{Version: s.stub.current.Version(), NeedSnapshot: true}, nil
}

// FetchSnapshot sends the snapshot in force.
func (s spreadServer) FetchSnapshot(_ *peerpb.FetchSnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotChunk]) error {
	s.stub.calls[callFetch].Add(1)
	var data []byte
	if v := s.stub.current.Load(); v != nil {
		data = v.Encode()
	}
	const chunkBytes = 32 << 10
	for first, size := true, uint64(len(data)); first || len(data) > 0; first = false {
		n := min(chunkBytes, len(data))
		if err := stream.Send(&peerpb.SnapshotChunk{Data: data[:n], Size: size}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// newVersion changes one route, puts the new snapshot in force on the stub and
// returns the encoded delta.
func (stub *memberStub) newVersion(services int) ([]byte, error) {
	base := stub.current.Load()
	version := base.Version() + 1
	next, err := base.WithChanges(version, []*object.Object{routeObject(int(version)%services, version)}, nil)
	if err != nil {
		return nil, err
	}
	if err := stub.current.Advance(next); err != nil {
		return nil, err
	}
	return snapshot.EncodeDelta(snapshot.Diff(base, next))
}

// restartMember gives a member a new incarnation, as a restart of its process does,
// and returns the new record.
func (stub *memberStub) restartMember(r *member.Record) *member.Record {
	next := *r
	next.Incarnation = max(next.Incarnation+1, uint64(time.Now().UnixMilli())<<20)
	stub.dir.Merge([]member.Record{next})
	return stub.dir.Lookup(next.ID)
}

// minCompressBytes is the size from which nodes compress a batch of records.
const minCompressBytes = 200

// encodeBatch encodes records as nodes do.
func encodeBatch(records []*member.Record) *peerpb.RecordBatch {
	msg := new(peerpb.MemberRecords)
	for _, r := range records {
		msg.Records = append(msg.Records, memberRecord(r))
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil // the receiver treats nil as an empty batch
	}
	if len(data) < minCompressBytes {
		return &peerpb.RecordBatch{Data: data}
	}
	return &peerpb.RecordBatch{Data: snapshot.Compress(data), Compressed: true}
}
