package spread

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a comparison whose fleets do not converge, whose links add no
// latency, or whose counters stay at zero.
func TestEveryStrategyConvergesOnSmallFleet(t *testing.T) {
	is := is.New(t)
	p := Plan{Nodes: 12, Services: 10, Objects: 1, Changes: 2, Every: 200 * time.Millisecond, Idle: 100 * time.Millisecond}
	var results []Result
	is.NoErr(Compare(t.Context(), []Plan{p}, "abe", func(r Result) { results = append(results, r) }))
	is.Equal(len(results), 3)
	for _, r := range results {
		is.Equal(r.Failed, 0)
		for _, took := range r.Convergence {
			is.True(took >= latency[2]) // some node is in another region
		}
		is.True(r.DeltaBytes > 0)
	}
	is.True(results[0].StoreCalls > results[2].StoreCalls)
	is.Equal(results[1].StoreCalls, 0.0)
}

// Guards against a herd run that ends before the restarted nodes are ready.
func TestHerdOfOneFailureDomain(t *testing.T) {
	is := is.New(t)
	h, err := herd(t.Context(), 18, 10, 0)
	is.NoErr(err)
	is.Equal(h.Restarted, 3)
	is.True(h.LastReady > 0)
	is.True(h.PeakTransfers > 0)
}
