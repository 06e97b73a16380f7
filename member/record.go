// Package member maintains the membership of the fleet: one record for each
// node, merged without consensus, a failure detector, dissemination and
// anti-entropy of the records, and the directory of endpoints.
package member

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskingw/peer"
)

// State is the state of a member.
type State uint8

// The states, in ascending order of precedence at equal incarnation and
// sequence.
const (
	Alive    State = iota + 1
	Draining       // its target takes no new calls
	Suspect        // suspected to have failed; declared Dead unless it refutes that in time
	Dead           // another node declared that it has failed
	Left           // its process announced that it is ending
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Draining:
		return "draining"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Record describes one node and the target that it announces. Only the node
// itself increases its incarnation and sequence; other nodes may declare it
// Suspect or Dead for the incarnation and sequence that they know.
type Record struct {
	ID            string
	Incarnation   uint64 // of the process, see NewIncarnation; raised above any other seen for the ID
	Sequence      uint64 // number of changes by the node itself within the incarnation
	State         State
	FailureDomain string
	Region        string
	PeerAddr      string // host:port of the gRPC listener
	InboundAddr   string // host:port of the listener for calls to the target
	Service       string // announced service name, empty for a node without a target
	Slots         uint32 // number of calls that the target runs concurrently

	TargetVersion string // version that the target has stated to this process; empty for none, see Version
	// TargetNote is what the node states about its target to other packages, in
	// their encoding; at most MaxTargetNoteBytes.
	TargetNote []byte

	// TargetDeparture is the last departure of a target that this node or an
	// earlier process of it has acknowledged; nil for none. Nodes keep it when a
	// record of a later process replaces this one.
	TargetDeparture *TargetDeparture

	// StatedVersion is the last version that a target of this node has stated, to this
	// process or to an earlier one; nil for none. Nodes keep it when a record of a later
	// process replaces this one.
	StatedVersion *StatedVersion

	// QuotaInstances is the number of instances that share the quotas, as the node counts
	// them. Nodes that read the store state it; 0 for none.
	QuotaInstances uint32

	// DepartedMs is when this node learned that the member was Dead or Left,
	// minus the age reported by the sender, in ms since 1970. It is 0 for live
	// members and has no part in the order of records or in the digests.
	DepartedMs int64
}

// MaxTargetNoteBytes bounds TargetNote: every node holds the records of all.
const MaxTargetNoteBytes = 512

// Supersedes reports whether r replaces old. It compares the incarnation first,
// then the sequence, then the precedence of the state.
func (r *Record) Supersedes(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State > old.State
}

// Live reports whether the member is Alive, Draining or Suspect. Live members
// take part in probing, in the trees and in status reports.
func (r *Record) Live() bool {
	return r.State == Alive || r.State == Draining || r.State == Suspect
}

// Departed reports whether the record is a tombstone.
func (r *Record) Departed() bool { return r.State == Dead || r.State == Left }

// Place returns the region and failure domain of the node.
func (r *Record) Place() peer.Place {
	return peer.Place{Region: r.Region, FailureDomain: r.FailureDomain}
}

// IncarnationHash identifies one process of a node. Status reports combine
// these hashes.
func (r *Record) IncarnationHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(r.ID)
	return d.Sum64()
}

// Fingerprint identifies the version of the record. The node changes its record
// only together with the sequence, so id, incarnation, sequence and state
// suffice.
func (r *Record) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], r.Incarnation)
	binary.LittleEndian.PutUint64(b[8:16], r.Sequence)
	b[16] = byte(r.State)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(r.ID)
	return d.Sum64()
}

// RankHash returns the hash that orders the members of a failure domain. Every
// node computes the same order.
func RankHash(id string) uint64 { return xxhash.Sum64String(id) }

// CompareRank compares two records by rank; ids break ties.
func CompareRank(a, b *Record) int {
	x, y := RankHash(a.ID), RankHash(b.ID)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

// View is the read-only membership that other packages use. Returned records
// and slices are immutable.
type View interface {
	// Self returns this node's own record.
	Self() *Record
	// Ranked returns the live members of a failure domain in rank order.
	Ranked(failureDomain string) []*Record
	// FailureDomains returns the known failure domains, sorted by region and
	// then name.
	FailureDomains() []DomainInfo
	// Lookup returns the record of a node, which may be a tombstone, or nil
	// when the node is unknown.
	Lookup(id string) *Record
	// Endpoints returns the live members that announce the service, in rank
	// order; draining and suspect members are live.
	Endpoints(service string) []*Record
	// Generation returns a counter that increases with every change of a record
	// or of the reachability of a failure domain.
	Generation() uint64
	// OnChange registers f to be called after records changed. f must return
	// quickly.
	OnChange(f func(changed []*Record))
}

// DomainInfo describes one failure domain.
type DomainInfo struct {
	Name        string
	Region      string
	Live        int   // number of live members
	Unreachable bool  // no member in a sample of the failure domain answers this node
	SinceMs     int64 // time of the last answer or change, ms since 1970
}
