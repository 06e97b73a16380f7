package memstore

import (
	"maps"
	"slices"
	"time"

	"siskingw/store"
)

// Copy is the state of a store at one time.
type Copy struct {
	revision        int64
	compactRevision int64
	keys            map[string]store.KeyValue
	events          []store.Event
	leases          map[store.LeaseID]time.Duration // TTL
	nextLease       store.LeaseID
}

// Copy returns the state of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, compactRevision: s.compactRevision, keys: maps.Clone(s.keys), events: slices.Clone(s.events),
		leases: make(map[store.LeaseID]time.Duration, len(s.leases)), nextLease: s.nextLease}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore puts the store back to a copy and begins a new era. What was written since is
// lost, leases too; revisions and lease IDs are given out again. Every watch ends.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.compactRevision, s.nextLease = c.revision, c.compactRevision, c.nextLease
	s.keys, s.events = maps.Clone(c.keys), slices.Clone(c.events)
	s.leases = make(map[store.LeaseID]*lease, len(c.leases))
	for id, ttl := range c.leases {
		s.leases[id] = &lease{ttl: ttl, timer: s.clock.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	}
	close(s.watchesBroken)
	s.watchesBroken = make(chan struct{})
}

// Era returns the era of the store, 0 if it states none.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
