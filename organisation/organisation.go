// Package organisation finds the organisation on whose behalf a call is made, by the API
// key that the call carries. It holds digests of keys only.
package organisation

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"siskingw/object"
	"siskingw/snapshot"
)

// Organisation is what one configuration version states about an organisation. It is immutable.
type Organisation struct {
	Name     string
	Priority *int    // of all its calls; nil leaves that of the route
	RatePerS float64 // calls per second, across all instances; 0 for no limit
	Burst    float64 // calls beyond the rate that may be made at once
	// Weight is the organisation's share of a target relative to other organisations: its rate,
	// or the highest rate of all organisations if it has no limit.
	Weight float64
}

// Limited reports whether the organisation has a quota.
func (t *Organisation) Limited() bool { return t.RatePerS > 0 }

// Set holds the organisations of one configuration version. It is immutable.
type Set struct {
	version  uint64
	limited  bool
	byName   map[string]*Organisation
	byDigest map[[sha256.Size]byte]*Organisation
}

// NewSet returns the organisations of a snapshot.
func NewSet(s *snapshot.Snapshot) *Set {
	out := &Set{version: s.Version(), byName: make(map[string]*Organisation), byDigest: make(map[[sha256.Size]byte]*Organisation)}
	highest := 0.0
	for o := range s.All() {
		if o.Organisation != nil {
			out.add(o.Name, o.Organisation)
			highest = max(highest, o.Organisation.RatePerS)
		}
	}
	for _, t := range out.byName {
		if t.Weight = t.RatePerS; t.Weight == 0 {
			t.Weight = max(highest, 1)
		}
	}
	return out
}

func (s *Set) add(name string, spec *object.OrganisationSpec) {
	t := &Organisation{Name: name, Priority: spec.Priority, RatePerS: spec.RatePerS, Burst: spec.Burst}
	s.byName[name] = t
	s.limited = s.limited || t.Limited()
	for _, d := range spec.KeyDigests {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(d)); err == nil && n == len(digest) {
			s.byDigest[digest] = t
		}
	}
}

// Empty reports whether the version has no organisations.
func (s *Set) Empty() bool { return len(s.byName) == 0 }

// Limited reports whether an organisation has a quota.
func (s *Set) Limited() bool { return s.limited }

// Len returns the number of organisations.
func (s *Set) Len() int { return len(s.byName) }

// Get returns the organisation with the name, or nil.
func (s *Set) Get(name string) *Organisation { return s.byName[name] }

// All calls f for each organisation, in no order.
func (s *Set) All(f func(*Organisation)) {
	for _, t := range s.byName {
		f(t)
	}
}

// OfKey returns the organisation that holds the key, or nil.
func (s *Set) OfKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return s.byDigest[sha256.Sum256([]byte(key))]
}

// Cache keeps the Set of the latest snapshot that it was asked for. The zero value
// is ready for use.
type Cache struct {
	mu     sync.Mutex // serializes the construction of sets
	latest atomic.Pointer[Set]
}

// Of returns the organisations of a snapshot. The set of the latest version is kept: only
// calls that began before a change ask for an older one.
func (c *Cache) Of(s *snapshot.Snapshot) *Set {
	if set := c.latest.Load(); set != nil && set.version == s.Version() {
		return set
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if set := c.latest.Load(); set != nil && set.version >= s.Version() {
		if set.version == s.Version() {
			return set
		}
		return NewSet(s)
	}
	set := NewSet(s)
	c.latest.Store(set)
	return set
}
