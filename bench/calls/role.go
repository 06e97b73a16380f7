package calls

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/subcommands"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/errdefs"
	"siskingw/idem"
	"siskingw/member"
	"siskingw/object"
	"siskingw/proxy"
	"siskingw/snapshot"
	"siskingw/targetstub"
)

// Roles of the processes of a measurement.
const (
	roleTarget           = "target"
	roleInbound          = "inbound"
	roleOutbound         = "outbound"
	roleNetHTTPInbound   = "nethttp-inbound" // same handler as inbound, behind the server of net/http
	roleNetHTTPOutbound  = "nethttp-outbound"
	roleBaselineInbound  = "baseline-inbound"
	roleBaselineOutbound = "baseline-outbound"
)

const (
	benchSlots        = 256  // more than the calls in flight of any step, so that no call is refused
	benchServices     = 2100 // number of services that a fleet must support
	responseBodyBytes = 256
	serviceNamePrefix = "bench"
)

// Role is the calls-role subcommand of meshbench: it runs one process of a
// measurement until its standard input is closed. It prints one line with the
// addresses of its server and of its statistics server.
type Role struct {
	role     string
	nextAddr string
}

// Name implements subcommands.Command.
func (*Role) Name() string { return "calls-role" }

// Synopsis implements subcommands.Command.
func (*Role) Synopsis() string { return "one process of a calls measurement" }

// Usage implements subcommands.Command.
func (*Role) Usage() string { return "calls-role -role NAME [-next ADDRESS]\n" }

// SetFlags implements subcommands.Command.
func (r *Role) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.role, "role", "", "role of the process")
	f.StringVar(&r.nextAddr, "next", "", "address of the next hop")
}

// Execute runs the role.
func (r *Role) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := r.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (r *Role) run() error {
	handler, err := r.handler()
	if err != nil {
		return err
	}
	serveFunc := proxy.NewServer(handler, proxy.ServerOptions{}).Serve
	if r.role == roleInbound || r.role == roleOutbound {
		serveFunc = proxy.NewConnServer(handler, proxy.ServerOptions{}).Serve
	}
	addr, err := serve(serveFunc)
	if err != nil {
		return err
	}
	stats, err := serve(proxy.NewServer(http.HandlerFunc(serveStats), proxy.ServerOptions{}).Serve)
	if err != nil {
		return err
	}
	fmt.Println(addr, stats)
	_, _ = io.Copy(io.Discard, bufio.NewReader(os.Stdin)) // until the parent process closes it or exits
	return nil
}

// serve listens on a free loopback port, runs server on it and returns its address.
func serve(server func(net.Listener) error) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errdefs.Internal.Wrap(err, "listen on loopback")
	}
	go server(l)
	return l.Addr().String(), nil
}

func (r *Role) handler() (http.Handler, error) {
	m := proxy.NewMetrics(metrics.NewSet())
	switch r.role {
	case roleTarget:
		b := targetstub.DefaultBehavior()
		b.Slots, b.WorkMs, b.BodyBytes = benchSlots, 0, responseBodyBytes
		return targetstub.New(b).Handler(), nil
	case roleInbound, roleNetHTTPInbound:
		return proxy.NewInbound(proxy.InboundOptions{
			Target:  r.nextAddr,
			Gate:    admit.New(admit.Options{Slots: benchSlots}),
			Ledger:  idem.NewLedger("target", 1, idem.Options{}),
			Pool:    proxy.NewPool(proxy.PoolOptions{MaxPerAddress: benchSlots}),
			Metrics: m,
		}), nil
	case roleOutbound, roleNetHTTPOutbound:
		return newOutbound(r.nextAddr, m)
	case roleBaselineInbound, roleBaselineOutbound:
		return newBaseline(r.nextAddr), nil
	}
	return nil, errdefs.Invalid.New("role %q does not exist", r.role)
}

// newOutbound returns the handler of a caller's node. Its configuration has
// benchServices services, one of which has an endpoint, at the address inbound.
func newOutbound(inbound string, m *proxy.Metrics) (http.Handler, error) {
	var objects []*object.Object
	for i := range benchServices {
		name := serviceNamePrefix + strconv.Itoa(i)
		objects = append(objects,
			&object.Object{Kind: object.KindEndpointSet, Name: name, EndpointSet: &object.EndpointSetSpec{Announce: name}},
			&object.Object{Kind: object.KindService, Name: name, Service: &object.ServiceSpec{EndpointSet: name}},
			&object.Object{Kind: object.KindRoute, Name: name, Route: &object.RouteSpec{Host: name, PathPrefix: "/", Service: name, Kind: object.WorkBid}},
		)
	}
	s, err := snapshot.New(1, objects)
	if err != nil {
		return nil, err
	}
	var current snapshot.Current
	if err := current.Advance(s); err != nil {
		return nil, err
	}
	view := member.NewDirectory(member.Record{ID: "caller", Incarnation: 1, State: member.Alive, FailureDomain: "a", Region: "r"}, member.DirectoryOptions{})
	view.Merge([]member.Record{{
		ID: "target", Incarnation: 1, State: member.Alive, FailureDomain: "a", Region: "r",
		InboundAddr: inbound, Service: measuredService, Slots: benchSlots,
	}})
	return proxy.NewOutbound(proxy.OutboundOptions{
		Current:  &current,
		Balancer: balance.New(view, balance.Options{}),
		View:     view,
		Pool:     proxy.NewPool(proxy.PoolOptions{MaxPerAddress: benchSlots}),
		Metrics:  m,
	}), nil
}

// measuredService is the service that the measured calls go to, and its host.
const measuredService = serviceNamePrefix + "7"

// processStats holds the resources that a process has used since its start.
type processStats struct {
	CPU     time.Duration `json:"cpu"`     // user and system
	Mallocs uint64        `json:"mallocs"` // heap objects allocated
	Bytes   uint64        `json:"bytes"`   // heap bytes allocated
}

// serveStats serves processStats as JSON, a CPU profile of N seconds for the
// query profile=N, and an allocation profile for the path /allocs.
func serveStats(w http.ResponseWriter, r *http.Request) {
	if seconds, err := strconv.Atoi(r.URL.Query().Get("profile")); err == nil {
		if pprof.StartCPUProfile(w) == nil {
			time.Sleep(time.Duration(seconds) * time.Second)
			pprof.StopCPUProfile()
		}
		return
	}
	if r.URL.Path == "/allocs" {
		_ = pprof.Lookup("allocs").WriteTo(w, 0)
		return
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // cannot fail with valid arguments
	_ = json.NewEncoder(w).Encode(processStats{
		CPU:     time.Duration(u.Utime.Nano() + u.Stime.Nano()),
		Mallocs: m.Mallocs,
		Bytes:   m.TotalAlloc,
	})
}
