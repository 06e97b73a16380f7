package evenload

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newsOf returns news of the given age about a target with calls ahead of a call of
// any priority.
func newsOf(calls float64, age time.Duration) *News {
	n := &News{ServiceTime: 1e8, At: -int64(age)}
	for i := range n.Ahead {
		n.Ahead[i] = calls
	}
	return n
}

// Guards against old news that counts as much as new news, and against a target
// whose own calls are forgotten.
func TestNewsLosesWeightWithAge(t *testing.T) {
	is := is.New(t)
	var mean Mean
	mean.Add(newsOf(5, 0), 10)
	calls := func(age time.Duration, own int64) float64 {
		return EstimateOf(newsOf(20, age), &mean, 0, 10, own, 0).Calls
	}
	is.Equal(calls(0, 0), 20.0)
	is.True(math.Abs(calls(CallsHalfLife, 0)-12.5) < 0.01)
	is.Equal(calls(MaxAge, 0), 5.0)
	is.Equal(calls(0, 3), 23.0) // sent since the news
	is.Equal(EstimateOf(nil, &mean, 0, 10, 7, 0).Calls, 7.0)
}

// Guards against a full target with the expected time of a free one, and against a
// slow target that looks as good as a fast one.
func TestExpectedTimeGrowsWithLoadAndServiceTime(t *testing.T) {
	is := is.New(t)
	free := Estimate{Calls: 0, ServiceTime: 1e8}.ExpectedTime(10, 1)
	full := Estimate{Calls: 30, ServiceTime: 1e8}.ExpectedTime(10, 1)
	slow := Estimate{Calls: 0, ServiceTime: 3e8}.ExpectedTime(10, 1)
	is.True(full > 2*free)
	is.True(slow > 2*free)
}

// Guards against news that is changed on the way between two instances, and against
// malformed or hostile values that change what is known.
func TestItemsSurviveTheWay(t *testing.T) {
	is := is.New(t)
	items := []Item{
		{ID: "side-1", Ahead: [Priorities]int{1, 2, 3}, ServiceTime: 140 * time.Millisecond, Age: 80 * time.Millisecond},
		{ID: "side-2", Ahead: [Priorities]int{0, 0, 40}, ServiceTime: time.Second, Age: 0},
	}
	is.Equal(Decode(Encode(items)), items)
	is.Equal(Encode([]Item{{ID: "a,b", ServiceTime: 1}}), "")
	for _, v := range []string{"", "x", "a;1;2;3;140", "a;1;2;3;-1;0", ";1;2;3;140;0", "a;1;2;3;0;0",
		"a;1;2;3;99999999999;0", "a;1;2;3;140;0;0"} {
		is.Equal(len(Decode(v)), 0)
	}
	is.Equal(len(Decode(strings.Repeat("a;1;2;3;140;0,", 1000))), 2*MaxRelayed)
}

// Guards against news that goes round between instances for ever, or that replaces
// newer news.
func TestBoardKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	var b Board
	item := func(id string, ahead int, age time.Duration) Item {
		return Item{ID: id, Ahead: [Priorities]int{ahead, ahead, ahead}, ServiceTime: time.Second, Age: age}
	}
	now := int64(10 * time.Second)
	b.Learn([]Item{item("a", 1, 100*time.Millisecond), item("a", 9, 500*time.Millisecond), item("b", 2, 0), item("self", 3, 0)}, now)
	got := b.Newest("self", now)
	is.Equal(len(got), 2)
	is.Equal(got[0].ID, "b")
	is.Equal(got[1].Ahead[0], 1)
	is.Equal(len(b.Newest("self", now+int64(MaxRelayedAge))), 0)
	for i := range 10 * maxBoardTargets {
		b.Learn([]Item{item(string(rune('A'+i)), 1, 0)}, now+int64(i))
	}
	is.Equal(len(b.news), maxBoardTargets)
}

// Guards against calls that are handed on to a full target, by old news, or to the
// same target again.
func TestRoomElsewhereNeedsFreshNewsOfAFreeTarget(t *testing.T) {
	is := is.New(t)
	room := func(calls int, age time.Duration, id string) bool {
		var b Board
		b.Learn([]Item{{ID: id, Ahead: [Priorities]int{calls, calls, calls}, ServiceTime: time.Second, Age: age}}, int64(time.Minute))
		return b.RoomElsewhere("self", 0, 13, int64(time.Minute))
	}
	is.True(room(5, 0, "a"))
	is.True(!room(13, 0, "a"))
	is.True(!room(11, 0, "a")) // others may have chosen it since
	is.True(!room(5, maxRoomAge, "a"))
	is.True(!room(5, 0, "self"))
}

// Guards against a measure of uneven load that old news distorts.
func TestSpreadIsThatOfFreshNews(t *testing.T) {
	is := is.New(t)
	var b Board
	b.Learn([]Item{{ID: "a", Ahead: [Priorities]int{0, 0, 20}, ServiceTime: 1},
		{ID: "b", Ahead: [Priorities]int{0, 0, 90}, ServiceTime: 1, Age: MaxRelayedAge}}, int64(time.Minute))
	is.Equal(b.Spread(0.5, 10, int64(time.Minute)), 1.5)
	is.Equal(b.Spread(0.5, 10, int64(2*time.Minute)), 0.0)
}

// Guards against an overloaded service whose instances hand calls on to each other
// instead of working.
func TestHandOnBudgetLimitsTheShare(t *testing.T) {
	is := is.New(t)
	var b HandOnBudget
	handedOn := 0
	for range 1000 {
		b.Arrived(HandOnShare)
		if b.Take() {
			handedOn++
		}
	}
	is.True(handedOn >= 95 && handedOn <= 100)
	for range 1000 {
		b.Arrived(HandOnShare)
	}
	handedOn = 0
	for b.Take() {
		handedOn++
	}
	is.Equal(handedOn, int(maxHandOnCredit))
}

// BenchmarkRelay measures what one message with news costs its sender and its
// receiver.
func BenchmarkRelay(b *testing.B) {
	var board Board
	for i := range 8 {
		board.Learn([]Item{{ID: "sidecar-amd-a-" + string(rune('1'+i)), Ahead: [Priorities]int{1, 2, 3}, ServiceTime: time.Second}}, 0)
	}
	var other Board
	for b.Loop() {
		other.Learn(Decode(Encode(board.Newest("self", 1))), 1)
	}
}
