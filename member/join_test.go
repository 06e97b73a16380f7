package member

import (
	"testing"

	"github.com/matryer/is"
)

// Load: every node of a fleet restarts at the same moment and asks the same
// three seeds. Guards against nodes of a fleet of up to 80 that are turned away
// and wait for a further round, and against 20,000 records that are sent to 64
// nodes at a time.
func TestRestartOfAWholeFleetMeetsAtThreeSeeds(t *testing.T) {
	is := is.New(t)
	const seeds = 3
	for _, nodes := range []int{14, 63, 80} {
		is.True(toldWhole(nodes))
		is.True(joinsAtOnce(nodes)*seeds >= int64(nodes))
	}
	is.True(!toldWhole(20_000))
	is.True(joinsAtOnce(20_000) <= 4) // 4 times 2 MB are in flight at most
}
