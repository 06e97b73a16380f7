package even

import (
	"time"

	"siskingw/evenload"
)

const (
	coldTime          = 3 * time.Second
	coldFactor        = 2.0
	steadyWeight      = 0.05
	serviceTimeWeight = 0.1 // weight of one call in the moving average of the service time
	inFlightAgeFactor = 1.3 // see admit: a call in flight is half-way through on average
	historyLength     = 600 * time.Millisecond
)

// work is one call.
type work struct {
	caller    *caller
	chosenAt  time.Duration
	arrivedAt time.Duration
	size      time.Duration // work time at a target of usual speed
	age       time.Duration // of the news about the chosen target; -1 for none
	handedOn  bool
}

// statement is the state of a target at one time.
type statement struct {
	at          time.Duration
	calls       int
	serviceTime float64
}

// news returns the statement as news about which the reader knows that it was sent at.
func (s statement) news(at time.Duration, own int64) *evenload.News {
	n := &evenload.News{ServiceTime: s.serviceTime, At: int64(at), Own: own}
	for i := range n.Ahead {
		n.Ahead[i] = float64(s.calls)
	}
	return n
}

// target is a target with the instance beside it.
type target struct {
	index       int
	domain      int
	speed       float64
	noise       float64 // factor of the work time because of neighbours
	coldUntil   time.Duration
	running     int
	queue       []*work
	startSum    time.Duration
	serviceTime float64 // ns
	steady      bool    // the instance states steadyTime, corrected by the slowness of the machine
	steadyTime  float64 // service time on a machine of usual speed, over more calls, ns
	history     []statement
	budget      evenload.HandOnBudget
	heard       []*evenload.News // about the targets of the failure domain, by index
}

func (m *model) addTarget(domain int) {
	t := &target{index: len(m.targets), domain: domain, speed: 1, noise: 1, serviceTime: float64(m.cfg.Work),
		steady: m.policy.Steady, steadyTime: float64(m.cfg.Work)}
	if len(m.cfg.Speeds) > 0 {
		t.speed = m.cfg.Speeds[t.index%len(m.cfg.Speeds)]
	}
	if m.cfg.SlowOne > 0 && t.index%8 == 0 {
		t.speed /= m.cfg.SlowOne
	}
	t.heard = make([]*evenload.News, m.cfg.Targets)
	m.targets = append(m.targets, t)
}

// factor returns the work time at the target relative to the usual one.
func (t *target) factor(now time.Duration) float64 {
	f := t.noise / t.speed
	if now < t.coldUntil {
		f *= coldFactor
	}
	return f
}

// current returns the state of the target as its instance measures it.
func (t *target) current(now time.Duration) statement {
	s := statement{at: now, calls: t.running + len(t.queue), serviceTime: t.serviceTime}
	if t.steady {
		s.serviceTime = t.steadyTime * t.noise
		return s
	}
	if t.running > 0 {
		age := now - t.startSum/time.Duration(t.running)
		s.serviceTime = max(s.serviceTime, inFlightAgeFactor*float64(age))
	}
	return s
}

// note records the state of the target for statements that are made later.
func (t *target) note(now time.Duration) {
	t.history = append(t.history, t.current(now))
	if i := len(t.history); i > 64 && t.history[i/2].at < now-historyLength {
		t.history = append(t.history[:0], t.history[i/2:]...)
	}
}

// statedAt returns the state of the target at an earlier time.
func (t *target) statedAt(at time.Duration) statement {
	for i := len(t.history) - 1; i >= 0; i-- {
		if t.history[i].at <= at {
			return t.history[i]
		}
	}
	return statement{serviceTime: t.serviceTime}
}

// targetState is what a caller knows of a target.
type targetState struct {
	own  int64
	news *evenload.News
}

// caller is the instance of a caller.
type caller struct {
	domain int
	index  int
	rate   float64 // calls/s
	states map[int]*targetState
	turn   int
}

func (m *model) addCaller(domain, index int) {
	c := &caller{domain: domain, index: index, states: make(map[int]*targetState)}
	sum := 0.0
	for _, t := range m.targets[domain*m.cfg.Targets : (domain+1)*m.cfg.Targets] {
		sum += t.speed
	}
	c.rate = m.cfg.Load * sum * float64(m.cfg.Slots) / m.cfg.Work.Seconds() / float64(m.cfg.Callers)
	if domain == 0 && m.cfg.Domain0 > 0 {
		c.rate *= m.cfg.Domain0
	}
	m.callers = append(m.callers, c)
}

func (c *caller) state(t *target) *targetState {
	s := c.states[t.index]
	if s == nil {
		s = &targetState{}
		c.states[t.index] = s
	}
	return s
}

// domainTargets returns the targets of a failure domain.
func (m *model) domainTargets(domain int) []*target {
	return m.targets[domain*m.cfg.Targets : (domain+1)*m.cfg.Targets]
}
