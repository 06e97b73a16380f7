package status

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

const expiry = 6 * time.Second

// simProcess is one process of a simulated node, with its own membership
// view.
type simProcess struct {
	dir *member.Directory
	agg *aggregator
}

// domainSim simulates the aggregation in one failure domain without a network.
type domainSim struct {
	now       time.Time
	ids       []string
	processes map[string]*simProcess
	// versionInForce is the version in force in each process, by id and
	// incarnation. It never decreases within an incarnation.
	versionInForce map[string]uint64
	inFlight       []delivery
}

type delivery struct {
	to  string
	msg *peerpb.StatusReport
}

func newDomainSim(n int) *domainSim {
	m := &domainSim{now: time.Unix(1e9, 0), processes: make(map[string]*simProcess),
		versionInForce: make(map[string]uint64)}
	for i := range n {
		m.ids = append(m.ids, fmt.Sprintf("node-%02d", i))
		m.restart(m.ids[i])
	}
	m.syncViews()
	return m
}

func processName(r *member.Record) string { return fmt.Sprintf("%s/%d", r.ID, r.Incarnation) }

// restart replaces a node's process by one with a higher incarnation that has
// no version in force and starts with the membership records of the old
// process.
func (m *domainSim) restart(id string) {
	self := member.Record{ID: id, Incarnation: 1, Sequence: 1, FailureDomain: "fd", Region: "r"}
	old := m.processes[id]
	if old != nil {
		self.Incarnation = old.dir.Self().Incarnation + 1
	}
	dir := member.NewDirectory(self, member.DirectoryOptions{Clock: clockwork.NewFakeClockAt(m.now)})
	if old != nil {
		dir.Merge(values(slices.DeleteFunc(old.dir.All(), func(r *member.Record) bool { return r.ID == id })))
	}
	m.processes[id] = &simProcess{dir, newAggregator(dir, expiry)}
}

func values(records []*member.Record) []member.Record {
	var out []member.Record
	for _, r := range records {
		out = append(out, *r)
	}
	return out
}

// mergeView merges the records of one node into the directory of another.
func (m *domainSim) mergeView(to, from string) {
	m.processes[to].dir.Merge(values(m.processes[from].dir.All()))
}

// syncViews exchanges records until all membership views are equal.
func (m *domainSim) syncViews() {
	for range 2 {
		for _, from := range m.ids {
			for _, to := range m.ids {
				m.mergeView(to, from)
			}
		}
	}
}

func (m *domainSim) advance(id string, version uint64) {
	p := m.processes[id]
	p.agg.confirm(version)
	m.versionInForce[processName(p.dir.Self())] = p.agg.version
}

// send queues a node's report to its parent according to its own view.
func (m *domainSim) send(id string) {
	p := m.processes[id]
	if parent := member.Parent(p.dir, id); parent != nil {
		m.inFlight = append(m.inFlight, delivery{parent.ID, p.agg.nextReport(m.now)})
	}
}

// deliver delivers a queued report, and returns the receiver's newest version
// to the sender unless that has restarted.
func (m *domainSim) deliver(i int) {
	d := m.inFlight[i]
	p := m.processes[d.to]
	p.agg.recordReport(m.now, d.msg)
	if from := m.processes[d.msg.FromId]; from.dir.Self().Incarnation == d.msg.FromIncarnation {
		from.agg.newest = max(from.agg.newest, p.agg.newest)
	}
}

// reportAll lets every node report once, starting with the deepest.
func (m *domainSim) reportAll() {
	ranked := m.processes[m.ids[0]].dir.Ranked("fd")
	for _, r := range slices.Backward(ranked) {
		m.send(r.ID)
		if n := len(m.inFlight); n > 0 {
			m.deliver(n - 1)
		}
		m.inFlight = nil
	}
}

// root returns the id of the node at position 0 and its summary.
func (m *domainSim) root() (string, Domain) {
	id := m.processes[m.ids[0]].dir.Ranked("fd")[0].ID
	return id, m.processes[id].agg.summary(m.now)
}

// checkSummaries fails when a node that considers itself rank 0 reports a
// version that is not in force on every member of its view.
func (m *domainSim) checkSummaries(t interface{ Fatalf(string, ...any) }) {
	for id, p := range m.processes {
		if member.Position(p.dir, id) != 0 {
			continue
		}
		d := p.agg.summary(m.now)
		if d.Version == 0 {
			continue
		}
		for _, r := range p.dir.Ranked("fd") {
			if m.versionInForce[processName(r)] < d.Version {
				t.Fatalf("%s reports version %d in force, %s has %d",
					id, d.Version, processName(r), m.versionInForce[processName(r)])
			}
		}
	}
}

// Guards against a summary with a version that is not in force on every live
// member, under random advances, restarts, departures, lost and late reports
// and diverging membership views.
func TestSummaryNeverOverstatesVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDomainSim(rapid.IntRange(1, 22).Draw(t, "nodes"))
		pick := rapid.SampledFrom(m.ids)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.advance(pick.Draw(t, "advance"), uint64(rapid.IntRange(1, 5).Draw(t, "version")))
			case 1:
				for _, id := range m.ids {
					if rapid.IntRange(0, 9).Draw(t, "skip") > 0 {
						m.advance(id, 3)
					}
				}
			case 2:
				m.restart(pick.Draw(t, "restart"))
			case 3, 4:
				m.mergeView(pick.Draw(t, "to"), pick.Draw(t, "from"))
			case 5:
				m.send(pick.Draw(t, "send"))
			case 6:
				if n := len(m.inFlight); n > 0 { // not removed: it may be delivered late and more than once
					m.deliver(rapid.IntRange(0, n-1).Draw(t, "deliver"))
				}
			case 7:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			case 8:
				m.mergeState(pick.Draw(t, "about"), pick.Draw(t, "by"), member.State(rapid.IntRange(1, 5).Draw(t, "state")))
			case 9:
				m.reportAll()
			}
			m.checkSummaries(t)
		}
		// The summary is complete again once every node has reported.
		m.inFlight = nil
		for range 2 { // refutations reach every node in the second round
			m.syncViews()
		}
		for _, id := range m.ids {
			m.advance(id, 9)
		}
		m.reportAll()
		if _, d := m.root(); d.Version != 9 || d.Live != len(m.ids) || d.Confirmed != d.Live {
			t.Fatalf("summary after all have confirmed: %+v", d)
		}
	})
}

// mergeState merges the state s of the member about into the directory of
// the node by.
func (m *domainSim) mergeState(about, by string, s member.State) {
	if about == by {
		return
	}
	r := *m.processes[by].dir.Lookup(about)
	r.State = s
	if s == member.Left || s == member.Draining {
		return // only a node itself announces these
	}
	m.processes[by].dir.Merge([]member.Record{r})
}

// confirmAndReport puts the version in force on every node and lets every node
// report.
func confirmAndReport(m *domainSim, version uint64) {
	for _, id := range m.ids {
		m.advance(id, version)
	}
	m.reportAll()
}

// Guards against counting a restarted node with the version that its previous
// process had confirmed.
func TestRestartedNodeIsPending(t *testing.T) {
	is := is.New(t)
	m := newDomainSim(21)
	confirmAndReport(m, 4)
	root, d := m.root()
	is.Equal(d.Version, uint64(4))
	leaf := m.processes[root].dir.Ranked("fd")[20].ID
	m.restart(leaf)
	m.send(leaf) // the parent detects the restart by the report's incarnation
	m.deliver(0)
	m.inFlight = nil
	m.reportAll()
	_, d = m.root()
	is.Equal(d.Version, uint64(0))
	is.Equal(d.Laggards, []Laggard{{ID: leaf}})
	m.syncViews()
	m.advance(leaf, 4)
	m.reportAll()
	_, d = m.root()
	is.Equal(d.Version, uint64(4))
}

// Guards against counting a restarted parent and its children by the reports of
// its previous process, and against counting a subtree whose reports have
// expired.
func TestRestartedParentIsPending(t *testing.T) {
	is := is.New(t)
	m := newDomainSim(21)
	confirmAndReport(m, 4)
	root, _ := m.root()
	parent := m.processes[root].dir.Ranked("fd")[1].ID
	m.restart(parent)
	m.syncViews()
	_, d := m.root()
	is.Equal(d.Version, uint64(0)) // the report of the former incarnation does not count
	is.Equal(d.Laggards, []Laggard{{ID: parent}})
	m.advance(parent, 4)
	m.send(parent)
	m.deliver(0)
	m.inFlight = nil
	_, d = m.root()
	is.Equal(d.Version, uint64(0)) // its children have not reported to it yet
	m.reportAll()
	_, d = m.root()
	is.Equal(d.Version, uint64(4))
	m.now = m.now.Add(expiry)
	_, d = m.root()
	is.Equal(d.Version, uint64(0)) // expired reports do not count
}

// Guards against a node that is counted twice making up for a missing one, so
// that only the XOR shows the difference.
func TestNodeCountedTwice(t *testing.T) {
	is := is.New(t)
	m := newDomainSim(9)
	root, _ := m.root()
	ranked := m.processes[root].dir.Ranked("fd")
	twice, missing := ranked[5], ranked[6]
	for _, id := range m.ids {
		if id != missing.ID {
			m.advance(id, 4)
		}
	}
	m.reportAll()
	// Another child of the root counts one node again, so that the count matches.
	other := m.processes[ranked[2].ID].agg.nextReport(m.now)
	other.Count++
	other.Xor ^= twice.IncarnationHash()
	m.processes[root].agg.recordReport(m.now, other)
	_, d := m.root()
	is.Equal(d.Version, uint64(0))
	is.Equal(m.processes[root].agg.subtree(m.now).count, 9)
	is.Equal(d.Laggards, []Laggard{{ID: missing.ID}})
}

// Guards against summaries that omit a laggard deep in the tree.
func TestLaggardsAreNamed(t *testing.T) {
	is := is.New(t)
	m := newDomainSim(40)
	confirmAndReport(m, 4)
	root, _ := m.root()
	slow := m.processes[root].dir.Ranked("fd")[39].ID
	for _, id := range m.ids {
		if id != slow {
			m.advance(id, 5)
		}
	}
	for range 4 { // each report carries the newest version one level down
		m.reportAll()
	}
	_, d := m.root()
	is.Equal(d.Version, uint64(4))
	is.Equal(d.Newest, uint64(5))
	is.Equal(d.Confirmed, 39)
	is.Equal(d.Laggards, []Laggard{{slow, 4}})
}
