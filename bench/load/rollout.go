package load

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"siskingw/bench/rollouts"
)

// rolloutSeeds is the number of runs of each case of the verdict's error rates, and
// rolloutCalls the calls a second of an instance.
const (
	rolloutSeeds = 60
	rolloutCalls = 17.4
)

// rolloutBase is a service of 72 instances, 57 of them beside its targets.
var rolloutBase = rollouts.Config{Instances: 72, Targets: 57, CallsPerS: 72 * rolloutCalls,
	Duration: 15 * time.Second, News: 300 * time.Millisecond}

// rolloutSizes are the fleets by the number of instances. Four of five instances
// have a target of the service, 2,000 at most.
var rolloutSizes = []struct{ instances, seeds int }{{14, 100}, {63, 100}, {300, 30}, {1000, 10}, {20_000, 3}}

// rolloutOutcome is what the runs of one case have in common.
type rolloutOutcome struct {
	runs, completed, late int // late: used for over 5 s after the 50th bad answer
	verdicts              []time.Duration
	bad, failed           int
	excess, share         float64 // highest
}

// runRollouts runs a case with seeds from 1.
func (c *Command) runRollouts(ctx context.Context, cfg rollouts.Config, seeds int) (rolloutOutcome, error) {
	const leave = 5 * time.Second
	results := make([]rollouts.Result, seeds)
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/3)) // the machine has other work
	var wg sync.WaitGroup
	for i := range results {
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			run := cfg
			run.Seed = uint64(i + 1)
			results[i] = rollouts.Run(run)
		})
	}
	wg.Wait()
	o := rolloutOutcome{runs: seeds}
	for _, r := range results {
		if r.Completed {
			o.completed++
		}
		if r.AfterFifty > leave {
			o.late++
		}
		o.verdicts = append(o.verdicts, r.Verdict)
		o.bad += r.Bad
		o.failed += r.Failed
		o.excess = max(o.excess, r.Excess)
		o.share = max(o.share, float64(r.Tried)/float64(max(r.Calls, 1)))
	}
	slices.Sort(o.verdicts)
	return o, ctx.Err()
}

func (o rolloutOutcome) completedCell() string {
	return fmt.Sprintf("%.1f", 100*float64(o.completed)/float64(o.runs))
}

func (o rolloutOutcome) verdictCell() string {
	return fmt.Sprintf("%.1f (%.1f)", o.verdicts[o.runs/2].Seconds(), o.verdicts[o.runs-1].Seconds())
}

// rolloutVersions are the versions of the table of error rates.
var rolloutVersions = []struct {
	name  string
	fault rollouts.Fault
}{
	{"good", rollouts.Fault{}},
	{"5% fail", rollouts.Fault{Failing: 0.05}},
	{"10% fail", rollouts.Fault{Failing: 0.1}},
	{"15% fail", rollouts.Fault{Failing: 0.15}},
	{"20% fail", rollouts.Fault{Failing: 0.2}},
	{"30% fail", rollouts.Fault{Failing: 0.3}},
	{"40% fail", rollouts.Fault{Failing: 0.4}},
	{"50% fail", rollouts.Fault{Failing: 0.5}},
	{"all 2 times slower", rollouts.Fault{Slowing: 1, Factor: 2}},
	{"all 3 times slower", rollouts.Fault{Slowing: 1, Factor: 3}},
	{"all 4 times slower", rollouts.Fault{Slowing: 1, Factor: 4}},
	{"all 5 times slower", rollouts.Fault{Slowing: 1, Factor: 5}},
	{"half 3 times slower", rollouts.Fault{Slowing: 0.5, Factor: 3}},
	{"half 4 times slower", rollouts.Fault{Slowing: 0.5, Factor: 4}},
	{"half 5 times slower", rollouts.Fault{Slowing: 0.5, Factor: 5}},
}

// rolloutSituations are the situations in which each version is judged.
var rolloutSituations = []struct {
	name  string
	setup func(*rollouts.Config)
}{
	{"at once", func(*rollouts.Config) {}},
	{"after 5 s", func(c *rollouts.Config) { c.From = 5 * time.Second }},
	{"one route", func(c *rollouts.Config) { c.OneRoute = true }},
	{"a fifth of the targets fails", func(c *rollouts.Config) {
		c.TroubleShare, c.Trouble = 0.2, rollouts.Fault{Failing: 1}
	}},
	{"a fifth fails at times", func(c *rollouts.Config) {
		c.TroubleShare, c.Trouble = 0.2, rollouts.Fault{Failing: 0.4}
	}},
	{"a fifth of the targets is 8 times slower", func(c *rollouts.Config) {
		c.TroubleShare, c.Trouble = 0.2, rollouts.Fault{Slowing: 1, Factor: 8}
	}},
}

// rollout runs the model of roll-outs: the error rates of the verdict, and exposure,
// time to the verdict and errors by the size of the fleet.
func (c *Command) rollout(ctx context.Context) error {
	t := newTable(c.out, fmt.Sprintf("Roll-outs by model: %d instances, %d targets of each version, %.0f calls a second, %v, %d seeds each",
		rolloutBase.Instances, rolloutBase.Targets, rolloutBase.CallsPerS, rolloutBase.Duration, rolloutSeeds),
		"version", "situation", "completed %", "time to verdict s, median (highest)", "bad answers, mean",
		"used 5 s after the 50th bad answer %", "most calls beyond the share")
	for _, v := range rolloutVersions {
		for _, s := range rolloutSituations {
			if !strings.Contains(v.name+", "+s.name, c.caseFilter) {
				continue
			}
			cfg := rolloutBase
			cfg.Version = v.fault
			s.setup(&cfg)
			o, err := c.runRollouts(ctx, cfg, rolloutSeeds)
			if err != nil {
				return err
			}
			t.row(v.name, s.name, o.completedCell(), o.verdictCell(), o.bad/o.runs,
				100*float64(o.late)/float64(o.runs), o.excess)
		}
	}
	return c.rolloutBySize(ctx)
}

// rolloutBySize runs a good and a bad version in each fleet and plots the times to
// the verdicts.
func (c *Command) rolloutBySize(ctx context.Context) error {
	const bad = "30% fail"
	versions := map[string]rollouts.Fault{"good": {}, bad: {Failing: 0.3}}
	t := newTable(c.out, "Roll-outs by size of the fleet",
		"instances", "targets of each version", "calls a second", "seeds", "version", "completed %",
		"highest share of the calls until the verdict %", "most calls beyond the share", "time to verdict s, median (highest)",
		"failures by the version, mean", "used 5 s after the 50th bad answer %")
	var names, times []string
	for _, size := range rolloutSizes {
		for _, name := range []string{"good", bad} {
			cfg := rolloutBase
			cfg.Instances, cfg.Targets = size.instances, min(size.instances*4/5, 2000)
			cfg.CallsPerS, cfg.Version = rolloutCalls*float64(size.instances), versions[name]
			if !strings.Contains(fmt.Sprint(size.instances, ", ", name), c.caseFilter) {
				continue
			}
			o, err := c.runRollouts(ctx, cfg, size.seeds)
			if err != nil {
				return err
			}
			t.row(size.instances, cfg.Targets, cfg.CallsPerS, size.seeds, name, o.completedCell(), 100*o.share, o.excess,
				o.verdictCell(), o.failed/o.runs, 100*float64(o.late)/float64(o.runs))
			if name == bad {
				names = append(names, fmt.Sprint(size.instances))
				times = append(times, fmt.Sprintf("%.1f", o.verdicts[o.runs/2].Seconds()))
			}
		}
	}
	fmt.Fprintf(c.out, "\n```mermaid\nxychart-beta\n  title \"Time to leave a version of which %s\"\n  x-axis \"instances\" [%s]\n  y-axis \"s, median\" 0 --> 5\n  bar [%s]\n```\n",
		bad, strings.Join(names, ", "), strings.Join(times, ", "))
	return nil
}
