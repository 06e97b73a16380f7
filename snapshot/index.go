package snapshot

import (
	"maps"
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

// maxIncremental is the number of changed objects up to which the index of the
// previous snapshot is updated. Each changed object is compared with every
// service and route, so that a large change costs less as a new index.
const maxIncremental = 64

// index finds the route of a request. Routes of one host are sorted by
// descending prefix length, so that the longest prefix matches first. An index
// is immutable once its snapshot is sealed; the next one shares its entries.
type index struct {
	services map[string]*Resolved // without route
	byName   map[string]*Resolved // routes
	byHost   map[string][]*Resolved
}

// newIndex resolves every reference of the snapshot. It returns a Dangling
// error that names a reference without an object.
func newIndex(s *Snapshot) (*index, error) {
	idx := &index{services: make(map[string]*Resolved), byName: make(map[string]*Resolved), byHost: make(map[string][]*Resolved)}
	var services, routes []*object.Object
	for _, sh := range s.shards {
		for _, o := range sh.objects {
			switch {
			case o.Service != nil:
				services = append(services, o)
			case o.Route != nil:
				routes = append(routes, o)
			}
		}
	}
	return idx, idx.add(s, services, routes)
}

// update returns the index of the next snapshot, which differs from that of
// idx in the changed objects only. It returns a Dangling error like newIndex.
func (idx *index) update(next *Snapshot, changed []object.Key) (*index, error) {
	if len(changed) > maxIncremental {
		return newIndex(next)
	}
	services := idx.affectedServices(changed)
	routes := idx.affectedRoutes(changed, services)
	out := &index{services: maps.Clone(idx.services), byName: maps.Clone(idx.byName), byHost: maps.Clone(idx.byHost)}
	for name := range services {
		delete(out.services, name)
	}
	for name := range routes {
		if old := idx.byName[name]; old != nil {
			out.remove(old)
		}
	}
	return out, out.add(next, existing(next, object.KindService, services), existing(next, object.KindRoute, routes))
}

// existing returns the objects of the names that the snapshot holds.
func existing(s *Snapshot, kind object.Kind, names map[string]bool) []*object.Object {
	var out []*object.Object
	for name := range names {
		if o := s.Get(object.Key{Kind: kind, Name: name}); o != nil {
			out = append(out, o)
		}
	}
	return out
}

// affectedServices returns the changed services and those that refer to a
// changed endpoint set or policy.
func (idx *index) affectedServices(changed []object.Key) map[string]bool {
	affected := make(map[string]bool)
	for _, k := range changed {
		switch k.Kind {
		case object.KindService:
			affected[k.Name] = true
		case object.KindEndpointSet:
			idx.collectServices(affected, func(s *object.ServiceSpec) bool { return s.EndpointSet == k.Name })
		case object.KindPolicy:
			idx.collectServices(affected, func(s *object.ServiceSpec) bool { return s.Policy == k.Name })
		}
	}
	return affected
}

func (idx *index) collectServices(affected map[string]bool, refers func(*object.ServiceSpec) bool) {
	for name, r := range idx.services {
		if refers(r.Service) {
			affected[name] = true
		}
	}
}

// affectedRoutes returns the changed routes and those that refer to an affected
// service, a changed policy or, as a fallback, an affected route.
func (idx *index) affectedRoutes(changed []object.Key, services map[string]bool) map[string]bool {
	affected, policies := make(map[string]bool), make(map[string]bool)
	for _, k := range changed {
		switch k.Kind {
		case object.KindRoute:
			affected[k.Name] = true
		case object.KindPolicy:
			policies[k.Name] = true
		}
	}
	for before := -1; before != len(affected); {
		before = len(affected)
		for name, r := range idx.byName {
			if services[r.ServiceName] || policies[r.Route.Policy] || affected[r.Route.Fallback] {
				affected[name] = true
			}
		}
	}
	return affected
}

// remove takes a route out of the index without changing a shared list.
func (idx *index) remove(r *Resolved) {
	delete(idx.byName, r.Name)
	host := r.Route.Host
	rest := slices.DeleteFunc(slices.Clone(idx.byHost[host]), func(other *Resolved) bool { return other == r })
	if len(rest) == 0 {
		delete(idx.byHost, host)
		return
	}
	idx.byHost[host] = rest
}

// add resolves the objects and puts them into the index.
func (idx *index) add(s *Snapshot, services, routes []*object.Object) error {
	for _, o := range services {
		r, err := resolveService(s, o)
		if err != nil {
			return err
		}
		idx.services[o.Name] = r
	}
	for _, o := range routes {
		if err := idx.addRoute(s, o); err != nil {
			return err
		}
	}
	for _, o := range routes {
		if err := idx.linkFallback(idx.byName[o.Name]); err != nil {
			return err
		}
	}
	return nil
}

// addRoute resolves everything that a route refers to but its fallback.
func (idx *index) addRoute(s *Snapshot, o *object.Object) error {
	service, ok := idx.services[o.Route.Service]
	if !ok {
		return dangling(o.Key(), object.KindService, o.Route.Service)
	}
	r := *service
	r.Name, r.Route = o.Name, o.Route
	if o.Route.Policy != "" {
		policy, err := resolvePolicy(s, o.Key(), o.Route.Policy)
		if err != nil {
			return err
		}
		r.Policy = policy
	}
	idx.byName[o.Name] = &r
	list := idx.byHost[o.Route.Host]
	at, _ := slices.BinarySearchFunc(list, &r, byPrefix)
	idx.byHost[o.Route.Host] = slices.Insert(slices.Clip(list), at, &r)
	return nil
}

func (idx *index) linkFallback(r *Resolved) error {
	if r.Route.Fallback == "" {
		return nil
	}
	target, ok := idx.byName[r.Route.Fallback]
	if !ok {
		return dangling(object.Key{Kind: object.KindRoute, Name: r.Name}, object.KindRoute, r.Route.Fallback)
	}
	r.Fallback = target
	return nil
}

// byPrefix orders routes by descending prefix length and then by name.
func byPrefix(a, b *Resolved) int {
	if d := len(b.Route.PathPrefix) - len(a.Route.PathPrefix); d != 0 {
		return d
	}
	return strings.Compare(a.Name, b.Name)
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

// resolveService collects the endpoint set and the policy of a service.
func resolveService(s *Snapshot, o *object.Object) (*Resolved, error) {
	set := s.Get(object.Key{Kind: object.KindEndpointSet, Name: o.Service.EndpointSet})
	if set == nil || set.EndpointSet == nil {
		return nil, dangling(o.Key(), object.KindEndpointSet, o.Service.EndpointSet)
	}
	r := &Resolved{ServiceName: o.Name, Service: o.Service, EndpointSet: set.EndpointSet}
	if o.Service.Policy == "" {
		return r, nil
	}
	policy, err := resolvePolicy(s, o.Key(), o.Service.Policy)
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
