package member

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"siskingw/errdefs"
	"siskingw/peer"
)

// links controls which links of a test cluster are up.
type links struct {
	mu     sync.Mutex
	sideOf map[string]string // peer address to the node's side of cut links
	cut    map[[2]string]bool
	open   map[net.Conn][2]string
}

// set cuts or restores the link from one side to another, in that direction
// only, and closes the open connections of cut links.
func (l *links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{from, to}] = cut
	for c, link := range l.open {
		if l.cut[link] {
			_ = c.Close()
			delete(l.open, c)
		}
	}
}

func (l *links) dialer(from string) func(context.Context, string, peer.LinkClass) (net.Conn, error) {
	return func(ctx context.Context, addr string, _ peer.LinkClass) (net.Conn, error) {
		l.mu.Lock()
		link := [2]string{from, l.sideOf[addr]}
		cut := l.cut[link]
		l.mu.Unlock()
		if cut {
			return nil, errdefs.PeerUnavailable.New("link %v is cut", link)
		}
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.cut[link] { // since the check before
			_ = c.Close()
			return nil, errdefs.PeerUnavailable.New("link %v is cut", link)
		}
		l.open[c] = link
		return c, nil
	}
}

// testNode is one node of a test cluster over loopback gRPC.
type testNode struct {
	dir     *Directory
	service *Service
	server  *grpc.Server
	pool    *peer.Pool
	cancel  context.CancelFunc
	done    chan struct{}
}

// stop ends the node without announcing its departure, as a crash does.
func (n *testNode) stop() {
	n.cancel()
	n.server.Stop()
	n.pool.Close()
	<-n.done
}

type cluster struct {
	t             *testing.T
	links         *links
	nodes         map[string]*testNode
	seeds         []Seed
	skew          time.Duration // subtracted from the clock that incarnations are derived from
	fallbackSeeds func(context.Context) []Seed
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, nodes: make(map[string]*testNode), links: &links{
		sideOf: make(map[string]string), cut: make(map[[2]string]bool), open: make(map[net.Conn][2]string),
	}}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
	})
	return c
}

// listen reserves the address of a node.
func (c *cluster) listen(link string) net.Listener {
	c.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	c.links.mu.Lock()
	defer c.links.mu.Unlock()
	c.links.sideOf[l.Addr().String()] = link
	return l
}

// launch runs a node on a listener; the node joins in the background. link
// names the node's side of cut links, which is the failure domain unless a test
// splits a failure domain.
func (c *cluster) launch(l net.Listener, id, failureDomain, region, link string) *testNode {
	self := Record{ID: id, Incarnation: uint64(time.Now().Add(-c.skew).UnixMilli()), Sequence: 1,
		FailureDomain: failureDomain, Region: region, PeerAddr: l.Addr().String(), Service: "svc", Slots: 1}
	n := &testNode{dir: NewDirectory(self, DirectoryOptions{}), done: make(chan struct{})}
	n.pool = peer.NewPool(self.Place(), &peer.Traffic{}, peer.Options{Dial: c.links.dialer(link)})
	n.service = NewService(n.dir, Options{
		Connect: n.pool.Conn, Seeds: c.seeds, Heartbeat: 200 * time.Millisecond, SuspectTimeout: time.Second,
		BatchDelay: 20 * time.Millisecond, FallbackSeeds: c.fallbackSeeds,
	})
	n.server = peer.NewServer()
	n.service.Register(n.server)
	go func() { _ = n.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.service.Run(ctx)
	}()
	c.nodes[id] = n
	return n
}

// start runs a node and returns after it has joined. The first nodes become
// seeds.
func (c *cluster) start(id, failureDomain, region, link string) *testNode {
	c.t.Helper()
	n := c.launch(c.listen(link), id, failureDomain, region, link)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	if err := n.service.Join(ctx); err != nil {
		c.t.Fatalf("%s did not join: %v", id, err)
	}
	if len(c.seeds) < 4 {
		self := n.dir.Self()
		c.seeds = append(c.seeds, Seed{Addr: self.PeerAddr, Place: self.Place()})
	}
	return n
}

// waitFor waits until the condition holds on every node and returns the time
// that took. The condition returns what is missing, or an empty string.
func (c *cluster) waitFor(limit time.Duration, what string, condition func(n *testNode) string) time.Duration {
	c.t.Helper()
	began := time.Now()
	for {
		missing := ""
		for id, n := range c.nodes {
			if m := condition(n); m != "" {
				missing = id + ": " + m
			}
		}
		if missing == "" {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			c.t.Fatalf("%s: condition not met within %s: %s", what, limit, missing)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// build starts the nodes one after the other. All but the first also have a
// stale seed whose address has no listener.
func (c *cluster) build(domains, each int) {
	for i := range domains * each {
		if i == 1 {
			c.seeds = append(c.seeds, Seed{Addr: "127.0.0.1:1"})
		}
		fd := fmt.Sprintf("fd-%d", i%domains)
		c.start(fmt.Sprintf("n%02d", i), fd, fmt.Sprintf("region-%d", i%domains/2), fd)
	}
}

func hasLive(live int) func(n *testNode) string {
	return func(n *testNode) string {
		if got := n.dir.Live(); got != live {
			return fmt.Sprintf("%d live, want %d", got, live)
		}
		return ""
	}
}

func hasState(id string, want State) func(n *testNode) string {
	return func(n *testNode) string {
		if r := n.dir.Lookup(id); r == nil || r.State != want {
			return fmt.Sprintf("%s is %v", id, r)
		}
		return ""
	}
}

// Guards against joins that fail because of a stale seed, deaths and departures
// that some nodes do not learn of, and members that are dropped because their
// failure domain is cut off.
func TestClusterLifecycle(t *testing.T) {
	const domains, each = 3, 10
	c := newCluster(t)
	c.build(domains, each)
	live := domains * each
	t.Logf("all joined after %s", c.waitFor(4*time.Second, "join", hasLive(live)))

	victim := "n13"
	c.nodes[victim].stop()
	delete(c.nodes, victim)
	live--
	t.Logf("death known after %s", c.waitFor(4*time.Second, "death", hasState(victim, Dead)))

	leaver := c.nodes["n20"]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	leaver.service.Drain(ctx)
	t.Logf("draining known after %s", c.waitFor(2*time.Second, "drain", hasState("n20", Draining)))
	leaver.service.Leave(ctx)
	leaver.stop()
	delete(c.nodes, "n20")
	live--
	t.Logf("departure known after %s", c.waitFor(2*time.Second, "leave", hasState("n20", Left)))

	c.setDomainCut("fd-2", true)
	t.Logf("cut known after %s", c.waitFor(4*time.Second, "cut", func(n *testNode) string {
		for _, d := range n.dir.FailureDomains() {
			cutOff := (d.Name == "fd-2") != (n.dir.Self().FailureDomain == "fd-2")
			if d.Unreachable != cutOff {
				return fmt.Sprintf("%s unreachable: %v", d.Name, d.Unreachable)
			}
		}
		return hasLive(live)(n)
	}))

	c.start("late", "fd-2", "region-1", "fd-2") // joins while its failure domain is cut off
	live++
	c.setDomainCut("fd-2", false)
	t.Logf("healed after %s", c.waitFor(4*time.Second, "heal", func(n *testNode) string {
		for _, d := range n.dir.FailureDomains() {
			if d.Unreachable {
				return d.Name + " unreachable"
			}
		}
		return hasLive(live)(n)
	}))
	c.waitFor(4*time.Second, "equal digests", func(n *testNode) string {
		if n.dir.RootDigest() != c.nodes["n00"].dir.RootDigest() {
			return "digest differs"
		}
		return ""
	})
}

// setDomainCut separates one failure domain from the others, or reconnects it.
func (c *cluster) setDomainCut(name string, cut bool) {
	for _, other := range []string{"fd-0", "fd-1", "fd-2"} {
		if other != name {
			c.links.set(name, other, cut)
			c.links.set(other, name, cut)
		}
	}
}

// Guards against a deadlock at fleet start, in which every seed waits for the
// records of another one.
func TestAllNodesStartSimultaneously(t *testing.T) {
	const count = 8
	c := newCluster(t)
	var listeners []net.Listener
	for i := range count {
		l := c.listen("any")
		listeners = append(listeners, l)
		c.seeds = append(c.seeds, Seed{Addr: l.Addr().String(), Place: peer.Place{FailureDomain: fmt.Sprintf("fd-%d", i%2)}})
	}
	for i, l := range listeners {
		fd := fmt.Sprintf("fd-%d", i%2)
		c.launch(l, fmt.Sprintf("n%d", i), fd, "region", "any")
	}
	t.Logf("complete after %s", c.waitFor(4*time.Second, "start", func(n *testNode) string {
		if !n.service.hasFullSet() {
			return "still joining"
		}
		return hasLive(count)(n)
	}))
}

// Guards against a restarted node whose clock was set back and whose records
// are therefore superseded by those of its previous process.
func TestRestartWithAnEarlierClock(t *testing.T) {
	c := newCluster(t)
	for i := range 4 {
		c.start(fmt.Sprintf("n%d", i), fmt.Sprintf("fd-%d", i%2), "region", "any")
	}
	c.waitFor(2*time.Second, "join", hasLive(4))
	old := c.nodes["n3"].dir.Self().Incarnation
	c.nodes["n3"].stop()
	c.skew = time.Hour
	restarted := c.start("n3", "fd-1", "region", "any")
	c.waitFor(2*time.Second, "restart", func(n *testNode) string {
		r := n.dir.Lookup("n3")
		if r.Incarnation <= old || r.PeerAddr != restarted.dir.Self().PeerAddr || r.State != Alive {
			return fmt.Sprint(*r)
		}
		return ""
	})
}

// Guards against a node that cannot join because every configured seed was
// replaced, and against a node that asks for fallback seeds although a seed
// answers.
func TestFallbackSeedsOnlyWhenNoSeedAnswers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	var asked atomic.Int32
	c.start("n0", "fd", "region", "any")
	living := c.seeds
	c.fallbackSeeds = func(context.Context) []Seed {
		asked.Add(1)
		return living
	}
	c.start("n1", "fd", "region", "any")
	is.Equal(asked.Load(), int32(0))
	gone := c.listen("any")
	is.NoErr(gone.Close())
	c.seeds = []Seed{{Addr: gone.Addr().String(), Place: living[0].Place}}
	c.start("n2", "fd", "region", "any")
	is.True(asked.Load() > 0)
	c.waitFor(2*time.Second, "join through FallbackSeeds", hasLive(3))
}

// Guards against nodes that, after the restart of a whole fleet, know only
// their own failure domain and the relays of others, and therefore refuse calls
// to all other targets until some node has a full set.
func TestSmallFleetSendsFullSetToEveryJoiner(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.build(4, 4)
	c.waitFor(4*time.Second, "build", hasLive(16))
	from := c.nodes["n00"]
	late := c.launch(c.listen("fd-3"), "late", "fd-3", "region-1", "fd-3")
	late.cancel() // the test calls joinVia itself
	<-late.done
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	self := from.dir.Self()
	_, err := late.service.joinVia(ctx, Seed{Addr: self.PeerAddr, Place: self.Place()}, true)
	is.NoErr(err)
	is.Equal(len(late.dir.All()), 17)
	late.cancel = func() {}
}
