// Package stub serves the part of the etcd v3 gRPC API that siskingw uses from an
// in-memory store. It stands in for the platform's store in tests, demos and
// benchmarks and is not part of the product.
package stub

import (
	"bytes"
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"siskingw/errdefs"
	"siskingw/store"
	"siskingw/store/etcd"
	pb "siskingw/store/etcd/etcdpb"
	"siskingw/store/memstore"
)

// Server implements the KV, Watch and Lease services over a memstore.Store.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer
	mem *memstore.Store
}

// New returns a server for mem. Faults injected into mem apply to every call.
func New(mem *memstore.Store) *Server { return &Server{mem: mem} }

// Register adds the KV, Watch and Lease services to g.
func (s *Server) Register(g *grpc.Server) {
	pb.RegisterKVServer(g, s)
	pb.RegisterWatchServer(g, s)
	pb.RegisterLeaseServer(g, s)
}

// Range implements the KV service. It serves single keys and prefixes only.
func (s *Server) Range(ctx context.Context, req *pb.RangeRequest) (*pb.RangeResponse, error) {
	if len(req.RangeEnd) == 0 {
		return s.get(ctx, string(req.Key))
	}
	if !bytes.Equal(req.RangeEnd, etcd.PrefixEnd(string(req.Key))) {
		return nil, status.Error(codes.Unimplemented, "only ranges of one prefix are served")
	}
	kvs, rev, err := s.mem.Range(ctx, string(req.Key), req.KeysOnly)
	if err != nil {
		return nil, toStatus(err)
	}
	resp := &pb.RangeResponse{Header: header(rev.Revision()), Count: int64(len(kvs))}
	for _, kv := range kvs {
		resp.Kvs = append(resp.Kvs, toProto(kv))
	}
	return resp, nil
}

func (s *Server) get(ctx context.Context, key string) (*pb.RangeResponse, error) {
	kv, err := s.mem.Get(ctx, key)
	if errorx.IsOfType(err, errdefs.NotFound) {
		return &pb.RangeResponse{Header: header(0)}, nil
	}
	if err != nil {
		return nil, toStatus(err)
	}
	return &pb.RangeResponse{Header: header(kv.Position.Revision()), Kvs: []*pb.KeyValue{toProto(kv)}, Count: 1}, nil
}

// Put implements the KV service.
func (s *Server) Put(ctx context.Context, req *pb.PutRequest) (*pb.PutResponse, error) {
	rev, err := s.mem.Put(ctx, string(req.Key), req.Value, store.LeaseID(req.Lease))
	if err != nil {
		return nil, toStatus(err)
	}
	return &pb.PutResponse{Header: header(rev.Revision())}, nil
}

// Txn implements the KV service. It serves only transactions that compare the mod
// revision of one key and then put or delete that key.
func (s *Server) Txn(ctx context.Context, req *pb.TxnRequest) (*pb.TxnResponse, error) {
	if len(req.Compare) != 1 || len(req.Success) != 1 || len(req.Failure) != 0 || req.Compare[0].Target != pb.Compare_MOD {
		return nil, status.Error(codes.Unimplemented, "only one comparison of a mod revision with one operation is served")
	}
	key, last := string(req.Compare[0].Key), store.At(0, req.Compare[0].GetModRevision())
	rev, err := s.writeIfUnchanged(ctx, key, last, req.Success[0])
	if errorx.IsOfType(err, errdefs.Conflict) {
		return &pb.TxnResponse{Header: header(0)}, nil
	}
	if err != nil {
		return nil, toStatus(err)
	}
	return &pb.TxnResponse{Header: header(rev.Revision()), Succeeded: true}, nil
}

func (s *Server) writeIfUnchanged(ctx context.Context, key string, last store.Position, op *pb.RequestOp) (store.Position, error) {
	if put := op.GetRequestPut(); put != nil && string(put.Key) == key {
		return s.mem.CompareAndSwap(ctx, key, last, put.Value, store.LeaseID(put.Lease))
	}
	if del := op.GetRequestDeleteRange(); del != nil && string(del.Key) == key && len(del.RangeEnd) == 0 {
		return store.Position{}, s.mem.CompareAndDelete(ctx, key, last)
	}
	return store.Position{}, errdefs.Invalid.New("the operation is not a put or delete of the compared key %q", key)
}

// LeaseGrant implements the Lease service.
func (s *Server) LeaseGrant(ctx context.Context, req *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	id, err := s.mem.Grant(ctx, time.Duration(req.TTL)*time.Second)
	if err != nil {
		return nil, toStatus(err)
	}
	return &pb.LeaseGrantResponse{Header: header(0), ID: int64(id), TTL: req.TTL}, nil
}

// LeaseRevoke implements the Lease service.
func (s *Server) LeaseRevoke(ctx context.Context, req *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	if err := s.mem.Revoke(ctx, store.LeaseID(req.ID)); err != nil {
		return nil, toStatus(err)
	}
	return &pb.LeaseRevokeResponse{Header: header(0)}, nil
}

// LeaseKeepAlive implements the Lease service. For an expired lease it responds
// with a TTL of 0.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		req, err := stream.Recv()
		if err != nil {
			return nil
		}
		resp := &pb.LeaseKeepAliveResponse{Header: header(0), ID: req.ID, TTL: 1}
		err = s.mem.KeepAlive(stream.Context(), store.LeaseID(req.ID))
		if errorx.IsOfType(err, errdefs.NotFound) {
			resp.TTL = 0
		} else if err != nil {
			return toStatus(err)
		}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

// Watch implements the Watch service. It serves one watch of one prefix per
// stream.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	req, err := stream.Recv()
	if err != nil {
		return nil
	}
	create := req.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "the first request must create a watch")
	}
	if err := stream.Send(&pb.WatchResponse{Header: header(0), Created: true}); err != nil {
		return err
	}
	for batch := range s.mem.Watch(stream.Context(), string(create.Key), store.At(0, create.StartRevision-1)) {
		if errorx.IsOfType(batch.Err, errdefs.StoreCompacted) {
			return stream.Send(&pb.WatchResponse{Header: header(0), Canceled: true, CompactRevision: create.StartRevision})
		}
		if batch.Err != nil {
			return toStatus(batch.Err)
		}
		if err := stream.Send(toWatchResponse(batch)); err != nil {
			return err
		}
	}
	return nil
}

func toWatchResponse(batch store.WatchBatch) *pb.WatchResponse {
	resp := &pb.WatchResponse{Header: header(batch.Position.Revision())}
	for _, e := range batch.Events {
		eventType := pb.Event_PUT
		if e.Deleted {
			eventType = pb.Event_DELETE
		}
		resp.Events = append(resp.Events, &pb.Event{Type: eventType, Kv: toProto(e.KeyValue)})
	}
	return resp
}

func toProto(kv store.KeyValue) *pb.KeyValue {
	return &pb.KeyValue{
		Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.Position.Revision(),
		CreateRevision: kv.CreateRevision, Lease: int64(kv.Lease),
	}
}

func header(rev int64) *pb.ResponseHeader { return &pb.ResponseHeader{Revision: rev} }

// toStatus converts an error of memstore to a gRPC status.
func toStatus(err error) error {
	code := codes.Internal
	switch {
	case errorx.IsOfType(err, errdefs.StoreLimited):
		code = codes.ResourceExhausted
	case errorx.IsOfType(err, errdefs.StoreUnavailable), errorx.IsOfType(err, errdefs.StoreUnknown):
		code = codes.Unavailable // the code that gRPC reports for a broken connection
	case errorx.IsOfType(err, errdefs.NotFound):
		code = codes.NotFound
	case errorx.IsOfType(err, errdefs.Invalid):
		code = codes.InvalidArgument
	}
	return status.Error(code, err.Error())
}
