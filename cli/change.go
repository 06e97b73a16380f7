package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"siskingw/admin"
	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/platform"
	"siskingw/publish"
	"siskingw/settings"
)

// checkCommand implements "check", which validates files without changing
// anything.
type checkCommand struct {
	files    paths
	settings paths
	platform paths
	live     bool
}

func (*checkCommand) name() string { return "check" }
func (*checkCommand) synopsis() string {
	return "validate objects, settings and configurations in files"
}
func (*checkCommand) usage() string {
	return `-f FILE|DIRECTORY ... | -settings FILE ... | -platform FILE ...

Reports every fault of the objects at once. Without -live the files must hold
everything that they refer to and no node is asked. -settings checks settings of
a node, -platform a whole configuration as operators keep it in the platform's
store.`
}

func (c *checkCommand) flags(f *flag.FlagSet) {
	f.Var(&c.settings, "settings", "settings file of a node; may be repeated")
	f.Var(&c.platform, "platform", "configuration as it stands in the platform's store; may be repeated")
	f.Var(&c.files, "f", "file, or directory whose .json files are read; may be repeated")
	f.BoolVar(&c.live, "live", false, "validate together with the objects in force on the node")
}

func (c *checkCommand) run(ctx context.Context, e *env, args []string) error {
	if len(c.settings)+len(c.platform) > 0 {
		if len(c.files)+len(args) > 0 {
			return usageError("objects are checked by a run of their own")
		}
		return c.checkNodeFiles(e)
	}
	objects, decodeErr := readObjects(append(c.files, args...))
	if decodeErr != nil && len(object.FaultsOf(decodeErr)) == 0 {
		return decodeErr
	}
	declared := len(objects)
	if c.live {
		live, err := e.client.Objects(ctx, "")
		if err != nil {
			return err
		}
		objects = mergeLive(live.Objects, objects)
	}
	if err := object.MergeFaults(decodeErr, object.Validate(objects)); err != nil {
		return err
	}
	return e.print(map[string]int{"objects": declared}, [][]string{{fmt.Sprintf("%d objects are valid", declared)}})
}

// checkNodeFiles validates files with settings of nodes and files with
// configurations of the platform.
func (c *checkCommand) checkNodeFiles(e *env) error {
	for _, path := range c.settings {
		if _, err := settings.Load(path); err != nil {
			return err
		}
	}
	for _, path := range c.platform {
		b, err := os.ReadFile(path)
		if err != nil {
			return errdefs.Invalid.Wrap(err, "file cannot be read")
		}
		config, err := platform.DecodeConfig(b)
		if err != nil {
			return err
		}
		if err := object.NewInvalid(config.Faults); err != nil {
			return err
		}
	}
	n := len(c.settings) + len(c.platform)
	return e.print(map[string]int{"files": n}, [][]string{{fmt.Sprintf("%d files are valid", n)}})
}

// mergeLive returns objects together with the live objects that they do not
// replace.
func mergeLive(live, objects []*object.Object) []*object.Object {
	declared := make(map[object.Key]bool, len(objects))
	for _, o := range objects {
		declared[o.Key()] = true
	}
	for _, o := range live {
		if !declared[o.Key()] {
			objects = append(objects, o)
		}
	}
	return objects
}

// changeFlags are the common flags of commands that change objects.
type changeFlags struct {
	author    string
	operation string
	overwrite bool
	wait      bool
}

func (c *changeFlags) flags(f *flag.FlagSet) {
	f.StringVar(&c.author, "author", os.Getenv("USER"), "name that history shows")
	f.StringVar(&c.operation, "operation", "", "operation id of an earlier attempt whose outcome is unknown; it is not applied twice")
	f.BoolVar(&c.overwrite, "overwrite", false, "do not refuse objects that another operator has changed")
	f.BoolVar(&c.wait, "wait", false, "wait until the change is in force in every failure domain")
}

// applyCommand implements "apply", which creates or updates the objects declared
// in files.
type applyCommand struct {
	changeFlags
	files paths
}

func (*applyCommand) name() string     { return "apply" }
func (*applyCommand) synopsis() string { return "declare objects from files" }
func (*applyCommand) usage() string {
	return `-f FILE|DIRECTORY ...

All objects take effect together or not at all; objects that are not in the
files stay as they are. An object with a revision, as written by get, is
refused when it has changed since; one without is refused when it changes
while apply runs.`
}

func (c *applyCommand) flags(f *flag.FlagSet) {
	c.changeFlags.flags(f)
	f.Var(&c.files, "f", "file, or directory whose .json files are read; may be repeated")
}

// run publishes the objects declared in the files and directories that the -f
// flags and args name, as one change. An object with a revision is based on that
// revision.
func (c *applyCommand) run(ctx context.Context, e *env, args []string) error {
	objects, err := readObjects(append(c.files, args...))
	if err != nil {
		return err
	}
	var changes []publish.Change
	for _, o := range objects {
		change := publish.Change{Object: o}
		if o.Revision > 0 {
			change.BasedOn = &o.Revision
		}
		changes = append(changes, change)
	}
	return c.publish(ctx, e, changes)
}

// deleteCommand implements "delete", which deletes objects.
type deleteCommand struct{ changeFlags }

func (*deleteCommand) name() string     { return "delete" }
func (*deleteCommand) synopsis() string { return "delete objects" }
func (*deleteCommand) usage() string {
	return `KIND/NAME ...

Deletes the objects together. Refused while another object refers to one.`
}

func (c *deleteCommand) run(ctx context.Context, e *env, args []string) error {
	if len(args) == 0 {
		return usageError("no object is given")
	}
	var changes []publish.Change
	for _, arg := range args {
		k, err := parseKey(arg)
		if err != nil {
			return err
		}
		changes = append(changes, publish.Change{Delete: &k})
	}
	return c.publish(ctx, e, changes)
}

// publish sends the changes to the node and prints the version that contains them.
// With -wait it also waits until that version is in force everywhere.
func (c *changeFlags) publish(ctx context.Context, e *env, changes []publish.Change) error {
	if c.author == "" {
		return usageError("no author is known; use -author")
	}
	req := publish.Request{OperationID: c.operation, Author: c.author, Changes: changes}
	live, err := e.client.Objects(ctx, "")
	if err != nil {
		return err
	}
	setRevisions(changes, live)
	if req.OperationID == "" {
		req.OperationID, req.Since = uuid.NewString(), live.Version
	}
	if c.overwrite {
		for i := range changes {
			changes[i].BasedOn = nil
		}
	}
	e.client.OnRetry = func(err error) { e.progressLine("trying again: %s", admin.ErrorOf(err).Message) }
	res, err := e.client.Apply(ctx, req)
	e.endProgress()
	if err != nil {
		if errorx.IsOfType(err, errdefs.StoreUnknown) {
			fmt.Fprintf(e.err, "the outcome is unknown; repeat the command with -operation %s\n", req.OperationID)
		}
		return err
	}
	out := changeResult{Result: res, OperationID: req.OperationID}
	if !c.wait {
		return e.print(out, out.rows())
	}
	st, waitErr := e.waitInForce(ctx, res.Version)
	out.Status = &st
	if err := e.print(out, append(out.rows(), statusRows(st, res.Version)...)); err != nil {
		return err
	}
	return waitErr
}

// changeResult is the output of a command that changes objects.
type changeResult struct {
	publish.Result
	OperationID string        `json:"operationId"`
	Status      *admin.Status `json:"status,omitempty"` // last status received, with -wait only
}

func (r changeResult) rows() [][]string {
	text := "already as declared"
	if r.Changed {
		text = "accepted"
	}
	return [][]string{{"version " + strconv.FormatUint(r.Version, 10) + " " + text}}
}

// setRevisions bases changes without a revision on the revisions of the live
// objects, or on revision 0 for a new object. It sets no revision for the deletion
// of an object that does not exist: the node refuses it.
func setRevisions(changes []publish.Change, live admin.Objects) {
	revisions := make(map[object.Key]uint64, len(live.Objects))
	for _, o := range live.Objects {
		revisions[o.Key()] = o.Revision
	}
	for i := range changes {
		revision, exists := revisions[changes[i].Key()]
		if changes[i].BasedOn == nil && (exists || changes[i].Object != nil) {
			changes[i].BasedOn = &revision
		}
	}
}
