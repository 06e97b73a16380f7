package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"siskingw/admin"
	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/publish"
	"siskingw/settings"
	"siskingw/snapshot"
)

const (
	startTimeout = 60 * time.Second
	// settleTime passes after the start before the first phase.
	settleTime = 5 * time.Second
	// minEndpoints stands for no endpoints: five members in each failure domain.
	minEndpoints = 5 * domainCount
)

// Options configures a run.
type Options struct {
	BinDir    string
	Services  int
	Endpoints int
	Role      Role
	Accept    bool          // changes enter through the node's admin API, with a store
	Read      bool          // changes enter at another node, and the measured one reads them from the store
	Idle      time.Duration // length of the idle phase
	Busy      time.Duration // length of each other phase
	Env       []string      // added to the node's environment
	KeepLog   string        // file to which the node's log is copied, if set
}

// phase is what the node used in one phase.
type phase struct {
	Name    string
	Seconds float64
	Events  int                // configuration changes or membership records
	CPU     time.Duration      // processor time
	Sent    map[string]float64 // bytes that left the node by link class
	Got     map[string]float64 // bytes that reached it
	Calls   map[string]int64   // calls that the node made
	Memory  memory             // at the end of the phase
	Took    []time.Duration    // until each change was in force on the node
	Store   storeCounts        // calls that the store served, with Accept or Read
}

// Result is the outcome of a run.
type Result struct {
	Options
	Ready, Complete time.Duration // since the start of the process: configuration, all records
	LoadCPU         time.Duration // processor time until then
	LoadGot         float64       // bytes received until then
	LoadStore       storeCounts   // calls to the store until then, with Accept
	Phases          []phase
	Apply           time.Duration // with Accept: acceptance of the whole configuration
	SnapshotBytes   int           // encoded
	Position        int           // of the node in its failure domain
}

// bench is one run in progress.
type bench struct {
	opts     Options
	dir      string
	base     int
	id       string
	settings *settings.Settings
	records  []member.Record
	st       *standIn
	driver   *driver
	store    *process
	source   *source // with Read: publishes the changes
	targets  *http.Server
	node     *process
	client   *admin.Client
	version  uint64
	result   Result
}

// Run measures one node.
func Run(ctx context.Context, opts Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "siskingw-capacity-")
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{opts: opts, dir: dir, result: Result{Options: opts}}
	claim, err := b.claim()
	if err != nil {
		return nil, err
	}
	defer func() { _ = claim.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer b.close(cancel)
	for _, step := range []func(context.Context) error{b.prepare, b.start, b.load, b.phases} {
		if err := step(ctx); err != nil {
			b.keepLog(opts.KeepLog)
			return nil, err
		}
	}
	b.keepLog(opts.KeepLog)
	return &b.result, b.driver.err()
}

// claim chooses the second octet of every address, so that several runs at the
// same time do not meet. The listener holds it.
func (b *bench) claim() (net.Listener, error) {
	const first, last = 2, 251
	for b.base = first; b.base <= last; b.base++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:15000", b.base)); err == nil {
			return l, nil
		}
	}
	return nil, errdefs.Internal.New("no free range of loopback addresses")
}

func (b *bench) close(cancel context.CancelFunc) {
	cancel()
	for _, p := range []*process{b.node, b.store} {
		if p != nil {
			p.stop()
		}
	}
	if b.targets != nil {
		_ = b.targets.Close()
	}
	if b.source != nil {
		b.source.close()
	}
	if b.st != nil && b.st.server != nil {
		b.st.server.Stop()
	}
}

// keepLog copies the node's log to path, if that is set.
func (b *bench) keepLog(path string) {
	if path == "" {
		return
	}
	if log, err := os.ReadFile(filepath.Join(b.dir, "node.log")); err == nil {
		_ = os.WriteFile(path, log, 0o600)
	}
}

// prepare builds the fleet and starts the stand-in and, if needed, the store.
func (b *bench) prepare(ctx context.Context) error {
	b.records = makeRecords(max(b.opts.Endpoints, minEndpoints), b.opts.Services, b.base, uint64(time.Now().UnixMilli()))
	var first *snapshot.Snapshot
	if !b.opts.Accept {
		var err error
		if first, err = snapshot.New(1, makeObjects(b.opts.Services)); err != nil {
			return err
		}
		b.result.SnapshotBytes = len(first.Encode())
	}
	var err error
	if b.st, err = newStandIn(b.records, first); err != nil {
		return err
	}
	region, domain := place(roleDomain(b.opts.Role))
	if err := b.st.serve(domain); err != nil {
		return err
	}
	if b.id, err = findID(b.opts.Role, b.st.dir.Ranked(domain)); err != nil {
		return err
	}
	b.settings = b.nodeSettings(region, domain)
	if err := b.serveTargets(); err != nil {
		return err
	}
	b.driver = newDriver(b.st, b.id, b.settings.Listen.Peer, b.opts.Role)
	if !b.opts.Accept && !b.opts.Read {
		return nil
	}
	b.store, err = startProcess(filepath.Join(b.dir, "store.log"), nil, filepath.Join(b.opts.BinDir, "storestub"),
		"-addr", b.settings.Store.Endpoint, "-control", b.storeControl())
	if err == nil && b.opts.Read {
		b.source, err = newSource(ctx, b.settings.Store.Endpoint, first, b.st)
	}
	return err
}

func (b *bench) storeControl() string { return fmt.Sprintf("127.%d.254.1:15011", b.base) }

func (b *bench) nodeSettings(region, domain string) *settings.Settings {
	addr := func(port int) string { return fmt.Sprintf("127.%d.253.1:%d", b.base, port) }
	s := &settings.Settings{
		ID: b.id, Region: region, FailureDomain: domain,
		Listen: settings.Listen{Outbound: addr(15001), Inbound: addr(inboundPort), Peer: addr(peerPort), Admin: addr(15004)},
		Target: &settings.Target{Service: serviceName(0), Address: addr(15005), Slots: slots},
	}
	for _, r := range b.st.dir.Ranked(domain)[:4] {
		s.Seeds = append(s.Seeds, settings.Seed{Address: r.PeerAddr, Region: region, FailureDomain: domain})
	}
	if b.opts.Accept || b.opts.Read {
		s.Store = settings.Store{Endpoint: fmt.Sprintf("127.%d.254.1:15010", b.base), Region: region}
	}
	return s
}

// start starts the node and waits until it holds every record and, unless it
// is to accept it, the configuration.
func (b *bench) start(ctx context.Context) error {
	raw, err := json.Marshal(b.settings)
	if err != nil {
		return errdefs.Internal.Wrap(err, "settings")
	}
	path := filepath.Join(b.dir, "node.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errdefs.Internal.Wrap(err, "settings")
	}
	begin := time.Now()
	if b.node, err = startProcess(filepath.Join(b.dir, "node.log"), b.opts.Env, filepath.Join(b.opts.BinDir, "siskingw"), "node", "-config", path); err != nil {
		return err
	}
	b.client = admin.NewClient(b.settings.Listen.Admin)
	for time.Since(begin) < startTimeout && ctx.Err() == nil {
		if b.result.Ready == 0 && (b.opts.Accept || ready(ctx, b.settings.Listen.Admin)) {
			b.result.Ready = time.Since(begin)
		}
		if b.result.Complete == 0 && b.st.root.Load() == b.st.dir.RootDigest() {
			b.result.Complete = time.Since(begin)
		}
		if b.result.Ready > 0 && b.result.Complete > 0 {
			b.result.Position = member.Position(b.st.dir, b.id)
			if b.result.LoadCPU, err = b.node.cpu(); err != nil {
				return err
			}
			if b.result.LoadStore, err = b.storeCounts(ctx); err != nil {
				return err
			}
			t, err := b.traffic(ctx)
			for _, n := range t.got {
				b.result.LoadGot += n
			}
			go b.driver.run(ctx)
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errdefs.Timeout.New("the node is not complete within %s", startTimeout)
}

// load applies the configuration through the node's admin API.
func (b *bench) load(ctx context.Context) error {
	if !b.opts.Accept {
		return wait(ctx, settleTime)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	req := publish.Request{OperationID: "load", Author: "operator"}
	for _, o := range makeObjects(b.opts.Services) {
		req.Changes = append(req.Changes, publish.Change{Object: o})
	}
	begin := time.Now()
	res, err := b.client.Apply(ctx, req)
	if err != nil {
		return err
	}
	b.result.Apply, b.version = time.Since(begin), res.Version
	objects := makeObjects(b.opts.Services)
	first, err := snapshot.New(res.Version, objects)
	if err != nil {
		return err
	}
	b.result.SnapshotBytes = len(first.Encode())
	return wait(ctx, settleTime)
}

// apply changes one route through the admin API and returns how long that took.
func (b *bench) apply(ctx context.Context) (time.Duration, error) {
	b.version++
	begin := time.Now()
	_, err := b.client.Apply(ctx, publish.Request{OperationID: fmt.Sprintf("change-%d", b.version), Author: "operator", Since: b.version - 1,
		Changes: []publish.Change{{Object: routeObject(int(b.version)%b.opts.Services, b.version)}}})
	return time.Since(begin), err
}

// phase measures for d while event runs once every period. The metrics page is
// read outside of the measured time.
func (b *bench) phase(ctx context.Context, name string, d, period time.Duration, event event) error {
	p := phase{Name: name}
	before, err := b.traffic(ctx)
	if err != nil {
		return err
	}
	calls := b.calls()
	store, err := b.storeCounts(ctx)
	if err != nil {
		return err
	}
	cpu, err := b.node.cpu()
	if err != nil {
		return err
	}
	begin := time.Now()
	for next := begin; event != nil && time.Since(begin) < d; {
		b.driver.pushed = 0
		took, err := event(ctx)
		if err != nil {
			return err
		}
		p.Events += max(1, b.driver.pushed)
		p.Took = append(p.Took, took)
		next = next.Add(period)
		if err := wait(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	if err := wait(ctx, time.Until(begin.Add(d))); err != nil {
		return err
	}
	after, err := b.node.cpu()
	if err != nil {
		return err
	}
	p.Seconds, p.CPU = time.Since(begin).Seconds(), after-cpu
	if err := b.finish(ctx, &p, before, calls); err != nil {
		return err
	}
	served, err := b.storeCounts(ctx)
	if err != nil {
		return err
	}
	p.Store = storeCounts{served.Reads - store.Reads, served.Writes - store.Writes, served.Watching}
	b.result.Phases = append(b.result.Phases, p)
	return nil
}

// finish fills in the differences to the beginning of the phase.
func (b *bench) finish(ctx context.Context, p *phase, before traffic, calls [callKinds]int64) error {
	now, err := b.traffic(ctx)
	if err != nil {
		return err
	}
	p.Sent, p.Got = difference(now.sent, before.sent), difference(now.got, before.got)
	p.Calls = make(map[string]int64)
	for k, n := range b.calls() {
		if n > calls[k] {
			p.Calls[callKind(k).String()] = n - calls[k]
		}
	}
	p.Memory, err = b.node.readMemory(now.metrics)
	return err
}

func (b *bench) calls() (out [callKinds]int64) {
	for k := range out {
		out[k] = b.st.calls[k].Load()
	}
	return out
}

// traffic is the bytes that left and reached the node by link class. The
// node's metrics count the connections that the node opened; the driver counts
// those that others opened to it.
type traffic struct {
	sent, got, metrics map[string]float64
}

func (b *bench) traffic(ctx context.Context) (traffic, error) {
	m, err := scrape(ctx, b.settings.Listen.Admin)
	if err != nil {
		return traffic{}, err
	}
	t := traffic{sent: make(map[string]float64), got: make(map[string]float64), metrics: m}
	for _, c := range []peer.LinkClass{peer.SameDomain, peer.SameRegion, peer.CrossRegion} {
		t.sent[c.String()] = m[fmt.Sprintf("siskingw_control_sent_bytes{link=%q}", c)] + float64(b.driver.traffic.Received(c))
		t.got[c.String()] = m[fmt.Sprintf("siskingw_control_received_bytes{link=%q}", c)] + float64(b.driver.traffic.Sent(c))
	}
	return t, nil
}

func difference(after, before map[string]float64) map[string]float64 {
	out := make(map[string]float64)
	for k, v := range after {
		out[k] = v - before[k]
	}
	return out
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errdefs.Stopped.Wrap(ctx.Err(), "measurement")
	}
}
