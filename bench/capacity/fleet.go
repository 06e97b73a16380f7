// Package capacity measures what one node uses for control at the target size:
// one real node process among synthetic members that a stand-in answers for.
package capacity

import (
	"fmt"
	"math/rand/v2"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
)

// The shape of the fleet at the target size.
const (
	regionCount = 4
	domainCount = 9
	peerPort    = 15003
	inboundPort = 15002
	slots       = 9
)

// place names the failure domain with index d. The first region has three
// failure domains and the others have two each.
func place(d int) (region, domain string) {
	r := min(d/2, regionCount-1)
	if d == domainCount-1 {
		r = 0
	}
	return fmt.Sprintf("region-%d", r), fmt.Sprintf("region-%d-fd-%d", r, d)
}

// address returns the loopback address of instance i.
func address(base, i, port int) string {
	const perOctet = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", base, i/perOctet, 1+i%perOctet, port)
}

// makeRecords returns the records of n members over all failure domains.
func makeRecords(n, services, base int, now uint64) []member.Record {
	records := make([]member.Record, n)
	for i := range records {
		region, domain := place(i % domainCount)
		records[i] = member.Record{
			ID: fmt.Sprintf("%s-%05d", domain, i), Incarnation: now<<20 | rand.Uint64N(1<<20), State: member.Alive,
			FailureDomain: domain, Region: region,
			PeerAddr: address(base, i, peerPort), InboundAddr: address(base, i, inboundPort),
			Service: serviceName(i % max(1, services)), Slots: slots,
		}
	}
	return records
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }

// makeObjects returns a configuration of n services, each with an endpoint set
// and a route, and one policy for every 10 services.
func makeObjects(n int) []*object.Object {
	var out []*object.Object
	for i := range n {
		name, policy := serviceName(i), fmt.Sprintf("policy-%03d", i/10)
		out = append(out,
			&object.Object{Kind: object.KindEndpointSet, Name: name, Revision: 1, Author: "operator",
				EndpointSet: &object.EndpointSetSpec{Announce: name, MinReady: 1 + i%3}},
			&object.Object{Kind: object.KindService, Name: name, Revision: 1, Author: "operator",
				Service: &object.ServiceSpec{EndpointSet: name, Policy: policy, Protocol: "http"}},
			routeObject(i, 1))
		if i%10 == 0 {
			out = append(out, policyObject(i/10, 1))
		}
	}
	return out
}

// policyObject returns a policy whose content depends on the version.
func policyObject(i int, version uint64) *object.Object {
	return &object.Object{Kind: object.KindPolicy, Name: fmt.Sprintf("policy-%03d", i), Revision: version, Author: "operator",
		Policy: &object.PolicySpec{TimeoutMs: 500 + int(version%1000), Retries: 2, RetryBudgetPercent: 10, QueueLength: 64}}
}

// routeObject returns a route whose content depends on the version.
func routeObject(i int, version uint64) *object.Object {
	name := serviceName(i)
	return &object.Object{Kind: object.KindRoute, Name: name, Revision: version, Author: "operator",
		Route: &object.RouteSpec{Host: name + ".mesh", PathPrefix: fmt.Sprintf("/v%d", version), Service: name, Kind: object.WorkPage}}
}

// Role is the duty that the measured node has by its rank.
type Role string

// The roles that depend on rank. A leaf has no tree children.
const (
	Leaf       Role = "leaf"
	Parent     Role = "parent"
	Relay      Role = "relay"
	Rank0      Role = "rank0"
	RegionHead Role = "head"
)

// roleDomain returns the index of the failure domain in which the role occurs:
// the head is in the first failure domain of its region, rank 0 in another one.
func roleDomain(r Role) int {
	if r == Rank0 || r == Relay {
		return 1
	}
	return 0
}

// accepts reports whether the position among n members has the role.
func (r Role) accepts(position, n int) bool {
	switch r {
	case Leaf:
		return member.Fanout*position+1 >= n
	case Parent:
		return position >= member.RelayCount && member.Fanout*(position+1) < n && position > n/20
	case Relay:
		return position == 1
	case Rank0, RegionHead:
		return position == 0
	}
	return false
}

// findID returns an id whose rank among the members has the role.
func findID(r Role, ranked []*member.Record) (string, error) {
	const tries = 1_000_000
	for i := range tries {
		id := fmt.Sprintf("measured-%06d", i)
		position := 0
		h := member.RankHash(id)
		for position < len(ranked) && member.RankHash(ranked[position].ID) < h {
			position++
		}
		if r.accepts(position, len(ranked)+1) {
			return id, nil
		}
	}
	return "", errdefs.Internal.New("no id found with role %s among %d members", r, len(ranked))
}
