// Package fleet runs a small fleet as real processes on loopback: one store
// stub, and one target stub and one node for each instance. It serves the demo,
// the benchmarks and the end-to-end tests and is not part of a node.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/settings"
)

// Ports of the listeners. Every instance has its own loopback address, so all
// instances use the same ports.
const (
	portOutbound = 15001
	portInbound  = 15002
	portPeer     = 15003
	portAdmin    = 15004
	portTarget   = 15005
	portStore    = 15010
	portControl  = 15011
)

// Domain describes the instances of one failure domain, which all run the same
// service.
type Domain struct {
	Region, Name string
	Instances    int
	Service      string // name that each target announces
	Slots        int    // of each target
}

// Options configures a Fleet.
type Options struct {
	BinDir     string // directory of the binaries siskingw, storestub and targetstub
	WorkDir    string // directory for settings files and logs
	Domains    []Domain
	TargetArgs []string                 // additional arguments of each target stub
	Relay      bool                     // relays the connections to the store and between nodes through Links
	Edit       func(*settings.Settings) // if set, modifies the settings of each node before they are written
}

// Instance is one instance of the fleet: its target and its node.
type Instance struct {
	Name          string
	Domain        Domain
	IP            string
	Settings      *settings.Settings
	Node          *Process
	Target        *Process
	opts          *Options
	domainIndex   int // index of the failure domain in Options.Domains
	indexInDomain int // index within the failure domain
}

// Fleet is a running fleet.
type Fleet struct {
	opts       Options
	addrPrefix string // first two octets of every address, derived from the process id
	Store      *Process
	Links      *Links // nil unless Options.Relay is set
	Instances  []*Instance
}

// Start starts the store, then every target and node. It returns once all
// processes are started; WaitUp and WaitReady wait until the nodes respond. The
// error is Internal, or that of ctx if it ends during the start.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, addrPrefix: fmt.Sprintf("127.%d", 2+os.Getpid()%250)}
	if opts.Relay {
		if err := f.startLinks(); err != nil {
			return nil, err
		}
	}
	f.Store = f.newProcess("storestub", "storestub",
		"-addr", f.StoreAddr(), "-control", f.ControlAddr())
	if err := f.Store.Start(); err != nil {
		return nil, err
	}
	for d, domain := range opts.Domains {
		for i := range domain.Instances {
			f.Instances = append(f.Instances, f.newInstance(domain, d, i))
		}
	}
	for _, in := range f.Instances {
		if err := in.start(); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, ctx.Err()
}

// StoreAddr returns the address of the store's gRPC listener.
func (f *Fleet) StoreAddr() string { return fmt.Sprintf("%s.0.1:%d", f.addrPrefix, portStore) }

// ControlAddr returns the address of the store's control listener.
func (f *Fleet) ControlAddr() string { return fmt.Sprintf("%s.0.1:%d", f.addrPrefix, portControl) }

func (f *Fleet) newInstance(domain Domain, d, i int) *Instance {
	ip := fmt.Sprintf("%s.%d.%d", f.addrPrefix, d+1, i+1)
	in := &Instance{Name: fmt.Sprintf("%s-%d", domain.Name, i+1), Domain: domain, IP: ip, opts: &f.opts, domainIndex: d, indexInDomain: i}
	in.Settings = f.newSettings(in)
	in.Target = f.newProcess(in.Name+".target", "targetstub", append([]string{
		"-listen", in.addr(portTarget)}, f.opts.TargetArgs...)...)
	in.Node = f.newProcess(in.Name, "siskingw", "node", "-config", in.settingsPath())
	return in
}

func (f *Fleet) newSettings(in *Instance) *settings.Settings {
	s := &settings.Settings{
		ID: in.Name, Region: in.Domain.Region, FailureDomain: in.Domain.Name,
		Listen: settings.Listen{
			Outbound: in.addr(portOutbound), Inbound: in.addr(portInbound),
			Peer: in.addr(portPeer), Admin: in.addr(portAdmin),
		},
		Target:   &settings.Target{Service: in.Domain.Service, Address: in.addr(portTarget), Slots: in.Domain.Slots},
		Store:    settings.Store{Endpoint: f.StoreAddr(), Region: f.opts.Domains[0].Region},
		Seeds:    f.seeds(),
		DialFrom: in.IP,
	}
	if f.Links != nil {
		s.Store.Endpoint = f.relayAddr(0, 0, portStore)
		s.Advertise.Peer, s.Advertise.Inbound = f.relayAddr(in.domainIndex, in.indexInDomain, portPeer), f.relayAddr(in.domainIndex, in.indexInDomain, portInbound)
	}
	if f.opts.Edit != nil {
		f.opts.Edit(s)
	}
	return s
}

// relayOctetOffset is the offset between the third octet of a process's address
// and that of its relay.
const relayOctetOffset = 100

// relayAddr returns the address of the relay in front of a port of instance i in
// failure domain d. For the port of the store it ignores d and i.
func (f *Fleet) relayAddr(d, i, port int) string {
	if port == portStore {
		return fmt.Sprintf("%s.%d.1:%d", f.addrPrefix, relayOctetOffset, port)
	}
	return fmt.Sprintf("%s.%d.%d:%d", f.addrPrefix, relayOctetOffset+d+1, i+1, port)
}

// peerAddr returns the address at which other nodes reach the peer listener of
// instance i in failure domain d.
func (f *Fleet) peerAddr(d, i int) string {
	if f.Links != nil {
		return f.relayAddr(d, i, portPeer)
	}
	return fmt.Sprintf("%s.%d.%d:%d", f.addrPrefix, d+1, i+1, portPeer)
}

// startLinks starts a relay for the store and for the peer and inbound ports of
// every instance.
func (f *Fleet) startLinks() error {
	f.Links = NewLinks()
	for d, domain := range f.opts.Domains {
		f.Links.Place(fmt.Sprintf("%s.%d", f.addrPrefix, d+1), domain.Name)
	}
	if err := f.Links.Forward(f.relayAddr(0, 0, portStore), f.StoreAddr(), storePlace); err != nil {
		return err
	}
	for d, domain := range f.opts.Domains {
		for i := range domain.Instances {
			for _, port := range []int{portPeer, portInbound} {
				target := fmt.Sprintf("%s.%d.%d:%d", f.addrPrefix, d+1, i+1, port)
				if err := f.Links.Forward(f.relayAddr(d, i, port), target, domain.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// seeds returns the first two instances of each failure domain.
func (f *Fleet) seeds() []settings.Seed {
	const seedsPerDomain = 2
	var seeds []settings.Seed
	for d, domain := range f.opts.Domains {
		for i := range min(seedsPerDomain, domain.Instances) {
			seeds = append(seeds, settings.Seed{
				Address: f.peerAddr(d, i),
				Region:  domain.Region, FailureDomain: domain.Name,
			})
		}
	}
	return seeds
}

func (f *Fleet) newProcess(name, binary string, args ...string) *Process {
	return NewProcess(name, filepath.Join(f.opts.BinDir, binary), filepath.Join(f.opts.WorkDir, name+".log"), args...)
}

func (in *Instance) addr(port int) string { return net.JoinHostPort(in.IP, fmt.Sprint(port)) }

func (in *Instance) settingsPath() string { return filepath.Join(in.opts.WorkDir, in.Name+".json") }

// OutboundURL returns the base URL of the outbound listener, which accepts the
// instance's own calls.
func (in *Instance) OutboundURL() string { return "http://" + in.addr(portOutbound) }

// TargetURL returns the base URL of the target stub.
func (in *Instance) TargetURL() string { return "http://" + in.addr(portTarget) }

// AdminAddr returns the address of the admin listener.
func (in *Instance) AdminAddr() string { return in.addr(portAdmin) }

// start writes the settings file and starts the target, then the node.
func (in *Instance) start() error {
	b, err := json.MarshalIndent(in.Settings, "", "  ")
	if err != nil {
		return errdefs.Internal.Wrap(err, "encode settings of %s", in.Name)
	}
	if err := os.WriteFile(in.settingsPath(), b, 0o600); err != nil {
		return errdefs.Internal.Wrap(err, "write settings of %s", in.Name)
	}
	if err := in.Target.Start(); err != nil {
		return err
	}
	return in.Node.Start()
}

// WaitReady waits until the readiness check of every running node succeeds. It
// returns a Timeout error when ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, in := range f.Instances {
		if !in.Node.Running() {
			continue
		}
		if err := waitOK(ctx, "http://"+in.AdminAddr()+"/readyz"); err != nil {
			return errorx.Decorate(err, "node %s is not ready", in.Name)
		}
	}
	return nil
}

// WaitUp waits until the health check of every node succeeds. It returns a
// Timeout error when ctx ends first.
func (f *Fleet) WaitUp(ctx context.Context) error {
	for _, in := range f.Instances {
		if err := waitOK(ctx, "http://"+in.AdminAddr()+"/healthz"); err != nil {
			return errorx.Decorate(err, "node %s is not healthy", in.Name)
		}
	}
	return nil
}

// waitOK polls url until the response has status 200 or ctx ends.
func waitOK(ctx context.Context, url string) error {
	const pollInterval = 20 * time.Millisecond
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errdefs.Internal.Wrap(err, "create request for %s", url)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errdefs.Timeout.Wrap(ctx.Err(), "no response with status 200 from %s", url)
		}
	}
}

// Stop terminates every process with SIGTERM, and kills those that have not
// exited after stopTimeout.
func (f *Fleet) Stop() {
	var all []*Process
	for _, in := range f.Instances {
		all = append(all, in.Node, in.Target)
	}
	all = append(all, f.Store)
	for _, p := range all {
		p.Resume()
		p.Terminate()
	}
	for _, p := range all {
		p.WaitOrKill(stopTimeout)
	}
	if f.Links != nil {
		f.Links.Close()
	}
}
