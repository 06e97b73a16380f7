package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a departure that is forgotten when the node restarts: the record
// of the new process replaces the one that held it, also at a node that answers
// the join before it knows of the departure.
func TestDepartureSurvivesRestart(t *testing.T) {
	for _, each := range []int{4, 1} { // with and without other members in the failure domain
		t.Run(fmt.Sprint(each, " in a failure domain"), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.build(3, each)
			c.waitFor(4*time.Second, "build", hasLive(3*each))
			n := c.nodes["n00"]
			self := n.dir.Self()
			is.True(n.dir.RecordTargetDeparture("t", 7))
			is.True(!n.dir.RecordTargetDeparture("t", 7)) // once for each departure
			n.service.AnnounceTargetDeparture(t.Context())
			n.stop() // before the departure has reached every node
			c.start("n00", self.FailureDomain, self.Region, self.FailureDomain)
			restarted := c.nodes["n00"]
			c.waitFor(4*time.Second, "the departure at every node", func(n *testNode) string {
				if d := n.dir.Lookup("n00").TargetDeparture; !d.Covers("t", 7) {
					return fmt.Sprintf("%+v", d)
				}
				return ""
			})
			is.True(restarted.dir.Self().Incarnation > self.Incarnation)
		})
	}
}

// Guards against a departure with a clock that was set back, which would lose
// against the one before it.
func TestLaterDepartureReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	d.Merge([]Record{{ID: "self", State: Alive, FailureDomain: "fd0", PeerAddr: "a",
		TargetDeparture: &TargetDeparture{Target: "t", StartedMs: 1, AcknowledgedMs: 1 << 50}}})
	is.True(d.Self().TargetDeparture.Covers("t", 1)) // of an earlier process
	is.True(d.RecordTargetDeparture("u", 5))
	later := d.Self().TargetDeparture
	is.True(later.Covers("u", 5))
	is.Equal(laterDeparture(later, &TargetDeparture{Target: "t", StartedMs: 1, AcknowledgedMs: 1 << 50}), later)
}
