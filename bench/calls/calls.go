// Package calls measures the overhead of the proxy: the latency that it adds at a
// fixed rate, the throughput by calls in flight, and the CPU time and memory
// allocations of each call.
package calls

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// Command is the calls subcommand of meshbench. It starts the target, the two
// nodes, the same handlers behind the server of net/http, and the baseline as
// separate processes, and measures all paths in one run.
type Command struct {
	rate        float64
	duration    time.Duration
	warmup      time.Duration
	step        time.Duration
	roundLength time.Duration
	procs       int
	profiles    string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "calls" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure the overhead of the proxy per call" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "calls [-rate N] [-duration D] [-step D] [-profiles DIR]\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.Float64Var(&c.rate, "rate", 190, "calls/s on each path in the open-loop measurement")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "length of the open-loop measurement")
	f.DurationVar(&c.warmup, "warmup", 3*time.Second, "length of the open-loop warm-up")
	f.DurationVar(&c.step, "step", 2*time.Second, "length of each step of the closed-loop measurement, 0 to skip it")
	f.DurationVar(&c.roundLength, "round", 5*time.Second, "length of a round, over which quantiles are compared")
	f.IntVar(&c.procs, "procs", 0, "GOMAXPROCS of the nodes and of the baseline, 0 for the default")
	f.StringVar(&c.profiles, "profiles", "", "directory for CPU and allocation profiles of the nodes")
}

// Execute runs the measurement and writes a report to standard output.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// process is a child process that runs a Role.
type process struct {
	role, addr, statsAddr string // statsAddr is that of the statistics server
	cmd                   *exec.Cmd
	stdin                 io.Closer
}

// startProcess starts a child process and waits until it prints its addresses.
// procs is its GOMAXPROCS, 0 for the default; it does not apply to the target.
func startProcess(ctx context.Context, role, next string, procs int) (*process, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "find own executable")
	}
	p := &process{role: role, cmd: exec.CommandContext(ctx, exe, "calls-role", "-role", role, "-next", next)}
	p.cmd.Stderr = os.Stderr
	if procs > 0 && role != roleTarget {
		p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", procs))
	}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, errdefs.Internal.Wrap(err, "open standard input of %s", role)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "open standard output of %s", role)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, errdefs.Internal.Wrap(err, "start %s", role)
	}
	line, _ := bufio.NewReader(out).ReadString('\n')
	if n, _ := fmt.Sscan(line, &p.addr, &p.statsAddr); n != 2 {
		p.stop()
		return nil, errdefs.Internal.New("%s printed no addresses", role)
	}
	return p, nil
}

// stop makes the child exit by closing its standard input, and waits for it.
func (p *process) stop() {
	p.stdin.Close()
	_ = p.cmd.Wait() // the exit status is not relevant
}

// getStats requests a path with query from the child's statistics server.
func (p *process) getStats(query string) ([]byte, error) {
	resp, err := http.Get("http://" + p.statsAddr + query)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "request statistics of %s", p.role)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "read statistics of %s", p.role)
	}
	return b, nil
}

func (p *process) readStats() (s processStats, err error) {
	b, err := p.getStats("/")
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, errdefs.Internal.Wrap(err, "decode statistics of %s", p.role)
	}
	return s, nil
}

func (c *Command) run(ctx context.Context) error {
	var procs []*process
	defer func() {
		for _, p := range procs {
			p.stop()
		}
	}()
	addrs := make(map[string]string)
	for _, r := range [][2]string{
		{roleTarget, ""}, {roleInbound, roleTarget}, {roleOutbound, roleInbound},
		{roleNetHTTPInbound, roleTarget}, {roleNetHTTPOutbound, roleNetHTTPInbound},
		{roleBaselineInbound, roleTarget}, {roleBaselineOutbound, roleBaselineInbound},
	} {
		p, err := startProcess(ctx, r[0], addrs[r[1]], c.procs)
		if err != nil {
			return err
		}
		procs = append(procs, p)
		addrs[p.role] = p.addr
	}
	paths := []*path{
		newPath("direct", addrs[roleTarget]),
		newPath("nodes", addrs[roleOutbound]),
		newPath("nethttp", addrs[roleNetHTTPOutbound]),
		newPath("baseline", addrs[roleBaselineOutbound]),
	}
	openLoop(paths, c.rate, c.warmup)
	for _, p := range paths {
		p.reset()
	}
	if err := c.measureLatency(paths, procs[1:]); err != nil {
		return err
	}
	if c.step <= 0 {
		return nil
	}
	c.measureThroughput(paths)
	return nil
}

// measureLatency runs the open-loop measurement and prints the latency quantiles
// of each path and the resources that each node used per call.
func (c *Command) measureLatency(paths []*path, nodes []*process) error {
	before, err := readAllStats(nodes)
	if err != nil {
		return err
	}
	waitProfiles := func() {}
	if c.profiles != "" {
		waitProfiles = c.startProfiles(nodes[:2])
	}
	n, rounds := 0, newRounds(paths)
	for left := c.duration; left > 0; left -= c.roundLength {
		n += openLoop(paths, c.rate, min(left, c.roundLength))
		rounds.endRound()
	}
	waitProfiles()
	after, err := readAllStats(nodes)
	if err != nil {
		return err
	}
	fmt.Printf("open loop: %d calls on each path at %g/s for %v, processes: caller, target, 2 nodes, 2 nodes behind net/http, 2 baseline hops\n", n, c.rate, c.duration)
	fmt.Printf("%-10s %9s %9s %9s %9s %9s %9s %7s\n", "ms", "p50", "p99", "p99.9", "+p50", "+p99", "+p99.9", "errors")
	for _, p := range paths {
		fmt.Printf("%-10s", p.name)
		for _, q := range percentiles {
			fmt.Printf(" %9.3f", latencyMs(p, q))
		}
		for _, q := range percentiles {
			fmt.Printf(" %9.3f", latencyMs(p, q)-latencyMs(paths[0], q))
		}
		fmt.Printf(" %7d\n", p.errors.Load())
		if err := p.firstError.Load(); err != nil {
			fmt.Printf("first error on %s: %v\n", p.name, *err)
		}
	}
	rounds.print()
	for i, p := range nodes {
		calls := uint64(n)
		fmt.Printf("%-18s %4d allocations, %6d bytes, %6.1f µs CPU for each call\n", p.role,
			(after[i].Mallocs-before[i].Mallocs)/calls, (after[i].Bytes-before[i].Bytes)/calls,
			float64((after[i].CPU-before[i].CPU).Microseconds())/float64(n))
	}
	return nil
}

// latencyMs returns a percentile, 0 to 100, of a path's latency in ms.
func latencyMs(p *path, q float64) float64 { return float64(p.latency.ValueAtQuantile(q)) / 1e6 }

func readAllStats(nodes []*process) ([]processStats, error) {
	stats := make([]processStats, len(nodes))
	for i, p := range nodes {
		var err error
		if stats[i], err = p.readStats(); err != nil {
			return nil, err
		}
	}
	return stats, nil
}

// measureThroughput runs the closed-loop measurement: it prints throughput and
// latency of each path as the number of calls in flight grows, which shows where
// the throughput saturates.
func (c *Command) measureThroughput(paths []*path) {
	steps := []int{1, 2, 4, 8, 16, 32, 64}
	fmt.Printf("closed loop: %v for each step\n%-10s", c.step, "in flight")
	for _, p := range paths {
		fmt.Printf(" %10s/s %9s", p.name, "p99 ms")
	}
	fmt.Println()
	for _, n := range steps {
		fmt.Printf("%-10d", n)
		for _, p := range paths {
			p.reset()
			rate := closedLoop(p, n, c.step)
			fmt.Printf(" %12.0f %9.3f", rate, latencyMs(p, 99))
		}
		fmt.Println()
	}
}

// startProfiles starts a CPU profile of each node for the length of the open-loop
// measurement, followed by an allocation profile, and returns a function that
// waits until the files are written.
func (c *Command) startProfiles(nodes []*process) (wait func()) {
	var wg sync.WaitGroup
	for _, p := range nodes {
		wg.Go(func() {
			seconds := max(int(c.duration/time.Second), 1)
			for _, f := range [][2]string{{"cpu", fmt.Sprintf("/?profile=%d", seconds)}, {"allocs", "/allocs"}} {
				b, err := p.getStats(f[1])
				if err == nil {
					err = os.WriteFile(filepath.Join(c.profiles, strings.Join([]string{p.role, f[0], "prof"}, ".")), b, 0o644)
				}
				if err != nil {
					fmt.Fprintln(os.Stderr, err)
				}
			}
		})
	}
	return wg.Wait
}
