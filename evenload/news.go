// Package evenload estimates the load of targets from news that is a little old,
// selects what an instance tells others about the targets that it called, and
// decides when a call is handed on by the instance of a full target. It has no
// network, clock or state of its own: callers pass in the time.
package evenload

import (
	"math"
	"time"
)

// Priorities is the number of priorities that news distinguishes; calls of lower
// priority count with the last one.
const Priorities = 3

// Constants of the estimate; the model in bench/even compares them with others, see
// docs/design/even-load.md.
const (
	// CallsHalfLife is the half-life of the weight of stated calls relative to
	// the mean of the service's targets.
	CallsHalfLife = 400 * time.Millisecond
	// ServiceTimeHalfLife is the half-life of the weight of the stated service
	// time, which changes more slowly than the calls in flight.
	ServiceTimeHalfLife = 3 * time.Second
	// MaxAge is the age from which news is ignored.
	MaxAge = 4 * time.Second
	// driftDeviation is the standard deviation, in calls, of the difference
	// between the calls at a target and news that is driftTime old or older.
	driftDeviation = 2.0
	driftTime      = 300 * time.Millisecond
)

// News is what the instance beside a target stated about it.
type News struct {
	Ahead       [Priorities]float64 // calls ahead of a new call, by its priority
	ServiceTime float64             // expected service time of all calls, ns
	At          int64               // time of the statement, ns of the reader's clock
	Own         int64               // reader's calls in flight at that time
}

// Fresh reports whether the news is recent enough to be used at now.
func (n *News) Fresh(now int64) bool { return n != nil && now-n.At < int64(MaxAge) }

// Mean is the mean of fresh news over the targets of a service.
type Mean struct {
	Ahead       [Priorities]float64 // calls ahead per slot
	ServiceTime float64             // ns
	count       float64
}

// Add includes the news about a target with the given number of slots.
func (m *Mean) Add(n *News, slots float64) {
	m.count++
	for i, a := range n.Ahead {
		m.Ahead[i] += (a/slots - m.Ahead[i]) / m.count
	}
	m.ServiceTime += (n.ServiceTime - m.ServiceTime) / m.count
}

// Known reports whether the mean includes any news.
func (m *Mean) Known() bool { return m.count > 0 }

// Estimate is the estimated state of a target.
type Estimate struct {
	Calls       float64       // calls ahead of a new one
	ServiceTime float64       // ns
	Age         time.Duration // of the news; MaxAge without any
}

// EstimateOf returns the estimated state of a target for a call of the priority.
// n may be nil. own is the number of the reader's calls in flight there.
func EstimateOf(n *News, mean *Mean, priority int, slots float64, own, now int64) Estimate {
	e := Estimate{Calls: mean.Ahead[priority] * slots, ServiceTime: mean.ServiceTime, Age: MaxAge}
	if n.Fresh(now) {
		e.Age = time.Duration(max(now-n.At, 0))
		stated := max(n.Ahead[priority]+float64(own-n.Own), 0)
		e.Calls += weight(e.Age, CallsHalfLife) * (stated - e.Calls)
		e.ServiceTime += weight(e.Age, ServiceTimeHalfLife) * (n.ServiceTime - e.ServiceTime)
	}
	e.Calls = max(e.Calls, float64(own))
	return e
}

// ExpectedTime returns the expected time that a call waits and runs at the target.
// ratio is the service time of the call's class relative to that of all calls.
func (e Estimate) ExpectedTime(slots, ratio float64) time.Duration {
	deviation := 1 + driftDeviation*math.Sqrt(min(float64(e.Age)/float64(driftTime), 1))
	ahead := meanPositivePart(e.Calls-slots+1, deviation)
	return time.Duration(e.ServiceTime * (ratio + ahead/slots))
}

// weight returns the weight, 0..1, of news of the given age.
func weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// meanPositivePart returns the mean of max(X, 0) for a normally distributed X.
func meanPositivePart(mean, deviation float64) float64 {
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*density
}
