package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"siskingw/snapshot"
	"siskingw/tenant"
)

const (
	// HeaderTenantKey is the API key of a caller that uses the Siskingw- headers.
	// It is never sent to another node or to a target.
	HeaderTenantKey = "Siskingw-Tenant-Key"
	// HeaderTenant states the tenant of a call: to the target's node its name and
	// its weight, separated by a semicolon; to a target that uses the Siskingw-
	// headers the name alone. Nodes that do not know it ignore it.
	HeaderTenant = "Siskingw-Tenant"
)

// identify determines the tenant of the call by its key, which it removes from the
// request at once, together with whatever the caller states about its tenant. It
// returns a refusal with status 401 if the route needs a key and the call has none
// of a tenant. In a configuration without tenants it does nothing.
func (o *Outbound) identify(c *call, snap *snapshot.Snapshot, res *snapshot.ResolvedRoute) *refusal {
	set := o.tenants.Of(snap)
	if set.Empty() {
		return nil
	}
	key := o.opts.HeaderFormat.TakeKey(c.r.Header)
	if c.tenant = set.OfKey(key); c.tenant != nil || res == nil || !res.Route.RequireKey {
		return nil
	}
	c.work.class = res.Name // for the log of decisions
	f := &refusal{status: http.StatusUnauthorized, outcome: OutcomeNotRun, cause: causeUnknownKey,
		reason: "the key belongs to no tenant"}
	if key == "" {
		f.cause, f.reason = causeMissingKey, "the route needs a key"
	}
	return f
}

// setTenant adds the tenant of the call to its attributes; t may be nil. The
// priority of a tenant takes precedence over that of the route.
func (w *work) setTenant(t *tenant.Tenant) {
	if t == nil {
		return
	}
	w.tenant, w.weight = t.Name, t.Weight
	if t.Priority != nil {
		w.priority = *t.Priority
	}
}

// formatTenant returns the HeaderTenant value for the target's node.
func (w *work) formatTenant() string {
	return w.tenant + ";" + strconv.FormatFloat(w.weight, 'g', -1, 64)
}

// parseTenant reads a HeaderTenant value of the caller's node. Without a valid
// weight the tenant has the default one.
func (w *work) parseTenant(v string) {
	name, weight, _ := strings.Cut(v, ";")
	w.tenant = name
	if f, err := strconv.ParseFloat(weight, 64); err == nil && f > 0 && !math.IsInf(f, 0) {
		w.weight = f
	}
}

// TakeKey implements HeaderFormat.
func (nativeFormat) TakeKey(h http.Header) string {
	v := h[HeaderTenantKey]
	delete(h, HeaderTenantKey)
	delete(h, HeaderTenant)
	if len(v) != 1 {
		return ""
	}
	return v[0]
}
