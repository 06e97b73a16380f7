package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// picks returns how many of 100 picks each target gets for calls with the demand.
func (f *fixture) picks(d Demand) map[string]int {
	n := make(map[string]int)
	for range 100 {
		id, _ := f.pick(d)
		n[id]++
	}
	return n
}

// Two targets of equal speed, one of which gets mostly short calls. Guards against
// targets that look fast because of the calls that they happen to get, and slow
// because of the others, so that each kind of call piles up at one of them.
func TestServiceTimesAreComparedByClass(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	for range 20 {
		for id, all := range map[string]time.Duration{"sask-1-0": 60 * time.Millisecond, "sask-1-1": 240 * time.Millisecond} {
			for class, own := range map[string]time.Duration{"lookup": 45 * time.Millisecond, "page": 250 * time.Millisecond} {
				f.pickOnly(id).Done(Report{Duration: time.Millisecond, ServiceTime: all, Class: class, ClassServiceTime: own})
			}
		}
	}
	for _, class := range []string{"lookup", "page"} {
		d := pageDemand
		d.Class = class
		n := f.picks(d)
		is.True(n["sask-1-0"] > 20 && n["sask-1-1"] > 20)
	}
}

// Guards against calls that go to a machine whose neighbours take it at the moment,
// and against calls that avoid it long after.
func TestCallsAvoidMachinesThatAreSlowNow(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.pickOnly("sask-1-0").Done(Report{Duration: time.Millisecond, ServiceTime: 250 * time.Millisecond, Slowness: 2.5})
	is.Equal(f.picks(pageDemand)["sask-1-0"], 0)
	f.now = f.now.Add(2 * time.Second)
	is.True(f.picks(pageDemand)["sask-1-0"] > 20)
}

// Guards against downloads that wait for the link of one instance while that of
// another is free, and against small responses that avoid it too.
func TestDownloadsAvoidBusyLinks(t *testing.T) {
	is := is.New(t)
	f := newLossFixture()
	f.pickOnly("sask-1-0").Done(Report{Duration: time.Millisecond, ServiceTime: 250 * time.Millisecond, SendBacklog: time.Second})
	is.True(f.picks(pageDemand)["sask-1-0"] > 20)
	d := pageDemand
	d.Bytes = 90 << 10
	is.Equal(f.picks(d)["sask-1-0"], 0)
}

// Guards against nested calls that wait although they need not, because they would
// not be late: their parents hold slots meanwhile.
func TestNestedCallsGoWhereTheyAreAnsweredSooner(t *testing.T) {
	is := is.New(t)
	d := Demand{TargetLeft: 3 * time.Second, DeadlineLeft: 9 * time.Second}
	f := newLossFixture()
	f.pickOnly("sask-1-0").Done(Report{Duration: time.Millisecond, ServiceTime: 500 * time.Millisecond})
	n := f.picks(d)["sask-1-0"]
	is.True(n > 0) // neither is late
	d.Nested = true
	is.True(f.picks(d)["sask-1-0"] < n)
	is.Equal(Demand{Nested: true}.waitCost(time.Second), 0.0) // late anyway
}
