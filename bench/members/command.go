package members

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// maxNodes is the largest fleet size that one process runs.
const maxNodes = 400

// Command is the members subcommand of meshbench.
type Command struct {
	sizes  string
	window time.Duration
	status bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "members" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure membership and status" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "members [-nodes 25,50] [-window 20s] [-status=false]\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.sizes, "nodes", "25,50,100,200", "fleet sizes, separated by commas")
	f.DurationVar(&c.window, "window", 20*time.Second, "length of each measurement")
	f.BoolVar(&c.status, "status", true, "run status reports as well")
}

// Execute measures each fleet size and writes a Markdown table.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	fmt.Println("| nodes | out B/s mean | out B/s max | in B/s max | cross-region B/s, fleet | refuted | % of a core | memory MB | goroutines | replacement B | dead after s | joined after s | restart: survivor B | restarted B | busiest survivor B | complete s | equal s |")
	fmt.Println("|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for size := range strings.SplitSeq(c.sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < domainCount || n > maxNodes {
			fmt.Fprintf(os.Stderr, "invalid number of nodes %q: want %d to %d\n", size, domainCount, maxNodes)
			return subcommands.ExitUsageError
		}
		r, err := Run(ctx, n, c.window, c.status)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		fmt.Printf("| %d | %.0f | %.0f | %.0f | %.0f | %d | %.2f | %.1f | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f | %.1f | %.1f |\n",
			r.Nodes, r.SentMean, r.SentMax, r.ReceivedMax, r.CrossRegion, r.Refutations, r.CPUPercent, r.HeapBytes/(1<<20), r.Goroutines,
			r.ReplaceBytes, r.DeadAfter.Seconds(), r.JoinedAfter.Seconds(),
			r.RestartSurvivorBytes, r.RestartedNodeBytes, r.BusiestSurvivorBytes, r.RestartCompleteAfter.Seconds(), r.RestartEqualAfter.Seconds())
	}
	return subcommands.ExitSuccess
}
