// Package status confirms which configuration version is in force: reports of
// subtrees go up each failure domain's tree, and the summaries of the failure
// domains are exchanged between their ranks 0. A summary is never ahead of the
// truth: it names a version only when every live member has confirmed it.
package status

import (
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// maxLaggards bounds the names in one report or summary.
const maxLaggards = 16

// Laggard is a member that does not have the newest version in force.
type Laggard struct {
	ID      string
	Version uint64 // 0 when the member has confirmed none, or its report is missing
}

// total is what is known about a set of nodes.
type total struct {
	count    int    // nodes that confirmed any version
	xor      uint64 // of their incarnation hashes
	min, max uint64 // of their versions
	atMax    int    // nodes that have max
	laggards []Laggard
}

// add includes another set. The sets may overlap while ranks change: the XOR
// then differs from that of the membership, because each hash must occur an
// odd number of times.
func (t *total) add(o total) {
	if o.count > 0 {
		if t.count == 0 || o.min < t.min {
			t.min = o.min
		}
		switch {
		case o.max > t.max:
			t.max, t.atMax = o.max, o.atMax
		case o.max == t.max:
			t.atMax += o.atMax
		}
		t.count += o.count
		t.xor ^= o.xor
	}
	t.laggards = append(t.laggards, o.laggards...)
}

// report is the last report of a child.
type report struct {
	incarnation uint64
	number      uint64
	at          time.Time
	total       total
}

// aggregate combines this node's confirmation with its children's reports. It
// has no clock or transport and is not safe for concurrent use.
type aggregate struct {
	view    member.View
	expiry  time.Duration
	version uint64 // in force on this node
	newest  uint64 // highest version heard of
	number  uint64 // of the last own report
	reports map[string]report
}

func newAggregate(v member.View, expiry time.Duration) *aggregate {
	return &aggregate{view: v, expiry: expiry, reports: make(map[string]report)}
}

// confirm notes the version in force on this node.
func (a *aggregate) confirm(version uint64) {
	a.version = max(a.version, version)
	a.newest = max(a.newest, version)
}

// take notes a child's report and returns whether it says anything new. Late
// reports and those of an earlier incarnation are ignored.
func (a *aggregate) take(now time.Time, p *peerpb.StatusReport) bool {
	old, known := a.reports[p.FromId]
	if known && (p.FromIncarnation < old.incarnation ||
		p.FromIncarnation == old.incarnation && p.Number <= old.number) {
		return false
	}
	next := report{incarnation: p.FromIncarnation, number: p.Number, at: now, total: total{
		count: int(p.Count), xor: p.Xor, min: p.MinVersion, max: p.MaxVersion, atMax: int(p.AtMax),
		laggards: laggardsFromProto(p.Laggards),
	}}
	a.reports[p.FromId] = next
	a.newest = max(a.newest, p.MaxVersion)
	return !known || old.incarnation != next.incarnation || now.Sub(old.at) >= a.expiry || !old.total.equal(next.total)
}

func (t total) equal(o total) bool {
	if t.count != o.count || t.xor != o.xor || t.min != o.min || t.max != o.max || t.atMax != o.atMax || len(t.laggards) != len(o.laggards) {
		return false
	}
	for i, l := range t.laggards {
		if l != o.laggards[i] {
			return false
		}
	}
	return true
}

// total returns what this node knows about its subtree. Only valid reports of
// present children count: a child that has restarted, moved to another parent
// or fallen silent is named instead.
//
//siskingw:step aggregate
func (a *aggregate) total(now time.Time) total {
	self := a.view.Self()
	var t total
	if a.version > 0 {
		t.add(total{count: 1, xor: self.IncarnationHash(), min: a.version, max: a.version, atMax: 1})
	}
	if a.version < a.newest || a.version == 0 {
		t.laggards = append(t.laggards, Laggard{self.ID, a.version})
	}
	for _, c := range member.Children(a.view, self.ID) {
		r, ok := a.reports[c.ID]
		if !ok || r.incarnation != c.Incarnation || now.Sub(r.at) >= a.expiry {
			t.laggards = append(t.laggards, Laggard{ID: c.ID})
			continue
		}
		t.add(r.total)
	}
	t.laggards = a.behind(t.laggards)
	return t
}

// behind returns the first of the laggards that are still behind.
func (a *aggregate) behind(laggards []Laggard) []Laggard {
	var behind []Laggard
	for _, l := range laggards {
		if (l.Version < a.newest || l.Version == 0) && len(behind) < maxLaggards {
			behind = append(behind, l)
		}
	}
	return behind
}

// expire drops reports that no longer count, so that nodes that were children
// once are forgotten.
func (a *aggregate) expire(now time.Time) {
	for id, r := range a.reports {
		if now.Sub(r.at) >= a.expiry {
			delete(a.reports, id)
		}
	}
}

// report returns the report to this node's parent.
func (a *aggregate) report(now time.Time) *peerpb.StatusReport {
	self := a.view.Self()
	t := a.total(now)
	a.number++
	return &peerpb.StatusReport{
		FromId: self.ID, FromIncarnation: self.Incarnation, Number: a.number,
		Count: uint32(t.count), Xor: t.xor, MinVersion: t.min, MaxVersion: t.max, AtMax: uint32(t.atMax),
		Laggards: laggardsToProto(t.laggards),
	}
}

// summary returns this node's failure domain as rank 0 knows it. The version
// is in force only when exactly the live members have confirmed.
func (a *aggregate) summary(now time.Time) Domain {
	self := a.view.Self()
	t := a.total(now)
	ranked := a.view.Ranked(self.FailureDomain)
	var xor uint64
	for _, r := range ranked {
		xor ^= r.IncarnationHash()
	}
	d := Domain{
		Name: self.FailureDomain, Region: self.Region, Newest: a.newest, Live: len(ranked),
		Laggards: t.laggards, AsOf: now,
	}
	if t.max == a.newest {
		d.Confirmed = min(t.atMax, len(ranked))
	}
	if t.count == len(ranked) && t.xor == xor {
		d.Version = t.min
	}
	return d
}

func laggardsToProto(laggards []Laggard) []*peerpb.StatusLaggard {
	var list []*peerpb.StatusLaggard
	for _, l := range laggards {
		list = append(list, &peerpb.StatusLaggard{Id: l.ID, Version: l.Version})
	}
	return list
}

func laggardsFromProto(list []*peerpb.StatusLaggard) []Laggard {
	var laggards []Laggard
	for _, l := range list[:min(maxLaggards, len(list))] {
		laggards = append(laggards, Laggard{l.Id, l.Version})
	}
	return laggards
}
