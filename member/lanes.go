package member

import (
	"siskingw/peer/peerpb"
)

// laneKind is the kind of an overlay edge over which records are pushed.
type laneKind uint8

const (
	laneUp      laneKind = iota // to rank 0 of the local failure domain
	laneDown                    // to a tree child
	laneDomain                  // to rank 0 of another failure domain of the region
	laneHead                    // to the head of the local region
	laneBetween                 // to the head of another region
)

// betweenTries is the number of relays of a remote region that are tried in
// order as its head.
const betweenTries = 4

// lane is one outgoing overlay edge. name is a node id for laneDown, a failure
// domain for laneDomain and a region for laneBetween; it is empty otherwise.
type lane struct {
	kind laneKind
	name string
}

// acting reports whether the i-th candidate is asked to act in place of the
// first.
func (l lane) acting(i int) bool { return i > 0 && (l.kind == laneUp || l.kind == laneHead) }

// direction returns the direction that the receiver is told.
func (l lane) direction() peerpb.PushDirection {
	return [...]peerpb.PushDirection{
		laneUp: peerpb.PushDirection_PUSH_UP, laneDown: peerpb.PushDirection_PUSH_DOWN,
		laneDomain: peerpb.PushDirection_PUSH_IN_REGION, laneHead: peerpb.PushDirection_PUSH_IN_REGION,
		laneBetween: peerpb.PushDirection_PUSH_BETWEEN_REGIONS,
	}[l.kind]
}

// candidates returns the nodes that may receive the records of the edge, in the
// order in which they are tried. For laneUp and laneHead the list ends before
// this node, which takes over the role itself when none of them accepts the
// records.
func (l lane) candidates(v View) []*Record {
	self := v.Self()
	switch l.kind {
	case laneUp:
		return before(Relays(v, self.FailureDomain), self.ID)
	case laneDown:
		if r := v.Lookup(l.name); r != nil && r.Live() {
			return []*Record{r}
		}
	case laneDomain:
		return Relays(v, l.name)
	case laneHead:
		return before(RegionRelays(v, self.Region), self.ID)
	case laneBetween:
		relays := RegionRelays(v, l.name)
		return relays[:min(betweenTries, len(relays))]
	}
	return nil
}

// before returns the records that precede the one with the given id.
func before(records []*Record, id string) []*Record {
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

// lanesFor returns the edges over which records of the given origin are
// forwarded. A node forwards only records that changed its own directory, so
// duplicates are not forwarded again.
func lanesFor(v View, o origin) []lane {
	self := v.Self()
	p := Position(v, self.ID)
	lanes := downLanes(Children(v, self.ID), self.ID)
	up := o.local || o.direction == peerpb.PushDirection_PUSH_UP
	switch {
	case !up && o.direction == peerpb.PushDirection_PUSH_DOWN:
		return lanes
	case up && p != 0 && !o.acting:
		return append(lanes, lane{kind: laneUp})
	}
	if p != 0 {
		lanes = append(lanes, downLanes(Relays(v, self.FailureDomain)[:min(1, len(v.Ranked(self.FailureDomain)))], self.ID)...)
	}
	return append(lanes, acrossLanes(v, o, up)...)
}

// acrossLanes returns the edges to other failure domains and regions.
func acrossLanes(v View, o origin, up bool) []lane {
	self := v.Self()
	head := IsRegionHead(v, self.ID) || (o.acting && !up)
	switch {
	case up && !head:
		return []lane{{kind: laneHead}}
	case !up && o.direction == peerpb.PushDirection_PUSH_IN_REGION && !head:
		return nil
	}
	return append(regionLanes(v, o.domain), betweenLanes(v, o, up)...)
}

// regionLanes returns the edges to the other failure domains of the local
// region.
func regionLanes(v View, except string) []lane {
	self := v.Self()
	var lanes []lane
	for _, d := range v.FailureDomains() {
		if d.Region == self.Region && d.Name != self.FailureDomain && d.Name != except && d.Live > 0 {
			lanes = append(lanes, lane{laneDomain, d.Name})
		}
	}
	return lanes
}

// betweenLanes returns the edges to other regions. There are none for records
// that came from the head of another region, which sends them to every region
// itself.
func betweenLanes(v View, o origin, up bool) []lane {
	if !up && o.direction == peerpb.PushDirection_PUSH_BETWEEN_REGIONS {
		return nil
	}
	var lanes []lane
	for _, region := range Regions(v) {
		if region != v.Self().Region {
			lanes = append(lanes, lane{laneBetween, region})
		}
	}
	return lanes
}

func downLanes(children []*Record, except string) []lane {
	var lanes []lane
	for _, c := range children {
		if c.ID != except {
			lanes = append(lanes, lane{laneDown, c.ID})
		}
	}
	return lanes
}

// fallback returns the edges to use when no candidate of an edge accepted its
// records.
func fallback(v View, l lane) []lane {
	self := v.Self()
	switch l.kind {
	case laneUp:
		return lanesFor(v, origin{local: true, acting: true})
	case laneHead:
		return append(regionLanes(v, self.FailureDomain), betweenLanes(v, origin{}, true)...)
	case laneDown:
		return downLanes(Children(v, l.name), self.ID)
	}
	return nil
}
