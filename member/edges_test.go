package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/peer/peerpb"
)

// propagate sends one change along the edges without a network and returns
// how often each live node received it.
func propagate(dirs map[string]*Directory, from string, down map[string]bool) map[string]int {
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
		edges := edgesFor(d, h.o)
		for len(edges) > 0 {
			e := edges[0]
			edges = edges[1:]
			taken := false
			for i, c := range e.candidates(d) {
				if down[c.ID] {
					continue
				}
				taken = true
				received[c.ID]++
				if len(dirs[c.ID].Merge([]Record{*r})) > 0 {
					queue = append(queue, hop{c.ID, origin{
						direction: e.direction(), acting: e.acting(i), domain: d.Self().FailureDomain,
					}})
				}
				break
			}
			if !taken {
				edges = append(edges, fallbackEdges(d, e)...)
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
		records := testRecords(n)
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
		received := propagate(dirs, from, down)
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
func TestSendQueueKeepsByteBudget(t *testing.T) {
	is := is.New(t)
	d := NewDirectory(Record{ID: "self", Incarnation: 1, FailureDomain: "fd-0"}, DirectoryOptions{})
	records := testRecords(100)
	records[70].State = Left
	changed := d.Merge(records)
	q := newSendQueue(d, estimatedRecordBytes*10, estimatedRecordBytes*20)
	e := edge{edgeDown, "child"}
	q.add([]edge{e}, changed)
	now := time.Unix(1e9, 0)
	first := q.nextBatches(now)
	is.Equal(len(first), 1)
	is.Equal(len(first[0].records), 20) // the burst
	is.Equal(first[0].records[0].State, Left)
	is.Equal(len(q.nextBatches(now)), 0) // a push over the edge is in flight
	q.finish(now, first[0], 20*estimatedRecordBytes)
	is.Equal(len(q.nextBatches(now)), 0) // the budget is used up
	is.True(q.hasSendable())
	next := q.nextBatches(now.Add(time.Second))
	is.Equal(len(next[0].records), 10) // one second of the rate
	q.finish(now, next[0], 0)

	// A record that changes again while it waits is sent once, with its latest
	// content.
	r := *next[0].records[0]
	r.Sequence = 9
	q.add([]edge{e, {edgeDown, "other"}}, d.Merge([]Record{r}))
	is.Equal(len(q.queued[e]), 71)
	q.queued = map[edge]map[string]struct{}{e: {r.ID: {}}}
	last := q.nextBatches(now.Add(time.Minute))
	is.Equal(last[0].records[0].Sequence, uint64(9))
	is.Equal(last[0].edge.direction(), peerpb.PushDirection_PUSH_DOWN)
}

// Guards against halves of a failure domain that stay separate after a
// partition, and against members that are lost in the process.
func TestSplitFailureDomainMergesAfterPartition(t *testing.T) {
	c := newCluster(t)
	const each = 5
	for i := range 2 * each {
		c.start(fmt.Sprintf("n%02d", i), "fd", "region", fmt.Sprintf("half-%d", i%2))
	}
	c.waitFor(3*time.Second, "join", hasLive(2*each))
	c.links.set("half-0", "half-1", true)
	c.links.set("half-1", "half-0", true)
	c.waitFor(8*time.Second, "partition", func(n *testNode) string {
		if live := n.dir.Live(); live > each {
			return fmt.Sprintf("%d live", live)
		}
		return ""
	})
	c.links.set("half-0", "half-1", false)
	c.links.set("half-1", "half-0", false)
	t.Logf("halves rejoined after %s", c.waitFor(8*time.Second, "rejoin", func(n *testNode) string {
		if n.dir.RootDigest() != c.nodes["n00"].dir.RootDigest() {
			return "digest differs"
		}
		return hasLive(2 * each)(n)
	}))
}
