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

// confirmations holds the confirmed versions of a set of nodes.
type confirmations struct {
	count    int    // nodes that confirmed any version
	hashXOR  uint64 // XOR of the incarnation hashes of the counted nodes
	min, max uint64 // lowest and highest version of the counted nodes
	atMax    int    // number of counted nodes that have max
	laggards []Laggard
}

// add adds another set. The sets may overlap while ranks change. A node that is
// counted twice cancels out of the XOR, so the XOR then differs from that of
// the membership, which holds each hash once.
func (c *confirmations) add(o confirmations) {
	if o.count > 0 {
		if c.count == 0 || o.min < c.min {
			c.min = o.min
		}
		switch {
		case o.max > c.max:
			c.max, c.atMax = o.max, o.atMax
		case o.max == c.max:
			c.atMax += o.atMax
		}
		c.count += o.count
		c.hashXOR ^= o.hashXOR
	}
	c.laggards = append(c.laggards, o.laggards...)
}

// childReport is the latest report of a child.
type childReport struct {
	incarnation uint64
	number      uint64
	receivedAt  time.Time
	confirmed   confirmations
}

// aggregator combines the version confirmed by this node with the reports of
// its children in the tree. It uses no clock and no transport. It is not safe
// for concurrent use.
type aggregator struct {
	view    member.View
	expiry  time.Duration
	version uint64 // in force on this node
	newest  uint64 // highest known version
	number  uint64 // of the last report sent to the parent
	reports map[string]childReport
}

func newAggregator(v member.View, expiry time.Duration) *aggregator {
	return &aggregator{view: v, expiry: expiry, reports: make(map[string]childReport)}
}

// confirm records the version in force on this node. A lower version than
// before has no effect.
func (a *aggregator) confirm(version uint64) {
	a.version = max(a.version, version)
	a.newest = max(a.newest, version)
}

// recordReport records a child's report and returns whether it affects the
// totals of this node's subtree. Out-of-order reports and those of an earlier
// incarnation are ignored.
func (a *aggregator) recordReport(now time.Time, msg *peerpb.StatusReport) bool {
	old, known := a.reports[msg.FromId]
	if known && (msg.FromIncarnation < old.incarnation ||
		msg.FromIncarnation == old.incarnation && msg.Number <= old.number) {
		return false
	}
	next := childReport{incarnation: msg.FromIncarnation, number: msg.Number, receivedAt: now, confirmed: confirmations{
		count: int(msg.Count), hashXOR: msg.Xor, min: msg.MinVersion, max: msg.MaxVersion,
		atMax: int(msg.AtMax), laggards: laggardsFromProto(msg.Laggards),
	}}
	a.reports[msg.FromId] = next
	a.newest = max(a.newest, msg.MaxVersion)
	return !known || old.incarnation != next.incarnation ||
		now.Sub(old.receivedAt) >= a.expiry || !old.confirmed.equal(next.confirmed)
}

func (c confirmations) equal(o confirmations) bool {
	if c.count != o.count || c.hashXOR != o.hashXOR || c.min != o.min ||
		c.max != o.max || c.atMax != o.atMax || len(c.laggards) != len(o.laggards) {
		return false
	}
	for i, l := range c.laggards {
		if l != o.laggards[i] {
			return false
		}
	}
	return true
}

// subtree returns the confirmed versions of this node's subtree. A child counts
// only with an unexpired report of its current incarnation; any other current
// child, for instance one that has restarted or stopped reporting, is listed as
// a laggard. Reports of nodes that are no longer children are not counted.
//
//siskingw:step aggregate
func (a *aggregator) subtree(now time.Time) confirmations {
	self := a.view.Self()
	var sum confirmations
	if a.version > 0 {
		sum.add(confirmations{count: 1, hashXOR: self.IncarnationHash(),
			min: a.version, max: a.version, atMax: 1})
	}
	if a.version < a.newest || a.version == 0 {
		sum.laggards = append(sum.laggards, Laggard{self.ID, a.version})
	}
	for _, c := range member.Children(a.view, self.ID) {
		r, ok := a.reports[c.ID]
		if !ok || r.incarnation != c.Incarnation || now.Sub(r.receivedAt) >= a.expiry {
			sum.laggards = append(sum.laggards, Laggard{ID: c.ID})
			continue
		}
		sum.add(r.confirmed)
	}
	sum.laggards = a.filterLaggards(sum.laggards)
	return sum
}

// filterLaggards drops the members that have the newest version from laggards
// and returns at most maxLaggards of the others.
func (a *aggregator) filterLaggards(laggards []Laggard) []Laggard {
	var remaining []Laggard
	for _, l := range laggards {
		if (l.Version < a.newest || l.Version == 0) && len(remaining) < maxLaggards {
			remaining = append(remaining, l)
		}
	}
	return remaining
}

// expire deletes expired reports, so that the reports of former children do not
// accumulate.
func (a *aggregator) expire(now time.Time) {
	for id, r := range a.reports {
		if now.Sub(r.receivedAt) >= a.expiry {
			delete(a.reports, id)
		}
	}
}

// nextReport returns the next report for this node's parent.
func (a *aggregator) nextReport(now time.Time) *peerpb.StatusReport {
	self := a.view.Self()
	sum := a.subtree(now)
	a.number++
	return &peerpb.StatusReport{
		FromId: self.ID, FromIncarnation: self.Incarnation, Number: a.number,
		Count: uint32(sum.count), Xor: sum.hashXOR, MinVersion: sum.min, MaxVersion: sum.max,
		AtMax: uint32(sum.atMax), Laggards: laggardsToProto(sum.laggards),
	}
}

// summary returns the status of this node's failure domain; it is meaningful on
// rank 0 only. Version is set only when the count and the XOR of the counted
// nodes match those of the live members.
func (a *aggregator) summary(now time.Time) Domain {
	self := a.view.Self()
	sum := a.subtree(now)
	ranked := a.view.Ranked(self.FailureDomain)
	var liveXOR uint64
	for _, r := range ranked {
		liveXOR ^= r.IncarnationHash()
	}
	d := Domain{
		Name: self.FailureDomain, Region: self.Region, Newest: a.newest, Live: len(ranked),
		Laggards: sum.laggards, AsOf: now,
	}
	if sum.max == a.newest {
		d.Confirmed = min(sum.atMax, len(ranked))
	}
	if sum.count == len(ranked) && sum.hashXOR == liveXOR {
		d.Version = sum.min
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
