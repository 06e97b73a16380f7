package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
	r := Record{
		ID: id, Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Sequence: uint64(rapid.IntRange(1, 3).Draw(t, "sequence")),
		State:    State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
	}
	// The content is a function of incarnation and sequence, as a node never
	// publishes two contents under the same pair.
	r.FailureDomain = fmt.Sprintf("fd%d", (r.Incarnation+r.Sequence)%2)
	r.Service = fmt.Sprintf("svc%d", r.Sequence%2)
	if r.Sequence > 1 {
		r.TargetDeparture = &TargetDeparture{Target: "t", StartedMs: int64(r.Incarnation), AcknowledgedMs: int64(r.Incarnation*10 + r.Sequence)}
	}
	return r
}

func contents(d *Directory) []string {
	var out []string
	for _, r := range d.All() {
		if r.Live() {
			out = append(out, fmt.Sprintf("%s/%d/%d/%s", r.ID, r.Incarnation, r.Sequence, r.State))
		}
	}
	slices.Sort(out)
	return out
}

// departures returns the departure that the directory holds for each live node.
// Digests do not cover departures: a node may hold that of an earlier process in
// the record of a later one.
func departures(d *Directory) []string {
	var out []string
	for _, r := range d.All() {
		if r.Live() {
			out = append(out, fmt.Sprintf("%s/%+v", r.ID, r.TargetDeparture))
		}
	}
	slices.Sort(out)
	return out
}

func newTestDirectory() *Directory {
	return NewDirectory(Record{ID: "self", Incarnation: 1, Sequence: 1, FailureDomain: "fd0"},
		DirectoryOptions{Clock: clockwork.NewFakeClock()})
}

// Guards against replicas that depend on the order, grouping or repetition of
// merges, also in the departures that outdated records hold, and against digests that differ for equal sets or are equal for
// different ones.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 20).Draw(t, "records")
		a, b, c := newTestDirectory(), newTestDirectory(), newTestDirectory()
		a.Merge(records)
		for _, r := range rapid.Permutation(records).Draw(t, "order") {
			b.Merge([]Record{r})
		}
		b.Merge(records) // merging again must change nothing
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		c.Merge(records[cut:])
		if got, same := slices.Equal(contents(a), contents(c)), a.RootDigest() == c.RootDigest(); got != same {
			t.Fatalf("sets equal: %v, root digests equal: %v", got, same)
		}
		if len(a.DifferingBuckets(c.BucketDigests())) > 0 != (a.RootDigest() != c.RootDigest()) {
			t.Fatal("bucket digests and root digest disagree")
		}
		c.Merge(records[:cut])
		for _, d := range []*Directory{b, c} {
			if !slices.Equal(contents(a), contents(d)) || a.RootDigest() != d.RootDigest() {
				t.Fatalf("%v and %v differ", contents(a), contents(d))
			}
			if !slices.Equal(departures(a), departures(d)) {
				t.Fatalf("%v and %v differ", departures(a), departures(d))
			}
		}
		checkLists(t, a)
	})
}

// checkLists compares the ranked lists and the service lists with the records.
func checkLists(t *rapid.T, d *Directory) {
	var byDomain, byService, live int
	for _, r := range d.All() {
		if !r.Live() {
			continue
		}
		live++
		if slices.Contains(d.Ranked(r.FailureDomain), r) {
			byDomain++
		}
		if r.Service == "" || slices.Contains(d.Endpoints(r.Service), r) {
			byService++
		}
	}
	total := 0
	for _, info := range d.FailureDomains() {
		total += info.Live
		if !slices.IsSortedFunc(d.Ranked(info.Name), CompareRank) {
			t.Fatal("list is not in rank order")
		}
	}
	if byDomain != live || byService != live || total != live || d.Live() != live {
		t.Fatalf("live %d, by domain %d of %d, by service %d", live, byDomain, total, byService)
	}
}

// Guards against a node that accepts a record declaring it dead, or a record of
// an older incarnation of itself.
func TestNodeRefutesRecordsAboutItself(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	changed := d.Merge([]Record{{ID: "self", Incarnation: 1, Sequence: 1, State: Dead, FailureDomain: "fd0"}})
	is.Equal(len(changed), 1)
	is.Equal(d.Self().State, Alive)
	is.Equal(d.Self().Sequence, uint64(2))
	d.Merge([]Record{{ID: "self", Incarnation: 7, Sequence: 4, State: Alive, FailureDomain: "fd0"}})
	is.Equal(d.Self().Incarnation, uint64(8))
	d.UpdateSelf(func(r *Record) { r.State = Left })
	is.Equal(len(d.Merge([]Record{*d.Self()})), 0)
}

// Guards against tombstones that grow without bound or never expire.
func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	d := NewDirectory(Record{ID: "self", Incarnation: 1}, DirectoryOptions{Clock: clock, TombstoneMax: 10})
	root := d.RootDigest()
	for i := range 25 {
		d.Merge([]Record{{ID: fmt.Sprint(i), Incarnation: 1, State: Dead}})
	}
	is.Equal(d.TombstoneCount(), 10)
	is.True(d.Lookup("24") != nil)
	is.True(d.Lookup("3") == nil)
	is.Equal(d.RootDigest(), root) // departed members are not part of the digests
	clock.Advance(time.Hour)
	is.Equal(d.TombstoneCount(), 0)
	old := clock.Now().Add(-2 * time.Hour).UnixMilli()
	is.Equal(len(d.Merge([]Record{{ID: "x", Incarnation: 1, State: Dead, DepartedMs: old}})), 0)
}

// Guards against readers that observe a list while it is modified; needs -race.
func TestReadsDuringMerge(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	records := testRecords(200)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 200 {
			records[i].State = Alive + State(i%5)
			d.Merge(records[:i+1])
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		for _, info := range d.FailureDomains() {
			is.True(slices.IsSortedFunc(d.Ranked(info.Name), CompareRank))
		}
		for _, r := range d.Endpoints("service-0007") {
			is.True(r.Live())
		}
		_ = d.Lookup(records[7].ID)
	}
}
