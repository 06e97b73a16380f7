package evenload

import "math"

// Load is a target as a choice by shares sees it: what is left there of the calls
// that the news stated.
type Load struct {
	Left        float64 // calls that are expected to be still there
	Ended       float64 // calls that are expected to have ended since the news
	Slots       float64
	ServiceTime float64 // ns
	Extra       float64 // time that a call costs there besides, ns: the network, or what a detour must save
}

// LoadOf returns the load of a target for a call of the priority. n may be nil;
// own is the number of the reader's calls in flight there.
//
// Calls end at the rate of the slots, and new ones take their place, but not
// necessarily at this target: those are counted in Ended and placed anew by Level.
func LoadOf(n *News, mean *Mean, priority int, slots float64, own, now int64) Load {
	l := Load{Slots: slots, ServiceTime: mean.ServiceTime}
	calls := mean.Ahead[priority] * slots
	age := float64(MaxAge)
	if n.Fresh(now) {
		age = float64(max(now-n.At, 0))
		calls = max(n.Ahead[priority]+float64(own-n.Own), 0)
		l.ServiceTime += weight(durationOf(age), ServiceTimeHalfLife) * (n.ServiceTime - l.ServiceTime)
	}
	l.Left = drain(calls, slots, age/max(l.ServiceTime, 1))
	l.Ended = calls - l.Left
	l.Left = max(l.Left, float64(own))
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
func (l Load) callsAt(level float64) float64 {
	x := (level-l.Extra)/l.ServiceTime - 1 // time beyond the service time, in service times
	if x <= lowSlope*kneeShare {
		return x / lowSlope * l.Slots
	}
	return (kneeShare + (x-lowSlope*kneeShare)/(1+lowSlope)) * l.Slots
}

// timeAt returns the expected time of a new call when there are calls at the
// target, in ns.
func (l Load) timeAt(calls float64) float64 {
	share := calls / l.Slots
	return l.Extra + l.ServiceTime*(1+lowSlope*share+max(share-kneeShare, 0))
}

// Share returns how many of the placed calls go to the target at a level.
func (l Load) Share(level float64) float64 { return max(l.callsAt(level)-l.Left, 0) }

// levelSteps is the number of steps of the search for the level: its error is
// less than a thousandth.
const levelSteps = 16

// Level returns the expected time, in ns, up to which all targets are filled when
// the calls that took the place of the ended ones, and a new one, go where the
// expected time is least.
func Level(loads []Load) float64 {
	if len(loads) == 0 {
		return 0
	}
	placed := 1.0
	low, high := math.Inf(1), 0.0
	for _, l := range loads {
		placed += l.Ended
		low = min(low, l.timeAt(l.Left))
	}
	for _, l := range loads {
		high = max(high, l.timeAt(l.Left+placed))
	}
	for range levelSteps {
		mid := (low + high) / 2
		sum := 0.0
		for _, l := range loads {
			sum += l.Share(mid)
		}
		if sum < placed {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
