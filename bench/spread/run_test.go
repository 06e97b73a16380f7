package spread

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against fleets that do not converge, links that add no latency and
// counters that stay at zero.
func TestEveryStrategyConvergesOnSmallFleet(t *testing.T) {
	is := is.New(t)
	p := Plan{Nodes: 12, Services: 10, Objects: 1, Changes: 2, ChangeInterval: 200 * time.Millisecond, IdleTime: 100 * time.Millisecond}
	var results []Result
	is.NoErr(Compare(t.Context(), []Plan{p}, "abe", func(r Result) { results = append(results, r) }))
	is.Equal(len(results), 3)
	for _, r := range results {
		is.Equal(r.Failed, 0)
		for _, took := range r.Convergence {
			is.True(took >= latency[2]) // at least one node is in another region
		}
		is.True(r.DeltaBytes > 0)
	}
	is.True(results[0].StoreCallsPerSecond > results[2].StoreCallsPerSecond)
	is.Equal(results[1].StoreCallsPerSecond, 0.0)
}

// Guards against a restart measurement that ends before the restarted nodes are
// ready.
func TestRestartOfOneFailureDomain(t *testing.T) {
	is := is.New(t)
	result, err := measureRestart(t.Context(), 18, 10, 0)
	is.NoErr(err)
	is.Equal(result.Restarted, 3)
	is.True(result.LastReady > 0)
	is.True(result.PeakTransfers > 0)
}
