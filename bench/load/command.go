package load

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"
)

// Command is the load subcommand of meshbench.
type Command struct {
	out        io.Writer
	experiment string
	duration   time.Duration
	callers    int    // calling nodes in the balancing and overflow runs
	caseFilter string // balancing runs to include: part of the text "case, policy"
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "measure gate queues, balancing and retries under load" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "load -experiment gates|balance|overflow|proxies|retries|even|rollout [-duration 10s] [-callers 20] [-only text]\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.experiment, "experiment", "gates", "gates, balance, overflow, proxies, retries, even or rollout")
	f.IntVar(&c.callers, "callers", defaultCallers, "number of calling nodes in the balancing and overflow runs")
	f.StringVar(&c.caseFilter, "only", "", "run only the balancing, even and rollout cases whose name contains this text")
	f.DurationVar(&c.duration, "duration", 10*time.Second, "length of each run")
}

// Execute runs the experiment and writes Markdown tables to standard output.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.out = os.Stdout
	experiments := map[string]func(context.Context) error{
		"gates":    c.gates,
		"balance":  c.balancing,
		"overflow": c.overflow,
		"proxies":  c.proxies,
		"retries":  c.retries,
		"even":     c.even,
		"rollout":  c.rollout,
	}
	run, ok := experiments[c.experiment]
	if !ok {
		fmt.Fprintf(os.Stderr, "experiment %q does not exist\n", c.experiment)
		return subcommands.ExitUsageError
	}
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
