package spread

import (
	"context"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"siskingw/errdefs"
	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// Transport calls the Spread service of other nodes. Failures to reach a peer
// are PeerUnavailable errors.
type Transport interface {
	Offer(ctx context.Context, to Peer, r *peerpb.OfferRequest) (*peerpb.OfferReply, error)
	FetchDeltas(ctx context.Context, to Peer, r *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error)
	// FetchSnapshot returns the encoded snapshot, or Busy if the peer is at its
	// limit. A transfer of the wrong size is a Corrupt error.
	FetchSnapshot(ctx context.Context, to Peer, r *peerpb.FetchSnapshotRequest) ([]byte, *peerpb.Busy, error)
	Head(ctx context.Context, to Peer, r *peerpb.HeadRequest) (*peerpb.HeadReply, error)
}

const (
	// chunkBytes is the size of one message of a snapshot transfer.
	chunkBytes = 32 << 10
	// maxSnapshotBytes bounds an encoded snapshot that a node accepts.
	maxSnapshotBytes = 64 << 20
	// maxTransferTime bounds a transfer at the sender. A receiver that stops
	// reading would otherwise occupy one of the few transfer slots until TCP
	// times out.
	maxTransferTime = 30 * time.Second
	// stallTimeout ends a snapshot transfer that makes no progress.
	stallTimeout = 2 * time.Second
)

// grpcTransport is the Transport over the connection pool of package peer.
type grpcTransport struct {
	pool    *peer.Pool
	self    peer.Place
	streams *streams
}

// NewTransport returns the Transport over the connection pool of a node at the
// given place.
func NewTransport(pool *peer.Pool, self peer.Place) Transport {
	return grpcTransport{pool: pool, self: self, streams: new(streams)}
}

// client returns the client for a peer. A connection in backoff is retried at
// once: pushes and recovery have their own limits and jitter, and a peer that
// restarted must not stay unused for gRPC's backoff of up to 2 min.
func (t grpcTransport) client(to Peer) (peerpb.SpreadClient, error) {
	cc, err := t.pool.Conn(to.Addr, to.Place())
	if err != nil {
		return nil, err
	}
	if c, ok := cc.(*grpc.ClientConn); ok && c.GetState() == connectivity.TransientFailure {
		c.ResetConnectBackoff()
	}
	return peerpb.NewSpreadClient(cc), nil
}

func (t grpcTransport) Offer(ctx context.Context, to Peer, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	if peer.Class(t.self, to.Place()) == peer.CrossRegion {
		return t.offerOnStream(ctx, to, r)
	}
	return call(ctx, t, to, r, peerpb.SpreadClient.Offer)
}

func (t grpcTransport) FetchDeltas(ctx context.Context, to Peer, r *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	return call(ctx, t, to, r, peerpb.SpreadClient.FetchDeltas)
}

func (t grpcTransport) Head(ctx context.Context, to Peer, r *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	return call(ctx, t, to, r, peerpb.SpreadClient.Head)
}

// call performs one unary call.
func call[Q, R any](ctx context.Context, t grpcTransport, to Peer, r Q,
	f func(peerpb.SpreadClient, context.Context, Q, ...grpc.CallOption) (R, error)) (R, error) {
	var zero R
	c, err := t.client(to)
	if err != nil {
		return zero, err
	}
	reply, err := f(c, ctx, r)
	if err != nil {
		return zero, unavailable(err, to)
	}
	return reply, nil
}

func unavailable(err error, to Peer) error {
	return errdefs.PeerUnavailable.Wrap(err, "peer %s at %s", to.ID, to.Addr)
}

// FetchSnapshot implements Transport. It cancels the transfer when no chunk
// arrives for stallTimeout.
func (t grpcTransport) FetchSnapshot(ctx context.Context, to Peer, r *peerpb.FetchSnapshotRequest) ([]byte, *peerpb.Busy, error) {
	c, err := t.client(to)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(stallTimeout, cancel)
	defer stall.Stop()
	stream, err := c.FetchSnapshot(ctx, r)
	if err != nil {
		return nil, nil, unavailable(err, to)
	}
	return readChunks(stream, to, func() { stall.Reset(stallTimeout) })
}

// readChunks collects a snapshot transfer and calls progress for each chunk. It
// returns a Corrupt error if the stream ends before the stated size, or exceeds
// it or maxSnapshotBytes.
func readChunks(stream grpc.ServerStreamingClient[peerpb.SnapshotChunk], to Peer, progress func()) ([]byte, *peerpb.Busy, error) {
	var data []byte
	var size uint64
	for {
		chunk, err := stream.Recv()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, nil, unavailable(err, to)
		}
		if chunk.Busy != nil {
			return nil, chunk.Busy, nil
		}
		progress()
		size = max(size, chunk.Size)
		if size > maxSnapshotBytes || uint64(len(data)+len(chunk.Data)) > size {
			return nil, nil, errdefs.Corrupt.New("snapshot of %d bytes from %s exceeds its stated size or the limit", size, to.Addr)
		}
		data = append(data, chunk.Data...)
	}
	if uint64(len(data)) != size {
		return nil, nil, errdefs.Corrupt.New("snapshot from %s ends after %d of %d bytes", to.Addr, len(data), size)
	}
	return data, nil, nil
}

// server adapts a Node to the generated service.
type server struct {
	peerpb.UnimplementedSpreadServer
	node *Node
}

// Register adds the Spread service of n to a gRPC server.
func (n *Node) Register(s grpc.ServiceRegistrar) { peerpb.RegisterSpreadServer(s, server{node: n}) }

func (s server) Offer(_ context.Context, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	return s.node.HandleOffer(r), nil
}

func (s server) FetchDeltas(_ context.Context, r *peerpb.FetchDeltasRequest) (*peerpb.FetchDeltasReply, error) {
	return s.node.HandleFetchDeltas(r), nil
}

func (s server) Head(_ context.Context, r *peerpb.HeadRequest) (*peerpb.HeadReply, error) {
	return s.node.HandleHead(r), nil
}

func (s server) FetchSnapshot(r *peerpb.FetchSnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotChunk]) error {
	data, release, busy := s.node.HandleFetchSnapshot(r)
	if busy != nil {
		return stream.Send(&peerpb.SnapshotChunk{Busy: busy})
	}
	if len(data) == 0 {
		release(false)
		return status.Error(codes.Unavailable, "no version is in force yet")
	}
	sent := make(chan error, 1)
	go func() { sent <- sendChunks(stream, data) }()
	timeout := time.NewTimer(maxTransferTime)
	defer timeout.Stop()
	select {
	case err := <-sent:
		release(err == nil)
		return err
	case <-timeout.C: // returning ends the stream and with it sendChunks
		release(false)
		return status.Error(codes.DeadlineExceeded, "snapshot transfer is too slow")
	}
}

// sendChunks sends an encoded snapshot.
func sendChunks(stream grpc.ServerStreamingServer[peerpb.SnapshotChunk], data []byte) error {
	size := uint64(len(data))
	for len(data) > 0 {
		n := min(chunkBytes, len(data))
		if err := stream.Send(&peerpb.SnapshotChunk{Data: data[:n], Size: size}); err != nil {
			return err
		}
		data, size = data[n:], 0
	}
	return nil
}
