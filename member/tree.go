package member

import (
	"slices"
)

const (
	// Fanout is the number of children of a tree position. With 4 the depth is
	// 6 for a failure domain of 2,222 nodes, while the load of a parent stays
	// small.
	Fanout = 4
	// RelayCount is the number of lowest ranks of a failure domain that act as
	// its relays.
	RelayCount = 3
)

// Position returns the position of a node in the tree of its failure domain,
// which equals its rank, or -1 when it is not a live member.
func Position(v View, id string) int {
	r := v.Lookup(id)
	if r == nil || !r.Live() {
		return -1
	}
	return positionIn(v.Ranked(r.FailureDomain), r)
}

func positionIn(ranked []*Record, r *Record) int {
	i, ok := slices.BinarySearchFunc(ranked, r, CompareRank)
	if !ok {
		return -1
	}
	return i
}

// ParentPosition returns the parent of position p, or -1 for position 0.
func ParentPosition(p int) int {
	if p <= 0 {
		return -1
	}
	return (p - 1) / Fanout
}

// Parent returns the tree parent of a node, or nil for position 0 and for a
// node that is not a live member.
func Parent(v View, id string) *Record {
	r := v.Lookup(id)
	if r == nil || !r.Live() {
		return nil
	}
	ranked := v.Ranked(r.FailureDomain)
	p := ParentPosition(positionIn(ranked, r))
	if p < 0 || p >= len(ranked) {
		return nil
	}
	return ranked[p]
}

// Children returns the tree children of a node, or nil when it is not a live
// member.
func Children(v View, id string) []*Record {
	r := v.Lookup(id)
	if r == nil || !r.Live() {
		return nil
	}
	ranked := v.Ranked(r.FailureDomain)
	return childrenIn(ranked, positionIn(ranked, r))
}

// childrenIn returns the children of position p.
func childrenIn(ranked []*Record, p int) []*Record {
	if p < 0 {
		return nil
	}
	first, end := ChildPositions(p, len(ranked))
	return ranked[first:end]
}

// ChildPositions returns the child positions of p in a tree of n nodes as the
// half-open range [first, end), which is empty when there are none.
func ChildPositions(p, n int) (first, end int) {
	return min(Fanout*p+1, n), min(Fanout*(p+1)+1, n)
}

// Relays returns the relays of a failure domain: its members of the lowest
// ranks.
func Relays(v View, failureDomain string) []*Record {
	ranked := v.Ranked(failureDomain)
	return ranked[:min(RelayCount, len(ranked))]
}

// IsRelay reports whether a node is a relay of its failure domain.
func IsRelay(v View, id string) bool {
	p := Position(v, id)
	return p >= 0 && p < RelayCount
}

// RegionRelays returns the relays of a region in the order in which they take
// over as its head: by failure domain name, with failure domains that this node
// cannot reach last, and by rank within each.
func RegionRelays(v View, region string) []*Record {
	var reachable, unreachable []*Record
	for _, d := range v.FailureDomains() {
		switch {
		case d.Region != region:
		case d.Unreachable:
			unreachable = append(unreachable, Relays(v, d.Name)...)
		default:
			reachable = append(reachable, Relays(v, d.Name)...)
		}
	}
	return append(reachable, unreachable...)
}

// RegionHead returns the head of a region, which is its first relay, or nil.
func RegionHead(v View, region string) *Record {
	if relays := RegionRelays(v, region); len(relays) > 0 {
		return relays[0]
	}
	return nil
}

// IsRegionHead reports whether a node is the head of its region.
func IsRegionHead(v View, id string) bool {
	r := v.Lookup(id)
	if r == nil {
		return false
	}
	head := RegionHead(v, r.Region)
	return head != nil && head.ID == id
}

// Regions returns the names of the known regions, sorted.
func Regions(v View) []string {
	var regions []string
	for _, d := range v.FailureDomains() {
		regions = append(regions, d.Region)
	}
	return slices.Compact(regions)
}
