//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"siskingw/bench/fleet"
	"siskingw/platform/standin"
	"siskingw/settings"
	"siskingw/store/memstore"
)

// Ports of an instance. Every instance has its own loopback address.
const (
	portOutbound = 15001 + iota
	portInbound
	portPeer
	portAdmin
	portControl
	portReady
	portApp
	portStore
)

// Bounds and limits of the small site pbice-mesh, as its settings state them.
const (
	heartbeat   = 1500 * time.Millisecond
	drainTime   = 2500 * time.Millisecond
	contactTime = 3 * time.Second
	memoryMB    = 134
)

// rig is a small deployment on loopback addresses.
type rig struct {
	dir    string
	subnet int
	began  time.Time
	store  *memstore.Store
	server *http.Server
	nodes  []*node
	seq    int

	mu     sync.Mutex
	record io.Writer
}

func newRig(record io.Writer, dir string) *rig {
	return &rig{dir: dir, began: time.Now(), record: record}
}

// note writes one line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.subnet/250+20, r.subnet%250, n+1)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// startStore starts the store on a free subnet of the loopback range and puts
// the configuration into it.
func (r *rig) startStore(config []byte) error {
	const storeNumber = 200
	var l net.Listener
	var err error
	for range 20 {
		r.subnet = rand.IntN(200 * 250)
		if l, err = net.Listen("tcp", hostPort(r.ip(storeNumber), portStore)); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	r.store = memstore.New(memstore.Options{})
	r.server = &http.Server{Handler: standin.NewStore(r.store)}
	go r.server.Serve(l)
	return r.publish(config)
}

// publish writes a configuration to the store, as the operator does.
func (r *rig) publish(config []byte) error {
	_, err := r.store.Put(context.Background(), standin.ConfigKey, config, 0)
	return err
}

// node is one instance: the process of the system and the endpoint beside it.
type node struct {
	name, ip, service string
	process           *fleet.Process
}

func (n *node) outbound() string { return hostPort(n.ip, portOutbound) }
func (n *node) control() string  { return hostPort(n.ip, portControl) }
func (n *node) app() string      { return hostPort(n.ip, portApp) }

// addNode adds an instance whose endpoint belongs to the service. The process
// is started with the command of the deploy file.
func (r *rig) addNode(service string) (*node, error) {
	i := len(r.nodes)
	n := &node{name: fmt.Sprintf("side-%d", i+1), ip: r.ip(i), service: service}
	b, err := json.Marshal(settings.Settings{
		ID: n.name, Region: "trans-pecos", FailureDomain: "balmorhea",
		Listen: settings.Listen{Outbound: n.outbound(), Inbound: hostPort(n.ip, portInbound),
			Peer: hostPort(n.ip, portPeer), Admin: hostPort(n.ip, portAdmin)},
		Store: settings.Store{Endpoint: r.storeAddr()},
		Seeds: []settings.Seed{},
		Platform: &settings.Platform{
			Control: n.control(), Ready: hostPort(n.ip, portReady), Service: service, TargetAddress: n.app(),
			SeedHosts:   []string{hostPort(r.ip(0), portControl), hostPort(r.ip(1), portControl)},
			HeartbeatMs: int(heartbeat.Milliseconds()), DrainMs: int(drainTime.Milliseconds()), GraceS: 6,
			RetryRatio: 0.2, RetrySlack: 64, RetryWindowS: 10,
			MemoryMB: memoryMB, MaxFiles: 4100, LinkMbps: 1000,
		},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, n.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	n.process = fleet.NewProcess(n.name, "target/siskingw", filepath.Join(r.dir, n.name+".log"), "node", "-config", path)
	r.nodes = append(r.nodes, n)
	r.note("%s starts at %s beside an endpoint of %s", n.name, n.ip, service)
	return n, n.process.Start()
}

func (r *rig) storeAddr() string { return hostPort(r.ip(200), portStore) }

// waitReady waits until every node says that it is ready.
func (r *rig) waitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for {
			resp, err := client.Get("http://" + hostPort(n.ip, portReady) + "/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after 20 s", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// waitServed sends requests until one is answered with 200.
func (r *rig) waitServed(n *node, host, path string) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if a := r.send(n, request{host: host, path: path, quiet: true}); a.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not serve %s after 20 s", n.name, path)
}

func (r *rig) stop() {
	for _, n := range r.nodes {
		n.process.Kill()
	}
	if r.server != nil {
		r.server.Close()
	}
}

func (r *rig) dumpLogs(w io.Writer) {
	for _, n := range r.nodes {
		b, _ := os.ReadFile(filepath.Join(r.dir, n.name+".log"))
		fmt.Fprintf(w, "== %s\n%s\n", n.name, b)
	}
}

// request is one request of a client on the machine of a node.
type request struct {
	method, host, path string
	body               []byte
	quiet              bool // not in the record
}

// answer is what a client got; status is 0 if it got none.
type answer struct {
	id     string
	status int
	seal   string
	body   []byte
	err    error
}

// newID returns a new id of a client attempt.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(r.seq))
}

// deadline is how long a client waits.
const deadline = 3 * time.Second

// head returns the head of a request on the wire.
func (q request) head(id, framing string) string {
	method := cmp.Or(q.method, http.MethodGet)
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s\r\n",
		method, q.path, q.host, id, deadline.Milliseconds(), framing)
}

// send sends one request on a new connection and reads the answer.
func (r *rig) send(n *node, q request) answer {
	a := answer{id: r.newID()}
	framing := ""
	if q.body != nil {
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	conn, err := net.DialTimeout("tcp", n.outbound(), time.Second)
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(deadline))
		if _, err = conn.Write(append([]byte(q.head(a.id, framing)), q.body...)); err == nil {
			a.read(bufio.NewReader(conn), q.method)
		}
	}
	if err != nil {
		a.err = err
	}
	if !q.quiet {
		r.note("client at %s: %s %s%s id %s -> %s", n.name, cmp.Or(q.method, http.MethodGet), q.host, q.path, a.id, a)
	}
	return a
}

// read reads the answer.
func (a *answer) read(br *bufio.Reader, method string) {
	resp, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Server-Seal")
	a.body, a.err = io.ReadAll(resp.Body)
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	s := fmt.Sprintf("%d, seal %q, %d bytes", a.status, a.seal, len(a.body))
	if a.err != nil {
		s += fmt.Sprintf(", cut (%v)", a.err)
	}
	return s
}
