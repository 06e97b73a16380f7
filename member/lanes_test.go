package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/peer/peerpb"
)

// flood propagates one change over the edges without a network and returns how
// often each live node received it.
func flood(dirs map[string]*Directory, from string, down map[string]bool) map[string]int {
	received := make(map[string]int)
	r := dirs[from].UpdateSelf(func(r *Record) { r.Slots++ })
	type hop struct {
		node string
		o    origin
	}
	queue := []hop{{from, origin{local: true}}}
	received[from]++
	for len(queue) > 0 {
		h := queue[0]
		queue = queue[1:]
		d := dirs[h.node]
		lanes := lanesFor(d, h.o)
		for len(lanes) > 0 {
			l := lanes[0]
			lanes = lanes[1:]
			taken := false
			for i, c := range l.candidates(d) {
				if down[c.ID] {
					continue
				}
				taken = true
				received[c.ID]++
				if len(dirs[c.ID].Merge([]Record{*r})) > 0 {
					queue = append(queue, hop{c.ID, origin{
						direction: l.direction(), acting: l.acting(i), domain: d.Self().FailureDomain,
					}})
				}
				break
			}
			if !taken {
				lanes = append(lanes, fallback(d, l)...)
			}
		}
	}
	return received
}

// Guards against nodes that a change does not reach, with and without dead
// relays and tree parents that are still listed as live, and against excessive
// duplicates.
func TestChangeReachesEveryNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(9, 90).Draw(t, "nodes")
		records := fleet(n)
		dirs := make(map[string]*Directory, n)
		for i := range records {
			d := NewDirectory(records[i], DirectoryOptions{})
			d.Merge(records)
			dirs[records[i].ID] = d
		}
		from := records[rapid.IntRange(0, n-1).Draw(t, "from")].ID
		down := make(map[string]bool)
		for range rapid.IntRange(0, 3).Draw(t, "down") {
			r := records[rapid.IntRange(0, n-1).Draw(t, "dead")]
			// Two of three relays may be down. A failure domain whose relays
			// are all down is repaired by anti-entropy.
			if r.ID != from && len(down) < RelayCount-1 {
				down[r.ID] = true
			}
		}
		received := flood(dirs, from, down)
		total := 0
		for _, r := range records {
			total += received[r.ID]
			if !down[r.ID] && received[r.ID] == 0 {
				t.Fatalf("%s did not receive the change of %s (down: %v)", r.ID, from, down)
			}
		}
		if limit := 2*n + 9*len(down); len(down) == 0 && total > limit {
			t.Fatalf("%d messages for %d nodes", total, n)
		}
	})
}

// Guards against records that are sent before a departure when the byte budget
// is short, and against exceeding the budget.
func TestOutboxKeepsToTheBudget(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(Record{ID: "self", Incarnation: 1, FailureDomain: "fd-0"}, DirectoryOptions{})
	records := fleet(100)
	records[70].State = Left
	changed := d.Merge(records)
	b := newOutbox(d, recordBytes*10, recordBytes*20)
	l := lane{laneDown, "child"}
	b.add([]lane{l}, changed)
	now := time.Unix(1e9, 0)
	first := b.take(now)
	is.Equal(len(first), 1)
	is.Equal(len(first[0].records), 20) // the burst
	is.Equal(first[0].records[0].State, Left)
	is.Equal(len(b.take(now)), 0) // a push over the edge is in flight
	b.done(now, first[0], 20*recordBytes)
	is.Equal(len(b.take(now)), 0) // the budget is used up
	is.True(b.waiting())
	next := b.take(now.Add(time.Second))
	is.Equal(len(next[0].records), 10) // one second of the rate
	b.done(now, next[0], 0)

	// A record that changes again while it waits is sent once, with its latest
	// content.
	r := *next[0].records[0]
	r.Sequence = 9
	b.add([]lane{l, {laneDown, "other"}}, d.Merge([]Record{r}))
	is.Equal(len(b.pending[l]), 71)
	b.pending = map[lane]map[string]struct{}{l: {r.ID: {}}}
	last := b.take(now.Add(time.Minute))
	is.Equal(last[0].records[0].Sequence, uint64(9))
	is.Equal(last[0].lane.direction(), peerpb.PushDirection_PUSH_DOWN)
}

// Guards against halves of a failure domain that stay separate after a
// partition, and against members that are lost in the process.
func TestHalvesRejoin(t *testing.T) {
	c := newCluster(t)
	const each = 5
	for i := range 2 * each {
		c.start(fmt.Sprintf("n%02d", i), "fd", "region", fmt.Sprintf("half-%d", i%2))
	}
	c.within(3*time.Second, "join", holdsLive(2*each))
	c.links.set("half-0", "half-1", true)
	c.links.set("half-1", "half-0", true)
	c.within(8*time.Second, "partition", func(n *testNode) string {
		if live := n.dir.Live(); live > each {
			return fmt.Sprintf("%d live", live)
		}
		return ""
	})
	c.links.set("half-0", "half-1", false)
	c.links.set("half-1", "half-0", false)
	t.Logf("halves rejoined after %s", c.within(8*time.Second, "rejoin", func(n *testNode) string {
		if n.dir.Root() != c.nodes["n00"].dir.Root() {
			return "digest differs"
		}
		return holdsLive(2 * each)(n)
	}))
}
