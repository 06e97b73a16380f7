package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// detectorTest drives a detector through ticks of one second. answers reports
// whether a probe from one node to another is answered.
type detectorTest struct {
	dir      *Directory
	detector *detector
	now      time.Time
	answers  func(from, to string) bool
	// refuteAfter holds the members that refute a suspicion, with the number of
	// ticks after which they do.
	refuteAfter map[string]int
	suspectedAt map[string]int
	ticks       int
}

func newDetectorTest(members int) *detectorTest {
	dir := NewDirectory(Record{ID: "self", Incarnation: 1, Sequence: 1, FailureDomain: "fd", Region: "r"}, DirectoryOptions{})
	var records []Record
	for i := range members {
		records = append(records, Record{ID: fmt.Sprintf("m%d", i), Incarnation: 1, Sequence: 1, State: Alive, FailureDomain: "fd", Region: "r"})
	}
	dir.Merge(records)
	return &detectorTest{
		dir: dir, detector: newDetector(dir, time.Second, 5*time.Second, rand.New(rand.NewPCG(1, 2))),
		now: time.Unix(1e9, 0), answers: func(_, _ string) bool { return true },
		refuteAfter: map[string]int{}, suspectedAt: map[string]int{},
	}
}

// run advances by n ticks and returns the highest number of suspects at any one
// time.
func (t *detectorTest) run(n int) (maxSuspects int) {
	for range n {
		t.ticks++
		t.now = t.now.Add(time.Second)
		member := t.detector.tick(t.now)
		t.merge(t.detector.declareDead(t.now))
		if member != nil {
			t.merge(t.detector.observe(t.now, t.probe(member)))
		}
		for id, ticks := range t.refuteAfter {
			r := t.dir.Lookup(id)
			if r.State == Suspect && t.ticks-t.suspectedAt[id] >= ticks {
				next := *r
				next.Sequence, next.State = r.Sequence+1, Alive
				t.merge([]Record{next})
			}
		}
		maxSuspects = max(maxSuspects, t.countState(Suspect))
	}
	return maxSuspects
}

func (t *detectorTest) merge(records []Record) {
	changed := t.dir.Merge(records)
	for _, r := range changed {
		if r.State == Suspect {
			t.suspectedAt[r.ID] = t.ticks
		}
	}
	t.detector.trackSuspicions(t.now, changed)
}

func (t *detectorTest) probe(member *Record) probeResult {
	o := probeResult{member: member, started: t.now, answered: t.answers("self", member.ID)}
	if o.answered {
		return o
	}
	for _, h := range t.detector.helpers(member) {
		o.helpersAsked++
		switch {
		case !t.answers("self", h.ID):
		case t.answers(h.ID, member.ID):
			o.answered = true
		default:
			o.negativeReplies++
		}
	}
	return o
}

func (t *detectorTest) countState(s State) int {
	n := 0
	for _, r := range t.dir.All() {
		if r.State == s {
			n++
		}
	}
	return n
}

// Guards against a dead member that stays alive in the records.
func TestUnresponsiveMemberIsDeclaredDead(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(9)
	d.answers = func(_, to string) bool { return to != "m3" }
	d.run(9 + 6) // one round of probes and the suspect timeout
	is.Equal(d.dir.Lookup("m3").State, Dead)
	is.Equal(d.countState(Dead), 1)
	is.Equal(d.countState(Suspect), 0)
}

// Guards against declaring a slow member dead that misses probes but refutes
// each suspicion.
func TestSlowMemberRefutesSuspicion(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(9)
	d.answers = func(_, to string) bool { return to != "m3" }
	d.refuteAfter["m3"] = 4
	is.Equal(d.run(60), 1)
	is.Equal(d.countState(Dead), 0)
	is.True(d.dir.Lookup("m3").Sequence > 1)
}

// Guards against a suspicion caused by a link that is cut in either or both
// directions, while some helper still reaches the member.
func TestCutLinkCausesNoSuspicion(t *testing.T) {
	for name, cut := range map[string]func(from, to string) bool{
		"to the member": func(from, to string) bool { return from == "self" && to == "m3" },
		"from it":       func(from, to string) bool { return from == "m3" && to == "self" },
		"both":          func(from, to string) bool { return from+to == "selfm3" || from+to == "m3self" },
	} {
		d := newDetectorTest(9)
		// A probe needs both directions: the request and the reply.
		d.answers = func(from, to string) bool { return !cut(from, to) && !cut(to, from) }
		if n := d.run(40); n > 0 {
			t.Errorf("%s: %d suspects", name, n)
		}
	}
}

// Guards against a node that is cut off itself and declares all others dead.
func TestIsolatedNodeSuspectsNobody(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(20)
	d.run(10)
	d.answers = func(from, _ string) bool { return from != "self" }
	is.Equal(d.run(60), 0)
	d.answers = func(_, to string) bool { return to != "m7" }
	d.run(20 + 6 + probeHistoryLength)
	is.Equal(d.dir.Lookup("m7").State, Dead) // detection works again after the isolation
	is.Equal(d.countState(Dead), 1)
}

// Guards against an apparently isolated node that trusts the negative reply of
// a single helper.
func TestIsolatedNodeNeedsTwoNegativeReplies(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(9).detector
	d.probeHistory = []bool{false, false, false, true}
	is.True(d.isolated())
	is.True(!d.conclusive(probeResult{helpersAsked: 3, negativeReplies: 1}))
	is.True(d.conclusive(probeResult{helpersAsked: 3, negativeReplies: 2}))
	is.True(!d.conclusive(probeResult{helpersAsked: 3}))
}

// Guards against a resumed process that acts on observations from before its
// pause: the results of old probes, and suspicions that expired meanwhile.
func TestPauseRestartsSuspectTimeouts(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(9)
	d.answers = func(_, to string) bool { return to != "m3" }
	for d.countState(Suspect) == 0 {
		d.run(1)
	}
	old := probeResult{member: d.dir.Lookup("m5"), started: d.now, helpersAsked: 3, negativeReplies: 3}
	d.now = d.now.Add(time.Minute) // the process is paused
	d.merge(d.detector.declareDead(d.now))
	is.Equal(d.countState(Dead), 0)
	d.run(1)
	is.Equal(len(d.detector.observe(d.now, old)), 0)
	is.Equal(d.countState(Dead), 0)
	d.run(4)
	is.Equal(d.countState(Dead), 0)
	d.run(10)
	is.Equal(d.dir.Lookup("m3").State, Dead)
}

// Guards against a simultaneous failure of most of a failure domain that is
// never detected because the surviving nodes assume that they are isolated
// themselves.
func TestMassFailureIsDetected(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(40)
	d.run(40)
	alive := map[string]bool{"self": true, "m1": true, "m2": true, "m3": true, "m4": true}
	d.answers = func(_, to string) bool { return alive[to] }
	d.run(400)
	is.Equal(d.countState(Dead), 36)
	is.Equal(d.countState(Alive), 5)
}

// Guards against a suspicion that never ends because the node that raised it
// has died.
func TestRelaysEndSuspicionsOfOtherNodes(t *testing.T) {
	is := is.New(t)
	d := newDetectorTest(9)
	r := *d.dir.Lookup("m3")
	r.State = Suspect
	d.answers = func(_, to string) bool { return to != "m3" }
	d.merge([]Record{r})
	d.run(5)
	is.Equal(d.countState(Dead), 0)
	d.run(10)
	is.Equal(d.dir.Lookup("m3").State, Dead)
}
