package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"siskingw/bench/fleet"
	"siskingw/platform/standin"
	"siskingw/settings"
	"siskingw/store/memstore"
)

// Limits of the nodes under test, and the bounds that the tests check. A crowd of
// clients is small, so the limits are low.
const (
	memoryMB = 96  // memory of each node's machine, MiB
	maxFiles = 160 // descriptors of each node
)

const (
	host        = "lots.example"
	service     = "floor"
	targetSlots = 4
	targetWork  = 100 * time.Millisecond
	readyWait   = 20 * time.Second
)

// Ports are the same on both instances.
const (
	portOutbound = 15001 + iota
	portInbound
	portPeer
	portAdmin
	portControl
	portReady
	portTarget
	portStore
)

// node is one node process.
type node struct {
	*fleet.Process
	ip      string
	logPath string
}

func (n *node) addr(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

// cluster is a store, a node of callers without a target, and a node with the only
// target.
type cluster struct {
	t       *testing.T
	callers *node
	targets *node
	store   *faultyStore
	client  *http.Client
	header  http.Header // added to ordinary requests
}

// startCluster starts the processes, waits until a call is served, and stops them at
// the end of the test.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	// Tests of several checkouts may run on this machine at the same time.
	subnet := fmt.Sprintf("127.%d.%d.", 200+os.Getpid()%50, os.Getpid()/50%250)
	c := &cluster{t: t, client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	mem := memstore.New(memstore.Options{})
	if _, err := mem.Put(t.Context(), standin.ConfigKey, config(), 0); err != nil {
		t.Fatal(err)
	}
	store := net.JoinHostPort(subnet+"9", strconv.Itoa(portStore))
	c.store = newFaultyStore(standin.NewStore(mem))
	serve(t, store, c.store)
	c.callers = startNode(t, "n-callers", subnet+"1", store, []string{subnet + "2"})
	c.targets = startNode(t, "n-targets", subnet+"2", store, []string{subnet + "1"})
	target := standin.NewTarget(standin.TargetOptions{ID: "i-1", Service: service, Addr: c.targets.addr(portTarget),
		Slots: targetSlots, Control: c.targets.addr(portControl), Beat: 500 * time.Millisecond})
	serve(t, target.Addr(), newCountingTarget(target))
	ctx, cancel := context.WithCancel(context.Background())
	announced := make(chan struct{})
	go func() { defer close(announced); target.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-announced })
	c.waitServed("at the start", readyWait)
	return c
}

// config routes uploads, besides the routes of the stand-in's configuration.
func config() []byte {
	const bids = `["bids",`
	scans := fmt.Sprintf(`["scans",%q,"/scans/","upload",60000,30000,3,null,2,%q],`, host, service)
	return bytes.Replace(standin.Config(1, host, service), []byte(bids), []byte(scans+bids), 1)
}

func serve(t *testing.T, addr string, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
}

func startNode(t *testing.T, name, ip, store string, seeds []string) *node {
	t.Helper()
	n := &node{ip: ip}
	var hosts []string
	for _, seed := range seeds {
		hosts = append(hosts, net.JoinHostPort(seed, strconv.Itoa(portPeer)))
	}
	b, err := json.Marshal(settings.Settings{
		ID: name, Region: "r-1", FailureDomain: "d-1",
		Listen: settings.Listen{Outbound: n.addr(portOutbound), Inbound: n.addr(portInbound),
			Peer: n.addr(portPeer), Admin: n.addr(portAdmin)},
		DialFrom: ip, Store: settings.Store{Endpoint: store}, Seeds: []settings.Seed{},
		Platform: &settings.Platform{
			Control: n.addr(portControl), Ready: n.addr(portReady), Service: service,
			SeedHosts: hosts, HeartbeatMs: 1000, DrainMs: 1500, GraceS: 5,
			RetryRatio: 0.1, RetrySlack: 20, RetryWindowS: 5,
			MemoryMB: memoryMB, MaxFiles: maxFiles, LinkMbps: 1000,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	n.logPath = filepath.Join(dir, name+".log")
	n.Process = fleet.NewProcess(name, filepath.Join(binDir, "siskingw"), n.logPath, "node", "-config", path)
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Kill()
		if t.Failed() {
			const tailBytes = 3000
			log, _ := os.ReadFile(n.logPath)
			t.Logf("log of %s:\n%s", name, log[max(0, len(log)-tailBytes):])
		}
	})
	return n
}

// countingTarget discards request bodies and answers with their sizes.
type countingTarget struct {
	health http.Handler
	slots  chan struct{}
}

func newCountingTarget(health http.Handler) *countingTarget {
	return &countingTarget{health: health, slots: make(chan struct{}, targetSlots)}
}

func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == standin.HealthPath {
		c.health.ServeHTTP(w, r)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.slots <- struct{}{}
	time.Sleep(targetWork)
	<-c.slots
	standin.SignResponse(w.Header(), "i-1", standin.ParseRequest(r).ID)
	if strings.HasPrefix(r.URL.Path, "/lots/large/") {
		writeLargeAnswer(w)
		return
	}
	_, _ = fmt.Fprint(w, n) // the node may have disconnected
}

// call sends one request through the callers' node. The error states why it was not
// answered by the target with the size of its body.
func (c *cluster) call(method, path string, body io.Reader, size int64, chunked bool) error {
	req, err := http.NewRequest(method, "http://"+c.callers.addr(portOutbound)+path, body)
	if err != nil {
		return err
	}
	req.Host, req.ContentLength = host, size
	if chunked {
		req.ContentLength = -1
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	id := fmt.Sprintf("ordinary-%d", time.Now().UnixNano())
	standin.SetAttemptHeaders(req.Header, id, 30*time.Second)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK || standin.SignedAttempt(resp.Header) != id:
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	case string(b) != strconv.FormatInt(size, 10):
		return fmt.Errorf("the target got %s bytes, want %d", b, size)
	}
	return nil
}

// tries and tryPause bound how long a caller goes on after refusals.
const (
	tries    = 20
	tryPause = 500 * time.Millisecond
)

// waitServed sends ordinary requests until one is served, and fails the test if none
// is within limit.
func (c *cluster) waitServed(when string, limit time.Duration) {
	c.t.Helper()
	c.retry(when, limit, func() error { return c.call(http.MethodGet, "/lots/1", nil, 0, false) })
}

// retry calls f until it succeeds, and fails the test if it does not within limit.
func (c *cluster) retry(when string, limit time.Duration, f func() error) {
	c.t.Helper()
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatalf("%s: no request was served: %v", when, err)
		}
		time.Sleep(tryPause)
	}
}
