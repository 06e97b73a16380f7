package lateness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a probability outside 0..1, or one that falls while the
// expected time grows: a node would then prefer the slower of two targets.
func TestProbabilityRisesWithTheExpectedTime(t *testing.T) {
	is := is.New(t)
	last := 0.0
	for ms := range 3000 {
		s := Probability(time.Duration(ms)*time.Millisecond, 800*time.Millisecond)
		is.True(s >= last && s <= 1)
		last = s
	}
	is.True(last > 0.9)
	is.True(Probability(200*time.Millisecond, 800*time.Millisecond) < 0.02)
	is.Equal(Probability(time.Millisecond, 0), 1.0)
	half := Probability(800*time.Millisecond, 800*time.Millisecond)
	is.True(half > 0.49 && half < 0.51)
}
