package balance

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/member"
)

// refreshTime is how often the load of the localities is worked out again and
// how late a failure domain that became unreachable is noticed at most.
const refreshTime = 50 * time.Millisecond

// service is the state for one announced service.
type service struct {
	announce  string
	slowStart int64 // ns
	onEject   func(Ejection)
	usedAt    atomic.Int64
	badUntil  atomic.Int64 // no endpoint looks bad from then on
	panicking atomic.Bool  // ejection has stopped
	table     atomic.Pointer[table]
	ratios    ratios
	refreshAt atomic.Int64
	mu        sync.Mutex // held while the table is rebuilt or refreshed
	endpoints map[identity]*endpoint
}

// identity tells restarts of a node apart.
type identity struct {
	id          string
	incarnation uint64
}

// table is the endpoints of a service by locality. It is immutable but for the
// localities' load and the endpoints' state.
type table struct {
	generation  atomic.Uint64
	records     []*member.Record // what the table was made from
	cut         []string         // unreachable failure domains
	all         []*endpoint      // alive endpoints in reachable failure domains
	near        []*locality      // own failure domain, then own region
	regions     []*locality      // other regions
	suspects    *locality
	unreachable *locality
}

// locality is a group of endpoints that are equally near.
type locality struct {
	endpoints []*endpoint
	slots     float64
	target    float64       // load per slot above which calls go elsewhere
	integral  float64       // integral part of spill; the service's lock guards it
	spill     atomic.Uint64 // float64 bits, share of calls that go elsewhere
	load      atomic.Uint64 // float64 bits, smoothed load per slot
	loadAt    atomic.Int64
	maxRamp   atomic.Uint64 // float64 bits, highest ramp of the endpoints
	report    atomic.Uint64 // float64 bits, median of the fresh reported loads
	pace      atomic.Uint64 // float64 bits, median of the endpoints' pace
}

func newService(announce string, opts Options) *service {
	return &service{announce: announce, slowStart: int64(opts.SlowStart), onEject: opts.OnEject, endpoints: make(map[identity]*endpoint)}
}

// ejectedUntil records that an endpoint looks bad until the given time.
func (s *service) ejectedUntil(until int64) {
	for {
		old := s.badUntil.Load()
		if until <= old || s.badUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// busy reports whether calls are in flight.
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

// current returns the table for the view's present generation. While one caller
// rebuilds it, the others use the old one.
func (s *service) current(b *Balancer, now int64) *table {
	t := s.table.Load()
	if t == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.renew(b, now)
	}
	if t.generation.Load() == b.view.Generation() && now < s.refreshAt.Load() {
		return t
	}
	if !s.mu.TryLock() {
		return t
	}
	defer s.mu.Unlock()
	return s.renew(b, now)
}

// renew makes a new table when the endpoints changed and works out the load of
// its localities. The service is locked.
func (s *service) renew(b *Balancer, now int64) *table {
	t := s.table.Load()
	generation := b.view.Generation()
	records, cut := b.view.Endpoints(s.announce), b.unreachable()
	if t == nil || !slices.Equal(records, t.records) || !slices.Equal(cut, t.cut) {
		old := t
		t = &table{records: records, cut: cut, suspects: &locality{}, unreachable: &locality{}}
		s.update(b, records, now, old == nil)
		s.group(b, t)
		t.inherit(old)
	}
	t.generation.Store(generation)
	if now >= s.refreshAt.Load() || s.table.Load() != t {
		t.refresh(now, b.opts.LoadMaxAge, s.panicking.Load())
		s.refreshAt.Store(now + int64(refreshTime))
	}
	s.table.Store(t)
	return t
}

// unreachable returns the names of the unreachable failure domains. The node's
// own failure domain is never one of them.
func (b *Balancer) unreachable() []string {
	var names []string
	self := b.view.Self().FailureDomain
	for _, d := range b.view.FailureDomains() {
		if d.Unreachable && d.Name != self {
			names = append(names, d.Name)
		}
	}
	return names
}

// update creates the state of new endpoints and drops that of departed ones.
func (s *service) update(b *Balancer, records []*member.Record, now int64, first bool) {
	seen := make(map[identity]bool, len(records))
	for _, r := range records {
		id := identity{r.ID, r.Incarnation}
		seen[id] = true
		e := s.endpoints[id]
		if e == nil {
			e = &endpoint{service: s}
			e.rampFrom.Store(now)
			if first {
				e.rampFrom.Store(now - int64(b.age(r)))
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

// age returns how long ago the endpoint's process started. Clocks of other
// instances may be wrong, which only changes the slow start.
func (b *Balancer) age(r *member.Record) time.Duration {
	return max(b.opts.Now().Sub(r.Started()), 0)
}

// group sorts the endpoints into localities.
func (s *service) group(b *Balancer, t *table) {
	self := b.view.Self()
	own, region := &locality{target: domainTarget}, &locality{target: regionTarget}
	others := make(map[string]*locality)
	for _, r := range t.records {
		e := s.endpoints[identity{r.ID, r.Incarnation}]
		var l *locality
		switch {
		case r.State != member.Alive && r.State != member.Suspect:
			continue
		case slices.Contains(t.cut, r.FailureDomain):
			t.unreachable.add(e, r)
			continue
		case r.State == member.Suspect:
			t.suspects.add(e, r)
			continue
		case r.FailureDomain == self.FailureDomain:
			l = own
		case r.Region == self.Region:
			l = region
		default:
			if l = others[r.Region]; l == nil {
				l = &locality{}
				others[r.Region] = l
			}
		}
		l.add(e, r)
		t.all = append(t.all, e)
	}
	t.near = slices.DeleteFunc([]*locality{own, region}, func(l *locality) bool { return len(l.endpoints) == 0 })
	for _, l := range others {
		t.regions = append(t.regions, l)
	}
	slices.SortFunc(t.regions, func(x, y *locality) int {
		return cmp.Compare(x.endpoints[0].record.Load().Region, y.endpoints[0].record.Load().Region)
	})
}

func (l *locality) add(e *endpoint, r *member.Record) {
	l.endpoints = append(l.endpoints, e)
	l.slots += float64(max(r.Slots, 1))
}
