package status

import (
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// State is what is known about a failure domain.
type State string

// The states of a failure domain.
const (
	InForce State = "in force"        // every live member has the newest known version
	Pending State = "pending"         // some member has not
	Unasked State = "cannot be asked" // nothing was heard since Domain.AsOf
)

// Domain is the status of one failure domain.
type Domain struct {
	Name   string
	Region string
	State  State
	// Version is in force on every live member, 0 when not every one confirmed.
	Version   uint64
	Newest    uint64 // highest version known there
	Live      int
	Confirmed int       // live members that have Newest
	Laggards  []Laggard // up to 16
	AsOf      time.Time // by the clock of the node that was asked
}

// Fleet is the status of every failure domain, by region and name.
type Fleet struct {
	Newest  uint64 // highest version known anywhere
	Domains []Domain
}

// InForce reports whether the version, or a later one, is in force on every
// live member of every failure domain.
func (f Fleet) InForce(version uint64) bool {
	for _, d := range f.Domains {
		if d.State == Unasked || d.Version < version {
			return false
		}
	}
	return version > 0 && len(f.Domains) > 0
}

// board holds the newest summary of each failure domain.
type board struct {
	domains map[string]Domain
}

// take notes a summary if it is newer than the known one, and reports whether
// it states other versions. Mere progress waits for the next interval.
func (b *board) take(d Domain) bool {
	old, ok := b.domains[d.Name]
	if ok && !d.AsOf.After(old.AsOf) {
		return false
	}
	b.domains[d.Name] = d
	return !ok || old.Version != d.Version || old.Newest != d.Newest
}

// fleet combines the summaries. A failure domain without a fresh one cannot be asked.
func (b *board) fleet(now time.Time, v member.View, expiry time.Duration) Fleet {
	var f Fleet
	for _, d := range b.domains {
		f.Newest = max(f.Newest, d.Newest)
	}
	for _, info := range v.FailureDomains() {
		d, ok := b.domains[info.Name]
		if !ok {
			if info.Live == 0 {
				continue
			}
			d = Domain{Name: info.Name, Region: info.Region, Live: info.Live, AsOf: time.UnixMilli(info.SinceMs)}
		}
		switch {
		case !ok || now.Sub(d.AsOf) >= expiry:
			if info.Live == 0 {
				continue // every member has departed
			}
			d.State = Unasked
		case d.Version > 0 && d.Version >= f.Newest:
			d.State = InForce
		default:
			d.State = Pending
		}
		f.Domains = append(f.Domains, d)
	}
	return f
}

// encode returns the summaries that keep selects; ages count from now.
func (b *board) encode(now time.Time, keep func(Domain) bool) []*peerpb.DomainSummary {
	var list []*peerpb.DomainSummary
	for _, d := range b.domains {
		if !keep(d) {
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

// decode returns a received summary.
func decode(now time.Time, p *peerpb.DomainSummary) Domain {
	return Domain{
		Name: p.FailureDomain, Region: p.Region, Version: p.Version, Newest: p.Newest,
		Live: int(p.Live), Confirmed: int(p.Confirmed), Laggards: laggardsFromProto(p.Laggards),
		AsOf: now.Add(-time.Duration(p.AgeMs) * time.Millisecond),
	}
}
