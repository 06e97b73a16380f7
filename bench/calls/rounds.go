package calls

import (
	"fmt"
	"slices"
)

// rounds holds the latency that each path added in each round. On a machine with
// other load, the median over rounds is more meaningful than one histogram of the
// whole run, whose upper quantiles are dominated by the periods of other load.
type rounds struct {
	paths []*path
	added [][3]float64 // ms at each of the percentiles; one entry per round and path but the first
}

// percentiles are the reported percentiles, 0 to 100.
var percentiles = [3]float64{50, 99, 99.9}

func newRounds(paths []*path) *rounds {
	r := &rounds{paths: paths}
	r.resetLatency()
	return r
}

func (r *rounds) resetLatency() {
	for _, p := range r.paths {
		p.roundLatency.Reset()
	}
}

// endRound records the latency that each path added to that of the first, direct
// one, and begins a new round.
func (r *rounds) endRound() {
	for _, p := range r.paths[1:] {
		var a [3]float64
		for i, q := range percentiles {
			a[i] = float64(p.roundLatency.ValueAtQuantile(q)-r.paths[0].roundLatency.ValueAtQuantile(q)) / 1e6
		}
		r.added = append(r.added, a)
	}
	r.resetLatency()
}

// print writes the minimum and the median over the rounds of the latency that
// each path added.
func (r *rounds) print() {
	others := len(r.paths) - 1
	n := len(r.added) / others
	for k, p := range r.paths[1:] {
		fmt.Printf("%-10s added in %d rounds, least/median:", p.name, n)
		for i, q := range percentiles {
			var v []float64
			for j := range n {
				v = append(v, r.added[j*others+k][i])
			}
			slices.Sort(v)
			fmt.Printf("  p%g %.3f/%.3f", q, v[0], v[n/2])
		}
		fmt.Println(" ms")
	}
}
