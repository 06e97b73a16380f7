package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/member"
)

// newLossFixture returns a node in sask-1 with two targets of 9 slots in each
// failure domain, whose gates have all reported that they are idle.
func newLossFixture() *fixture {
	f := newFixture(2, Options{})
	for i := range f.view.records {
		r := *f.view.records[i]
		r.Slots = 9
		f.view.set(r)
	}
	for _, r := range f.view.records {
		f.reportGateState(r.ID, 0, 250*time.Millisecond, admit.LinkReport{})
	}
	return f
}

// reportGateState reports the state of a target's gate to the balancer: its calls,
// in flight and queued, its service time, and its instance's link.
func (f *fixture) reportGateState(id string, calls int, service time.Duration, link admit.LinkReport) {
	r := Report{Duration: time.Millisecond, ServiceTime: service, Link: link}
	for i := range r.CallsAhead {
		r.CallsAhead[i] = calls
	}
	f.pickOnly(id).Done(r)
}

// pickOnly picks the given target by skipping all others.
func (f *fixture) pickOnly(id string) *Picked {
	var skip []string
	for _, r := range f.view.records {
		if r.ID != id {
			skip = append(skip, r.ID)
		}
	}
	p, err := f.b.PickFor(&f.set, nil, skip, pageDemand)
	if err != nil {
		panic(err)
	}
	return p
}

// pick returns the target selected for a call with the demand, and the
// probability that the call is late; "" and 1 when no target is left.
func (f *fixture) pick(d Demand, skip ...string) (string, float64) {
	p, err := f.b.PickFor(&f.set, &f.ejection, skip, d)
	if err != nil {
		return "", 1
	}
	p.Done(Report{})
	return p.Record.ID, p.Late
}

// shares returns how many of 100 picks go to each failure domain.
func (f *fixture) shares(d Demand) map[string]int {
	n := make(map[string]int)
	for range 100 {
		id, _ := f.pick(d)
		n[id[:6]]++
	}
	return n
}

var pageDemand = Demand{TargetLeft: 800 * time.Millisecond, DeadlineLeft: 1500 * time.Millisecond, Bytes: 2 << 10}

// Unevenly loaded failure domains. Guards against calls that queue in a full
// failure domain while others are free, and against charged traffic while the own
// one is free.
func TestCallsSpillOverFromAFullFailureDomain(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	is.Equal(f.shares(pageDemand)["sask-1"], 100)
	for _, id := range []string{"sask-1-0", "sask-1-1"} {
		f.reportGateState(id, 40, 250*time.Millisecond, admit.LinkReport{})
	}
	is.Equal(f.shares(pageDemand)["sask-2"], 100)
	for _, id := range []string{"sask-2-0", "sask-2-1"} {
		f.reportGateState(id, 40, 250*time.Millisecond, admit.LinkReport{})
	}
	got := f.shares(pageDemand)
	is.Equal(got["alta-1"]+got["mani-1"], 100)
}

// A region that is at its limit while others have room. Guards against calls that are
// refused by one near target after the other, and then refused to their caller, because
// a near target with a short queue costs less than traffic between regions; and against
// calls that leave the region before a gate has refused them.
func TestRefusedCallsGoWhereThereIsRoom(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for _, id := range []string{"sask-1-0", "sask-1-1", "sask-2-0", "sask-2-1"} {
		f.reportGateState(id, 14, 250*time.Millisecond, admit.LinkReport{})
	}
	d := pageDemand
	got := f.shares(d)
	is.Equal(got["sask-1"]+got["sask-2"], 100)
	d.Refused = true
	got = f.shares(d)
	is.Equal(got["alta-1"]+got["mani-1"], 100)
	d.Bytes = 90 << 10 // its traffic would cost more than it is worth
	got = f.shares(d)
	is.Equal(got["sask-1"]+got["sask-2"], 100)
	for _, r := range f.view.records { // no room anywhere
		f.reportGateState(r.ID, 14, 250*time.Millisecond, admit.LinkReport{})
	}
	d = pageDemand
	d.Refused = true
	got = f.shares(d)
	is.Equal(got["sask-1"]+got["sask-2"], 100)
}

// A caller that comes back when its target latency is nearly over. Guards against a
// call that is late everywhere and is sent to a full target beside an idle one.
func TestLateCallsGoToIdleTargets(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.reportGateState("sask-1-0", 12, 250*time.Millisecond, admit.LinkReport{})
	d := pageDemand
	d.TargetLeft, d.Refused = 100*time.Millisecond, true
	for range 50 {
		p, err := f.b.PickFor(&f.set, &f.ejection, nil, d)
		is.NoErr(err)
		is.Equal(p.Record.ID, "sask-1-1")
		is.True(p.LateIdle > maxLateIdle)
		p.Done(Report{})
	}
	d.Bytes = 90 << 10 // its lateness says nothing about the link
	p, err := f.b.PickFor(&f.set, &f.ejection, nil, d)
	is.NoErr(err)
	is.Equal(p.LateIdle, 0.0)
	p.Done(Report{})
}

// Endpoints that differ in speed by a factor of three. Guards against calls that
// are late at the slow one while a fast one is free.
func TestCallsAvoidTheSlowTarget(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.reportGateState("sask-1-0", 0, 750*time.Millisecond, admit.LinkReport{})
	for range 50 {
		id, late := f.pick(pageDemand)
		is.Equal(id, "sask-1-1")
		is.True(late < 0.1)
	}
}

// Uploads over links with different numbers of pending bytes. Guards against
// bodies that wait for the link of a congested instance, and against uploads that
// leave a failure domain that can take them, because their traffic costs more than
// they are worth.
func TestUploadsAvoidCongestedLinks(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	upload := Demand{TargetLeft: 1500 * time.Millisecond, DeadlineLeft: 6 * time.Second, Bytes: 280 << 10, BodyBytes: 280 << 10}
	f.reportGateState("sask-1-0", 0, 250*time.Millisecond, admit.LinkReport{PendingBytes: 6 << 20, Rate: 3e6})
	f.reportGateState("sask-1-1", 0, 250*time.Millisecond, admit.LinkReport{PendingBytes: 1 << 20, Rate: 3e6})
	for range 50 {
		id, _ := f.pick(upload)
		is.Equal(id, "sask-1-1")
	}
	f.reportGateState("sask-1-1", 9, 400*time.Millisecond, admit.LinkReport{PendingBytes: 3 << 20, Rate: 3e6})
	is.Equal(f.shares(upload)["sask-1"], 100)
}

// Guards against calls that go to another instance although the target of the own
// instance is as good.
func TestOwnInstanceIsPreferred(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.view.self.ID = "sask-1-1"
	upload := Demand{TargetLeft: 1500 * time.Millisecond, DeadlineLeft: 6 * time.Second, Bytes: 280 << 10, BodyBytes: 280 << 10}
	link := admit.LinkReport{Rate: 3e6}
	f.reportGateState("sask-1-0", 0, 250*time.Millisecond, link)
	f.reportGateState("sask-1-1", 0, 250*time.Millisecond, link)
	for range 50 {
		id, _ := f.pick(upload)
		is.Equal(id, "sask-1-1")
	}
}

// Overload by reads. Guards against bids that are expected to be late because of
// queued reads, which have a lower priority and are served after them.
func TestHighPriorityCallsIgnoreQueuedReads(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for _, r := range f.view.records {
		f.pickOnly(r.ID).Done(Report{Duration: time.Millisecond, ServiceTime: 250 * time.Millisecond,
			CallsAhead: [admit.Priorities]int{9, 10, 40}})
	}
	read, bid := pageDemand, pageDemand
	read.Priority, bid.Priority = 2, 0
	_, late := f.pick(read)
	is.True(late > 0.5)
	_, late = f.pick(bid)
	is.True(late < 0.2)
}

// Classes of calls with different service times. Guards against a call with a
// short target latency whose expected time is that of uploads.
func TestClassesHaveTheirOwnServiceTime(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for range 60 {
		for _, class := range []string{"call", "upload"} {
			p := f.pickOnly("sask-1-0")
			of := map[string]time.Duration{"call": 50 * time.Millisecond, "upload": 450 * time.Millisecond}[class]
			p.Done(Report{Duration: time.Millisecond, ServiceTime: 250 * time.Millisecond, Class: class, ClassServiceTime: of})
		}
	}
	_, late := f.pick(Demand{TargetLeft: 200 * time.Millisecond, DeadlineLeft: 600 * time.Millisecond, Class: "call"})
	is.True(late < 0.1)
	_, late = f.pick(Demand{TargetLeft: 200 * time.Millisecond, DeadlineLeft: 600 * time.Millisecond, Class: "upload"})
	is.True(late > 0.9)
}

// Guards against reported states that never expire: after the load has ended, a
// target must be used again without a new report.
func TestGateStatesExpire(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.reportGateState("sask-1-0", 60, 250*time.Millisecond, admit.LinkReport{})
	is.Equal(f.shares(pageDemand)["sask-1"], 100)
	first := 0
	f.now = f.now.Add(3 * time.Second)
	for range 100 {
		if id, _ := f.pick(pageDemand); id == "sask-1-0" {
			first++
		}
	}
	is.True(first > 20)
}

// Guards against a failing target that is preferred because it is free, and
// against the selection of a skipped target.
func TestFailingAndSkippedTargetsAreAvoided(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for range 3 {
		p, err := f.b.PickFor(&f.set, &f.ejection, []string{"sask-1-1"}, pageDemand)
		is.NoErr(err)
		if p.Record.ID == "sask-1-0" {
			p.Done(Report{Failed: true, Duration: time.Millisecond})
		} else {
			p.Done(Report{})
		}
		f.now = f.now.Add(10 * time.Millisecond)
	}
	for range 50 {
		id, _ := f.pick(pageDemand)
		is.Equal(id, "sask-1-1")
		id, _ = f.pick(pageDemand, "sask-1-0", "sask-1-1")
		is.True(id[:6] != "sask-1")
	}
}

// Guards against calls to draining targets, and against a missing error when no
// other target is left.
func TestPickForWithoutTargets(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for _, r := range f.view.records {
		f.view.setState(r.ID, member.Draining)
	}
	id, _ := f.pick(pageDemand)
	is.Equal(id, "")
}

// BenchmarkPickFor measures one selection among the endpoints of a service.
func BenchmarkPickFor(b *testing.B) {
	for _, n := range []int{2, 16} {
		b.Run(fmt.Sprint(4*n), func(b *testing.B) {
			f := newFixture(n, Options{})
			for b.Loop() {
				f.pick(pageDemand)
			}
		})
	}
}

// Guards against a target that is ejected or readmitted without a log line for
// the operator.
func TestEjectionsAreReported(t *testing.T) {
	is := is.New(t)
	var ejections []Ejection
	f := newFixture(2, Options{OnEject: func(e Ejection) { ejections = append(ejections, e) }})
	f.pickOnly("sask-1-0").Done(Report{Unreachable: true})
	is.Equal(len(ejections), 1)
	is.Equal(ejections[0].Target.ID, "sask-1-0")
	is.True(ejections[0].Unreachable && ejections[0].Duration > 0)
	f.now = f.now.Add(2 * ejections[0].Duration)
	for range probationCalls {
		f.pickOnly("sask-1-0").Done(Report{Duration: time.Millisecond})
	}
	is.Equal(len(ejections), 2)
	is.Equal(ejections[1].Duration, time.Duration(0))
}
