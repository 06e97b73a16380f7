package even

import (
	"math"
	"time"

	"siskingw/evenload"
)

// load is a target as a choice by shares sees it: what is left there of the calls
// that the news stated. Calls end at the rate of the slots, and new ones take their
// place, but not necessarily at this target: those are counted in ended and placed
// anew by levelOf.
type load struct {
	left        float64 // calls that are expected to be still there
	ended       float64 // calls that are expected to have ended since the news
	slots       float64
	serviceTime float64 // ns
	extra       float64 // expected time that a detour must save, ns
}

// loadOf returns the load of a target. s.news may be nil.
func loadOf(s targetState, mean *evenload.Mean, slots float64, now int64) load {
	l := load{slots: slots, serviceTime: mean.ServiceTime}
	calls, age := mean.Ahead[0]*slots, evenload.MaxAge
	if s.news.Fresh(now) {
		age = time.Duration(max(now-s.news.At, 0))
		calls = max(s.news.Ahead[0]+float64(s.own-s.news.Own), 0)
		l.serviceTime = s.news.ServiceTime
	}
	l.left = drain(calls, slots, float64(age)/max(l.serviceTime, 1))
	l.ended = calls - l.left
	l.left = max(l.left, float64(s.own))
	return l
}

// drain returns how many of the calls are left after a time in service times, when
// none arrives.
func drain(calls, slots, t float64) float64 {
	if queued := calls - slots; queued > 0 {
		if t*slots <= queued {
			return calls - t*slots
		}
		t -= queued / slots
		calls = slots
	}
	return calls * math.Exp(-t)
}

const (
	// kneeShare is the share of its slots from which a target's expected time
	// rises steeply: calls come at random, so that a target waits before it is full
	// on average.
	kneeShare = 0.75
	// lowSlope is the rise of the expected time up to there, per slot share and in
	// service times. It decides between targets with free slots.
	lowSlope = 2.0
)

// callsAt returns the number of calls at which a new one has the expected time
// level, in ns; negative if even the first one has a longer one.
func (l load) callsAt(level float64) float64 {
	x := (level-l.extra)/l.serviceTime - 1 // time beyond the service time, in service times
	if x <= lowSlope*kneeShare {
		return x / lowSlope * l.slots
	}
	return (kneeShare + (x-lowSlope*kneeShare)/(1+lowSlope)) * l.slots
}

// timeAt returns the expected time of a new call when there are calls at the
// target, in ns.
func (l load) timeAt(calls float64) float64 {
	used := calls / l.slots
	return l.extra + l.serviceTime*(1+lowSlope*used+max(used-kneeShare, 0))
}

// share returns how many of the placed calls go to the target at a level.
func (l load) share(level float64) float64 { return max(l.callsAt(level)-l.left, 0) }

// levelSteps is the number of steps of the search for the level: its error is
// less than a thousandth.
const levelSteps = 16

// levelOf returns the expected time, in ns, up to which all targets are filled when
// the calls that took the place of the ended ones, and a new one, go where the
// expected time is least.
func levelOf(loads []load) float64 {
	if len(loads) == 0 {
		return 0
	}
	placed := 1.0
	low, high := math.Inf(1), 0.0
	for _, l := range loads {
		placed += l.ended
		low = min(low, l.timeAt(l.left))
	}
	for _, l := range loads {
		high = max(high, l.timeAt(l.left+placed))
	}
	for range levelSteps {
		mid := (low + high) / 2
		sum := 0.0
		for _, l := range loads {
			sum += l.share(mid)
		}
		if sum < placed {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
