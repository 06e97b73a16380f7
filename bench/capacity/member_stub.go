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

// standIn answers for every synthetic member with which the node talks. It
// keeps one directory and one snapshot for all of them. Joins, comparisons and
// pushes are served by a member.Service that is not running, so it sends nothing.
type standIn struct {
	peerpb.MembershipServer
	peerpb.UnimplementedStatusServer

	dir    *member.Directory
	cur    *snapshot.Current
	byAddr map[string]string // node id by peer address
	server *grpc.Server
	calls  [callKinds]atomic.Int64
	offers atomic.Uint64 // highest version that the node offered
	root   atomic.Uint64 // the node's membership digest as its last ping stated it
}

// callKind is a kind of call that the node makes.
type callKind int

const (
	callPing callKind = iota
	callIndirect
	callPush
	callSync
	callReport
	callExchange
	callOffer
	callHead
	callFetch
	callKinds
)

// String returns the name of the call.
func (k callKind) String() string {
	return [...]string{"Ping", "PingIndirect", "PushMembers", "SyncMembers", "Report", "Exchange", "Offer", "Head", "Fetch"}[k]
}

// newStandIn returns a stand-in that holds the records and has s in force.
func newStandIn(records []member.Record, s *snapshot.Snapshot) (*standIn, error) {
	st := &standIn{cur: new(snapshot.Current), dir: member.NewDirectory(records[0], member.DirectoryOptions{}), byAddr: make(map[string]string)}
	service := member.NewService(st.dir, member.Options{Connect: refuse})
	if err := service.Join(context.Background()); err != nil { // marks the directory as complete
		return nil, err
	}
	service.Register(registrar{st})
	st.dir.Merge(records[1:])
	for i := range records {
		st.byAddr[records[i].PeerAddr] = records[i].ID
	}
	if s == nil {
		return st, nil
	}
	return st, st.cur.Advance(s)
}

func refuse(addr string, _ peer.Place) (grpc.ClientConnInterface, error) {
	return nil, errdefs.PeerUnavailable.New("the stand-in calls nobody at %s", addr)
}

// registrar takes the handlers of a member.Service.
type registrar struct{ st *standIn }

// RegisterService implements grpc.ServiceRegistrar.
func (r registrar) RegisterService(_ *grpc.ServiceDesc, impl any) {
	r.st.MembershipServer = impl.(peerpb.MembershipServer)
}

// serve listens on the addresses of the node's failure domain and of the
// relays of the others.
func (st *standIn) serve(ownDomain string) error {
	st.server = peer.NewServer()
	peerpb.RegisterMembershipServer(st.server, st)
	peerpb.RegisterStatusServer(st.server, st)
	peerpb.RegisterSpreadServer(st.server, spreadServer{st: st})
	reached := st.dir.Ranked(ownDomain)
	for _, d := range st.dir.FailureDomains() {
		if d.Name != ownDomain {
			reached = append(reached[:len(reached):len(reached)], member.Relays(st.dir, d.Name)...)
		}
	}
	for _, r := range reached {
		l, err := net.Listen("tcp", r.PeerAddr)
		if err != nil {
			return errdefs.Internal.Wrap(err, "listener of member %s", r.ID)
		}
		go func() { _ = st.server.Serve(l) }()
	}
	return nil
}

// self returns the record of the member that was called.
func (st *standIn) self(ctx context.Context) *member.Record {
	if p, ok := grpcpeer.FromContext(ctx); ok && p.LocalAddr != nil {
		if r := st.dir.Lookup(st.byAddr[p.LocalAddr.String()]); r != nil {
			return r
		}
	}
	return st.dir.Self()
}

func keyOf(r *member.Record) *peerpb.MemberKey {
	return &peerpb.MemberKey{Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State)}
}

func recordOf(r *member.Record) *peerpb.MemberRecord {
	return &peerpb.MemberRecord{
		Id: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, State: uint32(r.State),
		FailureDomain: r.FailureDomain, Region: r.Region, PeerAddr: r.PeerAddr,
		InboundAddr: r.InboundAddr, Service: r.Service, Slots: r.Slots,
	}
}

func (st *standIn) summary() *peerpb.NodeSummary {
	s := &peerpb.NodeSummary{Version: st.cur.Version(), MembersRoot: st.dir.RootDigest()}
	if v := st.cur.Load(); v != nil {
		d := v.Digest()
		s.SnapshotDigest = d[:]
	}
	return s
}

// Ping answers for the member that was called.
func (st *standIn) Ping(ctx context.Context, req *peerpb.PingRequest) (*peerpb.PingReply, error) {
	st.calls[callPing].Add(1)
	st.root.Store(req.Summary.GetMembersRoot())
	self := st.self(ctx)
	reply := &peerpb.PingReply{From: keyOf(self), Summary: st.summary()}
	if a := req.About; a == nil || a.Incarnation != self.Incarnation || a.Sequence != self.Sequence || a.State != uint32(self.State) {
		reply.Record = recordOf(self)
	}
	return reply, nil
}

// PingIndirect answers that the member runs.
func (st *standIn) PingIndirect(context.Context, *peerpb.PingIndirectRequest) (*peerpb.PingIndirectReply, error) {
	st.calls[callIndirect].Add(1)
	return &peerpb.PingIndirectReply{Answered: true}, nil
}

// PushMembers takes records.
func (st *standIn) PushMembers(ctx context.Context, req *peerpb.PushMembersRequest) (*peerpb.PushMembersReply, error) {
	st.calls[callPush].Add(1)
	return st.MembershipServer.PushMembers(ctx, req)
}

// SyncMembers compares records.
func (st *standIn) SyncMembers(ctx context.Context, req *peerpb.SyncMembersRequest) (*peerpb.SyncMembersReply, error) {
	st.calls[callSync].Add(1)
	return st.MembershipServer.SyncMembers(ctx, req)
}

// Report takes the node's status report as its tree parent.
func (st *standIn) Report(context.Context, *peerpb.StatusReport) (*peerpb.StatusReportReply, error) {
	st.calls[callReport].Add(1)
	return &peerpb.StatusReportReply{Newest: st.cur.Version()}, nil
}

// Exchange returns the summaries of the called member's region, or those of
// all failure domains when the member is in the caller's region.
func (st *standIn) Exchange(ctx context.Context, req *peerpb.FleetSummary) (*peerpb.FleetSummary, error) {
	st.calls[callExchange].Add(1)
	return st.fleetSummary(st.self(ctx), req.FromRegion), nil
}

func (st *standIn) fleetSummary(self *member.Record, to string) *peerpb.FleetSummary {
	out := &peerpb.FleetSummary{FromDomain: self.FailureDomain, FromRegion: self.Region}
	version := st.cur.Version()
	for _, d := range st.dir.FailureDomains() {
		if d.Region == self.Region || to == self.Region {
			out.Domains = append(out.Domains, &peerpb.DomainSummary{
				FailureDomain: d.Name, Region: d.Region, Version: version, Newest: version,
				Live: uint32(d.Live), Confirmed: uint32(d.Live),
			})
		}
	}
	return out
}

// spreadServer serves the snapshot that the stand-in has in force.
type spreadServer struct {
	peerpb.UnimplementedSpreadServer
	st *standIn
}

func (s spreadServer) take(r *peerpb.OfferRequest) *peerpb.OfferReply {
	s.st.calls[callOffer].Add(1)
	s.st.offers.Store(max(s.st.offers.Load(), r.Version))
	return &peerpb.OfferReply{Status: peerpb.OfferReply_APPLIED, Version: r.Version}
}

// Offer confirms every version.
func (s spreadServer) Offer(_ context.Context, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	return s.take(r), nil
}

// OfferStream confirms every version.
func (s spreadServer) OfferStream(stream grpc.BidiStreamingServer[peerpb.OfferRequest, peerpb.OfferReply]) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := stream.Send(s.take(r)); err != nil {
			return nil
		}
	}
}

// Head states the version in force.
func (s spreadServer) Head(ctx context.Context, _ *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	s.st.calls[callHead].Add(1)
	sum := s.st.summary()
	return &peerpb.HeadReply{Id: s.st.self(ctx).ID, Version: sum.Version, Digest: sum.SnapshotDigest, StoreAgeMs: 1}, nil
}

// FetchDeltas has no deltas.
func (s spreadServer) FetchDeltas(context.Context, *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	s.st.calls[callFetch].Add(1)
	return &peerpb.FetchDeltasReply{Version: s.st.cur.Version(), NeedSnapshot: true}, nil
}

// FetchSnapshot sends the snapshot in force.
func (s spreadServer) FetchSnapshot(_ *peerpb.FetchSnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotChunk]) error {
	s.st.calls[callFetch].Add(1)
	var data []byte
	if v := s.st.cur.Load(); v != nil {
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

// newVersion changes one route in the snapshot in force and returns the
// encoded delta.
func (st *standIn) newVersion(services int) ([]byte, error) {
	base := st.cur.Load()
	version := base.Version() + 1
	next, err := base.WithChanges(version, []*object.Object{routeObject(int(version)%services, version)}, nil)
	if err != nil {
		return nil, err
	}
	if err := st.cur.Advance(next); err != nil {
		return nil, err
	}
	return snapshot.EncodeDelta(snapshot.Diff(base, next))
}

// restart gives a member a new incarnation and returns its record.
func (st *standIn) restart(r *member.Record) *member.Record {
	next := *r
	next.Incarnation = max(next.Incarnation+1, uint64(time.Now().UnixMilli())<<20)
	st.dir.Merge([]member.Record{next})
	return st.dir.Lookup(next.ID)
}

// compressBytes is the size from which nodes compress a batch.
const compressBytes = 200

// batchOf encodes records as nodes do.
func batchOf(records []*member.Record) *peerpb.RecordBatch {
	msg := new(peerpb.MemberRecords)
	for _, r := range records {
		msg.Records = append(msg.Records, recordOf(r))
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil // the receiver takes that as no record
	}
	if len(data) < compressBytes {
		return &peerpb.RecordBatch{Data: data}
	}
	return &peerpb.RecordBatch{Data: snapshot.Compress(data), Compressed: true}
}
