package mutants

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// Paths relative to the module root.
const (
	listPath = "bench/mutants/mutants.json"
	pagePath = "docs/mutants.md"
)

// Command is the mutants subcommand of meshbench.
type Command struct {
	root  string
	write bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "mutants" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string {
	return "apply each mutant in turn and check that its tests fail"
}

// Usage implements subcommands.Command.
func (*Command) Usage() string {
	return "mutants [-root DIR] [-write]\nExits with status 1 if a mutant survives.\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.root, "root", ".", "root directory of the module")
	f.BoolVar(&c.write, "write", false, "write "+pagePath)
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	results, err := c.run(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitStatus(errdefs.ExitCode(err))
	}
	page := render(results)
	fmt.Print(page)
	if c.write {
		if err := os.WriteFile(filepath.Join(c.root, pagePath), []byte(page), 0o644); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	for _, r := range results {
		if !r.Killed {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

// run tests the mutants one at a time.
func (c *Command) run(ctx context.Context) ([]Result, error) {
	list, err := Load(filepath.Join(c.root, listPath))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "siskingw-mutants-")
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "working directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var results []Result
	for _, m := range list {
		r, err := m.Test(ctx, c.root, dir)
		if err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintf(os.Stderr, "%-8s %s\n", verdict(r), m.Name)
		results = append(results, r)
	}
	return results, nil
}

func verdict(r Result) string {
	if r.Killed {
		return "killed"
	}
	return "SURVIVED"
}

// render returns the results as Markdown.
func render(results []Result) string {
	killed := 0
	for _, r := range results {
		if r.Killed {
			killed++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "# Mutants\n\nEach mutant removes one mechanism; the named tests must fail. Written by `meshbench mutants -write` (`make mutants`).\n\n")
	fmt.Fprintf(&b, "%d of %d mutants are killed.\n\n| mechanism removed | protects | file | tests | result |\n|---|---|---|---|---|\n", killed, len(results))
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | `%s` in %s | %s |\n", r.Name, r.Invariant, r.File, strings.ReplaceAll(r.Run, "|", "\\|"), r.Package, verdict(r))
	}
	return b.String()
}
