package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/admin"
	"siskingw/buildinfo"
	"siskingw/errdefs"
	"siskingw/object"
)

// getCommand implements "get", which prints objects.
type getCommand struct{}

func (*getCommand) name() string          { return "get" }
func (*getCommand) synopsis() string      { return "read objects in force on the node" }
func (*getCommand) flags(f *flag.FlagSet) {}
func (*getCommand) usage() string {
	return `[KIND | KIND/NAME ...]

Without argument it lists every object. The JSON output can be edited and
given to apply, which then refuses objects that have changed since.`
}

func (*getCommand) run(ctx context.Context, e *env, args []string) error {
	objects, err := getObjects(ctx, e, args)
	if err != nil {
		return err
	}
	rows := [][]string{{"KIND", "NAME", "REVISION", "AUTHOR"}}
	for _, o := range objects {
		rows = append(rows, []string{string(o.Kind), o.Name, strconv.FormatUint(o.Revision, 10), o.Author})
	}
	return e.print(map[string][]*object.Object{"objects": objects}, rows)
}

// getObjects returns the objects that the arguments select: all, those of one
// kind, or those with the given keys.
func getObjects(ctx context.Context, e *env, args []string) ([]*object.Object, error) {
	if len(args) <= 1 && !strings.Contains(strings.Join(args, ""), "/") {
		var kind object.Kind
		var err error
		if len(args) == 1 {
			if kind, err = parseKind(args[0]); err != nil {
				return nil, err
			}
		}
		out, err := e.client.Objects(ctx, kind)
		return out.Objects, err
	}
	var objects []*object.Object
	for _, arg := range args {
		k, err := parseKey(arg)
		if err != nil {
			return nil, err
		}
		o, err := e.client.Object(ctx, k)
		if err != nil {
			return nil, err
		}
		objects = append(objects, o)
	}
	return objects, nil
}

// historyCommand implements "history", which lists the latest versions.
type historyCommand struct{ limit int }

func (*historyCommand) name() string     { return "history" }
func (*historyCommand) synopsis() string { return "list the latest versions and who made them" }
func (*historyCommand) usage() string    { return "" }
func (c *historyCommand) flags(f *flag.FlagSet) {
	f.IntVar(&c.limit, "n", 20, "number of versions; the store keeps at least 64")
}

func (c *historyCommand) run(ctx context.Context, e *env, _ []string) error {
	if c.limit < 1 {
		return usageError("-n must be at least 1")
	}
	out, err := e.client.History(ctx, c.limit)
	if err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "TIME", "AUTHOR", "CHANGE", "OPERATION"}}
	for _, v := range out.Entries {
		for _, o := range v.Operations {
			rows = append(rows, []string{strconv.FormatUint(v.Version, 10), o.Time.Format(time.RFC3339), o.Author, o.Summary, o.ID})
		}
	}
	return e.print(out, rows)
}

// versionCommand implements "version", which prints the version in force on the
// node, and the node's build.
type versionCommand struct{}

func (*versionCommand) name() string { return "version" }
func (*versionCommand) synopsis() string {
	return "show the version in force on the node, and its build"
}
func (*versionCommand) usage() string         { return "" }
func (*versionCommand) flags(f *flag.FlagSet) {}

func (*versionCommand) run(ctx context.Context, e *env, _ []string) error {
	v, err := e.client.Version(ctx)
	if err != nil {
		return err
	}
	return e.print(v, [][]string{{"VERSION", "DIGEST", "REVISION", "BUILD"},
		{strconv.FormatUint(v.Version, 10), v.Digest.String(), v.Build.Revision, v.Build.ID}})
}

// buildCommand implements "build", which prints the build of the program itself.
type buildCommand struct{}

func (*buildCommand) name() string     { return "build" }
func (*buildCommand) synopsis() string { return "show the build of this program" }
func (*buildCommand) usage() string {
	return `

No node is asked; "version" shows the build of a node.`
}
func (*buildCommand) flags(*flag.FlagSet) {}

func (*buildCommand) run(_ context.Context, e *env, _ []string) error {
	b := buildinfo.Get()
	return e.print(b, [][]string{{"REVISION", "BUILD", "GO", "PLATFORM"}, {b.Revision, b.ID, b.Go, b.Platform}})
}

// statusCommand implements "status", which shows in which failure domains a version
// is in force.
type statusCommand struct {
	version uint64
	wait    bool
}

func (*statusCommand) name() string     { return "status" }
func (*statusCommand) synopsis() string { return "show in which failure domains a version is in force" }
func (*statusCommand) usage() string {
	return `

A failure domain is "in force" when each of its members has confirmed the
version, "pending" while one has not, and "unreachable" while it cannot be
asked. With -wait the exit code is 6 when the version is not in force
everywhere within -timeout.`
}

func (c *statusCommand) flags(f *flag.FlagSet) {
	f.Uint64Var(&c.version, "version", 0, "version to ask for; 0 is the one in force on the node")
	f.BoolVar(&c.wait, "wait", false, "wait until the version is in force everywhere")
}

func (c *statusCommand) run(ctx context.Context, e *env, _ []string) error {
	st, err := e.client.Status(ctx)
	if err != nil {
		return err
	}
	version := c.version
	if version == 0 {
		version = st.Version
	}
	var waitErr error
	if c.wait {
		st, waitErr = e.waitInForce(ctx, version)
	}
	if err := e.print(st, statusRows(st, version)); err != nil {
		return err
	}
	if e.format != "json" {
		printUnavailable(e, st)
		printStoreEra(e, st)
	}
	return waitErr
}

// printUnavailable prints the routes that are unavailable, one in a line.
func printUnavailable(e *env, st admin.Status) {
	for _, r := range st.Unavailable {
		fmt.Fprintf(e.out, "route %s is unavailable in version %d: %s\n", object.QuoteUnprintable(r.Route), st.Version,
			object.QuoteUnprintable(r.Reason))
	}
	if more := st.UnavailableCount - len(st.Unavailable); more > 0 {
		fmt.Fprintf(e.out, "and %d more routes\n", more)
	}
}

// printStoreEra prints the era of the store, if the node knows one.
func printStoreEra(e *env, st admin.Status) {
	if st.StoreEra > 0 && st.StoreEraSince != nil {
		fmt.Fprintf(e.out, "the store is in era %d, read first at %s\n", st.StoreEra, st.StoreEraSince.Format(time.RFC3339))
	}
}

// statusRows returns the state of the version in each failure domain as rows of a
// table. The first row is the header.
func statusRows(st admin.Status, version uint64) [][]string {
	rows := [][]string{{"FAILURE DOMAIN", "REGION", "STATE", "IN FORCE", "CONFIRMED", "LAGGARDS"}}
	for _, d := range st.Domains {
		state := string(d.StateOf(version))
		if d.UnreachableSince != nil {
			state += " since " + d.UnreachableSince.Format(time.RFC3339)
		}
		rows = append(rows, []string{
			d.Name, d.Region, state, strconv.FormatUint(d.InForce, 10),
			fmt.Sprintf("%d of %d", d.Confirmed, d.Members), strings.Join(d.Laggards, " "),
		})
	}
	return rows
}

// waitInForce polls the status until the version is in force in every failure
// domain. It returns the last status received, and a Timeout error when ctx ends
// first. It goes on polling after retriable errors and lost responses.
func (e *env) waitInForce(ctx context.Context, version uint64) (admin.Status, error) {
	defer e.endProgress()
	started := time.Now()
	var last admin.Status
	for {
		st, err := e.client.Status(ctx)
		if err == nil {
			last = st
			e.showProgress(st, version, time.Since(started))
		}
		if err == nil && st.InForce(version) {
			return st, nil
		}
		if err != nil && ctx.Err() == nil && !errorx.HasTrait(err, errdefs.Retriable) && !errorx.IsOfType(err, errdefs.Timeout) {
			return last, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last, errdefs.Timeout.New("version %d is not in force everywhere after %s", version, e.timeout)
		}
	}
}

// showProgress shows the failure domains in which the version is not in force yet.
func (e *env) showProgress(st admin.Status, version uint64, waited time.Duration) {
	inForce := 0
	var notInForce []string
	for _, d := range st.Domains {
		if d.StateOf(version) == admin.StateInForce {
			inForce++
		} else {
			notInForce = append(notInForce,
				fmt.Sprintf("%s (%s, %d of %d)", d.Name, d.StateOf(version), d.Confirmed, d.Members))
		}
	}
	e.progressLine("version %d: in force in %d of %d failure domains after %s %s", version,
		inForce, len(st.Domains), waited.Truncate(pollInterval/2), strings.Join(notInForce, ", "))
}
