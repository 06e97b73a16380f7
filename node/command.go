package node

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"siskingw/errdefs"
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
SIGHUP reloads the settings file.
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
		return subcommands.ExitStatus(errdefs.ExitCode(err))
	}
	return subcommands.ExitSuccess
}

func (c *Command) run(ctx context.Context) error {
	s, err := settings.Load(c.config)
	if err != nil {
		return err
	}
	limitMemory(s)
	const pendingSignals = 2 // one for the graceful stop, one for the immediate stop
	stop := make(chan os.Signal, pendingSignals)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(stop)
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	telemetry.ExportLog(out)
	n, err := New(s, telemetry.NewLogger(out, s.Log.Verbosity))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go NewReloader(n, c.config).Run(ctx, hup)
	return n.Run(ctx, stop)
}

// memoryLimitPercent is the part of the instance's memory limit that the runtime
// may use before it collects garbage more often. The rest is for what the runtime
// does not count, such as received bytes that have not been read.
const memoryLimitPercent = 85

// garbagePercent is the garbage that the runtime lets accumulate, as a percentage of
// the memory in use, on instances whose memory is limited. An instance holds about
// 12 MB and allocates little, so that the default of 100 doubles its memory for a
// collection every three seconds.
const garbagePercent = 50

// limitMemory sets the runtime's memory limit from the settings. Without a stated
// limit it changes nothing.
func limitMemory(s *settings.Settings) {
	if s.Platform != nil && s.Platform.MemoryMB > 0 {
		debug.SetGCPercent(garbagePercent)
		debug.SetMemoryLimit(int64(s.Platform.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
}
