package status

import (
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// State is the state of a failure domain regarding the newest known version.
type State string

// The states of a failure domain.
const (
	InForce     State = "in force"        // the newest known version is in force on every live member
	Pending     State = "pending"         // some live member has not confirmed the newest known version
	Unreachable State = "cannot be asked" // no summary was received since Domain.AsOf
)

// Domain is the status of one failure domain.
type Domain struct {
	Name   string
	Region string
	State  State
	// Version, or a later one, is in force on every live member; 0 while the
	// confirmation of some live member is missing.
	Version   uint64
	Newest    uint64    // highest version known in the failure domain
	Live      int       // live members
	Confirmed int       // live members that have Newest
	Laggards  []Laggard // at most 16
	AsOf      time.Time // time of the summary by the clock of this node
}

// Fleet is the status of every failure domain, sorted by region and name.
type Fleet struct {
	Newest  uint64 // highest version known in any failure domain
	Domains []Domain
}

// InForce reports whether the version, or a later one, is in force on every
// live member of every failure domain. It is false for version 0 and when no
// failure domain is known.
func (f Fleet) InForce(version uint64) bool {
	for _, d := range f.Domains {
		if d.State == Unreachable || d.Version < version {
			return false
		}
	}
	return version > 0 && len(f.Domains) > 0
}

// summaryTable holds the latest summary of each failure domain.
type summaryTable struct {
	domains map[string]Domain
}

// update records a summary if it is later than the recorded one, and reports
// whether its versions differ from the recorded ones. Other changes, such as
// the number of confirmed members, are sent with the next periodic exchange.
func (t *summaryTable) update(summary Domain) bool {
	old, ok := t.domains[summary.Name]
	if ok && !summary.AsOf.After(old.AsOf) {
		return false
	}
	t.domains[summary.Name] = summary
	return !ok || old.Version != summary.Version || old.Newest != summary.Newest
}

// fleet combines the summaries. A failure domain is Unreachable when its summary
// is missing or has expired; it is omitted when it also has no live member.
func (t *summaryTable) fleet(now time.Time, v member.View, expiry time.Duration) Fleet {
	var f Fleet
	for _, d := range t.domains {
		f.Newest = max(f.Newest, d.Newest)
	}
	for _, info := range v.FailureDomains() {
		d, ok := t.domains[info.Name]
		if !ok {
			if info.Live == 0 {
				continue
			}
			d = Domain{Name: info.Name, Region: info.Region, Live: info.Live, AsOf: time.UnixMilli(info.SinceMs)}
		}
		switch {
		case !ok || now.Sub(d.AsOf) >= expiry:
			if info.Live == 0 {
				continue // no live member is left
			}
			d.State = Unreachable
		case d.Version > 0 && d.Version >= f.Newest:
			d.State = InForce
		default:
			d.State = Pending
		}
		f.Domains = append(f.Domains, d)
	}
	return f
}

// toProto encodes the summaries for which include returns true. Their ages are
// relative to now, in ms.
func (t *summaryTable) toProto(now time.Time, include func(Domain) bool) []*peerpb.DomainSummary {
	var list []*peerpb.DomainSummary
	for _, d := range t.domains {
		if !include(d) {
			continue
		}
		list = append(list, &peerpb.DomainSummary{
			FailureDomain: d.Name, Region: d.Region, Version: d.Version, Newest: d.Newest,
			Live: uint32(d.Live), Confirmed: uint32(d.Confirmed), Laggards: laggardsToProto(d.Laggards),
			AgeMs: uint32(max(0, now.Sub(d.AsOf).Milliseconds())),
		})
	}
	return list
}

// domainFromProto decodes a summary received at now.
func domainFromProto(now time.Time, p *peerpb.DomainSummary) Domain {
	return Domain{
		Name: p.FailureDomain, Region: p.Region, Version: p.Version, Newest: p.Newest,
		Live: int(p.Live), Confirmed: int(p.Confirmed), Laggards: laggardsFromProto(p.Laggards),
		AsOf: now.Add(-time.Duration(p.AgeMs) * time.Millisecond),
	}
}
