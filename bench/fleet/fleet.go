// Package fleet runs a small fleet of real processes on loopback: the store
// stand-in, one target stand-in and one node for each instance. The demo, the
// experiments and the process tests use it; the product does not.
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

// Ports of each process; every instance has a loopback address of its own.
const (
	portOutbound = 15001
	portInbound  = 15002
	portPeer     = 15003
	portAdmin    = 15004
	portTarget   = 15005
	portStore    = 15010
	portControl  = 15011
)

// Domain describes one failure domain of the fleet.
type Domain struct {
	Region, Name string
	Instances    int
	Service      string // announced by each target
	Slots        int
}

// Options configures a Fleet.
type Options struct {
	BinDir     string // holds siskingw, storestub and targetstub
	WorkDir    string // for settings files and logs
	Domains    []Domain
	TargetArgs []string                 // further arguments of each target stand-in
	Relay      bool                     // puts every connection between processes behind Links
	Edit       func(*settings.Settings) // changes the settings of each node
}

// Instance is one instance with its target and its node.
type Instance struct {
	Name     string
	Domain   Domain
	IP       string
	Settings *settings.Settings
	Node     *Process
	Target   *Process
	opts     *Options
	domain   int // index of the failure domain
	index    int // index in the failure domain
}

// Fleet is a running fleet.
type Fleet struct {
	opts      Options
	base      string // first two octets of every address
	Store     *Process
	Links     *Links // nil without Options.Relay
	Instances []*Instance
}

// Start starts the store, then every target and node. It returns when all
// processes run; WaitReady waits for the nodes.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, base: fmt.Sprintf("127.%d", 2+os.Getpid()%250)}
	if opts.Relay {
		if err := f.startLinks(); err != nil {
			return nil, err
		}
	}
	f.Store = f.process("storestub", "storestub",
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
func (f *Fleet) StoreAddr() string { return fmt.Sprintf("%s.0.1:%d", f.base, portStore) }

// ControlAddr returns the address of the store's control listener.
func (f *Fleet) ControlAddr() string { return fmt.Sprintf("%s.0.1:%d", f.base, portControl) }

func (f *Fleet) newInstance(domain Domain, d, i int) *Instance {
	ip := fmt.Sprintf("%s.%d.%d", f.base, d+1, i+1)
	in := &Instance{Name: fmt.Sprintf("%s-%d", domain.Name, i+1), Domain: domain, IP: ip, opts: &f.opts, domain: d, index: i}
	in.Settings = f.settings(in)
	in.Target = f.process(in.Name+".target", "targetstub", append([]string{
		"-listen", in.addr(portTarget)}, f.opts.TargetArgs...)...)
	in.Node = f.process(in.Name, "siskingw", "node", "-config", in.configPath())
	return in
}

func (f *Fleet) settings(in *Instance) *settings.Settings {
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
		s.Advertise.Peer, s.Advertise.Inbound = f.relayAddr(in.domain, in.index, portPeer), f.relayAddr(in.domain, in.index, portInbound)
	}
	if f.opts.Edit != nil {
		f.opts.Edit(s)
	}
	return s
}

// relayOctet is added to the third octet of an address for its relay.
const relayOctet = 100

// relayAddr returns the address of the relay of an instance's port. The store
// has a relay of its own.
func (f *Fleet) relayAddr(d, i, port int) string {
	if port == portStore {
		return fmt.Sprintf("%s.%d.1:%d", f.base, relayOctet, port)
	}
	return fmt.Sprintf("%s.%d.%d:%d", f.base, relayOctet+d+1, i+1, port)
}

// peerAddr returns the address under which others reach an instance's peer listener.
func (f *Fleet) peerAddr(d, i int) string {
	if f.Links != nil {
		return f.relayAddr(d, i, portPeer)
	}
	return fmt.Sprintf("%s.%d.%d:%d", f.base, d+1, i+1, portPeer)
}

// startLinks starts a relay for each address that other processes connect to.
func (f *Fleet) startLinks() error {
	f.Links = NewLinks()
	for d, domain := range f.opts.Domains {
		f.Links.Place(fmt.Sprintf("%s.%d", f.base, d+1), domain.Name)
	}
	if err := f.Links.Forward(f.relayAddr(0, 0, portStore), f.StoreAddr(), storePlace); err != nil {
		return err
	}
	for d, domain := range f.opts.Domains {
		for i := range domain.Instances {
			for _, port := range []int{portPeer, portInbound} {
				target := fmt.Sprintf("%s.%d.%d:%d", f.base, d+1, i+1, port)
				if err := f.Links.Forward(f.relayAddr(d, i, port), target, domain.Name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// seeds names the first two instances of each failure domain.
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

func (f *Fleet) process(name, binary string, args ...string) *Process {
	return NewProcess(name, filepath.Join(f.opts.BinDir, binary), filepath.Join(f.opts.WorkDir, name+".log"), args...)
}

func (in *Instance) addr(port int) string { return net.JoinHostPort(in.IP, fmt.Sprint(port)) }

func (in *Instance) configPath() string { return filepath.Join(in.opts.WorkDir, in.Name+".json") }

// OutboundURL returns the base URL for calls of this instance.
func (in *Instance) OutboundURL() string { return "http://" + in.addr(portOutbound) }

// TargetURL returns the base URL of the target stand-in.
func (in *Instance) TargetURL() string { return "http://" + in.addr(portTarget) }

// AdminAddr returns the address of the admin listener.
func (in *Instance) AdminAddr() string { return in.addr(portAdmin) }

// start writes the settings and starts the target, then the node.
func (in *Instance) start() error {
	b, err := json.MarshalIndent(in.Settings, "", "  ")
	if err != nil {
		return errdefs.Internal.Wrap(err, "settings of %s", in.Name)
	}
	if err := os.WriteFile(in.configPath(), b, 0o600); err != nil {
		return errdefs.Internal.Wrap(err, "settings of %s", in.Name)
	}
	if err := in.Target.Start(); err != nil {
		return err
	}
	return in.Node.Start()
}

// WaitReady waits until every running node reports that it is ready.
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

// WaitUp waits until every running node answers its health check.
func (f *Fleet) WaitUp(ctx context.Context) error {
	for _, in := range f.Instances {
		if err := waitOK(ctx, "http://"+in.AdminAddr()+"/healthz"); err != nil {
			return errorx.Decorate(err, "node %s is not up", in.Name)
		}
	}
	return nil
}

// waitOK polls url until it answers 200 or ctx ends.
func waitOK(ctx context.Context, url string) error {
	const pollInterval = 20 * time.Millisecond
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errdefs.Internal.Wrap(err, "request for %s", url)
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
			return errdefs.Timeout.Wrap(ctx.Err(), "%s does not answer 200", url)
		}
	}
}

// Stop ends every process: nodes and targets gracefully, then by force.
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
