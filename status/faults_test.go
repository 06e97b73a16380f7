package status

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// Guards against a read-back that returns to an older summary or treats an
// expired one as current when summaries arrive twice, late or out of order.
func TestDuplicateLateAndReorderedSummaries(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	self := member.Record{ID: "self", Incarnation: 1, Sequence: 1, State: member.Alive, FailureDomain: "fd-0", Region: "r"}
	dir := member.NewDirectory(self, member.DirectoryOptions{Clock: clock})
	dir.Merge([]member.Record{{ID: "other", Incarnation: 1, Sequence: 1, State: member.Alive,
		FailureDomain: "fd-1", Region: "r"}})
	tr := New(dir, Options{Clock: clock, Interval: time.Second})
	tr.Confirm(7)
	summary := func(version uint64, age time.Duration) *peerpb.FleetSummary {
		return &peerpb.FleetSummary{FromDomain: "fd-1", FromRegion: "r", Domains: []*peerpb.DomainSummary{{
			FailureDomain: "fd-1", Region: "r", Version: version, Newest: 7, Live: 1, Confirmed: 1,
			AgeMs: uint32(age.Milliseconds()),
		}}}
	}
	fd1 := func() Domain { return tr.Summary(t.Context()).Domains[1] }
	for _, s := range []*peerpb.FleetSummary{summary(7, 100*time.Millisecond),
		summary(6, 200*time.Millisecond), summary(7, 100*time.Millisecond)} {
		tr.recordSummaries(s)
		is.Equal(fd1().Version, uint64(7))
		is.Equal(fd1().State, InForce)
	}
	tr.recordSummaries(summary(0, 0)) // a member of fd-1 has restarted
	is.Equal(fd1().State, Pending)
	tr.recordSummaries(summary(7, 50*time.Millisecond)) // created before the restart
	is.Equal(fd1().State, Pending)
	is.Equal(fd1().Version, uint64(0))
	clock.Advance(summaryExpiryIntervals * time.Second)
	is.Equal(fd1().State, Unreachable)
	tr.recordSummaries(summary(7, summaryExpiryIntervals*time.Second)) // already expired on arrival
	is.Equal(fd1().State, Unreachable)
	is.True(!tr.Summary(t.Context()).InForce(7))
}

// Guards against a read-back that waits for a paused relay indefinitely, or
// uses the expired summary of a paused failure domain.
func TestReadBackWithUnresponsiveDomain(t *testing.T) {
	is := is.New(t)
	const domains, each = 2, 4
	nodes := startTrackers(t, domains, each)
	for _, n := range nodes {
		n.tracker.Confirm(7)
	}
	pollSummary(t, nodes[0], "in force", func(f Fleet) bool { return f.InForce(7) })
	for i, n := range nodes {
		if i%domains != 1 {
			continue
		}
		n.cancel()
		n.server.Stop()
		l, err := net.Listen("tcp", n.dir.Self().PeerAddr) // accepts connections and never answers
		is.NoErr(err)
		t.Cleanup(func() { l.Close() })
	}
	pollSummary(t, nodes[0], "fd-1 unreachable", func(f Fleet) bool { return f.Domains[1].State == Unreachable && !f.InForce(7) })
	began := time.Now()
	f := nodes[1].tracker.Summary(context.Background()) // the relays of its own failure domain do not answer
	is.True(time.Since(began) < time.Duration(member.RelayCount+1)*callTimeout)
	is.True(!f.InForce(7))
}

// Guards against reports that are not counted when their replies are lost, and
// against reporting a version in force that a member of the subtree does not
// have.
func TestReportsCountWithoutReplies(t *testing.T) {
	is := is.New(t)
	m := newDomainSim(21)
	root, _ := m.root()
	ranked := m.processes[root].dir.Ranked("fd")
	report := func() {
		for i := len(ranked) - 1; i > 0; i-- {
			p := m.processes[ranked[i].ID]
			m.processes[member.Parent(p.dir, ranked[i].ID).ID].agg.recordReport(m.now, p.agg.nextReport(m.now))
		}
	}
	for _, id := range m.ids {
		m.advance(id, 4)
	}
	report()
	_, d := m.root()
	is.Equal(d.Version, uint64(4))
	for _, r := range ranked[:20] {
		m.advance(r.ID, 5)
	}
	report()
	_, d = m.root()
	is.Equal(d.Version, uint64(4))
	is.Equal(d.Confirmed, 20)
	m.checkSummaries(t)
}
