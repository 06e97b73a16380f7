package member

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against nodes with no tree parent or with two.
func TestTreeCoversFailureDomainOnce(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(Record{ID: "self", Incarnation: 1, FailureDomain: "fd-0", Region: "region-0"}, DirectoryOptions{})
	d.Merge(testRecords(9 * 100))
	reached := map[string]int{}
	var walk func(id string, depth int)
	walk = func(id string, depth int) {
		is.True(depth < 6)
		reached[id]++
		for _, c := range Children(d, id) {
			is.Equal(Parent(d, c.ID).ID, id)
			walk(c.ID, depth+1)
		}
	}
	ranked := d.Ranked("fd-0")
	walk(ranked[0].ID, 0)
	is.Equal(len(reached), 101)
	for _, r := range ranked {
		is.Equal(reached[r.ID], 1)
	}
	is.Equal(Parent(d, ranked[0].ID), nil)
	is.Equal(Position(d, ranked[7].ID), 7)
	is.Equal(Position(d, "unknown"), -1)
}

// Guards against two heads of one region, and against a head in an unreachable
// failure domain while another one is reachable.
func TestRegionHead(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(Record{ID: "self", Incarnation: 1, FailureDomain: "fd-0", Region: "region-0"}, DirectoryOptions{})
	d.Merge(testRecords(90))
	is.Equal(Regions(d), []string{"region-0", "region-1", "region-2"})
	head := RegionHead(d, "region-1")
	is.Equal(head.ID, d.Ranked("fd-3")[0].ID)
	is.True(IsRegionHead(d, head.ID))
	is.True(IsRelay(d, head.ID))
	is.Equal(len(RegionRelays(d, "region-1")), 9)
	d.SetUnreachable("fd-3", true, d.opts.Clock.Now())
	is.Equal(RegionHead(d, "region-1").ID, d.Ranked("fd-4")[0].ID)
	heads := 0
	for _, r := range d.All() {
		if IsRegionHead(d, r.ID) {
			heads++
		}
	}
	is.Equal(fmt.Sprint(heads), "3")
}
