package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"siskingw/member"
	"siskingw/object"
)

// fakeView is a membership that tests change directly.
type fakeView struct {
	self       member.Record
	records    []*member.Record
	cut        map[string]bool
	generation uint64
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
		infos = append(infos, member.DomainInfo{Name: d, Region: d[:4], Unreachable: v.cut[d]})
	}
	return infos
}

// set replaces the record of the same id, or adds it.
func (v *fakeView) set(r member.Record) {
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

// state changes the state of one record.
func (v *fakeView) state(id string, s member.State) {
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
	view *fakeView
	now  time.Time
	b    *Balancer
}

var set = &object.EndpointSetSpec{Announce: "auction-floor"}

// newFixture returns a node in sask-1 that sees perDomain targets in each failure domain.
func newFixture(perDomain int, opts Options) *fixture {
	f := &fixture{now: time.UnixMilli(1_800_000_000_000)}
	f.view = &fakeView{self: member.Record{ID: "self", Region: "sask", FailureDomain: "sask-1"}, cut: map[string]bool{}}
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
		ID: id, Incarnation: uint64(f.now.Add(-time.Hour).UnixMilli()), State: member.Alive,
		FailureDomain: domain, Region: domain[:4], Service: set.Announce, Slots: 4,
	}
}
