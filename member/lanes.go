package member

import (
	"siskingw/peer/peerpb"
)

// laneKind says over which edge of the overlay records go.
type laneKind uint8

const (
	laneUp      laneKind = iota // to rank 0 of the own failure domain
	laneDown                    // to one tree child
	laneDomain                  // to rank 0 of another failure domain of the region
	laneHead                    // to the head of the own region
	laneBetween                 // to the head of another region
)

// betweenTries is the number of relays of a region that are tried as its head.
const betweenTries = 4

// lane is one outgoing edge. name is a node id for laneDown, a failure domain
// for laneDomain and a region for laneBetween.
type lane struct {
	kind laneKind
	name string
}

// acting reports whether the i-th candidate is told to act for the first one.
func (l lane) acting(i int) bool { return i > 0 && (l.kind == laneUp || l.kind == laneHead) }

// direction returns what the receiver is told about the edge.
func (l lane) direction() peerpb.PushDirection {
	return [...]peerpb.PushDirection{
		laneUp: peerpb.PushDirection_PUSH_UP, laneDown: peerpb.PushDirection_PUSH_DOWN,
		laneDomain: peerpb.PushDirection_PUSH_IN_REGION, laneHead: peerpb.PushDirection_PUSH_IN_REGION,
		laneBetween: peerpb.PushDirection_PUSH_BETWEEN_REGIONS,
	}[l.kind]
}

// candidates returns the nodes that may take the lane's records, in the order
// in which they are tried. For laneUp and laneHead the list ends before this
// node; when nobody before it takes the records, it acts itself.
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

// before returns the records that precede the one with the id.
func before(records []*Record, id string) []*Record {
	for i, r := range records {
		if r.ID == id {
			return records[:i]
		}
	}
	return records
}

// origin says how records reached this node.
type origin struct {
	local     bool // stated or learned by this node itself
	direction peerpb.PushDirection
	acting    bool   // this node acts in place of rank 0 or, within a region, of its head
	domain    string // failure domain of the sender
}

// lanesFor returns the edges over which records of an origin go on. Records
// are only passed on by a node that they changed, so repeated ones stop.
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

// acrossLanes returns the edges to other failure domains.
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

// regionLanes returns the edges to the other failure domains of the own region.
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

// betweenLanes returns the edges to other regions; records that came from
// another region's head have been sent there by it.
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

// fallback returns the edges to use after nobody took a lane's records.
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
