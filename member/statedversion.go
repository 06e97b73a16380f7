package member

import (
	"cmp"
	"time"
)

// StatedVersion is the version that a target has stated. It holds for the targets of the
// instance until one of them states another, also while a later process of the node knows
// its target by a health check alone, which states none.
type StatedVersion struct {
	Target      string // id of the target; empty if the node did not state it
	Service     string
	Version     string // empty for a target that is known to state none
	Incarnation uint64 // of the process of the node that heard it
	StatedMs    int64  // when that process first heard it, ms since 1970 by its clock; 0 if not known
}

// Version returns the version of the node's target: what the target has stated, or else
// what a target of the same service at this instance has stated before. It is empty if
// neither is known.
func (r *Record) Version() string {
	if r.TargetVersion != "" {
		return r.TargetVersion
	}
	if s := r.StatedVersion; s != nil && r.Service != "" && s.Service == r.Service {
		return s.Version
	}
	return ""
}

// statedVersion returns the last version that the record states. The record of an earlier
// build states one without a time.
func (r *Record) statedVersion() *StatedVersion {
	if r.StatedVersion == nil && r.TargetVersion != "" {
		return &StatedVersion{Service: r.Service, Version: r.TargetVersion, Incarnation: r.Incarnation}
	}
	return r.StatedVersion
}

// laterVersion returns the version that was stated last; either may be nil.
func laterVersion(a, b *StatedVersion) *StatedVersion {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	if cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.StatedMs, b.StatedMs)) < 0 {
		return b
	}
	return a
}

// StateVersion sets what the node's target states, which may be no version, as heard at
// now. It has no effect if the record holds that already.
func (r *Record) StateVersion(target, service, version string, now time.Time) {
	last := r.StatedVersion
	if last != nil && last.Target == target && last.Service == service && last.Version == version {
		return
	}
	ms := now.UnixMilli()
	if last != nil && last.Incarnation == r.Incarnation { // the clock may have been set back
		ms = max(ms, last.StatedMs+1)
	}
	r.StatedVersion = &StatedVersion{Target: target, Service: service, Version: version, Incarnation: r.Incarnation, StatedMs: ms}
}

// keepStatements returns r with what another record of its node states beyond its process:
// the departure and the version of a target. It reports whether it added something. A
// version that r states itself holds whatever the other record says.
func keepStatements(r, other *Record) (next Record, added bool) {
	next = *r
	next.TargetDeparture = laterDeparture(r.TargetDeparture, other.TargetDeparture)
	stated := r.statedVersion()
	next.StatedVersion = stated
	if r.TargetVersion == "" {
		next.StatedVersion = laterVersion(stated, other.statedVersion())
	}
	return next, next.TargetDeparture != r.TargetDeparture || next.StatedVersion != stated
}
