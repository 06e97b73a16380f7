// Package even is a model of many callers that choose among the targets of one
// service with news of their load. It runs on events in virtual time, without a
// network, and one seed always gives the same run.
package even

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// Config describes one run. Each failure domain holds the same number of callers
// and targets.
type Config struct {
	Seed     uint64
	Domains  int
	Callers  int // of each failure domain
	Targets  int // of each failure domain
	Slots    int // of each target
	Work     time.Duration
	Load     float64       // offered calls per capacity of all targets
	Domain0  float64       // load of the first failure domain relative to the others; 0 for 1
	NewsLate time.Duration // how old a statement is when it is sent
	Speeds   []float64     // speeds of the targets in turn; nil for 1
	Noise    bool          // machines are 2.5 times slower for 15% of the time, in spells of 600 ms
	SlowOne  float64       // work time factor of every eighth target; 0 for 1
	ColdAt   time.Duration // when every third target restarts and is slow for 3 s; 0 for never
	CutAt    time.Duration // when half of the failure domains become unreachable to the other half for 2 s
	Length   time.Duration
}

// Latencies between instances, one way.
const (
	latencySameDomain  = 200 * time.Microsecond
	latencyOtherDomain = 4 * time.Millisecond
	remotePenalty      = 20 * time.Millisecond // expected time that a target elsewhere must save
)

// Result is what one run measured.
type Result struct {
	Calls    int
	Spread   float64 // standard deviation of work in progress per slot between the targets of a failure domain, mean over time
	Unfair   float64 // share of arrivals that waited while another target of the failure domain had a free slot
	MeanWait time.Duration
	P99Wait  time.Duration
	MeanTime time.Duration // from the choice to the end of the work
	P99Time  time.Duration
	Messages float64 // messages between instances per call
	NewsAge  time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// model is the state of one run.
type model struct {
	cfg     Config
	policy  Policy
	rand    *rand.Rand
	now     time.Duration
	seq     int
	queue   events
	targets []*target
	callers []*caller
	stats   stats
}

// Run plays one run and returns what it measured.
func Run(cfg Config, p Policy) Result {
	m := &model{cfg: cfg, policy: p, rand: rand.New(rand.NewPCG(cfg.Seed, 1))}
	for d := range cfg.Domains {
		for range cfg.Targets {
			m.addTarget(d)
		}
	}
	for d := range cfg.Domains {
		for i := range cfg.Callers {
			m.addCaller(d, i)
		}
	}
	m.schedule()
	for m.queue.Len() > 0 {
		e := heap.Pop(&m.queue).(event)
		if e.at > cfg.Length {
			break
		}
		m.now = e.at
		e.do()
	}
	return m.stats.result()
}

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, do})
}

// schedule starts the arrivals, the noise of neighbours and the sampling.
func (m *model) schedule() {
	for _, c := range m.callers {
		m.arrive(c)
	}
	for i, t := range m.targets {
		if m.cfg.Noise {
			m.neighbours(t)
		}
		if m.cfg.ColdAt > 0 && i%3 == 0 {
			m.after(m.cfg.ColdAt, func() { t.coldUntil = m.now + coldTime })
		}
	}
	m.sample()
}

// neighbours makes a machine slow and usual again by turns.
func (m *model) neighbours(t *target) {
	const spell, share, factor = 600 * time.Millisecond, 0.15, 2.5
	t.noise = 1
	if m.rand.Float64() < share {
		t.noise = factor
	}
	m.after(time.Duration(m.rand.ExpFloat64()*float64(spell)), func() { m.neighbours(t) })
}

// arrive schedules the calls of one caller.
func (m *model) arrive(c *caller) {
	gap := time.Duration(m.rand.ExpFloat64() * float64(time.Second) / c.rate)
	m.after(gap, func() {
		m.arrive(c)
		m.call(c)
	})
}

// call sends one call of c.
func (m *model) call(c *caller) {
	w := &work{caller: c, chosenAt: m.now, size: m.drawWork(), age: -1}
	m.send(w)
}

// drawWork returns a work time with a log-normal distribution.
func (m *model) drawWork() time.Duration {
	const deviation = 0.6
	return time.Duration(float64(m.cfg.Work) * math.Exp(deviation*m.rand.NormFloat64()-deviation*deviation/2))
}

// send chooses a target for the call and sends the call there.
func (m *model) send(w *work) {
	t := m.choose(w.caller, w)
	w.caller.state(t).own++
	m.stats.messages++
	m.after(m.latency(w.caller.domain, t.domain), func() { m.receive(w, t) })
}

// receive takes the call at the target's instance.
func (m *model) receive(w *work, t *target) {
	m.relay(t, w.caller, true)
	t.budget.Arrived(m.policy.Budget)
	if t.running >= m.cfg.Slots && !w.handedOn && m.handsOn(t) {
		w.handedOn = true
		m.answer(w, t, func() { m.send(w) })
		return
	}
	m.stats.arrival(m, t)
	w.arrivedAt = m.now
	t.queue = append(t.queue, w)
	m.start(t)
}

// start runs queued calls in the free slots of the target.
func (m *model) start(t *target) {
	t.note(m.now)
	for t.running < m.cfg.Slots && len(t.queue) > 0 {
		w := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.startSum += m.now
		started := m.now
		m.stats.wait(m.now - w.arrivedAt)
		noise := t.noise
		took := time.Duration(float64(w.size) * t.factor(m.now))
		m.after(took, func() {
			t.running--
			t.startSum -= started
			t.serviceTime += serviceTimeWeight * (float64(took) - t.serviceTime)
			t.steadyTime += steadyWeight * (float64(took)/noise - t.steadyTime)
			m.stats.end(m.now - w.chosenAt)
			m.answer(w, t, func() {})
			m.start(t)
		})
	}
	t.note(m.now)
}

// answer sends the answer of t with its state to the caller, and calls then there.
func (m *model) answer(w *work, t *target, then func()) {
	said := t.statedAt(m.now - m.cfg.NewsLate)
	at := m.now
	m.stats.messages++
	m.after(m.latency(w.caller.domain, t.domain), func() {
		s := w.caller.state(t)
		s.own--
		s.news = said.news(at, s.own)
		m.relay(t, w.caller, false)
		then()
	})
}

func (m *model) latency(x, y int) time.Duration {
	if x == y {
		return latencySameDomain
	}
	return latencyOtherDomain
}

// cut reports whether the failure domains cannot reach each other now.
func (m *model) cut(x, y int) bool {
	const cutTime = 2 * time.Second
	half := m.cfg.Domains / 2
	return m.cfg.CutAt > 0 && m.now >= m.cfg.CutAt && m.now < m.cfg.CutAt+cutTime && (x < half) != (y < half)
}
