package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/admit"
	"siskingw/faults"
	"siskingw/lateness"
	"siskingw/member"
	"siskingw/object"
)

// Demand describes a call whose route has a target latency. Such a call goes to
// the endpoint with the least expected loss: the value that is lost when the
// answer is late or missing, plus the cost of the traffic between failure domains
// and regions.
type Demand struct {
	Target time.Duration // time left until the answer begins to lose value
	Left   time.Duration // time left until the answer has no value
	Bytes  int           // expected size of request and answer together
	Body   int64         // size of the request body in bytes

	Class    string // calls of one class have similar service times
	Priority int    // 0 is the highest
}

// lane returns the index of the priority in the report of a gate.
func (d Demand) lane() int { return min(max(d.Priority, 0), admit.Priorities-1) }

const (
	// lateLoss is the share of a call's value, 0..1, that a late answer loses.
	lateLoss = 0.5
	// failLoss is the share, 0..1, that a failed attempt loses: some calls can
	// be retried, others not.
	failLoss = 0.6
	// The cost of 1 KB of traffic between failure domains and between regions,
	// as a share of a call's value. Users pay for traffic by volume, and a scan
	// that crosses regions costs more than it is worth to them.
	domainPrice = 0.01
	regionPrice = 0.035
	// hopPrice is the cost of a call to another instance, as a share of its
	// value: the CPU time of that instance's node and a connection to it.
	hopPrice = 0.02
	// noise is the largest random addition to a loss, so that nodes with the
	// same information do not all select the same endpoint.
	noise = 0.01

	// stateHalfLife is the half-life of the weight of an endpoint's reported
	// calls relative to the mean of the service's endpoints.
	stateHalfLife = 400 * time.Millisecond
	// speedHalfLife is the half-life of the weight of the reported service
	// time, which changes more slowly than the calls in flight.
	speedHalfLife = 3 * time.Second
	// stateMaxAge is the age from which a report is ignored.
	stateMaxAge = 4 * time.Second
	// driftCalls is the standard deviation, in calls, of the difference between
	// the calls at an endpoint and a report that is driftTime old or older.
	driftCalls = 2.0
	driftTime  = 300 * time.Millisecond
	// unknownService is the expected service time before the first report.
	unknownService = 100 * time.Millisecond

	// Expected time on the network before it is measured.
	domainLink = time.Millisecond
	regionLink = 4 * time.Millisecond
	farLink    = 50 * time.Millisecond
	linkWeight = 0.1 // weight of a new measurement in the moving average
)

// state is the state of an endpoint's gate as reported by its node.
type state struct {
	calls   [admit.Priorities]float64 // calls ahead of a new call, by its priority
	service float64                   // expected service time, ns
	link    admit.LinkReport
	at      int64 // time of the report, ns of the balancer's clock
	own     int64 // calls of this node in flight at that time
}

// linkTimes are the moving averages of the time on the network in ns, by
// distance.
type linkTimes [4]atomic.Int64

// Distances between this node and the node of an endpoint.
const (
	sameNode = iota
	sameDomain
	sameRegion
	otherRegion
)

func (l *linkTimes) of(distance int) time.Duration {
	if d := l[distance].Load(); d > 0 {
		return time.Duration(d)
	}
	return [...]time.Duration{0, domainLink, regionLink, farLink}[distance]
}

func (l *linkTimes) add(distance int, d time.Duration) {
	if d <= 0 {
		return
	}
	old := l[distance].Load()
	if old == 0 {
		l[distance].Store(int64(d))
		return
	}
	l[distance].Store(old + int64(linkWeight*float64(int64(d)-old)))
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

// price returns the cost of a call's traffic as a share of its value.
func price(distance, bytes int) float64 {
	kb := float64(bytes) / 1024
	switch distance {
	case sameNode:
		return 0
	case sameDomain:
		return hopPrice
	case sameRegion:
		return hopPrice + domainPrice*kb
	}
	return hopPrice + regionPrice*kb
}

// PickFor selects the endpoint with the least expected loss for a call with a
// target latency, among those whose node ids are not in skip. It returns a NotRun
// error when none is left.
func (b *Balancer) PickFor(set *object.EndpointSetSpec, spec *object.EjectionSpec, skip []string, d Demand) (*Picked, error) {
	now := b.now()
	s := b.service(set.Announce, now)
	t := s.current(b, now)
	ej := newEjection(spec)
	c := choice{b: b, now: now, skip: skip}
	c.panicking = now < s.badUntil.Load() && t.panics(ej, set.MinReady, now)
	if c.panicking != s.panicking.Load() {
		s.panicking.Store(c.panicking)
	}
	e, late := c.least(t, d, s.ratios.of(d.Class))
	if e == nil {
		e = c.last(t)
	}
	if e == nil {
		return nil, faults.NotRun.New("service %q has no endpoint left", set.Announce)
	}
	e.inFlight.Add(1)
	return &Picked{Record: e.record.Load(), Late: late, balancer: b, endpoint: e, ejection: ej}, nil
}

// least returns the usable endpoint with the least expected loss, or nil, and
// the probability that the call misses its target latency there.
func (c *choice) least(t *table, d Demand, ratio float64) (best *endpoint, late float64) {
	usual := c.usual(t)
	self := c.b.view.Self()
	least := math.Inf(1)
	for _, e := range t.all {
		if !c.usable(e) {
			continue
		}
		loss, share := c.loss(e, self, usual, d, ratio)
		if loss += noise * c.float(); loss < least {
			best, least, late = e, loss, share
		}
	}
	return best, late
}

// loss estimates the expected loss at the endpoint as a share of the call's
// value, and the probability that the call misses its target latency there. ratio
// is the service time of the call's class relative to that of all calls.
func (c *choice) loss(e *endpoint, self *member.Record, usual state, d Demand, ratio float64) (loss, late float64) {
	r := e.record.Load()
	far := distance(self, r)
	expected := c.b.links.of(far) + c.expected(e, usual, d.lane(), ratio)
	if far != sameNode {
		expected += c.transfer(e, d.Body)
	}
	late = lateness.Share(expected, d.Target)
	missed := lateness.Share(expected, d.Left)
	loss = lateLoss*late + (1-lateLoss)*missed
	loss += (1 - loss) * failLoss * e.failed.level(c.now)
	return loss + price(far, d.Bytes), late
}

// expected returns the expected time that a call waits and runs at the endpoint:
// the queueing delay of the calls ahead plus the service time.
func (c *choice) expected(e *endpoint, usual state, lane int, ratio float64) time.Duration {
	slots := e.slots()
	calls, service, age := usual.calls[lane]*slots, usual.service, stateMaxAge
	own := float64(e.inFlight.Load())
	if s := e.state.Load(); s != nil && c.now-s.at < int64(stateMaxAge) {
		age = time.Duration(c.now - s.at)
		weight := math.Exp2(-float64(age) / float64(stateHalfLife))
		calls += weight * (s.calls[lane] + own - float64(s.own) - calls)
		service += math.Exp2(-float64(age)/float64(speedHalfLife)) * (s.service - service)
	}
	calls = max(calls, own)
	deviation := 1 + driftCalls*math.Sqrt(min(float64(age)/float64(driftTime), 1))
	ahead := excess(calls-slots+1, deviation)
	return time.Duration(service * (ratio + ahead/slots))
}

// ratios are the service times of the classes of one service relative to that of
// all its calls. Endpoints differ in speed, but hardly in these ratios, so they
// are kept per service.
type ratios struct {
	mu      sync.Mutex
	byClass map[string]float64
}

const (
	// ratioWeight is the weight of a new sample in the moving average.
	ratioWeight = 0.1
	// maxRatios limits the number of classes with a ratio; all are dropped when
	// it is reached.
	maxRatios = 1024
)

func (r *ratios) add(report Report) {
	if report.OfClass <= 0 || report.Service <= 0 {
		return
	}
	v := float64(report.OfClass) / float64(report.Service)
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.byClass[report.Class]
	if !ok {
		if r.byClass == nil || len(r.byClass) >= maxRatios {
			r.byClass = make(map[string]float64)
		}
		old = v
	}
	r.byClass[report.Class] = old + ratioWeight*(v-old)
}

// of returns the ratio of a class; 1 while it is unknown.
func (r *ratios) of(class string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.byClass[class]; ok {
		return v
	}
	return 1
}

// transfer returns the expected time until a body of size bytes has arrived over
// the link of the endpoint's instance.
func (c *choice) transfer(e *endpoint, size int64) time.Duration {
	s := e.state.Load()
	if s == nil || size == 0 || c.now-s.at >= int64(stateMaxAge) {
		return 0
	}
	link := s.link
	link.Pending = int64(float64(link.Pending) * math.Exp2(-float64(c.now-s.at)/float64(stateHalfLife)))
	return link.Transfer(size)
}

// excess returns the mean of max(X, 0) for a normally distributed X.
func excess(mean, deviation float64) float64 {
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return mean*0.5*math.Erfc(-z/math.Sqrt2) + deviation*density
}

// usual returns the mean of the recently reported states of the service's
// endpoints, with the calls per slot and the service time.
func (c *choice) usual(t *table) state {
	var mean state
	n := 0.0
	for _, e := range t.all {
		s := e.state.Load()
		if s == nil || c.now-s.at >= int64(stateMaxAge) {
			continue
		}
		n++
		for i := range mean.calls {
			mean.calls[i] += (s.calls[i]/e.slots() - mean.calls[i]) / n
		}
		mean.service += (s.service - mean.service) / n
	}
	if n == 0 {
		mean.service = float64(unknownService)
	}
	return mean
}

// observeState records the state of the gate that the endpoint's node reported.
func (e *endpoint) observeState(r Report, now int64) {
	if r.Service <= 0 {
		return
	}
	s := &state{service: float64(r.Service), link: r.Link, at: now, own: e.inFlight.Load()}
	for i, n := range r.Calls {
		s.calls[i] = float64(n)
	}
	e.state.Store(s)
}
