package load

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
	"siskingw/proxy"
	"siskingw/snapshot"
)

// mesh is a set of nodes in this process, with real proxies and connections over
// loopback. The nodes share one configuration and one membership directory, so
// there is no control traffic.
type mesh struct {
	current snapshot.Current
	view    *member.Directory
	servers []*http.Server
}

// newMesh returns a mesh with the given objects in force.
func newMesh(objects []*object.Object) (*mesh, error) {
	s, err := snapshot.New(1, objects)
	if err != nil {
		return nil, err
	}
	m := &mesh{view: member.NewDirectory(member.Record{
		ID: "caller", Incarnation: 1, State: member.Alive, FailureDomain: "sask-1", Region: "sask",
	}, member.DirectoryOptions{})}
	return m, m.current.Advance(s)
}

// serve starts a server on a free loopback port and returns its address.
func (m *mesh) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errdefs.Internal.Wrap(err, "listen on loopback")
	}
	srv := proxy.NewServer(h, proxy.ServerOptions{})
	m.servers = append(m.servers, srv)
	go srv.Serve(l)
	return l.Addr().String(), nil
}

// close stops every server.
func (m *mesh) close() {
	for _, s := range m.servers {
		s.Close()
	}
}

// addCaller starts the outbound side of a node and returns its address.
func (m *mesh) addCaller() (string, error) {
	return m.serve(proxy.NewOutbound(proxy.OutboundOptions{
		Current: &m.current, Balancer: balance.New(m.view, balance.Options{}), View: m.view,
	}))
}

// addTarget starts the inbound side of a node in front of the target at the
// address target, and adds it to the directory. wrap, if not nil, wraps the
// inbound handler.
func (m *mesh) addTarget(service, id, target string, gate *admit.Gate, slots int, wrap func(http.Handler) http.Handler) error {
	var h http.Handler = proxy.NewInbound(proxy.InboundOptions{
		Target: target, Gate: gate, Pool: proxy.NewPool(proxy.PoolOptions{MaxPerAddress: maxConnections}),
	})
	if wrap != nil {
		h = wrap(h)
	}
	addr, err := m.serve(h)
	if err != nil {
		return err
	}
	m.view.Merge([]member.Record{{
		ID: id, Incarnation: 1, State: member.Alive, FailureDomain: "sask-1", Region: "sask",
		InboundAddr: addr, Service: service, Slots: uint32(slots),
	}})
	return nil
}

// maxConnections is large enough that it does not limit the runs without a gate.
const maxConnections = 4000

// serviceObjects returns the objects of a service with one route for each kind of
// work.
func serviceObjects(name string, policy *object.PolicySpec) []*object.Object {
	objects := []*object.Object{
		{Kind: object.KindEndpointSet, Name: name, EndpointSet: &object.EndpointSetSpec{Announce: name}},
		{Kind: object.KindPolicy, Name: name, Policy: policy},
		{Kind: object.KindService, Name: name, Service: &object.ServiceSpec{EndpointSet: name, Policy: name}},
	}
	for _, k := range kinds {
		objects = append(objects, &object.Object{Kind: object.KindRoute, Name: fmt.Sprintf("%s-%s", name, k),
			Route: &object.RouteSpec{PathPrefix: routePath(name, k), Service: name, Kind: k}})
	}
	return objects
}

// routePath returns the path prefix of the route of a service for a kind of work.
func routePath(service string, k object.WorkKind) string { return fmt.Sprintf("/%s/%s", service, k) }

// newClient returns an HTTP client that reuses its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConnections, DisableCompression: true}}
}

// callURL makes one call and returns its outcome.
func callURL(ctx context.Context, client *http.Client, url string) Outcome {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Failed
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcomeOfError(ctx)
	}
	defer resp.Body.Close()
	if _, err := discard(resp.Body); err != nil {
		return outcomeOfError(ctx)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return Good
	case resp.Header.Get(proxy.HeaderOutcome) == proxy.OutcomeNotRun:
		return Refused
	case resp.StatusCode == http.StatusGatewayTimeout:
		return Late
	}
	return Failed
}

// outcomeOfError returns the outcome of a call without a complete response.
func outcomeOfError(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return Late
	}
	return Failed
}
