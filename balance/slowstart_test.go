package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
)

// Guards against a node that has just started and treats every target as just
// started, so that a target that really is gets its full share of calls at once.
// Targets whose clock is ahead or behind must still be used.
func TestSlowStartFollowsProcessAge(t *testing.T) {
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
	restart(1, -24*time.Hour) // the clock of its instance is a day ahead
	cold := f.calls(400, time.Millisecond, succeeding)
	t.Log(cold)
	is.True(cold["sask-1-0"] < 40) // at most a tenth during slow start
	is.True(cold["sask-1-2"] > 80)
	f.now = f.now.Add(DefaultSlowStart)
	warm := f.calls(400, time.Millisecond, succeeding)
	is.True(warm["sask-1-0"] > 40)
	is.True(warm["sask-1-1"] > 40) // the wrong clock only delays slow start
}
