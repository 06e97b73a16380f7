package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
)

// regionsView is a View of failure domains a1, a2, b1, c1 in the regions a, b and c with
// two nodes each.
type regionsView struct {
	member.View
	self        string
	unreachable string // region that does not answer
}

func (v regionsView) record(id string) *member.Record {
	return &member.Record{ID: id, Region: id[:1], FailureDomain: id[:2], State: member.Alive, Incarnation: 1}
}

func (v regionsView) Self() *member.Record { return v.record(v.self) }

func (v regionsView) Ranked(domain string) []*member.Record {
	return []*member.Record{v.record(domain + "-0"), v.record(domain + "-1")}
}

func (v regionsView) FailureDomains() (out []member.DomainInfo) {
	for _, name := range []string{"a1", "a2", "b1", "c1"} {
		out = append(out, member.DomainInfo{Name: name, Region: name[:1], Live: 2, Unreachable: name[:1] == v.unreachable})
	}
	return out
}

// Guards against nodes of one region that ask different pools, against a pool that is
// both the own one and a lender, and against a node whose region has no pool and that
// asks none.
func TestPoolsOfRegions(t *testing.T) {
	now := time.Now()
	ids := func(v regionsView, failed ...string) (out []string) {
		m := newMembers(v, now)
		for _, id := range failed {
			m.markFailed(id, now)
		}
		home, lenders := m.pools(now)
		if home == nil {
			return nil
		}
		out = append(out, home.ID)
		for _, r := range lenders {
			out = append(out, r.ID)
		}
		return out
	}
	is := is.New(t)
	is.Equal(ids(regionsView{self: "b1-0"}), []string{"b1-1", "c1-1", "a1-1"})
	is.Equal(ids(regionsView{self: "a2-0"}), []string{"a1-1", "b1-1", "c1-1"})
	is.Equal(ids(regionsView{self: "c1-1"}), []string{"c1-1", "a1-1", "b1-1"})
	is.Equal(ids(regionsView{self: "a1-0"}, "a1-1", "c1-1"), []string{"a1-0", "b1-1", "c1-0"})
	is.Equal(ids(regionsView{self: "b1-0", unreachable: "c"}), []string{"b1-1", "a1-1"})
	is.Equal(ids(regionsView{self: "b1-0", unreachable: "b"}), []string{"c1-1", "a1-1"})
	is.Equal(ids(regionsView{self: "b1-0"}, "b1-0", "b1-1"), []string{"c1-1", "a1-1"})
}

// Guards against another pool than the one that has been known longest enough: nodes
// that learn of a new one at different times would pledge to two.
func TestNewProcessIsNotPreferredAsPool(t *testing.T) {
	is := is.New(t)
	v := regionsView{self: "b1-0"}
	now := time.Now()
	m := newMembers(v, now.Add(-time.Minute))
	m.known["b1-1"] = process{incarnation: 1, since: now.Add(-settleTime / 2)}
	home, _ := m.pools(now)
	is.Equal(home.ID, "b1-0")
	home, _ = m.pools(now.Add(settleTime))
	is.Equal(home.ID, "b1-1")
}
