package etcd

import (
	"context"

	"siskingw/errdefs"
	"siskingw/store"
	pb "siskingw/store/etcd/etcdpb"
)

// Watch implements store.Store. Each watch uses its own stream, so the watch ends
// when the stream does.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Position) <-chan store.WatchBatch {
	out := make(chan store.WatchBatch, 1)
	go func() {
		defer close(out)
		if err := c.runWatch(ctx, prefix, from.Revision(), out); err != nil && ctx.Err() == nil {
			store.SendBatch(ctx, out, store.WatchBatch{Err: err})
		}
	}()
	return out
}

// runWatch sends batches until the stream ends or ctx is done.
func (c *Client) runWatch(ctx context.Context, prefix string, from int64, out chan<- store.WatchBatch) error {
	stream, err := c.watch.Watch(ctx)
	if err != nil {
		return readError(err, "watch prefix %q", prefix)
	}
	create := &pb.WatchCreateRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: from + 1}
	if err := stream.Send(&pb.WatchRequest{
		RequestUnion: &pb.WatchRequest_CreateRequest{CreateRequest: create}}); err != nil {
		return readError(err, "watch prefix %q", prefix)
	}
	for {
		resp, err := stream.Recv()
		if err != nil {
			return readError(err, "watch prefix %q", prefix)
		}
		if err := cancelError(resp, prefix); err != nil {
			return err
		}
		if batch := fromWatchResponse(resp); len(batch.Events) > 0 && !store.SendBatch(ctx, out, batch) {
			return nil
		}
	}
}

// cancelError returns an error if the response cancels the watch.
func cancelError(resp *pb.WatchResponse, prefix string) error {
	switch {
	case resp.CompactRevision > 0:
		return errdefs.StoreCompacted.New("watch of prefix %q starts before the oldest available revision %d",
			prefix, resp.CompactRevision)
	case resp.Canceled:
		return errdefs.StoreUnavailable.New("watch of prefix %q was canceled by the store: %s", prefix, resp.CancelReason)
	}
	return nil
}

func fromWatchResponse(resp *pb.WatchResponse) store.WatchBatch {
	batch := store.WatchBatch{Position: store.At(0, resp.GetHeader().GetRevision())}
	for _, e := range resp.Events {
		batch.Events = append(batch.Events, store.Event{KeyValue: fromProto(e.Kv), Deleted: e.Type == pb.Event_DELETE})
	}
	return batch
}
