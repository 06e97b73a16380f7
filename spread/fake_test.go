package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
	"siskingw/peer"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// fleet is a set of nodes on a fake transport and a fake store. It runs within
// a synctest bubble, so its clock is virtual.
type fleet struct {
	mu         sync.Mutex
	rng        *rand.Rand
	records    []*member.Record
	procs      map[string]*proc // by address
	source     *fakeSource
	generation uint64

	// Fault probabilities (0..1) and rules of the transport.
	lossRate, duplicateRate, corruptRate, delayRate float64
	isCut                                           func(a, b Peer) bool
	dropMessage                                     func(kind string, from, to Peer) bool
	delayMessage                                    func(kind string, from, to Peer) time.Duration
	sent                                            map[string]int // messages by kind and link class; "snapshot" counts transfers, "busy" refused ones

	joinDelay time.Duration // how long a started node sees only itself
	seeds     []Peer
	readers   ReaderOptions
	cutOff    func(id string) bool          // whether a node's last probe found no other node; nil for never
	sourceFor func(r *member.Record) Source // nil for the fleet's source

	published  map[uint64]*snapshot.Snapshot
	violations []string // broken invariants
}

// proc is one process of a node.
type proc struct {
	node    *Node
	current *snapshot.Current
	stop    context.CancelFunc
	highest uint64
	done    chan struct{}
}

func newFleet(seed uint64, regions, domains, nodes int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), procs: make(map[string]*proc), generation: 1,
		sent: make(map[string]int), published: make(map[uint64]*snapshot.Snapshot)}
	for r := range regions {
		for d := range domains {
			for i := range nodes {
				id := fmt.Sprintf("r%d-d%d-n%d", r, d, i)
				f.records = append(f.records, &member.Record{ID: id, Incarnation: 1, State: member.Alive,
					Region: fmt.Sprintf("r%d", r), FailureDomain: fmt.Sprintf("r%d-d%d", r, d), PeerAddr: id + ":1"})
			}
		}
	}
	f.source = &fakeSource{fleet: f}
	first, err := snapshot.New(1, baseObjects())
	if err != nil {
		panic(err)
	}
	f.publish(first)
	return f
}

func baseObjects() []*object.Object {
	var out []*object.Object
	for i := range 4 {
		name := fmt.Sprintf("s%d", i)
		out = append(out, &object.Object{Kind: object.KindEndpointSet, Name: name,
			EndpointSet: &object.EndpointSetSpec{Announce: name}},
			&object.Object{Kind: object.KindService, Name: name, Service: &object.ServiceSpec{EndpointSet: name}})
	}
	return out
}

// run runs body with every node started at version 1, and stops all nodes after
// it.
func (f *fleet) run(t *testing.T, body func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		for _, r := range f.records {
			f.start(r, f.published[1])
		}
		go f.heartbeats(ctx)
		defer func() {
			cancel()
			for _, r := range f.records {
				f.kill(r)
			}
			synctest.Wait()
		}()
		synctest.Wait()
		body(t)
	})
	for _, s := range f.violations {
		t.Error(s)
	}
}

// start starts a process of the node with a snapshot in force, or with none.
func (f *fleet) start(r *member.Record, s *snapshot.Snapshot) *proc {
	p := &proc{current: new(snapshot.Current), done: make(chan struct{})}
	p.current.OnAdvance(func(s *snapshot.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		want := f.published[s.Version()]
		if s.Version() <= p.highest || want == nil || want.Digest() != s.Digest() {
			f.violations = append(f.violations,
				fmt.Sprintf("%s went from version %d to %d with digest %s", r.ID, p.highest, s.Version(), s.Digest()))
		}
		p.highest = s.Version()
	})
	if s != nil {
		_ = p.current.Advance(s)
	}
	opts := Options{View: joiningView{fakeView{f, r}, time.Now().Add(f.joinDelay)}, Seeds: f.seeds, Current: p.current,
		Transport: fakeTransport{f, PeerOf(r)},
		Source:    f.source, StoreRegion: "r0", Readers: f.readers}
	if f.cutOff != nil {
		opts.Readers.CutOff = func() bool { return f.cutOff(r.ID) }
	}
	if f.sourceFor != nil {
		opts.Source = f.sourceFor(r)
	}
	p.node = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	f.mu.Lock()
	f.procs[r.PeerAddr] = p
	f.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = p.node.Run(ctx)
	}()
	return p
}

// kill ends the process of the node without notice to its peers.
func (f *fleet) kill(r *member.Record) {
	f.mu.Lock()
	p := f.procs[r.PeerAddr]
	delete(f.procs, r.PeerAddr)
	f.mu.Unlock()
	if p != nil {
		p.stop()
		<-p.done
	}
}

func (f *fleet) proc(r *member.Record) *proc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.procs[r.PeerAddr]
}

// heartbeats exchanges summaries as the membership does: once a second with one
// other node of the same failure domain.
func (f *fleet) heartbeats(ctx context.Context) {
	for sleep(ctx, time.Second) {
		for _, r := range f.records {
			p := f.proc(r)
			var domainPeers []*member.Record
			for _, o := range f.records {
				if o.FailureDomain == r.FailureDomain && o != r {
					domainPeers = append(domainPeers, o)
				}
			}
			if p == nil || len(domainPeers) == 0 {
				continue
			}
			to := domainPeers[f.intN(len(domainPeers))]
			go func() { _ = p.node.Compare(ctx, PeerOf(to)) }()
		}
	}
}

func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// count returns the number of messages of a kind and link class.
func (f *fleet) count(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[kind]
}

// publish records a version as accepted by the store.
func (f *fleet) publish(s *snapshot.Snapshot) {
	f.mu.Lock()
	f.published[s.Version()] = s
	f.mu.Unlock()
	f.source.setHead(s)
}

// publishChange publishes a new version based on the latest one, which no node
// has yet, and returns it with its delta.
func (f *fleet) publishChange() (*snapshot.Snapshot, *snapshot.Delta) {
	base := f.source.latest()
	next, err := base.WithChanges(base.Version()+1, []*object.Object{{
		Kind: object.KindRoute, Name: "r", Revision: base.Version() + 1,
		Route: &object.RouteSpec{PathPrefix: fmt.Sprintf("/%d", base.Version()), Service: "s1"}}}, nil)
	if err != nil {
		panic(err)
	}
	f.publish(next)
	return next, snapshot.Diff(base, next)
}

// accept publishes a change and offers it at the node.
func (f *fleet) accept(r *member.Record) uint64 {
	next, d := f.publishChange()
	if p := f.proc(r); p != nil {
		p.node.Offer(next, d)
	}
	return next.Version()
}

// behind returns the running nodes that are not at the version.
func (f *fleet) behind(version uint64) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, r := range f.records {
		if p := f.procs[r.PeerAddr]; p != nil && p.current.Version() != version {
			out = append(out, fmt.Sprintf("%s@%d", r.ID, p.current.Version()))
		}
	}
	return out
}

// converge waits until every running node is at the version and returns the
// time that it took. It fails the test after limit.
func (f *fleet) converge(t *testing.T, version uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for len(f.behind(version)) > 0 {
		if time.Since(start) > limit {
			t.Fatalf("not at version %d after %s: %v", version, limit, f.behind(version))
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// at returns the node at a rank of a failure domain.
func (f *fleet) at(domain string, rank int) *member.Record {
	return (fakeView{f, f.records[0]}).Ranked(domain)[rank]
}

type fakeView struct {
	fleet *fleet
	self  *member.Record
}

func (v fakeView) Self() *member.Record                      { return v.self }
func (v fakeView) Endpoints(string) []*member.Record         { return nil }
func (v fakeView) Generation() uint64                        { return v.fleet.generation }
func (v fakeView) OnChange(f func(changed []*member.Record)) {}

func (v fakeView) Ranked(domain string) []*member.Record {
	var out []*member.Record
	for _, r := range v.fleet.records {
		if r.FailureDomain == domain {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, member.CompareRank)
	return out
}

func (v fakeView) FailureDomains() []member.DomainInfo {
	var out []member.DomainInfo
	for _, r := range v.fleet.records {
		if d := (member.DomainInfo{Name: r.FailureDomain, Region: r.Region}); !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

func (v fakeView) Lookup(id string) *member.Record {
	for _, r := range v.fleet.records {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// joiningView contains only the node itself until the node has joined.
type joiningView struct {
	fakeView
	joined time.Time
}

func (v joiningView) Generation() uint64 {
	if time.Now().Before(v.joined) {
		return 0
	}
	return v.fakeView.Generation()
}

func (v joiningView) Ranked(domain string) []*member.Record {
	if !time.Now().Before(v.joined) {
		return v.fakeView.Ranked(domain)
	}
	if domain == v.self.FailureDomain {
		return []*member.Record{v.self}
	}
	return nil
}

// fakeTransport calls the handlers of the other nodes and injects faults.
type fakeTransport struct {
	fleet *fleet
	self  Peer
}

// send runs handle on the peer after the link's latency and injects faults. A
// call with a lost message or answer ends with the caller's context, as on a
// broken link.
func (t fakeTransport) send(ctx context.Context, kind string, to Peer, handle func(n *Node)) error {
	f := t.fleet
	class := peer.Class(t.self.Place(), to.Place())
	latency := [...]time.Duration{200 * time.Microsecond, time.Millisecond, 20 * time.Millisecond}[class]
	f.mu.Lock()
	if kind != "snapshot" { // counted by what the source answers
		f.sent[kind+" "+class.String()]++
	}
	lost := f.rng.Float64() < f.lossRate || f.isCut != nil && f.isCut(t.self, to) ||
		f.dropMessage != nil && f.dropMessage(kind, t.self, to)
	lostAnswer, twice := f.rng.Float64() < f.lossRate, f.rng.Float64() < f.duplicateRate
	lostAnswer = lostAnswer || f.isCut != nil && f.isCut(to, t.self)
	if f.rng.Float64() < f.delayRate {
		latency += time.Duration(f.rng.IntN(1500)) * time.Millisecond
	}
	if f.delayMessage != nil {
		latency += f.delayMessage(kind, t.self, to)
	}
	f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errdefs.PeerUnavailable.Wrap(ctx.Err(), "message lost")
	}
	if !sleep(ctx, latency) {
		return errdefs.PeerUnavailable.Wrap(ctx.Err(), "message late")
	}
	f.mu.Lock()
	p := f.procs[to.Addr]
	f.mu.Unlock()
	if p == nil {
		return errdefs.PeerUnavailable.New("connection refused")
	}
	handle(p.node)
	if twice {
		handle(p.node)
	}
	f.mu.Lock()
	died := f.procs[to.Addr] != p
	f.mu.Unlock()
	if died {
		return errdefs.PeerUnavailable.New("connection reset")
	}
	if lostAnswer {
		<-ctx.Done()
	}
	if !sleep(ctx, latency) {
		return errdefs.PeerUnavailable.Wrap(ctx.Err(), "answer late")
	}
	return nil
}

// flipBit flips one bit of b with the fleet's probability of corruption.
func (t fakeTransport) flipBit(b []byte) []byte {
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	if len(b) == 0 || t.fleet.rng.Float64() >= t.fleet.corruptRate {
		return b
	}
	out := slices.Clone(b)
	out[t.fleet.rng.IntN(len(out))] ^= 1 << t.fleet.rng.IntN(8)
	return out
}

func (t fakeTransport) Offer(ctx context.Context, to Peer, r *peerpb.OfferRequest) (reply *peerpb.OfferReply, err error) {
	r = proto.Clone(r).(*peerpb.OfferRequest)
	kind := "announce"
	for i := range r.Deltas {
		kind = "push"
		r.Deltas[i] = t.flipBit(r.Deltas[i])
		t.fleet.mu.Lock()
		t.fleet.sent["delta "+peer.Class(t.self.Place(), to.Place()).String()]++
		t.fleet.mu.Unlock()
	}
	err = t.send(ctx, kind, to, func(n *Node) { reply = n.HandleOffer(r) })
	return reply, err
}

func (t fakeTransport) FetchDeltas(ctx context.Context, to Peer,
	r *peerpb.FetchDeltasRequest) (reply *peerpb.FetchDeltasReply, err error) {
	err = t.send(ctx, "deltas", to, func(n *Node) { reply = n.HandleFetchDeltas(r) })
	if reply != nil {
		reply = proto.Clone(reply).(*peerpb.FetchDeltasReply)
		for i := range reply.Deltas {
			reply.Deltas[i] = t.flipBit(reply.Deltas[i])
		}
	}
	return reply, err
}

func (t fakeTransport) FetchSnapshot(ctx context.Context, to Peer,
	r *peerpb.FetchSnapshotRequest) (data []byte, busy *peerpb.Busy, err error) {
	var release func(bool)
	defer func() {
		if release != nil {
			release(err == nil)
		}
	}()
	ctx, cancel := withLocalTimeout(ctx, stallTimeout)
	defer cancel()
	err = t.send(ctx, "snapshot", to, func(n *Node) {
		if release != nil {
			release(false)
		}
		data, release, busy = n.HandleFetchSnapshot(r)
		answer := "snapshot"
		if busy != nil {
			answer = "busy"
		}
		t.fleet.mu.Lock()
		t.fleet.sent[answer+" "+peer.Class(t.self.Place(), to.Place()).String()]++
		t.fleet.mu.Unlock()
	})
	if err == nil && busy == nil && !sleep(ctx, 10*time.Millisecond) {
		err = errdefs.PeerUnavailable.Wrap(ctx.Err(), "transfer cut off")
	}
	return t.flipBit(data), busy, err
}

func (t fakeTransport) Head(ctx context.Context, to Peer, r *peerpb.HeadRequest) (reply *peerpb.HeadReply, err error) {
	err = t.send(ctx, "head", to, func(n *Node) { reply = n.HandleHead(r) })
	return reply, err
}

// The encoder creates its channel at first use, which must not happen within a
// synctest bubble.
var _ = snapshot.Compress(nil)
