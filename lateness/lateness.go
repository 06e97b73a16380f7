// Package lateness estimates the probability that a call takes longer than a
// time limit when only its expected time is known. The caller's node and the
// target's node use the same estimate, so that one does not send calls that the
// other refuses.
package lateness

import (
	"math"
	"time"
)

// logStdDev is the standard deviation of the logarithm of a call's time around
// its expected time: the times of calls on one route vary by about half, up or
// down.
const logStdDev = 0.5

// logisticScale scales the argument of the logistic function so that it closely
// approximates the cumulative normal distribution.
const logisticScale = 1.702

// Probability returns the probability, 0..1, that a call with the expected time
// takes longer than the limit.
func Probability(expected, limit time.Duration) float64 {
	switch {
	case limit <= 0:
		return 1
	case expected <= 0:
		return 0
	}
	z := math.Log(float64(limit)/float64(expected)) / logStdDev
	return 1 / (1 + math.Exp(logisticScale*z))
}
