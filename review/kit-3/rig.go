//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"siskingw/bench/fleet"
)

// record is the text file of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) log(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %-8s %s\n", time.Since(r.start).Seconds(), who, fmt.Sprintf(format, args...))
}

// Ports of every instance; each has an address of its own.
const (
	portOutbound = 8147 + iota
	portInbound
	portReady
	portControl
	portTarget
	portMetrics
	portPeer
	portAdmin
	portStore
)

// instance is one machine: a node and its endpoint.
type instance struct {
	name, zone, ip, service string
	settings                string
	logFile                 string
	cmd                     *exec.Cmd
	endpoint                *endpoint
	removed                 bool
}

// rig is a small deployment on loopback addresses.
type rig struct {
	rec       *record
	dir       string
	program   string
	subnet    int
	store     *metadataStore
	links     *fleet.Links // relays the connections between nodes; nil for none
	instances []*instance
	client    *http.Client
	sequence  int
	key       string                        // key of the clients; empty for none
	onSend    func(id string, at time.Time) // called before each request; may be nil
	mu        sync.Mutex
}

func newRig(rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/siskingw")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	r := &rig{rec: rec, dir: dir, program: program, store: newMetadataStore(rec),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}}
	for range 50 {
		r.subnet = 20 + rand.N(200)
		l, err := net.Listen("tcp", net.JoinHostPort(r.ip(0), strconv.Itoa(portStore)))
		if err != nil {
			continue
		}
		_ = l.Close()
		return r, r.store.start(net.JoinHostPort(r.ip(0), strconv.Itoa(portStore)))
	}
	return nil, fmt.Errorf("no free loopback address")
}

func (r *rig) ip(n int) string { return fmt.Sprintf("127.%d.7.%d", r.subnet, n+1) }

// relayIP is the address at which other nodes reach the n-th instance.
func (r *rig) relayIP(n int) string {
	if r.links == nil {
		return r.ip(n)
	}
	return fmt.Sprintf("127.%d.8.%d", r.subnet, n+1)
}

// relay relays the connections between nodes, so that they can be cut.
func (r *rig) relay() { r.links = fleet.NewLinks() }

// relayed makes an instance reachable through the relay.
func (r *rig) relayed(n int, i *instance) error {
	if r.links == nil {
		return nil
	}
	r.links.Place(i.ip, i.name)
	for _, port := range []int{portPeer, portInbound} {
		if err := r.links.Forward(net.JoinHostPort(r.relayIP(n), strconv.Itoa(port)), i.addr(port), i.name); err != nil {
			return err
		}
	}
	return nil
}

func (i *instance) addr(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }

// add adds an instance with an endpoint of a version of a service, and starts both.
func (r *rig) add(service, version, zone string, bad bool, badAbove int) (*instance, error) {
	n := len(r.instances) + 1
	i := &instance{name: fmt.Sprintf("sidecar-%d", n), zone: zone, ip: r.ip(n), service: service}
	r.instances = append(r.instances, i)
	e, err := startEndpoint(&endpoint{id: fmt.Sprintf("i-%d", n), service: service, version: version, bad: bad, badAbove: badAbove, rec: r.rec,
		addr: i.addr(portTarget), control: i.addr(portControl)})
	if err != nil {
		return nil, err
	}
	i.endpoint = e
	if err := r.relayed(n, i); err != nil {
		return nil, err
	}
	i.settings, i.logFile = filepath.Join(r.dir, i.name+".json"), filepath.Join(r.dir, i.name+".log")
	var seeds []string
	for s := range 3 {
		seeds = append(seeds, net.JoinHostPort(r.relayIP(s+1), strconv.Itoa(portControl)))
	}
	b, err := json.Marshal(map[string]any{
		"id": i.name, "region": "region-1", "failureDomain": zone,
		"listen": map[string]string{"outbound": i.addr(portOutbound), "inbound": i.addr(portInbound), "peer": i.addr(portPeer),
			"admin": i.addr(portAdmin), "metrics": i.addr(portMetrics)},
		"advertise": map[string]string{"inbound": net.JoinHostPort(r.relayIP(n), strconv.Itoa(portInbound)),
			"peer": net.JoinHostPort(r.relayIP(n), strconv.Itoa(portPeer))},
		"store": map[string]string{"endpoint": net.JoinHostPort(r.ip(0), strconv.Itoa(portStore))},
		"seeds": []string{}, "log": map[string]int{"verbosity": 0}, "dialFrom": i.ip,
		"platform": map[string]any{"control": i.addr(portControl), "ready": i.addr(portReady), "service": service,
			"targetAddress": i.addr(portTarget), "seedHosts": seeds, "heartbeatMs": heartbeat.Milliseconds(),
			"drainMs": drainTime.Milliseconds(), "graceS": 6, "retryRatio": 0.2, "retrySlack": 60, "retryWindowS": 10,
			"quotaWindowS": 5, "quotaOver": 0.1, "quotaSlack": 20, "canaryShare": 0.1,
			"memoryMB": 284, "maxFiles": 4100, "linkMbps": 1000},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.settings, b, 0o600); err != nil {
		return nil, err
	}
	return i, r.start(i)
}

// start starts the node of an instance with the command of the deploy file.
func (r *rig) start(i *instance) error {
	f, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	i.cmd = exec.Command(r.program, "node", "-config", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = f, f
	i.cmd.Env = append(os.Environ(), "SISKINGW_NODE_FILE="+i.settings)
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.rec.log("rig", "start the node of %s (%s)", i.name, i.ip)
	return i.cmd.Start()
}

// signal sends a signal to the node of an instance and, for SIGKILL, waits for its end.
func (r *rig) signal(i *instance, sig syscall.Signal) {
	r.rec.log("rig", "%v to the node of %s", sig, i.name)
	_ = i.cmd.Process.Signal(sig) // it may have ended
	if sig == syscall.SIGKILL {
		_ = i.cmd.Wait()
	}
}

// remove ends the endpoint of an instance, and then its node.
func (r *rig) remove(i *instance) {
	i.removed = true
	i.endpoint.end()
	r.rec.log("rig", "the endpoint of %s has ended", i.name)
	r.signal(i, syscall.SIGTERM)
}

// close ends all processes of the rig. With KEEP set, it keeps the nodes' logs.
func (r *rig) close() {
	if r.links != nil {
		r.links.Close()
	}
	for _, i := range r.instances {
		if i.cmd != nil && i.cmd.Process != nil {
			_ = i.cmd.Process.Kill()
			_ = i.cmd.Wait()
		}
		if i.endpoint != nil {
			i.endpoint.end()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs:", r.dir)
	}
}

// waitReady waits until all nodes are ready.
func (r *rig) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, i := range r.instances {
		for !i.removed && !r.ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", i.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *rig) ready(i *instance) bool {
	resp, err := r.client.Get("http://" + i.addr(portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client sees of one request.
type answer struct {
	id     string
	status int // 0 for none
	body   string
	seal   string
	err    error
	sentAt time.Time
}

// newID returns an id of an attempt.
func (r *rig) newID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return fmt.Sprintf("a%08d", r.sequence)
}

// get sends one idempotent request from an instance and records it.
func (r *rig) get(i *instance, host, path string, deadline time.Duration) answer {
	a := answer{id: r.newID(), sentAt: time.Now()}
	if r.onSend != nil {
		r.onSend(a.id, a.sentAt)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.addr(portOutbound)+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	if r.key != "" {
		req.Header.Set("Key", r.key)
	}
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := r.client.Do(req)
	if err != nil {
		a.err = err
	} else {
		b, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.seal, a.err = resp.StatusCode, string(b), resp.Header.Get("Server-Seal"), err
	}
	r.rec.log("client", "%s at %s: GET %s%s: %d %q %v", a.id, i.name, host, path, a.status, firstLine(a.body), errText(a.err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func firstLine(s string) string { return s[:min(len(s), 90)] }

// load sends perSecond requests a second from the instances in turn, until stop is closed.
// It calls each, which may be nil, with every answer.
func (r *rig) load(from []*instance, host, path string, perSecond int, stop chan struct{}, done *sync.WaitGroup, each func(answer)) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	done.Go(func() {
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				i := from[n%len(from)]
				done.Go(func() {
					a := r.get(i, host, path, 3*time.Second)
					if each != nil {
						each(a)
					}
				})
			}
		}
	})
}

// route is one route of a configuration.
type route struct{ name, host, prefix, kind, service string }

// config returns a configuration as the operator writes it, with the columns form of
// deploy/wire.toml.
func config(version int, services []string, routes []route) []byte {
	var rows, srv [][]any
	for _, x := range routes {
		rows = append(rows, []any{x.name, x.host, x.prefix, x.kind, 1500, 800, 1, nil, 2, x.service})
	}
	for _, s := range services {
		srv = append(srv, []any{s, healthPath, 120, "h1", false})
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", version-1),
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority",
			"backends", "max_attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_conns", "protocol", "tls"}, "rows": srv},
		"limits":   map[string]int{"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// order returns an order to roll out a version.
func order(service, version string, within time.Duration) (key string, value []byte) {
	return "op/rollout/" + service, fmt.Appendf(nil, `{"service":%q,"target_version":%q,"duration_s":%g}`, service, version, within.Seconds())
}

// rolloutState returns the state of the roll-out as the operator reads it; "" for none.
func (r *rig) rolloutState(service string) (state, version string) {
	var s struct {
		State         string `json:"state"`
		TargetVersion string `json:"target_version"`
	}
	if json.Unmarshal(r.store.get("status/rollout/"+service), &s) != nil {
		return "", ""
	}
	return s.State, s.TargetVersion
}

// writeAgain writes again what the operator had written and the store has lost.
func (r *rig) writeAgain(lost map[string][]byte) {
	for key, value := range lost {
		rev := r.store.put(key, value)
		r.rec.log("operator", "writes %s again: revision %d", key, rev)
	}
}
