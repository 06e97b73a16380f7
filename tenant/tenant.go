// Package tenant finds the organisation on whose behalf a call is made, by the API
// key that the call carries. It holds digests of keys only.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"siskingw/object"
	"siskingw/snapshot"
)

// Tenant is an organisation under one configuration version. It is immutable.
type Tenant struct {
	Name     string
	Priority *int    // of all its calls; nil leaves that of the route
	RatePerS float64 // calls per second, across all instances; 0 for no limit
	Burst    float64 // calls beyond the rate that may be made at once
	// Weight is the tenant's share of a target relative to other tenants: its rate,
	// or the highest rate of all tenants if it has no limit.
	Weight float64
}

// Limited reports whether the tenant has a quota.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// Set holds the tenants of one configuration version. It is immutable.
type Set struct {
	version  uint64
	limited  bool
	byName   map[string]*Tenant
	byDigest map[[sha256.Size]byte]*Tenant
}

// NewSet returns the tenants of a snapshot.
func NewSet(s *snapshot.Snapshot) *Set {
	out := &Set{version: s.Version(), byName: make(map[string]*Tenant), byDigest: make(map[[sha256.Size]byte]*Tenant)}
	highest := 0.0
	for o := range s.All() {
		if o.Tenant != nil {
			out.add(o.Name, o.Tenant)
			highest = max(highest, o.Tenant.RatePerS)
		}
	}
	for _, t := range out.byName {
		if t.Weight = t.RatePerS; t.Weight == 0 {
			t.Weight = max(highest, 1)
		}
	}
	return out
}

func (s *Set) add(name string, spec *object.TenantSpec) {
	t := &Tenant{Name: name, Priority: spec.Priority, RatePerS: spec.RatePerS, Burst: spec.Burst}
	s.byName[name] = t
	s.limited = s.limited || t.Limited()
	for _, d := range spec.KeyDigests {
		var digest [sha256.Size]byte
		if n, err := hex.Decode(digest[:], []byte(d)); err == nil && n == len(digest) {
			s.byDigest[digest] = t
		}
	}
}

// Empty reports whether the version has no tenants.
func (s *Set) Empty() bool { return len(s.byName) == 0 }

// Limited reports whether a tenant has a quota.
func (s *Set) Limited() bool { return s.limited }

// Len returns the number of tenants.
func (s *Set) Len() int { return len(s.byName) }

// Get returns the tenant with the name, or nil.
func (s *Set) Get(name string) *Tenant { return s.byName[name] }

// All calls f for each tenant, in no order.
func (s *Set) All(f func(*Tenant)) {
	for _, t := range s.byName {
		f(t)
	}
}

// OfKey returns the tenant that holds the key, or nil.
func (s *Set) OfKey(key string) *Tenant {
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

// Of returns the tenants of a snapshot. The set of the latest version is kept: only
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
