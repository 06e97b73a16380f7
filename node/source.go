package node

import (
	"context"

	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/spread"
	"siskingw/store"
)

// source lets spread read versions through publish.Reader.
type source struct {
	store  store.Store
	reader *publish.Reader
}

// Head implements spread.Source.
func (s source) Head(ctx context.Context) (spread.Head, error) {
	kv, err := s.store.Get(ctx, publish.HeadKey)
	if err != nil {
		return spread.Head{}, err
	}
	return headOf(kv)
}

// Load implements spread.Source.
func (s source) Load(ctx context.Context, h spread.Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	head, err := publish.DecodeHead(h.Value)
	if err != nil {
		return nil, err
	}
	return s.reader.Load(ctx, head, base)
}

// Watch implements spread.Source.
func (s source) Watch(ctx context.Context, fromRevision int64) <-chan spread.HeadEvent {
	out := make(chan spread.HeadEvent, 1)
	go func() {
		defer close(out)
		for batch := range s.store.Watch(ctx, publish.HeadKey, fromRevision) {
			for _, e := range headEvents(batch) {
				select {
				case out <- e:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	return out
}

// headEvents reads the heads of one batch.
func headEvents(batch store.WatchBatch) []spread.HeadEvent {
	if batch.Err != nil {
		return []spread.HeadEvent{{Err: batch.Err}}
	}
	var events []spread.HeadEvent
	for _, e := range batch.Events {
		if e.Deleted || e.Key != publish.HeadKey {
			continue
		}
		h, err := headOf(e.KeyValue)
		events = append(events, spread.HeadEvent{Head: h, Err: err})
		if err != nil {
			return events
		}
	}
	return events
}

// headOf reads the head from its key.
func headOf(kv store.KeyValue) (spread.Head, error) {
	h, err := publish.DecodeHead(kv.Value)
	if err != nil {
		return spread.Head{}, err
	}
	return spread.Head{Version: h.Version, Revision: kv.ModRevision, Value: kv.Value}, nil
}
