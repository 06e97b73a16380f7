package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"siskingw/errdefs"
	"siskingw/explain"
)

// explainCommand implements "explain", which derives from logs why calls failed.
type explainCommand struct {
	call, from, to string
	query          explain.Query
	stdin          io.Reader // os.Stdin if nil
}

func (*explainCommand) name() string     { return "explain" }
func (*explainCommand) synopsis() string { return "tell from instances' logs why a call failed" }
func (*explainCommand) usage() string {
	return `[-call ID | -from TIME -to TIME -route NAME -cause CAUSE] [FILE ...]

Reads the logs of any number of instances, or standard input, and asks no node.
With -call it prints what each instance decided about the call, what they had
come to believe in the 10 s before, and the likely cause. Otherwise it counts
the calls that did not simply succeed by route and cause, with the ids of some.
Lines that are no log lines are counted and passed over.`
}

func (c *explainCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.call, "call", "", "id of the call")
	f.StringVar(&c.from, "from", "", "only calls that ended at this time or later (RFC 3339)")
	f.StringVar(&c.to, "to", "", "only calls that ended before this time (RFC 3339)")
	f.StringVar(&c.query.Route, "route", "", "only calls of this route")
	f.StringVar(&c.query.Cause, "cause", "", "only calls with this cause")
}

func (c *explainCommand) run(_ context.Context, e *env, args []string) error {
	for _, t := range []struct {
		flag, text string
		to         *time.Time
	}{{"from", c.from, &c.query.From}, {"to", c.to, &c.query.To}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, t.text)
		if err != nil {
			return usageError("-%s %q is not a time such as 2026-01-02T15:04:05Z", t.flag, t.text)
		}
		*t.to = at
	}
	log, err := c.read(args)
	if err != nil {
		return err
	}
	if c.call == "" {
		groups := log.Groups(c.query)
		if err := e.print(map[string]any{"groups": groups, "badLines": log.Bad, "skippedLines": log.Skipped}, explain.GroupRows(groups)); err != nil {
			return err
		}
		c.printLineCounts(e, log)
		return nil
	}
	call := log.Call(c.call)
	if err := e.print(call, call.Rows()); err != nil {
		return err
	}
	if e.format != "json" {
		fmt.Fprintf(e.out, "\n%s\n", call.Cause)
	}
	c.printLineCounts(e, log)
	if len(call.Lines) == 0 {
		return errdefs.NotFound.New("no line names call %q", c.call)
	}
	return nil
}

// read reads the log files, or standard input if there are none. It returns an
// Invalid error if one cannot be read.
func (c *explainCommand) read(files []string) (*explain.Log, error) {
	log := new(explain.Log)
	if len(files) == 0 {
		in := c.stdin
		if in == nil {
			in = os.Stdin
		}
		return log, log.Read(in)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errdefs.Invalid.Wrap(err, "log cannot be opened")
		}
		err = log.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
	}
	return log, nil
}

// printLineCounts prints how many lines were not parsed or are missing in the logs.
func (*explainCommand) printLineCounts(e *env, log *explain.Log) {
	if log.Bad > 0 || log.Skipped > 0 {
		fmt.Fprintf(e.err, "%d lines are no log lines; the instances left out %d lines\n", log.Bad, log.Skipped)
	}
}
