package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskingw/member"
	"siskingw/object"
)

// fakeView is a member.View whose records tests change directly.
type fakeView struct {
	self        member.Record
	records     []*member.Record
	unreachable map[string]bool // unreachable failure domains
	generation  uint64
	frozen      bool // set ignores changes
}

func (v *fakeView) Self() *member.Record              { return &v.self }
func (v *fakeView) Ranked(string) []*member.Record    { return nil }
func (v *fakeView) Lookup(string) *member.Record      { return nil }
func (v *fakeView) Generation() uint64                { return v.generation }
func (v *fakeView) OnChange(func([]*member.Record))   {}
func (v *fakeView) Endpoints(string) []*member.Record { return v.records }

func (v *fakeView) FailureDomains() []member.DomainInfo {
	var infos []member.DomainInfo
	for _, d := range []string{"sask-1", "sask-2", "alta-1", "mani-1"} {
		infos = append(infos, member.DomainInfo{Name: d, Region: d[:4], Unreachable: v.unreachable[d]})
	}
	return infos
}

// lockedView is a fakeView that is safe for concurrent use.
type lockedView struct {
	mu sync.Mutex
	*fakeView
}

func (v *lockedView) change(f func(*fakeView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v.fakeView)
}

func (v *lockedView) Generation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

func (v *lockedView) Endpoints(string) []*member.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.records
}

// set replaces the record with the same id, or adds it.
func (v *fakeView) set(r member.Record) {
	if v.frozen {
		return
	}
	records := slices.Clone(v.records)
	i := slices.IndexFunc(records, func(o *member.Record) bool { return o.ID == r.ID })
	if i < 0 {
		records = append(records, &r)
	} else {
		records[i] = &r
	}
	v.records = records
	v.generation++
}

// setState changes the state of one record.
func (v *fakeView) setState(id string, s member.State) {
	for _, r := range v.records {
		if r.ID == id {
			c := *r
			c.State = s
			c.Sequence++
			v.set(c)
			return
		}
	}
}

// fixture is a balancer with a clock that tests advance.
type fixture struct {
	view      *fakeView
	now       time.Time
	b         *Balancer
	set       object.EndpointSetSpec
	ejection  object.EjectionSpec
	mapReport func(id string, r Report) Report // replaces the reports to the balancer; nil to leave them unchanged
}

// newFixture returns a node in sask-1 with perDomain targets in each failure
// domain.
func newFixture(perDomain int, opts Options) *fixture {
	f := &fixture{now: time.UnixMilli(1_800_000_000_000), set: object.EndpointSetSpec{Announce: "auction-floor"}}
	f.view = &fakeView{self: member.Record{ID: "self", Region: "sask", FailureDomain: "sask-1"},
		unreachable: map[string]bool{}}
	for _, d := range []string{"sask-1", "sask-2", "alta-1", "mani-1"} {
		for i := range perDomain {
			f.view.set(f.record(fmt.Sprintf("%s-%d", d, i), d))
		}
	}
	source := rand.New(rand.NewPCG(1, 2))
	opts.Now = func() time.Time { return f.now }
	opts.Rand = source.Uint64
	f.b = New(f.view, opts)
	return f
}

func (f *fixture) record(id, domain string) member.Record {
	return member.Record{
		ID: id, Incarnation: member.NewIncarnation(f.now.Add(-time.Hour)), State: member.Alive,
		FailureDomain: domain, Region: domain[:4], Service: f.set.Announce, Slots: 4,
	}
}

// call makes one call: it picks a target, advances the clock by gap and reports
// the outcome. It returns the target's id, or "" when no target is left.
func (f *fixture) call(gap time.Duration, outcome func(id string) Report, skip ...string) string {
	p, err := f.b.Pick(&f.set, &f.ejection, skip)
	if err != nil {
		return ""
	}
	f.now = f.now.Add(gap)
	f.done(p, outcome(p.Record.ID))
	return p.Record.ID
}

func (f *fixture) done(p *Picked, r Report) {
	if r.Duration == 0 {
		r.Duration = time.Millisecond
	}
	if f.mapReport != nil {
		r = f.mapReport(p.Record.ID, r)
	}
	p.Done(r)
}

// calls makes n calls and returns their number by target.
func (f *fixture) calls(n int, gap time.Duration, outcome func(id string) Report) map[string]int {
	count := make(map[string]int)
	for range n {
		count[f.call(gap, outcome)]++
	}
	return count
}

// holdCalls starts n calls that do not end and returns their number by failure
// domain. The clock advances by 30 s before each call, so that the balancer
// observes the load.
func (f *fixture) holdCalls(n int) map[string]int {
	count := make(map[string]int)
	for range n {
		for range 30 * time.Second / refreshInterval {
			f.now = f.now.Add(refreshInterval)
			if p, err := f.b.Pick(&f.set, &f.ejection, nil); err == nil {
				p.Done(Report{})
			}
		}
		if p, err := f.b.Pick(&f.set, &f.ejection, nil); err == nil {
			count[p.Record.FailureDomain]++
		}
	}
	return count
}

func succeeding(string) Report { return Report{Duration: time.Millisecond} }

// failing returns an outcome function by which the given targets fail.
func failing(ids ...string) func(string) Report {
	return func(id string) Report { return Report{Failed: slices.Contains(ids, id), Duration: time.Millisecond} }
}
