package demo

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// Command is the demo subcommand of meshbench.
type Command struct{ perDomain int }

// Name implements subcommands.Command.
func (*Command) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "run a small fleet of processes and send calls" }

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "demo [-per-domain N]\nThe directory of this binary must hold the other ones too.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.perDomain, "per-domain", 2, "instances in each of the 6 failure domains")
}

// Execute runs the demo and writes its output to standard output.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	self, err := os.Executable()
	if err == nil {
		err = Run(ctx, Options{BinDir: filepath.Dir(self), PerDomain: c.perDomain, Out: os.Stdout})
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitStatus(errdefs.ExitCode(err))
	}
	return subcommands.ExitSuccess
}
