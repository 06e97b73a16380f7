package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/evenload"
	"siskingw/member"
)

// domainFixture returns a node in sask-1 with n targets of 9 slots in that failure
// domain alone, whose gates have all reported the same state.
func domainFixture(n int) *fixture {
	f := newFixture(0, Options{})
	for i := range n {
		r := f.record(fmt.Sprintf("sask-1-%d", i), "sask-1")
		r.Slots = 9
		f.view.set(r)
	}
	for _, r := range f.view.records {
		f.reportGateState(r.ID, 4, 200*time.Millisecond, admit.LinkReport{})
	}
	return f
}

// callsByTarget returns how many of n calls that end at once go to each target.
func (f *fixture) callsByTarget(n int) map[string]int {
	count := make(map[string]int)
	for range n {
		id, _ := f.pick(pageDemand)
		count[id]++
	}
	return count
}

// Many choose at once: all callers hear that one target is idle. Guards against
// callers that all send there until the news of that comes back.
func TestNewsOfAnIdleTargetDoesNotDrawAllCalls(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	f.reportGateState("sask-1-0", 0, 100*time.Millisecond, admit.LinkReport{})
	count := f.callsByTarget(400)
	// Two of eight targets are drawn: the best one is among them for a quarter.
	is.True(count["sask-1-0"] > 60 && count["sask-1-0"] < 140)
	for _, r := range f.view.records[1:] {
		is.True(count[r.ID] > 15)
	}
}

// One target slow in eight. Guards against calls that wait at the slow one, and
// against a slow one that gets no call and is never found to have recovered.
func TestSlowTargetGetsFewCallsUntilItRecovers(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	f.reportGateState("sask-1-0", 12, time.Second, admit.LinkReport{})
	is.True(f.callsByTarget(400)["sask-1-0"] < 8)
	f.now = f.now.Add(evenload.MaxAge)
	is.True(f.callsByTarget(400)["sask-1-0"] > 15)
}

// A grey target fails calls while its health is good. Guards against calls that are
// drawn to it because it is idle.
func TestGreyTargetGetsFewCalls(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	for range 4 {
		f.pickOnly("sask-1-0").Done(Report{Failed: true, Duration: time.Millisecond, ServiceTime: time.Millisecond})
	}
	is.True(f.callsByTarget(400)["sask-1-0"] < 8)
}

// Flapping: a target becomes unreachable and reachable by turns. Guards against a
// failure domain without calls, and against a target that is ejected for ever.
func TestFlappingTargetIsUsedWhileItWorks(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	for range 3 {
		f.pickOnly("sask-1-0").Done(Report{Unreachable: true})
		is.Equal(f.callsByTarget(100)["sask-1-0"], 0)
		f.now = f.now.Add(time.Minute)
		for range probationCalls {
			f.pickOnly("sask-1-0").Done(Report{Duration: time.Millisecond})
		}
		is.True(f.callsByTarget(400)["sask-1-0"] > 15)
	}
}

// A lying target: what is heard of it says idle, but it does not answer. Its own
// instance measures calls and times, so that a target can lie only about its health
// and its machine. Guards against calls that pile up there before any has failed.
func TestCallsDoNotPileUpAtASilentTarget(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	idle := evenload.Item{ID: "sask-1-0", ServiceTime: 200 * time.Millisecond}
	held := 0
	for range 400 {
		f.b.Learn(f.set.Announce, []evenload.Item{idle})
		p, err := f.b.PickFor(&f.set, nil, nil, pageDemand)
		is.NoErr(err)
		if p.Record.ID == "sask-1-0" {
			held++ // it does not answer
			f.now = f.now.Add(time.Millisecond)
			continue
		}
		p.Done(Report{})
	}
	t.Log(held)
	is.True(held < 40)
}

// Freshly started: a target restarts cold. Guards against an even share before it
// has warmed up.
func TestStartedTargetRampsUp(t *testing.T) {
	is := is.New(t)
	f := domainFixture(8)
	r := f.record("sask-1-0", "sask-1")
	r.Slots, r.Incarnation = 9, member.NewIncarnation(f.now)
	f.view.set(r)
	is.True(f.callsByTarget(400)["sask-1-0"] < 25)
	f.now = f.now.Add(DefaultSlowStart)
	is.True(f.callsByTarget(400)["sask-1-0"] > 25)
}

// Guards against relayed news that is older than what is known, that concerns
// another failure domain, or that does not reach the choice.
func TestRelayedNewsCountsWhenItIsNewer(t *testing.T) {
	is := is.New(t)
	f := domainFixture(2)
	f.now = f.now.Add(500 * time.Millisecond)
	full := evenload.Item{ID: "sask-1-0", ServiceTime: time.Second}
	for i := range full.Ahead {
		full.Ahead[i] = 40
	}
	old := full
	old.Age = time.Second
	f.b.Learn(f.set.Announce, []evenload.Item{old, {ID: "unknown", ServiceTime: time.Second}})
	is.True(f.callsByTarget(100)["sask-1-0"] > 20)
	f.b.Learn(f.set.Announce, []evenload.Item{full})
	is.Equal(f.callsByTarget(100)["sask-1-0"], 0)
	passedOn := f.b.Newest(f.set.Announce, "sask-1-1")
	is.Equal(len(passedOn), 1)
	is.Equal(passedOn[0].Ahead[0], 40)
}

// A fleet of 12 to 20,000 targets. Guards against a choice whose cost grows with
// the fleet, and against targets that are never chosen in a large one.
func TestEveryTargetGetsItsShareAtAllSizes(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{12, 600, 20_000} {
		f := newFixture(0, Options{})
		f.view.frozen = true
		for i := range n {
			r := f.record(fmt.Sprintf("sask-1-%d", i), "sask-1")
			f.view.records = append(f.view.records, &r)
		}
		calls := 20 * min(n, 600)
		count := f.callsByTarget(calls)
		mean, highest := float64(calls)/float64(n), 0
		for _, c := range count {
			highest = max(highest, c)
		}
		is.True(float64(highest) < mean+6*math.Sqrt(mean)+2)
		is.True(len(count) > min(n, calls)*6/10)
	}
}
