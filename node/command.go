package node

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"siskingw/faults"
	"siskingw/settings"
	"siskingw/telemetry"
)

// Command is the subcommand that runs a node.
type Command struct{ config string }

// Name implements subcommands.Command.
func (*Command) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run the node of this instance" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `node -config FILE
Run the node of this instance until SIGTERM or SIGINT. The first signal drains
the target and waits for calls in flight; a second one ends the process at once.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "node.json", "settings `file`")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "siskingw: %v\n", err)
		return subcommands.ExitStatus(faults.ExitCode(err))
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	s, err := settings.Load(c.config)
	if err != nil {
		return err
	}
	const pendingSignals = 2 // the graceful stop and the immediate one
	stop := make(chan os.Signal, pendingSignals)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(stop)
	n, err := New(s, telemetry.NewLogger(os.Stderr, s.Log.Verbosity))
	if err != nil {
		return err
	}
	return n.Run(ctx, stop)
}
