package admit

import (
	"math"
	"time"
)

const (
	// useHalfLife is the half-life of the service time that a tenant has used. In
	// a shorter time a small tenant makes too few calls at one target to tell its
	// share from chance.
	useHalfLife = 5 * time.Second
	// A tenant's calls go behind those of others of the same priority while it has
	// used maxUseOfShare times its fair share and excessUse more: a few calls of a
	// small tenant prove nothing.
	maxUseOfShare = 1.25
	excessUse     = 500 * time.Millisecond
	// minTenantUse is the decayed use below which a tenant is dropped.
	minTenantUse = time.Millisecond
	// maxTenants limits the number of tenants with a use of their own; a gate that
	// sees more treats the others as one.
	maxTenants = 1024
)

// tenantUse is the service time that a tenant has used lately.
type tenantUse struct {
	used   float64 // ns, decayed until at
	weight float64
	at     time.Time
}

// usedAt returns the decayed use at now in ns.
func (t *tenantUse) usedAt(now time.Time) float64 {
	return t.used * math.Exp2(-max(now.Sub(t.at), 0).Seconds()/useHalfLife.Seconds())
}

// tenantShares divides the service time of a target among the tenants by weight.
// Within its fair share a tenant's calls go before those of tenants that use more,
// so that one that sends many times its usual displaces only itself. The zero
// value has seen no tenant.
type tenantShares struct {
	tenants map[string]*tenantUse
}

// add charges a tenant with the service time of one call; a tenant without a name
// is not charged.
func (s *tenantShares) add(tenant string, weight float64, serviceTime time.Duration, now time.Time) {
	if tenant == "" {
		return
	}
	t := s.tenants[tenant]
	if t == nil {
		if s.tenants == nil {
			s.tenants = make(map[string]*tenantUse)
		}
		if len(s.tenants) >= maxTenants {
			return
		}
		t = new(tenantUse)
		s.tenants[tenant] = t
	}
	if weight <= 0 {
		weight = 1
	}
	t.used, t.weight, t.at = t.usedAt(now)+float64(serviceTime), weight, now
}

// exceeded reports whether the tenant has used clearly more than its fair share of
// what all tenants have used lately.
func (s *tenantShares) exceeded(tenant string, now time.Time) bool {
	own := s.tenants[tenant]
	if tenant == "" || own == nil || len(s.tenants) < 2 {
		return false
	}
	var used, weights float64
	for name, t := range s.tenants {
		u := t.usedAt(now)
		if u < float64(minTenantUse) {
			delete(s.tenants, name)
			continue
		}
		used += u
		weights += t.weight
	}
	return own.usedAt(now) > maxUseOfShare*own.weight/weights*used+float64(excessUse)
}
