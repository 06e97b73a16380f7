package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
)

// Guards against a node that has just started and takes every target for
// cold, so that a target that is really cold gets its full share; with clocks
// of other instances that are ahead or behind, targets must still be used.
func TestAgeAtFirstSight(t *testing.T) {
	is := is.New(t)
	f := newFixture(5, Options{})
	restart := func(i int, age time.Duration) {
		r := *f.view.records[i]
		r.Incarnation = member.NewIncarnation(f.now.Add(-age))
		f.view.set(r)
	}
	for i := range f.view.records {
		restart(i, time.Hour)
	}
	restart(0, 0)
	restart(1, -24*time.Hour) // its clock is a day ahead
	cold := f.calls(400, time.Millisecond, good)
	t.Log(cold)
	is.True(cold["sask-1-0"] < 40) // at most a tenth while cold
	is.True(cold["sask-1-2"] > 80)
	f.now = f.now.Add(DefaultSlowStart)
	warm := f.calls(400, time.Millisecond, good)
	is.True(warm["sask-1-0"] > 40)
	is.True(warm["sask-1-1"] > 40) // the wrong clock only delays the ramp
}
