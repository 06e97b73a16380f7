//go:build review

package main

import (
	"bufio"
	"bytes"
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
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all machines of a deployment.
const (
	portApp = iota
	portInbound
	portOutbound
	portReady
	portControl
	portPeer
	portAdmin
	portCount
)

const (
	host       = "ficu95.example"
	metricsTCP = 9464 // of the deploy file
)

// bounds are those of the deployment of 14 machines on the platform's pages.
var bounds = map[string]any{"seed_stale_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "sync_s": 4,
	"drain_ms": 2500, "grace_s": 6, "loss_slack_ms": 200, "converge_ms": 2500, "rollback_slack_ms": 250,
	"skew_max_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 60, "recover_s": 15}

// machine is a machine with one node and one endpoint.
type machine struct {
	name, ip, zone, region, service string
	endpoint                        *endpoint
	cmd                             *exec.Cmd
	settings                        string // path of the settings file
	exited                          chan struct{}
}

// rig is a small deployment on loopback addresses.
type rig struct {
	dir       string
	base      int // first port
	subnet    string
	storeAddr string
	storeStop func()
	store     *store
	record    *record
	machines  []*machine
	lastID    atomic.Int64
}

// newRig chooses addresses and starts the store. Each service gets one machine for each
// mention.
func newRig(dir string, rec *record, services ...string) (*rig, error) {
	g := &rig{dir: dir, record: rec, store: newStore()}
	for range 50 {
		g.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		g.base = 20000 + 10*rand.IntN(1000)
		if g.portsFree(len(services)) {
			break
		}
	}
	g.storeAddr = g.subnet + ".200:" + strconv.Itoa(g.base)
	stop, err := g.store.listen(g.storeAddr)
	if err != nil {
		return nil, err
	}
	g.storeStop = stop
	zones := []string{"sask-a", "alta-a", "mani-a", "sask-b", "alta-b", "mani-b"}
	regions := []string{"sask", "alta", "mani", "sask", "alta", "mani"}
	for i, service := range services {
		m := &machine{name: "sidecar-" + zones[i%6] + "-" + strconv.Itoa(1+i/6), ip: fmt.Sprintf("%s.%d", g.subnet, i+1),
			zone: zones[i%6], region: regions[i%6], service: service}
		m.settings = filepath.Join(dir, m.name+".json")
		m.endpoint = &endpoint{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), service: service, zone: m.zone,
			addr: g.addr(m, portApp), control: g.addr(m, portControl), slots: 9, work: 60 * time.Millisecond, record: rec}
		g.machines = append(g.machines, m)
	}
	return g, nil
}

// portsFree reports whether all addresses of the deployment can be opened.
func (g *rig) portsFree(machines int) bool {
	for i := range machines {
		ip := fmt.Sprintf("%s.%d", g.subnet, i+1)
		for p := range portCount + 1 {
			port := g.base + p
			if p == portCount {
				port = metricsTCP
			}
			l, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (g *rig) addr(m *machine, port int) string { return m.ip + ":" + strconv.Itoa(g.base+port) }

// writeSettings fills in deploy/node.json for a machine and puts it in place.
func (g *rig) writeSettings(m *machine) error {
	template, err := os.ReadFile("deploy/node.json")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range g.machines[:min(3, len(g.machines))] {
		seeds = append(seeds, g.addr(s, portControl))
	}
	out := render(string(template), fields{
		"node": m.name, "zone": m.zone, "region": m.region, "ip": m.ip, "service": m.service, "app_addr": g.addr(m, portApp),
		"listen": map[string]any{"inbound": g.addr(m, portInbound), "outbound": g.addr(m, portOutbound),
			"ready": g.addr(m, portReady), "control": g.addr(m, portControl)},
		"port_range": []string{strconv.Itoa(g.base + portPeer), strconv.Itoa(g.base + portAdmin)},
		"seeds":      seeds, "heartbeat_ms": heartbeat.Milliseconds(), "bounds": bounds,
		"platform": map[string]any{"address": g.storeAddr},
		"limits":   map[string]any{"memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0},
	})
	if err := os.WriteFile(m.settings+".new", []byte(out), 0o600); err != nil {
		return err
	}
	return os.Rename(m.settings+".new", m.settings)
}

// startNode starts the node of a machine with the program of the deploy file.
func (g *rig) startNode(m *machine) error {
	if err := g.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/siskingw", "node", "-config", m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited = cmd, make(chan struct{})
	g.record.add("node %s starts", m.name)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.exited)
	return nil
}

// startAll starts all nodes and endpoints, and waits until all nodes are ready.
func (g *rig) startAll() error {
	for _, m := range g.machines {
		if err := g.startNode(m); err != nil {
			return err
		}
		if err := m.endpoint.start(); err != nil {
			return err
		}
	}
	for _, m := range g.machines {
		if err := g.waitReady(m, 15*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // every endpoint has sent two heartbeats
	return nil
}

func (g *rig) waitReady(m *machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.addr(m, portReady) + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", m.name, limit)
}

// stop ends every process that the rig has started.
func (g *rig) stop() {
	for _, m := range g.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
		if m.endpoint.quit != nil {
			m.endpoint.stop()
		}
	}
	g.storeStop()
}

// publish writes a configuration as the operator, and returns when the store has
// acknowledged it.
func (g *rig) publish(version int, routes []route, services ...string) time.Time {
	var rows, list bytes.Buffer
	for i, r := range routes {
		if i > 0 {
			rows.WriteByte(',')
		}
		fmt.Fprintf(&rows, `[%q,%q,%q,%q,%d,800,%d,null,2,%q]`, r.name, host, r.prefix, r.kind, routeTimeoutMs, 1, r.service)
	}
	for i, s := range services {
		if i > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, `[%q,%q,120,"h1",false]`, s, healthPath)
	}
	g.store.put("op/config", fmt.Appendf(nil, `{"version":"%08x","routes":{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms","priority","backends","max_attempts","service"],"rows":[%s]},"services":{"columns":["name","health_path","max_conns","protocol","tls"],"rows":[%s]},"limits":{"header_bytes":16384,"body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":"%08x"}`,
		version, rows.Bytes(), list.Bytes(), version-1))
	g.record.add("the store has acknowledged version %08x", version)
	return time.Now()
}

// route is a route of a configuration.
type route struct{ name, prefix, kind, service string }

const routeTimeoutMs = 1500

// answer is what a client has seen of one request.
type answer struct {
	id, path string
	machine  *machine
	sent     time.Time
	status   int // 0 without an answer
	seal     string
	echoed   string // Attempt-Id of the answer
	body     string
	err      error
}

// client is a client on a machine that keeps its connection open.
type client struct {
	rig     *rig
	machine *machine
	conn    net.Conn
	br      *bufio.Reader
}

const deadline = 3 * time.Second

// send sends one request and waits for its answer.
func (c *client) send(method, path string, body int) answer {
	a := answer{id: fmt.Sprintf("%016x", c.rig.lastID.Add(1)), path: path, machine: c.machine}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.rig.addr(c.machine, portOutbound), time.Second)
		if err != nil {
			a.err = err
			c.rig.record.add("client at %s: %s %s %s: %v", c.machine.name, a.id, method, path, err)
			return a
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	a.sent = time.Now()
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: " + strconv.Itoa(body) + "\r\n"
	}
	_, err := io.WriteString(c.conn, method+" "+path+" HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: "+a.id+
		"\r\nDeadline-Ms: "+strconv.FormatInt(deadline.Milliseconds(), 10)+"\r\n"+length+"\r\n"+string(bytes.Repeat([]byte("b"), body)))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: method})
	}
	if err == nil {
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			a.status, a.seal, a.echoed, a.body = resp.StatusCode, resp.Header.Get("Server-Seal"), resp.Header.Get("Attempt-Id"), string(b)
		}
	}
	a.err = err
	c.rig.record.add("client at %s: %s %s %s -> %d seal=%q id=%q body=%q err=%v", c.machine.name, a.id, method, path,
		a.status, a.seal, a.echoed, a.body, err)
	if err != nil || resp.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// load sends the same kind of request from n clients on each machine until stop is
// closed, and returns all answers.
func (g *rig) load(n int, pause time.Duration, method, path string, body int, stop <-chan struct{}) func() []answer {
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	for _, m := range g.machines {
		for range n {
			wg.Go(func() {
				c := &client{rig: g, machine: m}
				defer c.close()
				for {
					select {
					case <-stop:
						return
					case <-time.After(pause/2 + rand.N(pause)):
					}
					a := c.send(method, path, body)
					mu.Lock()
					all = append(all, a)
					mu.Unlock()
				}
			})
		}
	}
	return func() []answer {
		wg.Wait()
		return all
	}
}
