package spread

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"siskingw/errdefs"
	"siskingw/peer"
	"siskingw/snapshot"
	"siskingw/spread"
	"siskingw/store"
	"siskingw/store/memstore"
)

const (
	headKey     = "bench/head"
	snapshotKey = "bench/snapshot"
)

func deltaKey(version uint64) string { return fmt.Sprintf("bench/delta/%d", version) }

// versions publishes versions in a store: one value for the head, one for each
// delta and one for the first snapshot.
type versions struct {
	st     *memstore.Store
	latest *snapshot.Snapshot
	delta  []byte // encoding of the delta to latest
	place  peer.Place
	bytes  [len(latency)]atomic.Uint64 // of values and events that left the store, by link class
	calls  atomic.Uint64               // calls and watch events
}

// publish writes a version and swaps the head. d is nil for the first version.
func (v *versions) publish(ctx context.Context, s *snapshot.Snapshot, d *snapshot.Delta) error {
	key, data := snapshotKey, s.Encode()
	if d != nil {
		enc, err := snapshot.EncodeDelta(d)
		if err != nil {
			return err
		}
		key, data, v.delta = deltaKey(s.Version()), enc, enc
	}
	if _, err := v.st.Put(ctx, key, data, 0); err != nil {
		return err
	}
	v.latest = s
	_, err := v.st.Put(ctx, headKey, binary.BigEndian.AppendUint64(nil, s.Version()), 0)
	return err
}

// at returns the store as a node at a place reaches it.
func (v *versions) at(p peer.Place) spread.Source {
	return source{v: v, class: peer.Class(v.place, p)}
}

type source struct {
	v     *versions
	class peer.LinkClass
}

// count adds one call and the round trip of the link.
func (s source) count(ctx context.Context, bytes int) error {
	s.v.calls.Add(1)
	s.v.bytes[s.class].Add(uint64(bytes))
	if !pause(ctx, 2*latency[s.class]) {
		return errdefs.Timeout.Wrap(ctx.Err(), "store call")
	}
	return nil
}

func headOf(kv store.KeyValue) spread.Head {
	return spread.Head{Version: binary.BigEndian.Uint64(kv.Value), Revision: kv.ModRevision, Content: kv.Value}
}

func (s source) get(ctx context.Context, key string) (store.KeyValue, error) {
	kv, err := s.v.st.Get(ctx, key)
	if err != nil {
		s.v.calls.Add(1)
		return kv, err
	}
	return kv, s.count(ctx, len(key)+len(kv.Value))
}

// Head implements spread.Source.
func (s source) Head(ctx context.Context) (spread.Head, error) {
	kv, err := s.get(ctx, headKey)
	if err != nil {
		return spread.Head{}, err
	}
	return headOf(kv), nil
}

// Load implements spread.Source.
func (s source) Load(ctx context.Context, h spread.Head, base *snapshot.Snapshot) (*snapshot.Snapshot, error) {
	if base == nil {
		kv, err := s.get(ctx, snapshotKey)
		if err != nil {
			return nil, err
		}
		if base, err = snapshot.Decode(kv.Value); err != nil {
			return nil, err
		}
	}
	for base.Version() < h.Version {
		kv, err := s.get(ctx, deltaKey(base.Version()+1))
		if err != nil {
			return nil, err
		}
		d, err := snapshot.DecodeDelta(kv.Value)
		if err != nil {
			return nil, err
		}
		if base, err = base.Apply(d); err != nil {
			return nil, err
		}
	}
	return base, nil
}

// Watch implements spread.Source.
func (s source) Watch(ctx context.Context, from int64) <-chan spread.HeadEvent {
	out := make(chan spread.HeadEvent)
	s.v.calls.Add(1)
	go func() {
		defer close(out)
		for batch := range s.v.st.Watch(ctx, headKey, from) {
			time.Sleep(latency[s.class])
			for _, e := range batch.Events {
				s.v.calls.Add(1)
				s.v.bytes[s.class].Add(uint64(len(e.Key) + len(e.Value)))
				if !send(ctx, out, spread.HeadEvent{Head: headOf(e.KeyValue)}) {
					return
				}
			}
			if batch.Err != nil {
				send(ctx, out, spread.HeadEvent{Err: batch.Err})
				return
			}
		}
	}()
	return out
}

func send(ctx context.Context, out chan<- spread.HeadEvent, e spread.HeadEvent) bool {
	select {
	case out <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
