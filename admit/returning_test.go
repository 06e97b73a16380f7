package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller's retry that counts as in time although the caller has
// waited since its first attempt, and against the calls of others that are taken
// for it: a retry has the same deadline, and each refusal is recalled once.
func TestRetryCountsFromTheFirstAttempt(t *testing.T) {
	is := is.New(t)
	var r Returning
	first := time.Unix(0, 0)
	deadline, now := first.Add(3*time.Second), first.Add(200*time.Millisecond)
	is.Equal(r.First(1, deadline, first), first)
	r.Refused(1, first, deadline)
	is.Equal(r.First(2, deadline, now), now)                  // asks for something else
	is.Equal(r.First(1, deadline.Add(time.Second), now), now) // of another caller
	is.Equal(r.First(1, deadline.Add(time.Millisecond), now), first)
	is.Equal(r.First(1, deadline, now), now)
	for i := range uint64(maxReturning + 1) {
		r.Refused(i, first, deadline)
	}
	is.True(len(r.refused) <= maxReturning)
}
