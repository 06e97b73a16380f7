package member

import (
	"testing"

	"github.com/matryer/is"
)

// Every node of a fleet restarts at the same moment and joins through the same
// three seeds. Guards against joins that are rejected and retried in a later
// round in fleets of up to 80 nodes, and against sending 20,000 records to 64
// nodes concurrently.
func TestFleetRestartThroughThreeSeeds(t *testing.T) {
	is := is.New(t)
	const seeds = 3
	for _, nodes := range []int{14, 63, 80} {
		is.True(sendsFullSet(nodes))
		is.True(maxConcurrentJoins(nodes)*seeds >= int64(nodes))
	}
	is.True(!sendsFullSet(20_000))
	is.True(maxConcurrentJoins(20_000) <= 4) // at most 4 times 2 MB are in flight
}
