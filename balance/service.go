package balance

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/evenload"
	"siskingw/member"
)

// refreshInterval is the interval at which the load of the localities is computed.
// A failure domain that becomes unreachable is noticed after this time at most.
const refreshInterval = 50 * time.Millisecond

// service is the state of one announced service.
type service struct {
	announce       string
	slowStart      int64 // ns
	onEject        func(Ejection)
	lastUsed       atomic.Int64 // last call, ns, accurate to 1 s
	ejectionsUntil atomic.Int64 // end of the ejection that ends last, ns
	panicMode      atomic.Bool  // panic mode: ejections are ignored
	table          atomic.Pointer[table]
	classTimes     classTimes   // mean of the endpoints
	refreshAt      atomic.Int64 // next refresh of the table, ns
	mu             sync.Mutex   // held while the table is rebuilt or refreshed
	endpoints      map[processIdentity]*endpoint
}

// processIdentity identifies one process of a node: a restart changes the
// incarnation.
type processIdentity struct {
	id          string
	incarnation uint64
}

// table holds the endpoints of a service by locality. It is immutable except for
// the load of the localities and the state of the endpoints.
type table struct {
	generation         atomic.Uint64    // of the view that the table was last compared with
	records            []*member.Record // the records that the table was built from
	unreachableDomains []string         // names of failure domains
	own                *endpoint        // alive endpoint of the own instance, or nil
	alive              []*endpoint      // alive endpoints in reachable failure domains
	near               []*locality      // own failure domain, then the rest of the own region
	otherRegions       []*locality
	suspects           *locality                     // suspect endpoints in reachable failure domains
	mean               atomic.Pointer[evenload.Mean] // of the news about alive; set before the table is used
	unreachable        *locality                     // endpoints in unreachable failure domains
}

// locality is a group of endpoints at the same distance: a failure domain or a
// region.
type locality struct {
	endpoints        []*endpoint
	slots            float64       // of all endpoints together
	targetLoad       float64       // load per slot above which calls spill over
	integral         float64       // integral term of spill; guarded by the service's mutex
	spill            atomic.Uint64 // float64 bits, share of calls, 0..1, that spill over to the next localities
	load             atomic.Uint64 // float64 bits, smoothed load per slot
	loadAt           atomic.Int64  // last update of load, ns of the balancer's clock
	maxRamp          atomic.Uint64 // float64 bits, highest slow start ramp of the endpoints
	medianLoad       atomic.Uint64 // float64 bits, median of the recently reported loads per slot
	medianLogLatency atomic.Uint64 // float64 bits, median of the endpoints' log2 of the latency in ns
}

func newService(announce string, opts Options) *service {
	return &service{announce: announce, slowStart: int64(opts.SlowStart), onEject: opts.OnEject,
		endpoints: make(map[processIdentity]*endpoint)}
}

// extendEjections records that an endpoint is ejected until the given time.
func (s *service) extendEjections(until int64) {
	for {
		old := s.ejectionsUntil.Load()
		if until <= old || s.ejectionsUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// busy reports whether any call is in flight.
func (s *service) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.inFlight.Load() > 0 {
			return true
		}
	}
	return false
}

// currentTable returns the table for the current generation of the view. While one
// goroutine rebuilds it, the others use the old one.
func (s *service) currentTable(b *Balancer, now int64) *table {
	t := s.table.Load()
	if t == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.updateTable(b, now)
	}
	if t.generation.Load() == b.view.Generation() && now < s.refreshAt.Load() {
		return t
	}
	if !s.mu.TryLock() {
		return t
	}
	defer s.mu.Unlock()
	return s.updateTable(b, now)
}

// updateTable rebuilds the table when the endpoints changed and refreshes the load
// of its localities when that is due. s.mu must be held.
func (s *service) updateTable(b *Balancer, now int64) *table {
	t := s.table.Load()
	generation := b.view.Generation()
	records, unreachableDomains := b.view.Endpoints(s.announce), b.unreachableDomains()
	if t == nil || !slices.Equal(records, t.records) || !slices.Equal(unreachableDomains, t.unreachableDomains) {
		old := t
		t = &table{records: records, unreachableDomains: unreachableDomains, suspects: &locality{}, unreachable: &locality{}}
		s.updateEndpoints(b, records, now, old == nil)
		s.groupByLocality(b, t)
		t.copyState(old)
	}
	t.generation.Store(generation)
	if now >= s.refreshAt.Load() || s.table.Load() != t {
		t.refresh(now, b.opts.LoadMaxAge, s.panicMode.Load())
		s.refreshAt.Store(now + int64(refreshInterval))
	}
	s.table.Store(t)
	return t
}

// unreachableDomains returns the names of the unreachable failure domains, always
// without the node's own.
func (b *Balancer) unreachableDomains() []string {
	var names []string
	self := b.view.Self().FailureDomain
	for _, d := range b.view.FailureDomains() {
		if d.Unreachable && d.Name != self {
			names = append(names, d.Name)
		}
	}
	return names
}

// updateEndpoints creates the state of new endpoints and removes that of departed
// ones. For the first table, slow start depends on the age of each endpoint's
// process.
func (s *service) updateEndpoints(b *Balancer, records []*member.Record, now int64, first bool) {
	seen := make(map[processIdentity]bool, len(records))
	for _, r := range records {
		id := processIdentity{r.ID, r.Incarnation}
		seen[id] = true
		e := s.endpoints[id]
		if e == nil {
			e = &endpoint{service: s}
			e.slowStartFrom.Store(now)
			if first {
				e.slowStartFrom.Store(now - int64(b.processAge(r)))
			}
			s.endpoints[id] = e
		}
		e.record.Store(r)
	}
	for id := range s.endpoints {
		if !seen[id] {
			delete(s.endpoints, id)
		}
	}
}

// processAge returns the time since the endpoint's process started. The clocks of
// other instances may be wrong, which only affects slow start.
func (b *Balancer) processAge(r *member.Record) time.Duration {
	return max(b.opts.Now().Sub(r.Started()), 0)
}

// groupByLocality assigns the endpoints to localities.
func (s *service) groupByLocality(b *Balancer, t *table) {
	self := b.view.Self()
	ownDomain, ownRegion := &locality{targetLoad: domainTargetLoad}, &locality{targetLoad: regionTargetLoad}
	otherRegions := make(map[string]*locality)
	for _, r := range t.records {
		e := s.endpoints[processIdentity{r.ID, r.Incarnation}]
		var l *locality
		switch {
		case r.State != member.Alive && r.State != member.Suspect:
			continue
		case slices.Contains(t.unreachableDomains, r.FailureDomain):
			t.unreachable.add(e, r)
			continue
		case r.State == member.Suspect:
			t.suspects.add(e, r)
			continue
		case r.FailureDomain == self.FailureDomain:
			l = ownDomain
		case r.Region == self.Region:
			l = ownRegion
		default:
			if l = otherRegions[r.Region]; l == nil {
				l = &locality{}
				otherRegions[r.Region] = l
			}
		}
		l.add(e, r)
		t.alive = append(t.alive, e)
		if r.ID == self.ID {
			t.own = e
		}
	}
	t.near = slices.DeleteFunc([]*locality{ownDomain, ownRegion}, func(l *locality) bool { return len(l.endpoints) == 0 })
	for _, l := range otherRegions {
		t.otherRegions = append(t.otherRegions, l)
	}
	slices.SortFunc(t.otherRegions, func(x, y *locality) int {
		return cmp.Compare(x.endpoints[0].record.Load().Region, y.endpoints[0].record.Load().Region)
	})
}

func (l *locality) add(e *endpoint, r *member.Record) {
	l.endpoints = append(l.endpoints, e)
	l.slots += float64(max(r.Slots, 1))
}
