// Package memstore is an in-memory store.Store with fault injection. Tests use
// it directly; package stub serves it over gRPC.
package memstore

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"siskingw/errdefs"
	"siskingw/store"
)

// defaultHistory is the default of Options.History.
const defaultHistory = 10_000

// Options configures a Store.
type Options struct {
	Clock   clockwork.Clock // default: the real clock
	History int             // number of past events from which a watch can resume, default 10,000
	Era     int64           // first era; 0 states none
}

// Store holds keys, leases and the last events in memory.
type Store struct {
	clock    clockwork.Clock
	history  int
	injector injector

	mu              sync.Mutex
	era             int64 // 0 if the store states none
	revision        int64
	compactRevision int64 // events up to this revision are no longer kept
	keys            map[string]store.KeyValue
	events          []store.Event
	leases          map[store.LeaseID]*lease
	nextLease       store.LeaseID
	eventAdded      chan struct{} // closed and replaced on every event
	watchesBroken   chan struct{} // closed and replaced to end every watch
}

type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New(opts Options) *Store {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.History == 0 {
		opts.History = defaultHistory
	}
	s := &Store{
		clock:         opts.Clock,
		history:       opts.History,
		era:           opts.Era,
		keys:          make(map[string]store.KeyValue),
		leases:        make(map[store.LeaseID]*lease),
		eventAdded:    make(chan struct{}),
		watchesBroken: make(chan struct{}),
	}
	s.injector.clock = opts.Clock
	return s
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, error) {
	if err := s.injector.beforeRead(ctx); err != nil {
		return store.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	if !ok {
		return store.KeyValue{}, errdefs.NotFound.New("key %q does not exist", key)
	}
	return kv, nil
}

// Range implements store.Store.
func (s *Store) Range(ctx context.Context, prefix string, keysOnly bool) ([]store.KeyValue, store.Position, error) {
	if err := s.injector.beforeRead(ctx); err != nil {
		return nil, store.Position{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.KeyValue
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		kv := s.keys[k]
		if keysOnly {
			kv.Value = nil
		}
		out = append(out, kv)
	}
	return out, s.positionLocked(), nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, id store.LeaseID) (store.Position, error) {
	return s.write(ctx, func() error { return s.putLocked(key, value, id) })
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, last store.Position,
	value []byte, id store.LeaseID) (store.Position, error) {
	return s.write(ctx, func() error {
		if err := s.checkUnchangedLocked(key, last); err != nil {
			return err
		}
		return s.putLocked(key, value, id)
	})
}

// CompareAndDelete implements store.Store.
func (s *Store) CompareAndDelete(ctx context.Context, key string, last store.Position) error {
	_, err := s.write(ctx, func() error {
		if err := s.checkUnchangedLocked(key, last); err != nil {
			return err
		}
		s.deleteLocked(key)
		return nil
	})
	return err
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var id store.LeaseID
	_, err := s.write(ctx, func() error {
		s.nextLease++
		id = s.nextLease
		s.leases[id] = &lease{ttl: ttl, timer: s.clock.AfterFunc(ttl, func() { s.ExpireLease(id) })}
		return nil
	})
	return id, err
}

// KeepAlive implements store.Store.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	_, err := s.write(ctx, func() error {
		l, ok := s.leases[id]
		if !ok {
			return errdefs.NotFound.New("lease %d has lapsed", id)
		}
		l.timer.Reset(l.ttl)
		return nil
	})
	return err
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	_, err := s.write(ctx, func() error {
		s.expireLocked(id)
		return nil
	})
	return err
}

// Close implements store.Store. It ends every watch with
// errdefs.StoreUnavailable.
func (s *Store) Close() error {
	s.BreakWatches()
	return nil
}

// ExpireLease expires a lease and deletes its keys at once.
func (s *Store) ExpireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(id)
}

// Leases returns the leases that have not expired, in ascending order.
func (s *Store) Leases() []store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.leases))
}

// Compact drops all past events. Watches that start from an earlier revision
// fail with errdefs.StoreCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactRevision = s.revision
	s.events = nil
}

// BreakWatches ends every watch with errdefs.StoreUnavailable.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesBroken)
	s.watchesBroken = make(chan struct{})
}

// write runs f with the mutex held, unless an injected fault makes the call fail.
func (s *Store) write(ctx context.Context, f func() error) (store.Position, error) {
	if err := s.injector.beforeWrite(ctx); err != nil {
		return store.Position{}, err
	}
	s.mu.Lock()
	err := f()
	at := s.positionLocked()
	s.mu.Unlock()
	if err != nil {
		return store.Position{}, err
	}
	if err := s.injector.afterWrite(); err != nil {
		return store.Position{}, err
	}
	return at, nil
}

// positionLocked returns the position of the last change.
func (s *Store) positionLocked() store.Position { return store.At(s.era, s.revision) }

// checkUnchangedLocked returns a Conflict error unless the last write to the key is the
// one at the given position.
func (s *Store) checkUnchangedLocked(key string, last store.Position) error {
	if got := s.keys[key].Position; got.Revision() != last.Revision() {
		return errdefs.Conflict.New("the last write to key %q is at %v, want %v", key, got, last)
	}
	return nil
}

func (s *Store) putLocked(key string, value []byte, id store.LeaseID) error {
	if len(value) > store.MaxValueBytes {
		return errdefs.Invalid.New("value of key %q has %d bytes, at most %d are allowed",
			key, len(value), store.MaxValueBytes)
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return errdefs.NotFound.New("lease %d has lapsed", id)
	}
	s.revision++
	kv := store.KeyValue{Key: key, Value: slices.Clone(value),
		Position: s.positionLocked(), CreateRevision: s.revision, Lease: id}
	if old, ok := s.keys[key]; ok {
		kv.CreateRevision = old.CreateRevision
	}
	s.keys[key] = kv
	s.appendEventLocked(store.Event{KeyValue: kv})
	return nil
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.keys[key]; !ok {
		return
	}
	s.revision++
	delete(s.keys, key)
	s.appendEventLocked(store.Event{KeyValue: store.KeyValue{Key: key, Position: s.positionLocked()}, Deleted: true})
}

func (s *Store) expireLocked(id store.LeaseID) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id {
			s.deleteLocked(key)
		}
	}
}

// appendEventLocked appends an event, drops those beyond the history and wakes the
// watches.
func (s *Store) appendEventLocked(e store.Event) {
	s.events = append(s.events, e)
	if excess := len(s.events) - s.history; excess > 0 {
		s.compactRevision = s.events[excess-1].Position.Revision()
		s.events = slices.Delete(s.events, 0, excess)
	}
	close(s.eventAdded)
	s.eventAdded = make(chan struct{})
}
