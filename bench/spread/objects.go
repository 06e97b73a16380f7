package spread

import (
	"fmt"

	"siskingw/object"
	"siskingw/snapshot"
)

// makeObjects returns a configuration of n services, each with an endpoint set
// and a route, and one policy for every 10 services.
func makeObjects(n int) []*object.Object {
	var out []*object.Object
	for i := range n {
		name, policy := fmt.Sprintf("service-%04d", i), fmt.Sprintf("policy-%03d", i/10)
		out = append(out,
			&object.Object{Kind: object.KindEndpointSet, Name: name, Revision: 1, Author: "operator",
				EndpointSet: &object.EndpointSetSpec{Announce: name, MinReady: 1 + i%3}},
			&object.Object{Kind: object.KindService, Name: name, Revision: 1, Author: "operator",
				Service: &object.ServiceSpec{EndpointSet: name, Policy: policy, Protocol: "http"}},
			&object.Object{Kind: object.KindRoute, Name: name, Revision: 1, Author: "operator",
				Route: &object.RouteSpec{Host: name + ".mesh", PathPrefix: "/", Service: name, Kind: object.WorkPage}})
		if i%10 == 0 {
			out = append(out, &object.Object{Kind: object.KindPolicy, Name: policy, Revision: 1, Author: "operator",
				Policy: &object.PolicySpec{TimeoutMs: 500 + i, Retries: 2, RetryBudgetPercent: 10, QueueLength: 64}})
		}
	}
	return out
}

// nextVersion returns the version after base, which changes the given number of
// objects, each the route of another service, and the delta to it.
func nextVersion(base *snapshot.Snapshot, services, objects int) (*snapshot.Snapshot, *snapshot.Delta, error) {
	version := base.Version() + 1
	var upserts []*object.Object
	for i := range objects {
		k := (int(version)*7 + i) % services
		name := fmt.Sprintf("service-%04d", k)
		upserts = append(upserts, &object.Object{Kind: object.KindRoute, Name: name, Revision: version, Author: "operator",
			Route: &object.RouteSpec{Host: name + ".mesh", PathPrefix: fmt.Sprintf("/v%d", version),
				Service: name, Kind: object.WorkBid}})
	}
	next, err := base.WithChanges(version, upserts, nil)
	if err != nil {
		return nil, nil, err
	}
	return next, snapshot.Diff(base, next), nil
}
