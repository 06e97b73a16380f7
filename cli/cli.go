// Package cli implements the operators' commands: check, apply, get, delete,
// history, status, version, build, explain, rollout and where. Exit codes are those of package errdefs.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/joomcode/errorx"

	"siskingw/admin"
	"siskingw/errdefs"
	"siskingw/object"
)

// DefaultNode is the default address of the admin listener that commands query.
const DefaultNode = "127.0.0.1:15004"

// nodeVariable is the environment variable that overrides DefaultNode.
const nodeVariable = "SISKINGW_NODE"

const (
	defaultTimeout = 30 * time.Second
	// pollInterval is the time between two status requests of waitInForce.
	pollInterval = 200 * time.Millisecond
	groupName    = "operator commands"
)

// streams holds the output streams of the commands.
type streams struct {
	out, err io.Writer
	progress bool // err is a terminal
}

// Register adds the operators' commands to the commander.
func Register(c *subcommands.Commander) {
	register(c, streams{out: os.Stdout, err: os.Stderr, progress: isTerminal(os.Stderr)})
}

func register(c *subcommands.Commander, s streams) {
	for _, cmd := range []command{
		new(checkCommand), new(applyCommand), new(getCommand), new(deleteCommand),
		new(historyCommand), new(statusCommand), new(versionCommand), new(buildCommand), new(explainCommand), new(rolloutCommand), new(whereCommand),
	} {
		c.Register(&adapter{command: cmd, streams: s}, groupName)
	}
}

// isTerminal reports whether f is a character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// command is one operator command. The type of the error that run returns
// determines the exit code.
type command interface {
	name() string
	synopsis() string
	usage() string // arguments and description, without the flags
	flags(f *flag.FlagSet)
	run(ctx context.Context, e *env, args []string) error
}

// env is the environment of one run of a command: the client of the node, the
// output streams and the values of the common flags.
type env struct {
	streams
	client       *admin.Client
	format       string
	timeout      time.Duration
	progressOpen bool // the current progress line has not been ended
}

// adapter adapts a command to subcommands.Command and adds the common flags.
type adapter struct {
	command
	streams streams
	node    string
	format  string
	timeout time.Duration
}

func (a *adapter) Name() string     { return a.name() }
func (a *adapter) Synopsis() string { return a.synopsis() }
func (a *adapter) Usage() string {
	return "siskingw " + a.name() + " [flags] " + a.usage() + "\n\nFlags:\n"
}

func (a *adapter) SetFlags(f *flag.FlagSet) {
	node := DefaultNode
	if v := os.Getenv(nodeVariable); v != "" {
		node = v
	}
	f.StringVar(&a.node, "node", node, "address of any node's admin listener; the default can be set in "+nodeVariable)
	f.StringVar(&a.format, "o", "table", "output format: table or json")
	f.DurationVar(&a.timeout, "timeout", defaultTimeout, "give up after this time")
	a.flags(f)
}

func (a *adapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if a.format != "table" && a.format != "json" {
		fmt.Fprintf(a.streams.err, "siskingw %s: -o %q is neither table nor json\n", a.name(), a.format)
		return subcommands.ExitStatus(errdefs.ExitUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	e := &env{streams: a.streams, client: admin.NewClient(a.node), format: a.format, timeout: a.timeout}
	defer e.client.Close()
	err := a.run(ctx, e, f.Args())
	if _, ok := errorx.ExtractProperty(err, usageProperty); ok {
		fmt.Fprintf(a.streams.err, "siskingw %s: %s\n\n%s", a.name(), admin.ErrorOf(err).Message, a.Usage())
		f.SetOutput(a.streams.err)
		f.PrintDefaults()
		return subcommands.ExitStatus(errdefs.ExitUsage)
	}
	if err != nil {
		e.printError(a.name(), err)
	}
	return subcommands.ExitStatus(errdefs.ExitCode(err))
}

// usageProperty marks an Invalid error in the command line itself, for which the
// usage text is printed.
var usageProperty = errorx.RegisterProperty("usage")

// usageError returns an Invalid error about the arguments or flags of a command.
func usageError(format string, args ...any) error {
	return errdefs.Invalid.New(format, args...).WithProperty(usageProperty, true)
}

// printError writes err to the error stream, with one line for each fault or
// conflict, or as one JSON object with -o json.
func (e *env) printError(command string, err error) {
	body := admin.ErrorOf(err)
	if e.format == "json" {
		_ = json.NewEncoder(e.err).Encode(body)
		return
	}
	switch {
	case len(body.Faults) > 0:
		fmt.Fprintf(e.err, "siskingw %s: %d faults\n", command, len(body.Faults))
		for _, f := range body.Faults {
			fmt.Fprintf(e.err, "  %s\n", f)
		}
	case len(body.Conflicts) > 0:
		fmt.Fprintf(e.err, "siskingw %s: another operator was first; read the objects again\n", command)
		for _, c := range body.Conflicts {
			fmt.Fprintf(e.err, "  %s\n", c)
		}
	default:
		fmt.Fprintf(e.err, "siskingw %s: %s (%s)\n", command, body.Message, body.Type)
	}
}

// print writes v as JSON with -o json, and rows as an aligned table otherwise. Cells
// with unprintable characters are quoted.
func (e *env) print(v any, rows [][]string) error {
	if e.format == "json" {
		enc := json.NewEncoder(e.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return errdefs.Internal.Wrap(err, "output cannot be written")
		}
		return nil
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, object.QuoteUnprintable(cell))
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return errdefs.Internal.Wrap(err, "output cannot be written")
	}
	return nil
}

// progressLine replaces the progress line if the error stream is a terminal.
func (e *env) progressLine(format string, args ...any) {
	if !e.progress {
		return
	}
	const clearLine = "\r\x1b[K"
	e.progressOpen = true
	fmt.Fprintf(e.err, clearLine+format, args...)
}

// endProgress ends the progress line with a line break, if there is one.
func (e *env) endProgress() {
	if e.progressOpen {
		fmt.Fprintln(e.err)
	}
	e.progressOpen = false
}

// parseKind parses a kind, ignoring case. It returns a usage error for an unknown
// kind.
func parseKind(s string) (object.Kind, error) {
	for _, k := range object.Kinds {
		if strings.EqualFold(string(k), s) {
			return k, nil
		}
	}
	return "", usageError("%q is not a kind; want one of %v", s, object.Kinds)
}

// parseKey parses a key of the form kind/name. It returns a usage error for any
// other form.
func parseKey(s string) (object.Key, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok || name == "" {
		return object.Key{}, usageError("%q is not kind/name", s)
	}
	k, err := parseKind(kind)
	return object.Key{Kind: k, Name: name}, err
}
