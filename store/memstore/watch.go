package memstore

import (
	"context"
	"slices"
	"strings"

	"siskingw/errdefs"
	"siskingw/store"
)

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from store.Position) <-chan store.WatchBatch {
	out := make(chan store.WatchBatch, 1)
	go func() {
		defer close(out)
		if err := s.injector.beforeRead(ctx); err != nil {
			store.SendBatch(ctx, out, store.WatchBatch{Err: err})
			return
		}
		s.injector.watching.Add(1)
		defer s.injector.watching.Add(-1)
		s.sendBatches(ctx, prefix, from.Revision(), out)
	}()
	return out
}

// sendBatches sends batches until ctx is done or the watch is ended.
func (s *Store) sendBatches(ctx context.Context, prefix string, from int64, out chan<- store.WatchBatch) {
	for {
		batch, eventAdded, broken := s.eventsAfter(prefix, from)
		if batch.Err != nil {
			store.SendBatch(ctx, out, batch)
			return
		}
		if len(batch.Events) > 0 && !store.SendBatch(ctx, out, batch) {
			return
		}
		from = batch.Position.Revision()
		select {
		case <-eventAdded:
		case <-broken:
			store.SendBatch(ctx, out, store.WatchBatch{Err: errdefs.StoreUnavailable.New("watch of %q is broken", prefix)})
			return
		case <-ctx.Done():
			return
		}
	}
}

// EventsAfter returns what a watch from a position would send now; the batch has no events
// if there are none.
func (s *Store) EventsAfter(prefix string, from store.Position) store.WatchBatch {
	batch, _, _ := s.eventsAfter(prefix, from.Revision())
	return batch
}

// eventsAfter returns the events after a revision and two channels: one is closed
// on the next event, the other when every watch is ended.
func (s *Store) eventsAfter(prefix string, from int64) (store.WatchBatch, <-chan struct{}, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := store.WatchBatch{Position: s.positionLocked()}
	if from < s.compactRevision || from > s.revision {
		batch.Err = errdefs.StoreCompacted.New("revision %d is not kept, the oldest is %d and the latest %d",
			from, s.compactRevision, s.revision)
		return batch, s.eventAdded, s.watchesBroken
	}
	first, _ := slices.BinarySearchFunc(s.events, from, func(e store.Event, rev int64) int {
		if e.Position.Revision() <= rev {
			return -1
		}
		return 1
	})
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, s.eventAdded, s.watchesBroken
}
