package balance

import "time"

// nestedTargetCost is the cost, as a share of a call's value, of a nested call that
// takes as long as its target latency. Its parent occupies a slot of another target
// all that time, also when the answer is not late.
const nestedTargetCost = 0.5

// waitCost returns the cost of the expected time of a nested call as a share of its
// value; 0 for other calls.
func (d Demand) waitCost(expected time.Duration) float64 {
	if !d.Nested || d.TargetLeft <= 0 {
		return 0
	}
	return nestedTargetCost * min(float64(expected)/float64(d.TargetLeft), 1)
}
