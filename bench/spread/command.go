package spread

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// memoryLimitBytes limits the Go heap of large runs, whose garbage would otherwise
// approach the memory of the machine.
const memoryLimitBytes = 2 << 30

// Command is the meshbench subcommand that compares distribution strategies.
type Command struct {
	nodes, services, only string
	objects, changes      int
	every, idle           time.Duration
	kill                  float64
	herd, silent          bool
	outage                time.Duration
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "spread" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "compare configuration distribution strategies" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "spread [flags]:\n  Runs fleets of nodes over loopback connections with added latency and prints a Markdown table.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.nodes, "nodes", "25,50,100,200", "fleet sizes, separated by commas")
	f.StringVar(&c.services, "services", "10,200,2100",
		"numbers of services in the configuration, separated by commas")
	f.StringVar(&c.only, "only", "", "letters of the strategies to run; all when empty")
	f.IntVar(&c.objects, "objects", 1, "objects modified by each change")
	f.IntVar(&c.changes, "changes", 8, "measured changes in each run")
	f.DurationVar(&c.every, "every", 500*time.Millisecond, "interval between changes")
	f.DurationVar(&c.idle, "idle", 2*time.Second, "time without changes, measured before the changes")
	f.Float64Var(&c.kill, "kill", 0, "share of the nodes (0..1) killed at the first measured change")
	f.BoolVar(&c.silent, "silent", false, "killed nodes become unresponsive instead of closing their connections")
	f.BoolVar(&c.herd, "herd", false, "measure simultaneous restarts instead of the strategies")
	f.DurationVar(&c.outage, "outage", 30*time.Second, "duration of the store outage during the restart of all nodes")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	debug.SetMemoryLimit(memoryLimitBytes)
	nodes, err := parseInts(c.nodes)
	if err == nil {
		var services []int
		if services, err = parseInts(c.services); err == nil {
			err = c.run(ctx, nodes, services)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitStatus(errdefs.ExitCode(err))
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context, nodes, services []int) error {
	if c.herd {
		writeRestartHeader(os.Stdout)
		for _, s := range services {
			for _, n := range nodes {
				if err := MeasureRestarts(ctx, n, s, c.outage, func(r RestartResult) { r.write(os.Stdout) }); err != nil {
					return err
				}
			}
		}
		return nil
	}
	var plans []Plan
	for _, s := range services {
		for _, n := range nodes {
			plans = append(plans, Plan{Nodes: n, Services: s, Objects: min(c.objects, s), Changes: c.changes,
				ChangeInterval: c.every, IdleTime: c.idle, KillShare: c.kill, Silent: c.silent})
		}
	}
	writeResultHeader(os.Stdout)
	return Compare(ctx, plans, c.only, func(r Result) { r.write(os.Stdout) })
}

func parseInts(list string) ([]int, error) {
	var out []int
	for s := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || n < 1 {
			return nil, errdefs.Invalid.New("%q is not a comma-separated list of positive integers", list)
		}
		out = append(out, n)
	}
	return out, nil
}

func writeResultHeader(w io.Writer) {
	fmt.Fprintln(w, "| services | nodes | strategy | p50 ms | max ms | first ms | failed | delta B | domain B/change | region B/change | cross B/change | cross per region and delta | idle cross B/s | store calls/s | idle store calls/s | messages/node |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

func (r Result) write(w io.Writer) {
	p50, most := "-", "-"
	if len(r.Convergence) > 0 {
		slices.Sort(r.Convergence)
		p50, most = ms(r.Convergence[len(r.Convergence)/2]), ms(r.Convergence[len(r.Convergence)-1])
	}
	perRegion := r.BytesPerChange[2] / float64(regionCount-1) / float64(r.DeltaBytes)
	fmt.Fprintf(w, "| %d | %d | %s | %s | %s | %s | %d | %d | %.0f | %.0f | %.0f | %.2f | %.0f | %.1f | %.1f | %.1f |\n",
		r.Plan.Services, r.Plan.Nodes, r.Strategy, p50, most, ms(r.FirstConvergence), r.Failed, r.DeltaBytes,
		r.BytesPerChange[0], r.BytesPerChange[1], r.BytesPerChange[2], perRegion,
		r.IdleBytesPerSecond[2], r.StoreCallsPerSecond, r.IdleStoreCallsPerSecond, r.MessagesPerNode)
}

func writeRestartHeader(w io.Writer) {
	fmt.Fprintln(w, "| restart | services | nodes | restarted | last ready ms | peak transfers | snapshot B | domain B | region B | cross B | store calls |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
}

func (r RestartResult) write(w io.Writer) {
	fmt.Fprintf(w, "| %s | %d | %d | %d | %s | %d | %d | %d | %d | %d | %d |\n", r.Name, r.Services, r.Nodes, r.Restarted,
		ms(r.LastReady), r.PeakTransfers, r.SnapshotBytes, r.Bytes[0], r.Bytes[1], r.Bytes[2], r.StoreCalls)
}

func ms(d time.Duration) string { return strconv.FormatFloat(d.Seconds()*1000, 'f', 0, 64) }
