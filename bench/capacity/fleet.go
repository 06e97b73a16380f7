// Package capacity measures the CPU time, memory and control traffic of
// one node at the target fleet size. It runs one real node process; a stub
// serves the peer API for all other members of the fleet.
package capacity

import (
	"fmt"
	"math/rand/v2"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
)

// Layout of the fleet at the target size.
const (
	regionCount      = 4
	domainCount      = 9
	peerPort         = 15003
	inboundPort      = 15002
	slotsPerInstance = 9
)

// place returns the names of the failure domain with index d and of its region.
// The first region has three failure domains and the others have two each.
func place(d int) (region, domain string) {
	r := min(d/2, regionCount-1)
	if d == domainCount-1 {
		r = 0
	}
	return fmt.Sprintf("region-%d", r), fmt.Sprintf("region-%d-fd-%d", r, d)
}

// address returns the loopback address of instance i. octet is the second octet
// of every address of the run.
func address(octet, i, port int) string {
	const perOctet = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", octet, i/perOctet, 1+i%perOctet, port)
}

// makeRecords returns the records of n members distributed over all failure
// domains. nowMs is the Unix time in ms from which incarnations are derived.
func makeRecords(n, services, octet int, nowMs uint64) []member.Record {
	records := make([]member.Record, n)
	for i := range records {
		region, domain := place(i % domainCount)
		records[i] = member.Record{
			ID: fmt.Sprintf("%s-%05d", domain, i), Incarnation: nowMs<<20 | rand.Uint64N(1<<20), State: member.Alive,
			FailureDomain: domain, Region: region,
			PeerAddr: address(octet, i, peerPort), InboundAddr: address(octet, i, inboundPort),
			Service: serviceName(i % max(1, services)), Slots: slotsPerInstance,
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

// policyObject returns a policy whose timeout depends on the version.
func policyObject(i int, version uint64) *object.Object {
	return &object.Object{Kind: object.KindPolicy, Name: fmt.Sprintf("policy-%03d", i), Revision: version, Author: "operator",
		Policy: &object.PolicySpec{TimeoutMs: 500 + int(version%1000), Retries: 2, RetryBudgetPercent: 10, QueueLength: 64}}
}

// routeObject returns a route whose path prefix depends on the version.
func routeObject(i int, version uint64) *object.Object {
	name := serviceName(i)
	return &object.Object{Kind: object.KindRoute, Name: name, Revision: version, Author: "operator",
		Route: &object.RouteSpec{Host: name + ".mesh", PathPrefix: fmt.Sprintf("/v%d", version), Service: name, Kind: object.WorkPage}}
}

// Role is the function of the measured node in the distribution tree, which
// follows from its rank in its failure domain.
type Role string

// Roles of a node. A leaf has no tree children.
const (
	Leaf       Role = "leaf"
	Parent     Role = "parent"
	Relay      Role = "relay"
	Rank0      Role = "rank0"
	RegionHead Role = "head"
)

// roleDomain returns the index of a failure domain in which the role occurs: the
// region head is in the first failure domain of its region, so a rank 0 that is
// not the region head is in another one.
func roleDomain(r Role) int {
	if r == Rank0 || r == Relay {
		return 1
	}
	return 0
}

// matches reports whether a node at the position among n ranked members has the
// role.
func (r Role) matches(position, n int) bool {
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

// findID returns a node ID whose rank among the members gives it the role. It
// fails with Internal when none is found.
func findID(r Role, ranked []*member.Record) (string, error) {
	const maxTries = 1_000_000
	for i := range maxTries {
		id := fmt.Sprintf("measured-%06d", i)
		position := 0
		h := member.RankHash(id)
		for position < len(ranked) && member.RankHash(ranked[position].ID) < h {
			position++
		}
		if r.matches(position, len(ranked)+1) {
			return id, nil
		}
	}
	return "", errdefs.Internal.New("no id found with role %s among %d members", r, len(ranked))
}
