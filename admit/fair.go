package admit

import (
	"math"
	"time"
)

const (
	// useHalfLife is the half-life of the service time that an organisation has used. In
	// a shorter time a small organisation makes too few calls at one target to tell its
	// share from chance.
	useHalfLife = 5 * time.Second
	// An organisation's calls go behind those of others of the same priority while it has
	// used maxUseOfShare times its fair share and excessUse more: a few calls of a
	// small organisation prove nothing.
	maxUseOfShare = 1.25
	excessUse     = 500 * time.Millisecond
	// minOrganisationUse is the decayed use below which an organisation is dropped.
	minOrganisationUse = time.Millisecond
	// maxOrganisations limits the number of organisations with a use of their own; a gate that
	// sees more treats the others as one.
	maxOrganisations = 1024
)

// organisationUse is the service time that an organisation has used lately.
type organisationUse struct {
	used   float64 // ns, decayed until at
	weight float64
	at     time.Time
}

// usedAt returns the decayed use at now in ns.
func (t *organisationUse) usedAt(now time.Time) float64 {
	return t.used * math.Exp2(-max(now.Sub(t.at), 0).Seconds()/useHalfLife.Seconds())
}

// organisationShares divides the service time of a target among the organisations by weight.
// Within its fair share an organisation's calls go before those of organisations that use more,
// so that one that sends many times its usual displaces only itself. The zero
// value has seen no organisation.
type organisationShares struct {
	organisations map[string]*organisationUse
}

// add charges an organisation with the service time of one call; an organisation without a name
// is not charged.
func (s *organisationShares) add(organisation string, weight float64, serviceTime time.Duration, now time.Time) {
	if organisation == "" {
		return
	}
	t := s.organisations[organisation]
	if t == nil {
		if s.organisations == nil {
			s.organisations = make(map[string]*organisationUse)
		}
		if len(s.organisations) >= maxOrganisations {
			return
		}
		t = new(organisationUse)
		s.organisations[organisation] = t
	}
	if weight <= 0 {
		weight = 1
	}
	t.used, t.weight, t.at = t.usedAt(now)+float64(serviceTime), weight, now
}

// exceeded reports whether the organisation has used clearly more than its fair share of
// what all organisations have used lately.
func (s *organisationShares) exceeded(organisation string, now time.Time) bool {
	own := s.organisations[organisation]
	if organisation == "" || own == nil || len(s.organisations) < 2 {
		return false
	}
	var used, weights float64
	for name, t := range s.organisations {
		u := t.usedAt(now)
		if u < float64(minOrganisationUse) {
			delete(s.organisations, name)
			continue
		}
		used += u
		weights += t.weight
	}
	return own.usedAt(now) > maxUseOfShare*own.weight/weights*used+float64(excessUse)
}
