package spread

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
)

// maxStreams bounds the open streams of a node. Only region heads, and relays
// that act as one, push into other regions.
const maxStreams = 32

// streams holds one open stream of offers for each peer in another region. A
// unary call per offer costs about 80 bytes more, which is a third of a small
// delta.
type streams struct {
	mu sync.Mutex
	m  map[string]*offerStream
}

// offerStream is the stream to one peer; it carries one offer at a time.
type offerStream struct {
	mu     sync.Mutex
	client grpc.BidiStreamingClient[peerpb.OfferRequest, peerpb.OfferReply]
	cancel context.CancelFunc // nil while no stream is open
}

func (s *streams) get(addr string) *offerStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.m[addr]; ok {
		return o
	}
	if s.m == nil {
		s.m = make(map[string]*offerStream)
	}
	for k, o := range s.m {
		if len(s.m) < maxStreams {
			break
		}
		if o.mu.TryLock() { // a stream with an offer in flight is kept
			o.close()
			o.mu.Unlock()
			delete(s.m, k)
		}
	}
	o := new(offerStream)
	s.m[addr] = o
	return o
}

// close ends the stream, if any. The caller holds o.mu.
func (o *offerStream) close() {
	if o.cancel != nil {
		o.cancel()
	}
	o.client, o.cancel = nil, nil
}

// offerOnStream sends an offer on the peer's stream. An existing stream may
// have ended with its connection, so an offer that fails on it is retried once
// on a new stream; a duplicate offer is harmless.
func (t grpcTransport) offerOnStream(ctx context.Context, to Peer, r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	o := t.streams.get(to.Addr)
	o.mu.Lock()
	defer o.mu.Unlock()
	used := o.client != nil
	reply, err := o.exchange(ctx, t, to, r)
	if err != nil && used && ctx.Err() == nil {
		reply, err = o.exchange(ctx, t, to, r)
	}
	return reply, err
}

// exchange sends one offer and waits for its reply. Any failure, including the
// end of ctx, closes the stream, so that a late reply is never matched to the
// next offer.
func (o *offerStream) exchange(ctx context.Context, t grpcTransport, to Peer,
	r *peerpb.OfferRequest) (*peerpb.OfferReply, error) {
	// Requesting the connection also marks it as used in the pool.
	client, err := t.client(to)
	if err != nil {
		return nil, err
	}
	if o.client == nil {
		streamCtx, cancel := context.WithCancel(context.Background())
		o.cancel = cancel
		stop := context.AfterFunc(ctx, cancel)
		o.client, err = client.OfferStream(streamCtx)
		stop()
		if err != nil {
			o.close()
			return nil, unavailable(err, to)
		}
	} else {
		r = proto.CloneOf(r)
		r.Sender = ""
	}
	defer context.AfterFunc(ctx, o.cancel)()
	var reply *peerpb.OfferReply
	if err = o.client.Send(r); err == nil || err == io.EOF {
		reply, err = o.client.Recv()
	}
	if err == nil && ctx.Err() != nil {
		err = errdefs.Timeout.Wrap(ctx.Err(), "offer to %s", to.Addr)
	}
	if err != nil {
		o.close()
		return nil, unavailable(err, to)
	}
	return reply, nil
}

// OfferStream serves the offers of one peer in order. It ends with the node, so
// that an open stream does not delay a graceful stop of the server.
func (s server) OfferStream(stream grpc.BidiStreamingServer[peerpb.OfferRequest, peerpb.OfferReply]) error {
	requests, failed := make(chan *peerpb.OfferRequest), make(chan error, 1)
	go receiveOffers(stream, requests, failed)
	sender := ""
	for {
		select {
		case <-s.node.ctx.Done():
			return status.Error(codes.Unavailable, "the node stops")
		case err := <-failed:
			if err == io.EOF {
				return nil
			}
			return err
		case r := <-requests:
			if r.Sender == "" {
				r.Sender = sender
			}
			sender = r.Sender
			if err := stream.Send(s.node.HandleOffer(r)); err != nil {
				return err
			}
		}
	}
}

// receiveOffers passes requests on until the stream ends.
func receiveOffers(stream grpc.BidiStreamingServer[peerpb.OfferRequest, peerpb.OfferReply],
	requests chan<- *peerpb.OfferRequest, failed chan<- error) {
	for {
		r, err := stream.Recv()
		if err != nil {
			failed <- err
			return
		}
		select {
		case requests <- r:
		case <-stream.Context().Done():
			return
		}
	}
}
