package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// Command is the subcommand that runs the soak.
type Command struct {
	seed      uint64
	seeds     int
	instances int
	parallel  int
	length    time.Duration
	dir       string
	planned   bool
	verbose   bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "inject faults into real nodes and check what callers and targets see"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return `soak [-seed N] [-seeds N] [-instances N] [-length TIME] [-planned] [-dir DIR]
Each seed runs a fleet of its own with a schedule of faults of its own; every
third seed injects only planned work. Settings and logs of a seed whose run broke
a promise are kept below -dir. The binary siskingw must be in the directory of
this one.
`
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", uint64(time.Now().Unix()), "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds")
	f.IntVar(&c.instances, "instances", 6, "instances of each fleet")
	f.IntVar(&c.parallel, "parallel", 1, "fleets at the same time")
	f.DurationVar(&c.length, "length", 12*time.Second, "time in which faults are injected")
	f.StringVar(&c.dir, "dir", os.TempDir(), "directory for settings and logs")
	f.BoolVar(&c.planned, "planned", false, "only planned work, with every seed")
	f.BoolVar(&c.verbose, "v", false, "print each fault")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	broken, err := c.run(os.Stdout)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitStatus(errdefs.ExitCode(err))
	}
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

const (
	// plannedEvery is the distance of the seeds that inject only planned work.
	plannedEvery = 3
	firstBase    = 2
	bases        = 90
)

// run runs every seed and returns how many broke a promise.
func (c *Command) run(out io.Writer) (int, error) {
	self, err := os.Executable()
	if err != nil {
		return 0, errdefs.Internal.Wrap(err, "own path")
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	broken := 0
	slots := make(chan int, c.parallel)
	for i := range c.parallel {
		slots <- firstBase + (os.Getpid()*c.parallel+i)%bases
	}
	for i := range c.seeds {
		seed, base := c.seed+uint64(i), <-slots
		wg.Go(func() {
			defer func() { slots <- base }()
			dir := filepath.Join(c.dir, "soak-"+strconv.FormatUint(seed, 10))
			if err := os.MkdirAll(dir, 0o700); err != nil {
				mu.Lock()
				failed = errdefs.Internal.Wrap(err, "directory")
				mu.Unlock()
				return
			}
			began := time.Now()
			log := func(format string, args ...any) {
				if c.verbose {
					mu.Lock()
					defer mu.Unlock()
					_, _ = fmt.Fprintf(out, "%d %7.3f %s\n", seed, time.Since(began).Seconds(), fmt.Sprintf(format, args...))
				}
			}
			r, err := Run(Options{
				Seed: seed, Instances: c.instances, Length: c.length, BinDir: filepath.Dir(self), WorkDir: dir, Base: base,
				Planned: c.planned || seed%plannedEvery == 0, Log: log,
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			report(out, seed, r)
			if len(r.Violations) > 0 {
				broken++
				return
			}
			_ = os.RemoveAll(dir) // nothing to look at
		})
	}
	wg.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds, %d broke a promise\n", c.seeds, broken)
	return broken, failed
}

// maxListed bounds the violations that are printed for a seed.
const maxListed = 8

func report(out io.Writer, seed uint64, r Result) {
	injected := 0
	for _, n := range r.Faults {
		injected += n
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d calls: %d answered, %d refused, %d without answer; %d arrivals, %d store calls; %d violations\n",
		seed, injected, r.Calls, r.Answered, r.Refused, r.Lost, r.Arrivals, r.StoreCalls, len(r.Violations))
	slices.SortFunc(r.Violations, func(a, b Violation) int {
		if a.Promise < b.Promise {
			return -1
		}
		return 1
	})
	for i, v := range r.Violations {
		if i == maxListed {
			_, _ = fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-maxListed)
			break
		}
		_, _ = fmt.Fprintf(out, "  %s: %s\n", v.Promise, v.Detail)
	}
}
