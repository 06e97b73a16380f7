package spread

import (
	"context"

	"siskingw/errdefs"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store"
)

// storeSource is the Source over the platform's store.
type storeSource struct {
	st     store.Store
	reader *publish.Reader
}

// NewSource returns the Source that reads the versions of package publish.
func NewSource(st store.Store, reader *publish.Reader) Source {
	return storeSource{st: st, reader: reader}
}

// Head implements Source. Before the first version, the head has the position of
// the read, because a watch from an older one may be compacted.
func (p storeSource) Head(ctx context.Context) (Head, error) {
	kvs, at, err := p.st.Range(ctx, publish.HeadKey, false)
	if err != nil {
		return Head{}, err
	}
	for _, kv := range kvs {
		if kv.Key == publish.HeadKey {
			return decodeHead(kv)
		}
	}
	return Head{Position: at}, errdefs.NotFound.New("no version is published yet")
}

// decodeHead returns a Corrupt error if the value is not a valid head.
func decodeHead(kv store.KeyValue) (Head, error) {
	h, err := publish.DecodeHead(kv.Value)
	return Head{Version: h.Version, Position: kv.Position, Content: kv.Value}, err
}

// Load implements Source.
func (p storeSource) Load(ctx context.Context, h Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	value, ok := h.Content.([]byte)
	if !ok {
		return nil, errdefs.Internal.New("head of version %d has no content", h.Version)
	}
	head, err := publish.DecodeHead(value)
	if err != nil {
		return nil, err
	}
	return p.reader.Load(ctx, head, base)
}

// Watch implements Source. It does not report the deletion of the head, because
// that produces no version.
func (p storeSource) Watch(ctx context.Context, from store.Position) <-chan HeadEvent {
	out := make(chan HeadEvent)
	ctx, cancel := context.WithCancel(ctx)
	batches := p.st.Watch(ctx, publish.HeadKey, from)
	go func() {
		defer cancel()
		defer close(out)
		for batch := range batches {
			if !sendHeads(ctx, out, batch) {
				return
			}
		}
	}()
	return out
}

// sendHeads sends the heads of a batch and reports whether the watch continues.
func sendHeads(ctx context.Context, out chan<- HeadEvent, batch store.WatchBatch) bool {
	send := func(e HeadEvent) bool {
		select {
		case out <- e:
			return e.Err == nil
		case <-ctx.Done():
			return false
		}
	}
	for _, e := range batch.Events {
		if e.Deleted || e.Key != publish.HeadKey {
			continue
		}
		h, err := decodeHead(e.KeyValue)
		if !send(HeadEvent{Head: h, Err: err}) {
			return false
		}
	}
	return batch.Err == nil || send(HeadEvent{Err: batch.Err})
}
