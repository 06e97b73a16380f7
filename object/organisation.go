package object

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// OrganisationSpec describes an organisation on whose behalf callers make calls. Only
// digests of its API keys are configured, so that no copy of a configuration
// gives anyone access.
type OrganisationSpec struct {
	KeyDigests []string `json:"keyDigests,omitempty"` // see KeyDigest; without any, all calls of the organisation are refused
	Priority   *int     `json:"priority,omitempty"`   // replaces that of the routes' policies; 0 is the highest
	RatePerS   float64  `json:"ratePerS,omitempty"`   // calls per second, across all instances; 0 for no limit
	Burst      float64  `json:"burst,omitempty"`      // calls beyond the rate that may be made at once; needs RatePerS
}

// KeyDigest returns the digest under which an API key is configured: SHA-256 in
// lower-case hexadecimal.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

const (
	maxKeysPerOrganisation = 1_000
	// MaxOrganisationRate is the maximum of a rate in calls per second and of a burst
	// in calls.
	MaxOrganisationRate = 1e9
)

func (v *validator) checkOrganisation(o *Object, t *OrganisationSpec) {
	if len(t.KeyDigests) > maxKeysPerOrganisation {
		v.report(o, "spec.keyDigests", "%d keys; at most %d", len(t.KeyDigests), maxKeysPerOrganisation)
	}
	for i, d := range t.KeyDigests {
		if b, err := hex.DecodeString(d); err != nil || len(b) != sha256.Size || strings.ToLower(d) != d {
			// The value is not shown: it may be a key that was given in place of its digest.
			v.report(o, fmt.Sprintf("spec.keyDigests[%d]", i), "not a SHA-256 digest in lower-case hexadecimal")
		}
	}
	if t.Priority != nil {
		v.checkRange(o, "spec.priority", int64(*t.Priority), MaxPriority)
	}
	v.checkRate(o, "spec.ratePerS", t.RatePerS)
	v.checkRate(o, "spec.burst", t.Burst)
	if t.Burst > 0 && t.RatePerS == 0 {
		v.report(o, "spec.burst", "given without spec.ratePerS, so that there is no limit")
	}
}

// checkRate reports a value that is not within 0..MaxOrganisationRate, or not a number.
func (v *validator) checkRate(o *Object, field string, value float64) {
	if !(value >= 0 && value <= MaxOrganisationRate) {
		v.report(o, field, "%v is not within 0..%v", value, float64(MaxOrganisationRate))
	}
}

// checkKeys checks keys and routes across the objects: a key belongs to one
// organisation, a route that needs a key can be called by someone, and no route without
// need of a key leads to one that needs it.
func (v *validator) checkKeys(set []*Object) {
	owners, organisations := make(map[string]string), 0
	for _, o := range set {
		if o.Organisation == nil {
			continue
		}
		organisations++
		for i, d := range o.Organisation.KeyDigests {
			field := fmt.Sprintf("spec.keyDigests[%d]", i)
			switch owner, taken := owners[d]; {
			case taken && owner == o.Name:
				v.report(o, field, "the key is listed twice")
			case taken:
				v.report(o, field, "Organisation/%s has the same key", owner)
			}
			owners[d] = o.Name
		}
	}
	for _, o := range set {
		if o.Route != nil {
			v.checkRouteKey(o, o.Route, organisations)
		}
	}
}

func (v *validator) checkRouteKey(o *Object, r *RouteSpec, organisations int) {
	if r.RequireKey && organisations == 0 {
		v.report(o, "spec.requireKey", "no Organisation exists, so that every call would be refused")
	}
	fallback := v.byKey[Key{Kind: KindRoute, Name: r.Fallback}]
	if !r.RequireKey && fallback != nil && fallback.Route != nil && fallback.Route.RequireKey {
		v.report(o, "spec.fallback", "%s needs a key, but this route does not", fallback.Key())
	}
}
