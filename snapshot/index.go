package snapshot

import (
	"slices"
	"strings"

	"siskingw/faults"
	"siskingw/object"
)

// Resolved is a route with everything that it refers to.
type Resolved struct {
	Name        string
	Route       *object.RouteSpec
	ServiceName string
	Service     *object.ServiceSpec
	EndpointSet *object.EndpointSetSpec
	Policy      *object.PolicySpec // the route's, else the service's, else nil
	Fallback    *Resolved
}

// index finds the route of a request. Routes of one host are sorted by
// descending prefix length, so that the longest prefix matches first.
type index struct {
	byHost map[string][]*Resolved
	byName map[string]*Resolved
}

// newIndex resolves every reference of the snapshot. It returns a Dangling
// error that names the first reference without an object.
func newIndex(s *Snapshot) (*index, error) {
	idx := &index{byHost: make(map[string][]*Resolved), byName: make(map[string]*Resolved)}
	for _, sh := range s.shards {
		for _, o := range sh.objects {
			if err := idx.add(s, o); err != nil {
				return nil, err
			}
		}
	}
	return idx, idx.linkFallbacks()
}

// add checks the references of one object and indexes it if it is a route.
func (idx *index) add(s *Snapshot, o *object.Object) error {
	switch {
	case o.Service != nil:
		_, err := resolveService(s, o.Key(), o.Name)
		return err
	case o.Route != nil:
		r, err := resolveRoute(s, o)
		if err != nil {
			return err
		}
		idx.byName[o.Name] = r
		idx.byHost[o.Route.Host] = append(idx.byHost[o.Route.Host], r)
	}
	return nil
}

// linkFallbacks resolves the fallback of each route and sorts the routes.
func (idx *index) linkFallbacks() error {
	for _, r := range idx.byName {
		if r.Route.Fallback == "" {
			continue
		}
		target, ok := idx.byName[r.Route.Fallback]
		if !ok {
			return dangling(object.Key{Kind: object.KindRoute, Name: r.Name}, object.KindRoute, r.Route.Fallback)
		}
		r.Fallback = target
	}
	for _, routes := range idx.byHost {
		slices.SortFunc(routes, func(a, b *Resolved) int {
			if d := len(b.Route.PathPrefix) - len(a.Route.PathPrefix); d != 0 {
				return d
			}
			return strings.Compare(a.Name, b.Name)
		})
	}
	return nil
}

// Match returns the route for a host and path, or nil. Routes of the exact
// host come before routes without a host; the longest prefix wins.
func (s *Snapshot) Match(host, path string) *Resolved {
	if r := longestPrefix(s.index.byHost[host], path); r != nil || host == "" {
		return r
	}
	return longestPrefix(s.index.byHost[""], path)
}

func longestPrefix(routes []*Resolved, path string) *Resolved {
	for _, r := range routes {
		if strings.HasPrefix(path, r.Route.PathPrefix) {
			return r
		}
	}
	return nil
}

// resolveRoute collects everything that a route refers to.
func resolveRoute(s *Snapshot, o *object.Object) (*Resolved, error) {
	r, err := resolveService(s, o.Key(), o.Route.Service)
	if err != nil {
		return nil, err
	}
	r.Name, r.Route = o.Name, o.Route
	if o.Route.Policy != "" {
		if r.Policy, err = resolvePolicy(s, o.Key(), o.Route.Policy); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// resolveService collects a service, its endpoint set and its policy.
func resolveService(s *Snapshot, from object.Key, name string) (*Resolved, error) {
	svc := s.Get(object.Key{Kind: object.KindService, Name: name})
	if svc == nil || svc.Service == nil {
		return nil, dangling(from, object.KindService, name)
	}
	set := s.Get(object.Key{Kind: object.KindEndpointSet, Name: svc.Service.EndpointSet})
	if set == nil || set.EndpointSet == nil {
		return nil, dangling(svc.Key(), object.KindEndpointSet, svc.Service.EndpointSet)
	}
	r := &Resolved{ServiceName: name, Service: svc.Service, EndpointSet: set.EndpointSet}
	if svc.Service.Policy == "" {
		return r, nil
	}
	policy, err := resolvePolicy(s, svc.Key(), svc.Service.Policy)
	r.Policy = policy
	return r, err
}

func resolvePolicy(s *Snapshot, from object.Key, name string) (*object.PolicySpec, error) {
	p := s.Get(object.Key{Kind: object.KindPolicy, Name: name})
	if p == nil || p.Policy == nil {
		return nil, dangling(from, object.KindPolicy, name)
	}
	return p.Policy, nil
}

func dangling(from object.Key, kind object.Kind, name string) error {
	return faults.Dangling.New("%s refers to %s/%s, which does not exist", from, kind, name)
}
