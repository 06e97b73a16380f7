package object

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Limits of the fields of objects. They bound the resources that one object takes
// on every node; larger values could not be applied.
const (
	// MaxHeaderBytes is the maximum size of a request header in bytes. A longer path
	// than that matches no request.
	MaxHeaderBytes       = 1 << 20
	MaxBodyBytes   int64 = 1 << 40
	MaxTimeout           = time.Hour
	MaxPriority          = math.MaxInt32
	MaxAttempts          = math.MaxInt32 // endpoints per call
	MaxConnections       = 1_000_000     // to one target
	MaxWeight            = 1_000_000     // of one service of a route
	MaxReasonBytes       = 1024          // of RouteSpec.Unavailable

	maxRetries             = 3
	maxMethods             = 16
	maxQueueLength         = 10_000
	maxMinReady            = 100_000
	maxPercent             = 100
	maxConsecutiveFailures = 1_000
)

// neverIdempotent are methods that HTTP does not define as idempotent. A retry
// could run a bid or a closure notice twice.
var neverIdempotent = []string{http.MethodPost, http.MethodPatch, http.MethodConnect}

// idempotentMethods are the methods that a policy may declare idempotent.
var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace,
}

// Validate checks a complete set of objects: every field, duplicate names,
// references, fallback cycles and routes with the same host and prefix. It
// returns one Invalid error with every fault, sorted by object and field.
func Validate(set []*Object) error {
	v := validator{byKey: make(map[Key]*Object, len(set))}
	for _, o := range set {
		if _, ok := v.byKey[o.Key()]; ok {
			v.report(o, "name", "declared more than once")
			continue
		}
		v.byKey[o.Key()] = o
	}
	for _, o := range set {
		v.checkObject(o)
	}
	v.checkDuplicateRoutes(set)
	v.checkFallbackCycles(set)
	v.checkKeys(set)
	slices.SortStableFunc(v.faults, func(a, b Fault) int {
		return strings.Compare(a.Object+"\x00"+a.Field, b.Object+"\x00"+b.Field)
	})
	return NewInvalid(v.faults)
}

// validator checks one set and collects its faults.
type validator struct {
	byKey  map[Key]*Object
	faults []Fault
}

func (v *validator) report(o *Object, field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Object: o.Key().String(), Field: field, Reason: fmt.Sprintf(format, args...)})
}

// checkObject checks the fields and references of one object.
func (v *validator) checkObject(o *Object) {
	v.checkName(o, "name", o.Name)
	specs := 0
	for _, isSet := range []bool{
		o.Service != nil, o.Route != nil, o.EndpointSet != nil, o.Policy != nil, o.Listener != nil, o.Organisation != nil} {
		if isSet {
			specs++
		}
	}
	if o.Spec() == nil || specs != 1 {
		v.report(o, "spec", "want exactly the spec of kind %q", o.Kind)
		return
	}
	switch o.Kind {
	case KindService:
		v.checkService(o, o.Service)
	case KindRoute:
		v.checkRoute(o, o.Route)
	case KindEndpointSet:
		v.checkName(o, "spec.announce", o.EndpointSet.Announce)
		v.checkRange(o, "spec.minReady", int64(o.EndpointSet.MinReady), maxMinReady)
	case KindPolicy:
		v.checkPolicy(o, o.Policy)
	case KindListener:
		v.checkListener(o, o.Listener)
	case KindOrganisation:
		v.checkOrganisation(o, o.Organisation)
	}
}

func (v *validator) checkService(o *Object, s *ServiceSpec) {
	v.checkReference(o, "spec.endpointSet", KindEndpointSet, s.EndpointSet, true)
	v.checkReference(o, "spec.policy", KindPolicy, s.Policy, false)
	if s.Protocol != "" && s.Protocol != "http" {
		v.report(o, "spec.protocol", "%q is not supported; want http", s.Protocol)
	}
	if s.HealthPath != "" && !IsHealthPath(s.HealthPath) {
		v.report(o, "spec.healthPath", "%q is not a path", s.HealthPath)
	}
	v.checkRange(o, "spec.maxConnections", int64(s.MaxConnections), MaxConnections)
}

func (v *validator) checkRoute(o *Object, r *RouteSpec) {
	v.checkUnavailable(o, r)
	v.checkReference(o, "spec.service", KindService, r.Service, len(r.Split) == 0 && r.Unavailable == "")
	v.checkSplit(o, r)
	v.checkReference(o, "spec.policy", KindPolicy, r.Policy, false)
	v.checkReference(o, "spec.fallback", KindRoute, r.Fallback, false)
	if r.Host != "" && !isHost(r.Host) {
		v.report(o, "spec.host", "%q is not a host in lower case without port", r.Host)
	}
	if _, ok := NormalizePath(r.PathPrefix); !ok {
		v.report(o, "spec.pathPrefix", "%q holds an invalid escape", r.PathPrefix)
	}
	if !isPathPrefix(r.PathPrefix) {
		v.report(o, "spec.pathPrefix",
			"%q must begin with / and hold at most %d printable ASCII characters other than space, ? and #",
			r.PathPrefix, MaxHeaderBytes)
	}
	if !slices.Contains([]WorkKind{"", WorkBid, WorkUpload, WorkPage, WorkDownload}, r.Kind) {
		v.report(o, "spec.kind", "%q is not a kind of work; want bid, upload, page or download", r.Kind)
	}
}

// checkUnavailable checks a route whose calls are refused.
func (v *validator) checkUnavailable(o *Object, r *RouteSpec) {
	if len(r.Unavailable) > MaxReasonBytes {
		v.report(o, "spec.unavailable", "has %d bytes, at most %d are allowed", len(r.Unavailable), MaxReasonBytes)
	}
	if r.Unavailable != "" && (r.Service != "" || len(r.Split) > 0 || r.Fallback != "") {
		v.report(o, "spec.unavailable", "given besides spec.service, spec.split or spec.fallback")
	}
}

// checkSplit checks the weighted services of a route.
func (v *validator) checkSplit(o *Object, r *RouteSpec) {
	if r.Service != "" && len(r.Split) > 0 {
		v.report(o, "spec.split", "given besides spec.service; want one of them")
	}
	sum := 0
	for i, w := range r.Split {
		field := fmt.Sprintf("spec.split[%d]", i)
		v.checkReference(o, field+".service", KindService, w.Service, true)
		v.checkRange(o, field+".weight", int64(w.Weight), MaxWeight)
		sum += w.Weight
	}
	if len(r.Split) > 0 && sum == 0 {
		v.report(o, "spec.split", "all weights are 0")
	}
}

func (v *validator) checkListener(o *Object, l *ListenerSpec) {
	v.checkRange(o, "spec.maxHeaderBytes", int64(l.MaxHeaderBytes), MaxHeaderBytes)
	v.checkRange(o, "spec.maxBodyBytes", l.MaxBodyBytes, MaxBodyBytes)
	v.checkRange(o, "spec.headerTimeoutMs", int64(l.HeaderTimeoutMs), MaxTimeout.Milliseconds())
	v.checkRange(o, "spec.idleTimeoutMs", int64(l.IdleTimeoutMs), MaxTimeout.Milliseconds())
}

func (v *validator) checkPolicy(o *Object, p *PolicySpec) {
	if !slices.Contains([]Repeat{RepeatByMethod, RepeatAlways, RepeatNever}, p.Repeat) {
		v.report(o, "spec.repeat", "%q is not known; want always or never", p.Repeat)
	}
	if p.Priority != nil {
		v.checkRange(o, "spec.priority", int64(*p.Priority), MaxPriority)
	}
	v.checkRange(o, "spec.targetLatencyMs", int64(p.TargetLatencyMs), MaxTimeout.Milliseconds())
	v.checkRange(o, "spec.maxAttempts", int64(p.MaxAttempts), MaxAttempts)
	v.checkRange(o, "spec.timeoutMs", int64(p.TimeoutMs), MaxTimeout.Milliseconds())
	v.checkRange(o, "spec.retries", int64(p.Retries), maxRetries)
	v.checkRange(o, "spec.retryBudgetPercent", int64(p.RetryBudgetPercent), maxPercent)
	v.checkRange(o, "spec.queueLength", int64(p.QueueLength), maxQueueLength)
	v.checkRange(o, "spec.queueTimeoutMs", int64(p.QueueTimeoutMs), MaxTimeout.Milliseconds())
	v.checkRange(o, "spec.maxBodyBytes", p.MaxBodyBytes, MaxBodyBytes)
	if p.TimeoutMs > 0 && p.QueueTimeoutMs > p.TimeoutMs {
		v.report(o, "spec.queueTimeoutMs", "%d is more than timeoutMs %d", p.QueueTimeoutMs, p.TimeoutMs)
	}
	v.checkIdempotentMethods(o, p.IdempotentMethods)
	if e := p.Ejection; e != nil {
		v.checkRange(o, "spec.ejection.consecutiveFailures", int64(e.ConsecutiveFailures), maxConsecutiveFailures)
		v.checkRange(o, "spec.ejection.baseMs", int64(e.BaseMs), MaxTimeout.Milliseconds())
		v.checkRange(o, "spec.ejection.maxPercent", int64(e.MaxPercent), maxPercent)
	}
}

func (v *validator) checkIdempotentMethods(o *Object, list []string) {
	const field = "spec.idempotentMethods"
	if len(list) > maxMethods {
		v.report(o, field, "%d methods; at most %d", len(list), maxMethods)
		return
	}
	for i, m := range list {
		switch {
		case slices.Contains(neverIdempotent, m):
			v.report(o, field, "%s is not idempotent", m)
		case !slices.Contains(idempotentMethods, m):
			v.report(o, field, "%q is not a known method", m)
		case slices.Contains(list[:i], m):
			v.report(o, field, "%s is listed twice", m)
		}
	}
}

// isPathPrefix reports whether s is a path, without a query, that a request may have.
func isPathPrefix(s string) bool { return isPath(s) && !strings.Contains(s, "?") }

// IsHealthPath reports whether s may be the path of a health check, which may have a
// query.
func IsHealthPath(s string) bool { return isPath(s) }

// isPath reports whether s begins with / and consists of printable ASCII characters
// other than space and #.
func isPath(s string) bool {
	for _, c := range []byte(s) {
		if c <= ' ' || c > '~' || c == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/") && len(s) <= MaxHeaderBytes
}

func (v *validator) checkName(o *Object, field, s string) {
	if !isName(s) {
		v.report(o, field, "%.40q is not a name: want 1 to %d bytes of UTF-8", s, MaxNameBytes)
	}
}

// checkRange reports a value that is not within 0..limit.
func (v *validator) checkRange(o *Object, field string, value, limit int64) {
	if value < 0 || value > limit {
		v.report(o, field, "%d is not within 0..%d", value, limit)
	}
}

// checkReference reports a required reference that is missing, or a reference to
// an object that is not in the set.
func (v *validator) checkReference(o *Object, field string, kind Kind, name string, required bool) {
	if name == "" {
		if required {
			v.report(o, field, "missing; want the name of a %s", kind)
		}
		return
	}
	if _, ok := v.byKey[Key{Kind: kind, Name: name}]; !ok {
		v.report(o, field, "%s/%s does not exist", kind, name)
	}
}

// checkDuplicateRoutes reports routes that have the same host and path prefix as
// an earlier one.
func (v *validator) checkDuplicateRoutes(set []*Object) {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for _, o := range set {
		if o.Route == nil {
			continue
		}
		m := match{o.Route.Host, o.Route.PathPrefix}
		if normalized, ok := NormalizePath(m.prefix); ok {
			m.prefix = normalized
		}
		other, ok := first[m]
		switch {
		case !ok:
			first[m] = o.Name
		case other != o.Name:
			v.report(o, "spec.pathPrefix", "Route/%s has the same host %q and prefix %q", other, m.host, m.prefix)
		}
	}
}

// checkFallbackCycles reports every route whose chain of fallbacks leads back to
// it.
func (v *validator) checkFallbackCycles(set []*Object) {
	visitedBy := make(map[string]int) // number of the walk that first visited the route; 0 if not visited
	for walk, o := range set {
		if o.Route == nil || v.byKey[o.Key()] != o {
			continue
		}
		for r := o; r != nil && r.Route != nil; r = v.fallbackOf(r) {
			seen := visitedBy[r.Name]
			if seen == walk+1 {
				v.reportCycle(r)
			}
			if seen != 0 {
				break
			}
			visitedBy[r.Name] = walk + 1
		}
	}
}

// fallbackOf returns the fallback of a route, or nil if it has none.
func (v *validator) fallbackOf(route *Object) *Object {
	if route.Route.Fallback == "" {
		return nil
	}
	return v.byKey[Key{Kind: KindRoute, Name: route.Route.Fallback}]
}

// reportCycle reports the cycle that contains r once for each of its routes.
func (v *validator) reportCycle(r *Object) {
	var names []string
	for o := r; len(names) == 0 || o != r; o = v.fallbackOf(o) {
		names = append(names, o.Name)
	}
	chain := strings.Join(append(names, names[0]), " -> ")
	for _, name := range names {
		v.report(v.byKey[Key{Kind: KindRoute, Name: name}], "spec.fallback", "fallbacks form a cycle: %s", chain)
	}
}
