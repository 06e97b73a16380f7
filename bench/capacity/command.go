package capacity

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// Command is the meshbench subcommand that measures the resource usage of one
// node at the target fleet size.
type Command struct {
	opts Options
	role string
	env  string
	json string
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "capacity" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "measure the control-plane resource usage of one node at a fleet size"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "capacity [-services 2100] [-endpoints 20000] [-role leaf|parent|relay|rank0|head] [-accept|-read] [-idle 30s] [-busy 20s]\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.opts.BinDir, "bin", "bin", "`directory` of the binaries")
	f.IntVar(&c.opts.Services, "services", 2100, "number of services, each with an endpoint set and a route")
	f.IntVar(&c.opts.Endpoints, "endpoints", 20000, "number of fleet members, at least 45")
	f.StringVar(&c.role, "role", string(Leaf), "leaf, parent, relay, rank0 or head")
	f.BoolVar(&c.opts.Accept, "accept", false, "apply changes through the node's admin API, with a store stub")
	f.BoolVar(&c.opts.Read, "read", false, "publish changes to a store stub from which the node, a relay, reads them")
	f.DurationVar(&c.opts.Idle, "idle", 30*time.Second, "duration of the idle phase")
	f.DurationVar(&c.opts.Busy, "busy", 20*time.Second, "duration of each other phase")
	f.StringVar(&c.env, "env", "", "environment variables of the node, separated by commas")
	f.StringVar(&c.opts.KeepLog, "log", "", "`file` to which the node's log is copied")
	f.StringVar(&c.json, "json", "", "`file` to which the result is written as JSON")
}

// Execute implements subcommands.Command. It runs one measurement and prints a
// Markdown table.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.opts.Role = Role(c.role)
	if c.env != "" {
		c.opts.Env = strings.Split(c.env, ",")
	}
	if c.opts.Accept && c.opts.Read || c.opts.Read && c.opts.Role != RegionHead {
		fmt.Fprintln(os.Stderr, "-read requires -role head and excludes -accept")
		return subcommands.ExitUsageError
	}
	r, err := Run(ctx, c.opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	r.print()
	if c.json != "" {
		b, err := json.MarshalIndent(r, "", " ")
		if err == nil {
			err = os.WriteFile(c.json, b, 0o600)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// print writes a summary line and a Markdown table of the phases to standard
// output.
func (r *Result) print() {
	fmt.Printf("role %s at position %d, %d services, %d endpoints, accept %t: ready %.2f s, complete %.2f s, CPU until then %.2f s, received %.0f B, snapshot %d B",
		r.Role, r.Position, r.Services, r.Endpoints, r.Accept, r.Ready.Seconds(), r.Complete.Seconds(), r.LoadCPU.Seconds(), r.LoadGot, r.SnapshotBytes)
	if r.Accept {
		fmt.Printf(", %d store reads until then, whole configuration accepted in %.2f s", r.LoadStore.Reads, r.Apply.Seconds())
	}
	fmt.Println()
	fmt.Println("| phase | s | events | CPU % of a core | CPU ms/s | sent B/s domain/region/cross | received B/s | RSS MB | peak | anon | heap | heap sys | in force ms p50/max | calls by the node/s |")
	fmt.Println("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|---|")
	for _, p := range r.Phases {
		cpu := 100 * p.CPU.Seconds() / p.Seconds
		fmt.Printf("| %s | %.0f | %d | %.2f | %.1f | %s | %s | %.1f | %.1f | %.1f | %.1f | %.1f | %s | %s |\n",
			p.Name, p.Seconds, p.Events, cpu, 10*cpu, rates(p.Sent, p.Seconds), rates(p.Got, p.Seconds),
			p.Memory.RSS, p.Memory.Peak, p.Memory.Anonymous, p.Memory.Heap, p.Memory.HeapSys, latencies(p.Took), callRates(p))
	}
}

func rates(bytes map[string]float64, seconds float64) string {
	return fmt.Sprintf("%.0f/%.0f/%.0f", bytes["same-domain"]/seconds, bytes["same-region"]/seconds, bytes["cross-region"]/seconds)
}

func latencies(took []time.Duration) string {
	sorted := slices.Sorted(slices.Values(took))
	if len(sorted) == 0 || sorted[len(sorted)-1] == 0 {
		return ""
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f/%.1f", ms(sorted[len(sorted)/2]), ms(sorted[len(sorted)-1]))
}

func callRates(p phase) string {
	var out []string
	for k := range callKindCount {
		if n := p.Calls[k.String()]; n > 0 {
			out = append(out, fmt.Sprintf("%s %.2f", k, float64(n)/p.Seconds))
		}
	}
	if s := p.Store; s.Watching > 0 || s.Writes > 0 {
		out = append(out, fmt.Sprintf("store reads %.2f, writes %.2f, watches %d", float64(s.Reads)/p.Seconds, float64(s.Writes)/p.Seconds, s.Watching))
	}
	return strings.Join(out, ", ")
}
