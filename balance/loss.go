package balance

import (
	"math"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/errdefs"
	"siskingw/evenload"
	"siskingw/lateness"
	"siskingw/member"
	"siskingw/object"
)

// Demand describes a call whose route has a target latency. Such a call goes to
// the target with the least expected loss: the value that is lost when the
// response is late or missing, plus the cost of the traffic between failure domains
// and regions.
type Demand struct {
	TargetLeft   time.Duration // time left until the response begins to lose value
	DeadlineLeft time.Duration // time left until the response has no value
	Bytes        int           // expected size of request and response together, in bytes
	BodyBytes    int64         // size of the request body in bytes

	Class    string // calls of one class have similar service times
	Priority int    // 0 is the highest
	Nested   bool   // see admit.Work.Nested
	// Refused marks a call that a gate has refused before, on this attempt of its
	// caller or an earlier one. It prefers targets elsewhere with room to near ones
	// that would refuse it again.
	Refused bool

	Versions VersionRule // nil permits targets of every version
}

// priorityIndex returns the index of the priority in the report of a gate.
func (d Demand) priorityIndex() int { return min(max(d.Priority, 0), admit.Priorities-1) }

const (
	// lateLoss is the share of a call's value, 0..1, that a late response loses.
	lateLoss = 0.5
	// refusedLoss is the share of a call's value, 0..1, that is lost when a call
	// which was refused before is refused again. It is below 1, because the news
	// about the target may be old.
	refusedLoss = 0.7
	// maxLateIdle is the probability of a late response at an idle target, 0..1,
	// above which the load of the targets does not make the call late.
	maxLateIdle = 0.5
	// maxLoadForLate is the load per slot from which a target takes no call that is
	// late everywhere. With all free slots taken by such calls, those that arrive next
	// and can be in time would wait for them.
	maxLoadForLate = 0.8
	// failLoss is the share, 0..1, that a failed attempt loses: some calls can
	// be retried, others not.
	failLoss = 0.6
	// The cost of 1 KB of traffic between failure domains and between regions,
	// as a share of a call's value. Users pay for traffic by volume, and a scan
	// that crosses regions costs more than it is worth to them.
	domainCostPerKB = 0.01
	regionCostPerKB = 0.035
	// remoteCallCost is the cost of a call to another instance, as a share of
	// its value: the CPU time of that instance's node and a connection to it.
	remoteCallCost = 0.02
	// lossJitter is the largest random addition to a loss, as a share of a
	// call's value, so that nodes with the same information do not all select
	// the same endpoint.
	lossJitter = 0.01

	// linkHalfLife is the half-life of the weight of the reported pending bytes of
	// an endpoint's link.
	linkHalfLife = 400 * time.Millisecond
	// defaultServiceTime is the expected service time before the first report.
	defaultServiceTime = 100 * time.Millisecond

	// Expected time on the network, by distance, before it is measured.
	defaultSameDomainLatency  = time.Millisecond
	defaultSameRegionLatency  = 4 * time.Millisecond
	defaultOtherRegionLatency = 50 * time.Millisecond
	networkLatencyWeight      = 0.1 // weight of a new measurement in the moving average
)

// gateState is the state of an endpoint's gate as reported by its node, or as
// passed on by another one.
type gateState struct {
	evenload.News
	link     admit.LinkReport
	linkedAt int64 // time of the report about the link and the machine, ns of the balancer's clock
	relayed  bool  // another node passed the news on

	slowness    float64       // see Report.Slowness; at least 1
	sendBacklog time.Duration // see Report.SendBacklog
}

// news returns the news about the endpoint, or nil.
func (e *endpoint) news() *evenload.News {
	if s := e.gateState.Load(); s != nil {
		return &s.News
	}
	return nil
}

// networkLatencies are the moving averages of the time on the network in ns, by
// distance.
type networkLatencies [4]atomic.Int64

// Distances between this node and the node of an endpoint.
const (
	sameNode = iota
	sameDomain
	sameRegion
	otherRegion
)

func (l *networkLatencies) of(distance int) time.Duration {
	if d := l[distance].Load(); d > 0 {
		return time.Duration(d)
	}
	return [...]time.Duration{0, defaultSameDomainLatency, defaultSameRegionLatency, defaultOtherRegionLatency}[distance]
}

func (l *networkLatencies) add(distance int, d time.Duration) {
	if d <= 0 {
		return
	}
	old := l[distance].Load()
	if old == 0 {
		l[distance].Store(int64(d))
		return
	}
	l[distance].Store(old + int64(networkLatencyWeight*float64(int64(d)-old)))
}

// distance returns the distance of the endpoint's node.
func distance(self, r *member.Record) int {
	switch {
	case r.ID == self.ID:
		return sameNode
	case r.FailureDomain == self.FailureDomain:
		return sameDomain
	case r.Region == self.Region:
		return sameRegion
	}
	return otherRegion
}

// trafficCost returns the cost of a call's traffic as a share of its value.
func trafficCost(distance, bytes int) float64 {
	kb := float64(bytes) / 1024
	switch distance {
	case sameNode:
		return 0
	case sameDomain:
		return remoteCallCost
	case sameRegion:
		return remoteCallCost + domainCostPerKB*kb
	}
	return remoteCallCost + regionCostPerKB*kb
}

// PickFor selects the target with the least expected loss for a call with a
// target latency, among those whose node ids are not in skip. A nil spec selects
// the default ejection settings. It returns a NotRun error when no target is left.
func (b *Balancer) PickFor(set *object.EndpointSetSpec, spec *object.EjectionSpec, skip []string, d Demand) (*Picked, error) {
	now := b.now()
	s := b.service(set.Announce, now)
	t := s.currentTable(b, now)
	ej := newEjectionConfig(spec)
	c := choice{b: b, now: now, skip: skip, versions: d.Versions}
	c.panicMode = now < s.ejectionsUntil.Load() && t.needsPanicMode(ej, set.MinReady, now)
	if c.panicMode != s.panicMode.Load() {
		s.panicMode.Store(c.panicMode)
	}
	e, late, missed := c.leastLoss(t, d)
	if e == nil {
		e = c.lastResort(t)
	}
	if e == nil {
		return nil, errdefs.NotRun.New("service %q has no endpoint left", set.Announce)
	}
	e.inFlight.Add(1)
	return &Picked{Record: e.record.Load(), Late: late, Missed: missed, LateIdle: c.lateIdle(e, t.mean.Load(), d), Full: c.full(e, t.mean.Load(), d),
		balancer: b, endpoint: e, ejection: ej}, nil
}

// leastLoss returns the candidate with the least expected loss, or nil, and the
// probabilities that the call misses its target latency and its deadline there.
func (c *choice) leastLoss(t *table, d Demand) (best *endpoint, late, missed float64) {
	mean := t.mean.Load()
	self := c.b.view.Self()
	minLoss := math.Inf(1)
	for _, e := range c.candidates(t) {
		loss, lateHere, missedHere := c.loss(e, self, mean, d)
		if loss += lossJitter * c.float(); loss < minLoss {
			best, minLoss, late, missed = e, loss, lateHere, missedHere
		}
	}
	return best, late, missed
}

// loss estimates the expected loss at the endpoint as a share of the call's
// value, and the probabilities that the call misses its target latency and its
// deadline there.
func (c *choice) loss(e *endpoint, self *member.Record, mean *evenload.Mean, d Demand) (loss, late, missed float64) {
	r := e.record.Load()
	dist := distance(self, r)
	expected := c.b.networkLatencies.of(dist) + c.expectedTime(e, mean, d)
	if dist != sameNode {
		expected += c.transferTime(e, d.BodyBytes)
		expected += c.responseWait(e, d, expected)
	}
	late = lateness.Probability(expected, d.TargetLeft)
	missed = lateness.Probability(expected, d.DeadlineLeft)
	loss = lateLoss*late + (1-lateLoss)*missed
	if d.Refused && c.refuses(e, mean, d, late) {
		loss = max(loss, refusedLoss)
	}
	loss += (1 - loss) * failLoss * e.failed.value(c.now)
	loss += d.waitCost(expected)
	return loss + trafficCost(dist, d.Bytes), late, missed
}

// refuses reports whether the gate of the endpoint probably refuses a call that is
// late there with the given probability. One that is late everywhere runs where no
// other call waits.
func (c *choice) refuses(e *endpoint, mean *evenload.Mean, d Demand, late float64) bool {
	if d.Nested {
		return false
	}
	estimate := evenload.EstimateOf(e.news(), mean, d.priorityIndex(), e.slots(), e.inFlight.Load(), c.now)
	if c.lateIdle(e, mean, d) > maxLateIdle {
		return c.full(e, mean, d)
	}
	return admit.RefusedUnderOverload(late, estimate.Calls-e.slots(), e.slots())
}

// full reports whether the endpoint has no slot for a call that is late everywhere.
func (c *choice) full(e *endpoint, mean *evenload.Mean, d Demand) bool {
	estimate := evenload.EstimateOf(e.news(), mean, d.priorityIndex(), e.slots(), e.inFlight.Load(), c.now)
	return estimate.Calls >= maxLoadForLate*e.slots()
}

// lateIdle returns the probability that the call misses its target latency at the
// endpoint while no other call is ahead of it and its machine is as usual. It is 0
// for a large response, which waits for the link of the endpoint's instance.
func (c *choice) lateIdle(e *endpoint, mean *evenload.Mean, d Demand) float64 {
	if d.Bytes >= admit.LargeResponse {
		return 0
	}
	network := c.b.networkLatencies.of(distance(c.b.view.Self(), e.record.Load()))
	estimate := evenload.EstimateOf(e.news(), mean, d.priorityIndex(), e.slots(), 0, c.now)
	return lateness.Probability(network+time.Duration(c.classTime(e, d.Class, estimate.ServiceTime)), d.TargetLeft)
}

// expectedTime returns the expected time that a call waits and runs at the
// endpoint: the queueing delay of the calls ahead plus the service time of its class.
func (c *choice) expectedTime(e *endpoint, mean *evenload.Mean, d Demand) time.Duration {
	slots := e.slots()
	estimate := evenload.EstimateOf(e.news(), mean, d.priorityIndex(), slots, e.inFlight.Load(), c.now)
	ratio := c.classTime(e, d.Class, estimate.ServiceTime) / estimate.ServiceTime
	return time.Duration(c.slowness(e) * float64(estimate.ExpectedTime(slots, ratio)))
}

// transferTime returns the expected time until a body of size bytes has arrived
// over the link of the endpoint's instance.
func (c *choice) transferTime(e *endpoint, size int64) time.Duration {
	s := e.gateState.Load()
	if s == nil || size == 0 || c.now-s.linkedAt >= int64(evenload.MaxAge) {
		return 0
	}
	link := s.link
	link.PendingBytes = int64(float64(link.PendingBytes) * math.Exp2(-float64(c.now-s.linkedAt)/float64(linkHalfLife)))
	return link.TransferTime(size)
}

// updateMean updates the mean of the fresh news about the service's endpoints. It is
// not done for every call, since it takes as long as there are endpoints.
func (t *table) updateMean(now int64) {
	mean := &evenload.Mean{}
	for _, e := range t.alive {
		if n := e.news(); n.Fresh(now) {
			mean.Add(n, e.slots())
		}
	}
	if !mean.Known() {
		mean.ServiceTime = float64(defaultServiceTime)
	}
	t.mean.Store(mean)
}

// observeGateState records the state of the gate that the endpoint's node reported.
func (e *endpoint) observeGateState(r Report, now int64) {
	if r.ServiceTime <= 0 {
		return
	}
	s := &gateState{link: r.Link, linkedAt: now, sendBacklog: r.SendBacklog, slowness: max(r.Slowness, 1)}
	s.ServiceTime, s.At, s.Own = float64(r.ServiceTime), now, e.inFlight.Load()
	for i, n := range r.CallsAhead {
		s.Ahead[i] = float64(n)
	}
	e.gateState.Store(s)
}
