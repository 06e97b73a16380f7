// Package etcd implements store.Store with the KV, Lease and Watch services of
// the etcd v3 gRPC API.
package etcd

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"siskingw/errdefs"
	"siskingw/store"
	pb "siskingw/store/etcd/etcdpb"
)

const (
	defaultCallTimeout = 2 * time.Second
	maxReconnectDelay  = 2 * time.Second
	maxRecvMsgBytes    = 8 << 20 // a Range over configuration parts can exceed gRPC's default of 4 MB
)

// Options configures a Client.
type Options struct {
	Endpoint    string        // host:port of the store
	CallTimeout time.Duration // timeout of one call other than a watch, default 2 s
	LocalAddr   net.Addr      // local address of connections; nil lets the system choose
}

// Client is a store.Store with a single endpoint.
type Client struct {
	conn    *grpc.ClientConn
	kv      pb.KVClient
	lease   pb.LeaseClient
	watch   pb.WatchClient
	timeout time.Duration
}

var _ store.Store = (*Client)(nil)

// New returns a client without waiting for a connection. While the store cannot
// be reached, reads fail with errdefs.StoreUnavailable and writes with
// errdefs.StoreUnknown. It returns an Invalid error for an invalid endpoint.
func New(opts Options) (*Client, error) {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay, reconnect.MaxDelay = 100*time.Millisecond, maxReconnectDelay
	dialer := net.Dialer{Timeout: opts.CallTimeout, LocalAddr: opts.LocalAddr}
	conn, err := grpc.NewClient("passthrough:///"+opts.Endpoint,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: opts.CallTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxRecvMsgBytes)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, errdefs.Invalid.Wrap(err, "invalid store endpoint %q", opts.Endpoint)
	}
	return &Client{conn: conn, kv: pb.NewKVClient(conn), lease: pb.NewLeaseClient(conn),
		watch: pb.NewWatchClient(conn), timeout: opts.CallTimeout}, nil
}

// Close implements store.Store.
func (c *Client) Close() error { return c.conn.Close() }

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.KeyValue{}, readError(err, "get key %q", key)
	}
	if len(resp.Kvs) == 0 {
		return store.KeyValue{}, errdefs.NotFound.New("key %q does not exist", key)
	}
	return fromProto(resp.Kvs[0]), nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, prefix string, keysOnly bool) ([]store.KeyValue, store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.kv.Range(ctx, &pb.RangeRequest{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), KeysOnly: keysOnly,
		SortOrder: pb.RangeRequest_ASCEND, SortTarget: pb.RangeRequest_KEY,
	})
	if err != nil {
		return nil, store.Position{}, readError(err, "range over prefix %q", prefix)
	}
	kvs := make([]store.KeyValue, len(resp.Kvs))
	for i, kv := range resp.Kvs {
		kvs[i] = fromProto(kv)
	}
	return kvs, store.At(0, resp.GetHeader().GetRevision()), nil
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, id store.LeaseID) (store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := checkSize(key, value); err != nil {
		return store.Position{}, err
	}
	resp, err := c.kv.Put(ctx, &pb.PutRequest{Key: []byte(key), Value: value, Lease: int64(id)})
	if err != nil {
		return store.Position{}, writeError(err, "put key %q", key)
	}
	return store.At(0, resp.GetHeader().GetRevision()), nil
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, last store.Position,
	value []byte, id store.LeaseID) (store.Position, error) {
	if err := checkSize(key, value); err != nil {
		return store.Position{}, err
	}
	put := &pb.RequestOp{Request: &pb.RequestOp_RequestPut{
		RequestPut: &pb.PutRequest{Key: []byte(key), Value: value, Lease: int64(id)}}}
	return c.writeIfUnchanged(ctx, key, last, put)
}

// CompareAndDelete implements store.Store.
func (c *Client) CompareAndDelete(ctx context.Context, key string, last store.Position) error {
	del := &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{
		RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(key)}}}
	_, err := c.writeIfUnchanged(ctx, key, last, del)
	return err
}

// writeIfUnchanged runs op in a transaction if the last write to the key is still last.
// It fails with errdefs.Conflict if not.
func (c *Client) writeIfUnchanged(ctx context.Context, key string, last store.Position, op *pb.RequestOp) (store.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.kv.Txn(ctx, &pb.TxnRequest{
		Compare: []*pb.Compare{{
			Result: pb.Compare_EQUAL, Target: pb.Compare_MOD, Key: []byte(key),
			TargetUnion: &pb.Compare_ModRevision{ModRevision: last.Revision()},
		}},
		Success: []*pb.RequestOp{op},
	})
	if err != nil {
		return store.Position{}, writeError(err, "transaction on key %q", key)
	}
	if !resp.Succeeded {
		return store.Position{}, errdefs.Conflict.New("the last write to key %q is no longer at %v", key, last)
	}
	return store.At(0, resp.GetHeader().GetRevision()), nil
}

// Grant implements store.Store. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	seconds := int64((ttl + time.Second - 1) / time.Second)
	resp, err := c.lease.LeaseGrant(ctx, &pb.LeaseGrantRequest{TTL: seconds})
	if err != nil {
		return 0, writeError(err, "grant a lease of %s", ttl)
	}
	return store.LeaseID(resp.ID), nil
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	stream, err := c.lease.LeaseKeepAlive(ctx)
	if err != nil {
		return readError(err, "renew lease %d", id)
	}
	if err := stream.Send(&pb.LeaseKeepAliveRequest{ID: int64(id)}); err != nil {
		return readError(err, "renew lease %d", id)
	}
	resp, err := stream.Recv()
	if err != nil {
		return readError(err, "renew lease %d", id)
	}
	if resp.TTL <= 0 {
		return errdefs.NotFound.New("lease %d has expired", id)
	}
	return nil
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_, err := c.lease.LeaseRevoke(ctx, &pb.LeaseRevokeRequest{ID: int64(id)})
	return writeError(err, "revoke lease %d", id)
}

// checkSize returns an Invalid error for a value that the store would refuse.
func checkSize(key string, value []byte) error {
	if len(value) > store.MaxValueBytes {
		return errdefs.Invalid.New("value of key %q has %d bytes, at most %d are allowed",
			key, len(value), store.MaxValueBytes)
	}
	return nil
}

// PrefixEnd returns the exclusive end of the key range that holds every key with
// the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0} // in the etcd API: all keys from the start of the range
}

func fromProto(kv *pb.KeyValue) store.KeyValue {
	return store.KeyValue{
		Key: string(kv.Key), Value: kv.Value, Position: store.At(0, kv.ModRevision),
		CreateRevision: kv.CreateRevision, Lease: store.LeaseID(kv.Lease),
	}
}
