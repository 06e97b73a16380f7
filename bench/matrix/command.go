package matrix

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"siskingw/errdefs"
)

// Paths relative to the module root.
const (
	CellsFile = "bench/matrix/cells.json"
	PageFile  = "docs/fault-matrix.md"
)

// Command is the matrix subcommand of meshbench.
type Command struct {
	root  string
	write bool
}

// Name implements subcommands.Command.
func (*Command) Name() string { return "matrix" }

// Synopsis implements subcommands.Command.
func (*Command) Synopsis() string { return "print the fault matrix or write its page" }

// Usage implements subcommands.Command.
func (*Command) Usage() string { return "matrix [-root .] [-write]\n" }

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.root, "root", ".", "root directory of the module")
	f.BoolVar(&c.write, "write", false, "write "+PageFile+" instead of printing it")
}

// Execute prints the matrix or writes its page.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Command) run() error {
	page, err := Page(c.root)
	if err != nil {
		return err
	}
	if !c.write {
		fmt.Print(page)
		return nil
	}
	const mode = 0o644
	if err := os.WriteFile(filepath.Join(c.root, PageFile), []byte(page), mode); err != nil {
		return errdefs.Invalid.Wrap(err, "matrix page")
	}
	return nil
}

// Page returns the matrix of the module at root as Markdown.
func Page(root string) (string, error) {
	t, err := Load(filepath.Join(root, CellsFile))
	if err != nil {
		return "", err
	}
	steps, err := Steps(root)
	if err != nil {
		return "", err
	}
	return t.Render(steps), nil
}
