package member

import (
	"siskingw/peer/peerpb"
)

// edgeKind is the kind of an overlay edge over which records are pushed.
type edgeKind uint8

const (
	edgeUp           edgeKind = iota // to rank 0 of the local failure domain
	edgeDown                         // to a tree child
	edgeDomain                       // to rank 0 of another failure domain of the region
	edgeRegionHead                   // to the head of the local region
	edgeRemoteRegion                 // to the head of another region
)

// maxRemoteHeadCandidates is the number of relays of a remote region that are
// tried in order as its head.
const maxRemoteHeadCandidates = 4

// edge is one outgoing overlay edge. name is a node id for edgeDown, a failure
// domain for edgeDomain and a region for edgeRemoteRegion; it is empty
// otherwise.
type edge struct {
	kind edgeKind
	name string
}

// acting reports whether the i-th candidate is asked to act in place of the
// first.
func (e edge) acting(i int) bool { return i > 0 && (e.kind == edgeUp || e.kind == edgeRegionHead) }

// direction returns the direction that a push states to its receiver.
func (e edge) direction() peerpb.PushDirection {
	return [...]peerpb.PushDirection{
		edgeUp: peerpb.PushDirection_PUSH_UP, edgeDown: peerpb.PushDirection_PUSH_DOWN,
		edgeDomain: peerpb.PushDirection_PUSH_IN_REGION, edgeRegionHead: peerpb.PushDirection_PUSH_IN_REGION,
		edgeRemoteRegion: peerpb.PushDirection_PUSH_BETWEEN_REGIONS,
	}[e.kind]
}

// candidates returns the nodes that may receive the records of the edge, in the
// order in which they are tried. For edgeUp and edgeRegionHead the list ends
// before this node, which takes over the role itself when none of them accepts
// the records.
func (e edge) candidates(v View) []*Record {
	self := v.Self()
	switch e.kind {
	case edgeUp:
		return recordsBefore(Relays(v, self.FailureDomain), self.ID)
	case edgeDown:
		if r := v.Lookup(e.name); r != nil && r.Live() {
			return []*Record{r}
		}
	case edgeDomain:
		return Relays(v, e.name)
	case edgeRegionHead:
		return recordsBefore(RegionRelays(v, self.Region), self.ID)
	case edgeRemoteRegion:
		relays := RegionRelays(v, e.name)
		return relays[:min(maxRemoteHeadCandidates, len(relays))]
	}
	return nil
}

// recordsBefore returns the records that precede the one with the given id.
func recordsBefore(records []*Record, id string) []*Record {
	for i, r := range records {
		if r.ID == id {
			return records[:i]
		}
	}
	return records
}

// origin describes how records reached this node.
type origin struct {
	local     bool // created or learned by this node itself
	direction peerpb.PushDirection
	acting    bool   // this node acts in place of rank 0 or, within a region, of its head
	domain    string // failure domain of the sender
}

// edgesFor returns the edges over which records of the given origin are
// forwarded. A node forwards only records that changed its own directory, so
// duplicates are not forwarded again.
func edgesFor(v View, o origin) []edge {
	self := v.Self()
	p := Position(v, self.ID)
	edges := downEdges(Children(v, self.ID), self.ID)
	up := o.local || o.direction == peerpb.PushDirection_PUSH_UP
	switch {
	case !up && o.direction == peerpb.PushDirection_PUSH_DOWN:
		return edges
	case up && p != 0 && !o.acting:
		return append(edges, edge{kind: edgeUp})
	}
	if p != 0 {
		edges = append(edges, downEdges(Relays(v, self.FailureDomain)[:min(1, len(v.Ranked(self.FailureDomain)))], self.ID)...)
	}
	return append(edges, crossDomainEdges(v, o, up)...)
}

// crossDomainEdges returns the edges to other failure domains and regions.
func crossDomainEdges(v View, o origin, up bool) []edge {
	self := v.Self()
	head := IsRegionHead(v, self.ID) || (o.acting && !up)
	switch {
	case up && !head:
		return []edge{{kind: edgeRegionHead}}
	case !up && o.direction == peerpb.PushDirection_PUSH_IN_REGION && !head:
		return nil
	}
	return append(localRegionEdges(v, o.domain), remoteRegionEdges(v, o, up)...)
}

// localRegionEdges returns the edges to the other failure domains of the local
// region.
func localRegionEdges(v View, except string) []edge {
	self := v.Self()
	var edges []edge
	for _, d := range v.FailureDomains() {
		if d.Region == self.Region && d.Name != self.FailureDomain && d.Name != except && d.Live > 0 {
			edges = append(edges, edge{edgeDomain, d.Name})
		}
	}
	return edges
}

// remoteRegionEdges returns the edges to other regions. There are none for
// records that came from the head of another region, which sends them to every
// region itself.
func remoteRegionEdges(v View, o origin, up bool) []edge {
	if !up && o.direction == peerpb.PushDirection_PUSH_BETWEEN_REGIONS {
		return nil
	}
	var edges []edge
	for _, region := range Regions(v) {
		if region != v.Self().Region {
			edges = append(edges, edge{edgeRemoteRegion, region})
		}
	}
	return edges
}

func downEdges(children []*Record, except string) []edge {
	var edges []edge
	for _, c := range children {
		if c.ID != except {
			edges = append(edges, edge{edgeDown, c.ID})
		}
	}
	return edges
}

// fallbackEdges returns the edges to use when no candidate of an edge accepted
// its records.
func fallbackEdges(v View, e edge) []edge {
	self := v.Self()
	switch e.kind {
	case edgeUp:
		return edgesFor(v, origin{local: true, acting: true})
	case edgeRegionHead:
		return append(localRegionEdges(v, self.FailureDomain), remoteRegionEdges(v, origin{}, true)...)
	case edgeDown:
		return downEdges(Children(v, e.name), self.ID)
	}
	return nil
}
