// Package status determines which configuration version is in force in each
// failure domain. Nodes send reports about their subtrees up the tree of their
// failure domain, and the rank-0 nodes of the failure domains exchange
// summaries. A summary never overstates: it names a version only when every
// live member has confirmed that version or a later one.
package status

import (
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// maxLaggards is the maximum number of laggards listed in one report or
// summary.
const maxLaggards = 16

// Laggard is a member on which the newest known version is not in force.
type Laggard struct {
	ID      string
	Version uint64 // last confirmed; 0 when it confirmed none or its report is missing
}

// total holds the confirmed versions of a set of nodes.
type total struct {
	count    int    // nodes that confirmed any version
	xor      uint64 // XOR of the incarnation hashes of the counted nodes
	min, max uint64 // lowest and highest version of the counted nodes
	atMax    int    // number of counted nodes that have max
	laggards []Laggard
}

// add adds another set. The sets may overlap while ranks change. A node that is
// counted twice cancels out of the XOR, so the XOR then differs from that of
// the membership, which holds each hash once.
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

// report is the latest report of a child.
type report struct {
	incarnation uint64
	number      uint64
	at          time.Time
	total       total
}

// aggregate combines the version confirmed by this node with the reports of its
// children in the tree. It uses no clock and no transport. It is not safe for
// concurrent use.
type aggregate struct {
	view    member.View
	expiry  time.Duration
	version uint64 // in force on this node
	newest  uint64 // highest known version
	number  uint64 // of the last report sent to the parent
	reports map[string]report
}

func newAggregate(v member.View, expiry time.Duration) *aggregate {
	return &aggregate{view: v, expiry: expiry, reports: make(map[string]report)}
}

// confirm records the version in force on this node. A lower version than
// before has no effect.
func (a *aggregate) confirm(version uint64) {
	a.version = max(a.version, version)
	a.newest = max(a.newest, version)
}

// take records a child's report and returns whether it affects the totals
// of this node's subtree. Out-of-order reports and those of an earlier
// incarnation are ignored.
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

// total returns the confirmed versions of this node's subtree. A child counts
// only with an unexpired report of its current incarnation; any other current
// child, for instance one that has restarted or stopped reporting, is listed as
// a laggard. Reports of nodes that are no longer children are not counted.
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

// behind drops the members that have the newest version from laggards and
// returns at most maxLaggards of the others.
func (a *aggregate) behind(laggards []Laggard) []Laggard {
	var behind []Laggard
	for _, l := range laggards {
		if (l.Version < a.newest || l.Version == 0) && len(behind) < maxLaggards {
			behind = append(behind, l)
		}
	}
	return behind
}

// expire deletes expired reports, so that the reports of former children do not
// accumulate.
func (a *aggregate) expire(now time.Time) {
	for id, r := range a.reports {
		if now.Sub(r.at) >= a.expiry {
			delete(a.reports, id)
		}
	}
}

// report returns the next report for this node's parent.
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

// summary returns the status of this node's failure domain; it is meaningful on
// rank 0 only. Version is set only when the count and the XOR of the counted
// nodes match those of the live members.
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
