package balance

// candidatesPerLocality is the number of random endpoints of each locality among
// which a call with a target latency chooses. All callers hear the same news; when
// each took the best of all endpoints, they took the same one, and it was overrun
// before the news of that came back (docs/design/even-load.md).
const candidatesPerLocality = 2

// candidates returns the usable endpoints among which a call chooses: some random
// ones of each locality, and the own one.
func (c *choice) candidates(t *table) []*endpoint {
	list := make([]*endpoint, 0, 8)
	for _, l := range t.near {
		list = c.drawInto(list, l)
	}
	for _, l := range t.otherRegions {
		list = c.drawInto(list, l)
	}
	if t.own != nil && c.usable(t.own) {
		list = append(list, t.own)
	}
	return list
}

// drawInto appends random usable endpoints of the locality to list.
func (c *choice) drawInto(list []*endpoint, l *locality) []*endpoint {
	if len(l.endpoints) == 0 {
		return list
	}
	var last *endpoint
	for range candidatesPerLocality {
		e := c.draw(l, last)
		if e == nil {
			break
		}
		list, last = append(list, e), e
	}
	return list
}
