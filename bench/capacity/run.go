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
	// settleTime is the delay between the start of the node and the first phase.
	settleTime = 5 * time.Second
	// minEndpoints is the smallest fleet: five members in each failure domain. It
	// is used for runs without endpoints.
	minEndpoints = 5 * domainCount
)

// Options configures a run. Results written as JSON contain it.
type Options struct {
	BinDir    string
	Services  int
	Endpoints int
	Role      Role
	Accept    bool          // apply changes through the node's admin API; starts a store stub
	Read      bool          // publish changes to a store stub from which the node reads them
	Idle      time.Duration // duration of the idle phase
	Busy      time.Duration // duration of each other phase
	Env       []string      // added to the node's environment, as NAME=value
	KeepLog   string        // file to which the node's log is copied; empty for none
}

// phase is the resource usage of the node in one phase.
type phase struct {
	Name    string
	Seconds float64
	Events  int                // configuration changes or membership records
	CPU     time.Duration      // CPU time
	Sent    map[string]float64 // bytes sent by the node, by link class
	Got     map[string]float64 // bytes received by the node, by link class
	Calls   map[string]int64   // calls made by the node, by name
	Memory  memory             // at the end of the phase
	Took    []time.Duration    // time until each change was in force on the node
	Store   storeCounts        // calls served by the store, with Accept or Read
}

// Result holds the measurements of a run.
type Result struct {
	Options
	Ready, Complete time.Duration // from process start until a configuration is in force, until all records are held
	LoadCPU         time.Duration // CPU time until Ready and Complete
	LoadGot         float64       // bytes received until Ready and Complete
	LoadStore       storeCounts   // calls to the store until Ready and Complete, with Accept
	Phases          []phase
	Apply           time.Duration // with Accept: time to apply the whole configuration
	SnapshotBytes   int           // of the encoded snapshot
	Position        int           // rank of the node in its failure domain
}

// bench holds the state of one run.
type bench struct {
	opts         Options
	dir          string
	octet        int    // second octet of every address
	id           string // ID of the node
	settings     *settings.Settings
	records      []member.Record
	stub         *memberStub
	driver       *driver
	store        *process
	publisher    *publisher // with Read
	targetServer *http.Server
	node         *process
	adminClient  *admin.Client
	version      uint64 // latest version applied, with Accept
	result       Result
}

// Run measures one node. It returns the error of the first step or call to the
// node that failed.
func Run(ctx context.Context, opts Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "siskingw-capacity-")
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	b := &bench{opts: opts, dir: dir, result: Result{Options: opts}}
	reservation, err := b.reserveAddresses()
	if err != nil {
		return nil, err
	}
	defer func() { _ = reservation.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer b.close(cancel)
	for _, step := range []func(context.Context) error{b.prepare, b.start, b.load, b.runPhases} {
		if err := step(ctx); err != nil {
			b.copyLog(opts.KeepLog)
			return nil, err
		}
	}
	b.copyLog(opts.KeepLog)
	return &b.result, b.driver.err()
}

// reserveAddresses chooses the second octet of every address of the run, so that
// concurrent runs use different addresses. The octet stays reserved until the
// returned listener is closed.
func (b *bench) reserveAddresses() (net.Listener, error) {
	const first, last = 2, 251
	for b.octet = first; b.octet <= last; b.octet++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:15000", b.octet)); err == nil {
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
	if b.targetServer != nil {
		_ = b.targetServer.Close()
	}
	if b.publisher != nil {
		b.publisher.close()
	}
	if b.stub != nil && b.stub.server != nil {
		b.stub.server.Stop()
	}
}

// copyLog copies the node's log to path unless path is empty.
func (b *bench) copyLog(path string) {
	if path == "" {
		return
	}
	if log, err := os.ReadFile(filepath.Join(b.dir, "node.log")); err == nil {
		_ = os.WriteFile(path, log, 0o600)
	}
}

// prepare creates the fleet and starts the member stub and, if needed, the store
// stub.
func (b *bench) prepare(ctx context.Context) error {
	b.records = makeRecords(max(b.opts.Endpoints, minEndpoints), b.opts.Services, b.octet, uint64(time.Now().UnixMilli()))
	var first *snapshot.Snapshot
	if !b.opts.Accept {
		var err error
		if first, err = snapshot.New(1, makeObjects(b.opts.Services)); err != nil {
			return err
		}
		b.result.SnapshotBytes = len(first.Encode())
	}
	var err error
	if b.stub, err = newMemberStub(b.records, first); err != nil {
		return err
	}
	region, domain := place(roleDomain(b.opts.Role))
	if err := b.stub.serve(domain); err != nil {
		return err
	}
	if b.id, err = findID(b.opts.Role, b.stub.dir.Ranked(domain)); err != nil {
		return err
	}
	b.settings = b.nodeSettings(region, domain)
	if err := b.serveTargets(); err != nil {
		return err
	}
	b.driver = newDriver(b.stub, b.id, b.settings.Listen.Peer, b.opts.Role)
	if !b.opts.Accept && !b.opts.Read {
		return nil
	}
	b.store, err = startProcess(filepath.Join(b.dir, "store.log"), nil, filepath.Join(b.opts.BinDir, "storestub"),
		"-addr", b.settings.Store.Endpoint, "-control", b.storeControl())
	if err == nil && b.opts.Read {
		b.publisher, err = newPublisher(ctx, b.settings.Store.Endpoint, first, b.stub)
	}
	return err
}

func (b *bench) storeControl() string { return fmt.Sprintf("127.%d.254.1:15011", b.octet) }

func (b *bench) nodeSettings(region, domain string) *settings.Settings {
	addr := func(port int) string { return fmt.Sprintf("127.%d.253.1:%d", b.octet, port) }
	s := &settings.Settings{
		ID: b.id, Region: region, FailureDomain: domain,
		Listen: settings.Listen{Outbound: addr(15001), Inbound: addr(inboundPort), Peer: addr(peerPort), Admin: addr(15004)},
		Target: &settings.Target{Service: serviceName(0), Address: addr(15005), Slots: slotsPerInstance},
	}
	for _, r := range b.stub.dir.Ranked(domain)[:4] {
		s.Seeds = append(s.Seeds, settings.Seed{Address: r.PeerAddr, Region: region, FailureDomain: domain})
	}
	if b.opts.Accept || b.opts.Read {
		s.Store = settings.Store{Endpoint: fmt.Sprintf("127.%d.254.1:15010", b.octet), Region: region}
	}
	return s
}

// start starts the node and waits until it holds all records and, without
// Accept, has the configuration in force. It fails with Timeout after
// startTimeout.
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
	if b.node, err = startProcess(filepath.Join(b.dir, "node.log"), b.opts.Env,
		filepath.Join(b.opts.BinDir, "siskingw"), "node", "-config", path); err != nil {
		return err
	}
	b.adminClient = admin.NewClient(b.settings.Listen.Admin)
	for time.Since(begin) < startTimeout && ctx.Err() == nil {
		if b.result.Ready == 0 && (b.opts.Accept || isReady(ctx, b.settings.Listen.Admin)) {
			b.result.Ready = time.Since(begin)
		}
		if b.result.Complete == 0 && b.stub.nodeRootDigest.Load() == b.stub.dir.RootDigest() {
			b.result.Complete = time.Since(begin)
		}
		if b.result.Ready > 0 && b.result.Complete > 0 {
			b.result.Position = member.Position(b.stub.dir, b.id)
			if b.result.LoadCPU, err = b.node.cpuTime(); err != nil {
				return err
			}
			if b.result.LoadStore, err = b.readStoreCounts(ctx); err != nil {
				return err
			}
			t, err := b.readTraffic(ctx)
			for _, n := range t.received {
				b.result.LoadGot += n
			}
			go b.driver.run(ctx)
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errdefs.Timeout.New("node does not hold all records and a configuration after %s", startTimeout)
}

// load waits for settleTime. With Accept it first applies the configuration through
// the node's admin API.
func (b *bench) load(ctx context.Context) error {
	if !b.opts.Accept {
		return sleep(ctx, settleTime)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	req := publish.Request{OperationID: "load", Author: "operator"}
	for _, o := range makeObjects(b.opts.Services) {
		req.Changes = append(req.Changes, publish.Change{Object: o})
	}
	begin := time.Now()
	res, err := b.adminClient.Apply(ctx, req)
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
	return sleep(ctx, settleTime)
}

// applyChange changes one route through the admin API and returns the duration
// of the call.
func (b *bench) applyChange(ctx context.Context) (time.Duration, error) {
	b.version++
	begin := time.Now()
	_, err := b.adminClient.Apply(ctx, publish.Request{OperationID: fmt.Sprintf("change-%d", b.version), Author: "operator",
		Since: b.version - 1, Changes: []publish.Change{{Object: routeObject(int(b.version)%b.opts.Services, b.version)}}})
	return time.Since(begin), err
}

// runPhase measures the node for d while event runs once every period. Metrics
// are scraped outside the measured interval, so that the scrape does not count
// as CPU time of the node.
func (b *bench) runPhase(ctx context.Context, name string, d, period time.Duration, event event) error {
	p := phase{Name: name}
	before, err := b.readTraffic(ctx)
	if err != nil {
		return err
	}
	calls := b.callCounts()
	store, err := b.readStoreCounts(ctx)
	if err != nil {
		return err
	}
	cpu, err := b.node.cpuTime()
	if err != nil {
		return err
	}
	begin := time.Now()
	for next := begin; event != nil && time.Since(begin) < d; {
		b.driver.pushedRecords = 0
		took, err := event(ctx)
		if err != nil {
			return err
		}
		p.Events += max(1, b.driver.pushedRecords)
		p.Took = append(p.Took, took)
		next = next.Add(period)
		if err := sleep(ctx, time.Until(next)); err != nil {
			return err
		}
	}
	if err := sleep(ctx, time.Until(begin.Add(d))); err != nil {
		return err
	}
	after, err := b.node.cpuTime()
	if err != nil {
		return err
	}
	p.Seconds, p.CPU = time.Since(begin).Seconds(), after-cpu
	if err := b.finishPhase(ctx, &p, before, calls); err != nil {
		return err
	}
	served, err := b.readStoreCounts(ctx)
	if err != nil {
		return err
	}
	p.Store = storeCounts{served.Reads - store.Reads, served.Writes - store.Writes, served.Watching}
	b.result.Phases = append(b.result.Phases, p)
	return nil
}

// finishPhase fills in the traffic and calls since the beginning of the phase and
// the memory at its end.
func (b *bench) finishPhase(ctx context.Context, p *phase, before traffic, calls [callKindCount]int64) error {
	now, err := b.readTraffic(ctx)
	if err != nil {
		return err
	}
	p.Sent, p.Got = difference(now.sent, before.sent), difference(now.received, before.received)
	p.Calls = make(map[string]int64)
	for k, n := range b.callCounts() {
		if n > calls[k] {
			p.Calls[callKind(k).String()] = n - calls[k]
		}
	}
	p.Memory, err = b.node.readMemory(now.metrics)
	return err
}

func (b *bench) callCounts() (out [callKindCount]int64) {
	for k := range out {
		out[k] = b.stub.calls[k].Load()
	}
	return out
}

// traffic holds the bytes sent and received by the node, by link class, and its
// metrics. The node's metrics count the connections that the node opened; the
// driver counts the connections that others opened to it.
type traffic struct {
	sent, received, metrics map[string]float64
}

func (b *bench) readTraffic(ctx context.Context) (traffic, error) {
	m, err := scrapeMetrics(ctx, b.settings.Listen.Admin)
	if err != nil {
		return traffic{}, err
	}
	t := traffic{sent: make(map[string]float64), received: make(map[string]float64), metrics: m}
	for _, c := range []peer.LinkClass{peer.SameDomain, peer.SameRegion, peer.CrossRegion} {
		t.sent[c.String()] = m[fmt.Sprintf("siskingw_control_sent_bytes{link=%q}", c)] + float64(b.driver.traffic.Received(c))
		t.received[c.String()] = m[fmt.Sprintf("siskingw_control_received_bytes{link=%q}", c)] + float64(b.driver.traffic.Sent(c))
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

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errdefs.Stopped.Wrap(ctx.Err(), "measurement")
	}
}
