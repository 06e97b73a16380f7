// Package demo runs a small fleet as real processes: it applies a configuration,
// waits until every node has put it in force, sends calls and prints the status,
// the control traffic and the calls of the store.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"siskingw/bench/fleet"
	"siskingw/errdefs"
)

const (
	startTimeout = 30 * time.Second
	callCount    = 200
)

// Options configures the demo.
type Options struct {
	BinDir    string    // directory of the binaries siskingw, storestub and targetstub
	PerDomain int       // instances in each failure domain
	Out       io.Writer // receives the progress and the results
}

// domains returns two failure domains in each of three regions.
func domains(perDomain int) []fleet.Domain {
	var all []fleet.Domain
	for _, region := range []string{"sask", "alta", "mani"} {
		for _, suffix := range []string{"a", "b"} {
			service, slots := "auction-floor", 9
			if suffix == "b" {
				service = "inspection-house"
			}
			all = append(all, fleet.Domain{Region: region, Name: region + "-" + suffix, Instances: perDomain, Service: service, Slots: slots})
		}
	}
	return all
}

// firstConfiguration is the first configuration, in the format of the apply command.
const firstConfiguration = `{"objects":[
 {"kind":"EndpointSet","name":"floor","spec":{"announce":"auction-floor"}},
 {"kind":"EndpointSet","name":"inspection","spec":{"announce":"inspection-house"}},
 {"kind":"Service","name":"floor","spec":{"endpointSet":"floor"}},
 {"kind":"Service","name":"inspection","spec":{"endpointSet":"inspection"}},
 {"kind":"Route","name":"lots","spec":{"pathPrefix":"/lots","service":"floor","kind":"page"}},
 {"kind":"Route","name":"bids","spec":{"pathPrefix":"/bids","service":"floor","kind":"bid"}},
 {"kind":"Route","name":"scans","spec":{"pathPrefix":"/scans","service":"inspection","kind":"upload"}}
]}`

// Run runs the demo, stops all processes and removes its files. After a failed
// step it prints the end of the nodes' logs.
func Run(ctx context.Context, opts Options) error {
	dir, err := os.MkdirTemp("", "siskingw-demo-")
	if err != nil {
		return errdefs.Internal.Wrap(err, "create working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := fleet.Start(ctx, fleet.Options{BinDir: opts.BinDir, WorkDir: dir, Domains: domains(opts.PerDomain)})
	if err != nil {
		return err
	}
	defer f.Stop()
	d := &run{opts: opts, fleet: f, dir: dir}
	for _, step := range []func(context.Context) error{
		d.waitUp, d.applyFirst, d.applyChange, d.sendCalls, d.printStatus, d.printTraffic} {
		if err := step(ctx); err != nil {
			d.printLogTails()
			return err
		}
	}
	return nil
}

// run is the state of a running demo.
type run struct {
	opts  Options
	fleet *fleet.Fleet
	dir   string
}

func (d *run) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.opts.Out, format, args...) }

// waitUp waits until every node is healthy.
func (d *run) waitUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started := time.Now()
	if err := d.fleet.WaitUp(ctx); err != nil {
		return err
	}
	d.printf("%d nodes up in %s\n", len(d.fleet.Instances), time.Since(started).Round(time.Millisecond))
	return nil
}

// applyFirst applies the first configuration and waits until it is in force on
// every node.
func (d *run) applyFirst(ctx context.Context) error {
	path := filepath.Join(d.dir, "objects.json")
	if err := os.WriteFile(path, []byte(firstConfiguration), 0o600); err != nil {
		return errdefs.Internal.Wrap(err, "write objects file")
	}
	return d.runTimed(ctx, "first configuration applied and in force everywhere",
		"apply", "-author", "demo", "-wait", "-f", path)
}

// applyChange applies a new policy and a service that uses it, and waits until both
// are in force on every node.
func (d *run) applyChange(ctx context.Context) error {
	path := filepath.Join(d.dir, "change.json")
	const policy = `{"objects":[{"kind":"Policy","name":"short","spec":{"timeoutMs":2000,"retries":1}},
 {"kind":"Service","name":"floor","spec":{"endpointSet":"floor","policy":"short"}}]}`
	if err := os.WriteFile(path, []byte(policy), 0o600); err != nil {
		return errdefs.Internal.Wrap(err, "write objects file")
	}
	return d.runTimed(ctx, "change of two objects applied and in force everywhere",
		"apply", "-author", "demo", "-wait", "-f", path)
}

// runTimed runs a siskingw command and prints its duration and its output.
func (d *run) runTimed(ctx context.Context, what string, args ...string) error {
	started := time.Now()
	out, err := d.runCommand(ctx, args...)
	if err != nil {
		return err
	}
	d.printf("%s in %s (commands included)\n%s", what, time.Since(started).Round(time.Millisecond), out)
	return nil
}

// runCommand runs a siskingw subcommand with the last node of the fleet as its
// admin endpoint and returns its output.
func (d *run) runCommand(ctx context.Context, args ...string) (string, error) {
	last := d.fleet.Instances[len(d.fleet.Instances)-1]
	full := append([]string{args[0], "-node", last.AdminAddr()}, args[1:]...)
	out, err := exec.CommandContext(ctx, filepath.Join(d.opts.BinDir, "siskingw"), full...).CombinedOutput()
	if err != nil {
		return "", errdefs.Internal.Wrap(err, "siskingw %s: %s", strings.Join(full, " "), out)
	}
	return string(out), nil
}

// sendCalls sends calls through every node in turn and counts the responses by
// status. It fails unless all have status 200.
func (d *run) sendCalls(ctx context.Context) error {
	statuses := make(map[int]int)
	started := time.Now()
	for i := range callCount {
		in := d.fleet.Instances[i%len(d.fleet.Instances)]
		path := []string{"/lots/1", "/bids/2", "/scans/3"}[i%3]
		status, err := d.sendCall(ctx, in.OutboundURL()+path, fmt.Sprintf("demo-%d", i))
		if err != nil {
			return err
		}
		statuses[status]++
	}
	d.printf("%d calls in %s: answers by status %v\n", callCount, time.Since(started).Round(time.Millisecond), statuses)
	if statuses[http.StatusOK] != callCount {
		return errdefs.Internal.New("%d of %d calls returned status 200", statuses[http.StatusOK], callCount)
	}
	return nil
}

func (d *run) sendCall(ctx context.Context, url, id string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errdefs.Internal.Wrap(err, "create request for %s", url)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errdefs.Internal.Wrap(err, "call %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// printStatus prints the output of the status command.
func (d *run) printStatus(ctx context.Context) error {
	out, err := d.runCommand(ctx, "status")
	d.printf("%s", out)
	return err
}

// printTraffic prints the bytes of control traffic by link class and the number
// of store calls.
func (d *run) printTraffic(ctx context.Context) error {
	sums := make(map[string]float64)
	for _, in := range d.fleet.Instances {
		if err := addTraffic(ctx, "http://"+in.AdminAddr()+"/metrics", sums); err != nil {
			return err
		}
	}
	for _, link := range []string{"same-domain", "same-region", "cross-region"} {
		d.printf("control bytes %-12s %8.0f\n", link, sums[link])
	}
	resp, err := http.Get("http://" + d.fleet.ControlAddr() + "/counts")
	if err != nil {
		return errdefs.Internal.Wrap(err, "read call counts of the store")
	}
	defer func() { _ = resp.Body.Close() }()
	var counts map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return errdefs.Internal.Wrap(err, "read call counts of the store")
	}
	d.printf("store calls %v\n", counts)
	return nil
}

// addTraffic reads a node's metrics and adds the bytes of control traffic that
// it sent to sums, by link class.
func addTraffic(ctx context.Context, url string, sums map[string]float64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errdefs.Internal.Wrap(err, "create request for %s", url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errdefs.Internal.Wrap(err, "read metrics from %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errdefs.Internal.Wrap(err, "read metrics from %s", url)
	}
	for line := range strings.Lines(string(body)) {
		var link string
		var bytes float64
		if _, err := fmt.Sscanf(line, "siskingw_control_sent_bytes{link=%q} %g", &link, &bytes); err == nil {
			sums[link] += bytes
		}
	}
	return nil
}

// printLogTails prints the end of each node's log.
func (d *run) printLogTails() {
	const tailBytes = 1500
	for _, in := range d.fleet.Instances {
		b, err := os.ReadFile(filepath.Join(d.dir, in.Name+".log"))
		if err == nil {
			d.printf("--- log of %s\n%s\n", in.Name, b[max(0, len(b)-tailBytes):])
		}
	}
}
