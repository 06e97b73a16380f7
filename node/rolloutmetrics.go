package node

import "siskingw/rollout"

// exportRollouts exports the number of roll-outs in each phase and the calls of this
// node under the last order of each service. Services are not labels: there may be
// thousands.
func exportRollouts(s *rolloutService) {
	set := s.node.metrics
	for _, p := range []rollout.Phase{rollout.Canary, rollout.Moving, rollout.Reverted, rollout.Done} {
		set.NewGauge(`siskingw_rollouts{phase="`+p.String()+`"}`, func() float64 {
			n := 0
			for _, d := range s.book.All() {
				if d.Phase == p {
					n++
				}
			}
			return float64(n)
		})
	}
	set.NewGauge("siskingw_rollout_calls", func() float64 { calls, _ := s.totals(); return float64(calls) })
	set.NewGauge("siskingw_rollout_new_version_calls", func() float64 { _, tried := s.totals(); return float64(tried) })
}

// totals returns the calls of this node under the last orders of all services, and
// those of them that tried the new version.
func (s *rolloutService) totals() (calls, tried uint64) {
	for service := range s.book.All() {
		c, n := s.traffic.Counts(service)
		calls, tried = calls+c, tried+n
	}
	return calls, tried
}
