// Package member keeps the fleet's membership: one record for each node,
// merged without agreement, a failure detector and the endpoint directory.
package member

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskingw/peer"
)

// State is the condition of a member as its record states it.
type State uint8

// The states in order of precedence for equal incarnation and sequence.
const (
	Alive State = iota + 1
	Draining
	Suspect
	Dead
	Left
)

// String returns the state's name.
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

// Record describes one node and the target it announces. Only the node itself
// raises its incarnation and sequence; others may state Suspect or Dead for
// the incarnation and sequence that they saw.
type Record struct {
	ID            string
	Incarnation   uint64 // of the process, see NewIncarnation; raised above any seen for the ID
	Sequence      uint64 // number of changes by the owner within the incarnation
	State         State
	FailureDomain string
	Region        string
	PeerAddr      string // host:port of the gRPC listener
	InboundAddr   string // host:port of the listener for calls to the target
	Service       string // announced service name, empty for a node without a target
	Slots         uint32 // calls that the target runs at once

	// DepartedMs is when this node learned that the member was Dead or Left, in
	// ms since 1970, less the age that the sender stated. It is no part of the
	// order or the digests, and 0 for live members.
	DepartedMs int64
}

// Supersedes reports whether r replaces old: by incarnation, then sequence,
// then precedence of the state.
func (r *Record) Supersedes(old *Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State > old.State
}

// Live reports whether the member takes part in probing, trees and status.
func (r *Record) Live() bool {
	return r.State == Alive || r.State == Draining || r.State == Suspect
}

// Departed reports whether the record is a tombstone.
func (r *Record) Departed() bool { return r.State == Dead || r.State == Left }

// Place returns where the node runs.
func (r *Record) Place() peer.Place {
	return peer.Place{Region: r.Region, FailureDomain: r.FailureDomain}
}

// IncarnationHash identifies one process of a node; status reports are combined from it.
func (r *Record) IncarnationHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(r.ID)
	return d.Sum64()
}

// Fingerprint identifies the record's content. The owner changes its content
// only together with its sequence, so id, order and state are enough.
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

// RankHash orders the members of a failure domain; every node computes the same order.
func RankHash(id string) uint64 { return xxhash.Sum64String(id) }

// CompareRank compares two records in rank order.
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

// View is the membership as other packages read it. Returned records and
// slices are immutable.
type View interface {
	// Self returns this node's own record.
	Self() *Record
	// Ranked returns the live members of a failure domain in rank order.
	Ranked(failureDomain string) []*Record
	// FailureDomains returns the known failure domains by region, both sorted.
	FailureDomains() []DomainInfo
	// Lookup returns the record of a node, departed ones included, or nil.
	Lookup(id string) *Record
	// Endpoints returns the live members that announce the service.
	Endpoints(service string) []*Record
	// Generation rises with every change of any record.
	Generation() uint64
	// OnChange registers f, which is called after records changed. It must return quickly.
	OnChange(f func(changed []*Record))
}

// DomainInfo describes one failure domain.
type DomainInfo struct {
	Name        string
	Region      string
	Live        int
	Unreachable bool  // no sampled member answers this node
	SinceMs     int64 // time of the last answer or change, ms since 1970
}
