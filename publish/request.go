package publish

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/object"
)

// Limits on one request.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 64
	maxChanges     = 20_000 // more than twice the number of objects that the system is designed for
	maxSummaryKeys = 5      // object keys listed in a summary
)

// Change creates, replaces or deletes one object.
type Change struct {
	// Object is the new state of the object, or nil to delete it. Its revision
	// and author are ignored.
	Object *object.Object `json:"object,omitempty"`
	// Delete is the key of the object to delete, or nil to create or replace
	// one.
	Delete *object.Key `json:"delete,omitempty"`
	// BasedOn is the revision of the object that the change is based on, 0 if
	// the object did not exist. The change is refused with a conflict if the
	// revision is no longer current. nil applies the change unconditionally.
	BasedOn *uint64 `json:"basedOn,omitempty"`
}

// Key returns the key of the object that the change creates, replaces or
// deletes.
func (c Change) Key() object.Key {
	if c.Delete != nil {
		return *c.Delete
	}
	return c.Object.Key()
}

// Request is a set of changes that are applied atomically.
type Request struct {
	// OperationID identifies the request. A request that is retried with the
	// same id is applied at most once.
	OperationID string `json:"operationId"`
	Author      string `json:"author"`
	// Since is a version that existed when the operation id was created. Only
	// later versions are searched for the id. 0 searches the latest 128
	// versions, as far as the store retains them; each may take one store read.
	Since   uint64   `json:"since,omitempty"`
	Changes []Change `json:"changes"`
}

// Result is the outcome of an accepted request.
type Result struct {
	Version uint64 `json:"version"` // version that contains the changes
	Changed bool   `json:"changed"` // false: the objects already were as requested
}

// ObjectConflict reports an object whose revision is not the one that a change
// is based on.
type ObjectConflict struct {
	Key      object.Key `json:"key"`
	BasedOn  uint64     `json:"basedOn"`
	Revision uint64     `json:"revision"`         // current revision; 0: the object does not exist
	Author   string     `json:"author,omitempty"` // author of the current revision
}

// String describes the conflict in one line.
func (c ObjectConflict) String() string {
	if c.Revision == 0 {
		return fmt.Sprintf("%s: based on revision %d, but does not exist", c.Key, c.BasedOn)
	}
	return fmt.Sprintf("%s: based on revision %d, but %s changed it in revision %d",
		c.Key, c.BasedOn, c.Author, c.Revision)
}

var conflictsProperty = errorx.RegisterProperty("conflicts")

// NewConflict returns one Conflict error with all the conflicts.
func NewConflict(conflicts []ObjectConflict) error {
	lines := make([]string, 0, len(conflicts))
	for _, c := range conflicts {
		lines = append(lines, c.String())
	}
	return errdefs.Conflict.New("%s", strings.Join(lines, "; ")).WithProperty(conflictsProperty, conflicts)
}

// ConflictsOf returns the conflicts attached to an error by NewConflict, or
// nil.
func ConflictsOf(err error) []ObjectConflict {
	v, ok := errorx.ExtractProperty(err, conflictsProperty)
	if !ok {
		return nil
	}
	conflicts, _ := v.([]ObjectConflict)
	return conflicts
}

// validate validates the request without reference to the current objects. It
// returns one Invalid error that lists all faults, or nil.
func (r Request) validate() error {
	var faults []object.Fault
	addFault := func(name, field, reason string) {
		faults = append(faults, object.Fault{Object: name, Field: field, Reason: reason})
	}
	if !isPrintable(r.OperationID, maxIDBytes) {
		addFault("", "operationId", fmt.Sprintf("must have 1 to %d printable characters", maxIDBytes))
	}
	if !isPrintable(r.Author, maxAuthorBytes) {
		addFault("", "author", fmt.Sprintf("must have 1 to %d printable characters", maxAuthorBytes))
	}
	if len(r.Changes) == 0 || len(r.Changes) > maxChanges {
		addFault("", "changes", fmt.Sprintf("has %d changes; must have 1 to %d", len(r.Changes), maxChanges))
	}
	seen := make(map[object.Key]bool)
	for i, c := range r.Changes {
		if (c.Object == nil) == (c.Delete == nil) {
			addFault(fmt.Sprintf("changes[%d]", i), "", "must have either object or delete")
			continue
		}
		if seen[c.Key()] {
			addFault(c.Key().String(), "", "is changed more than once in the request")
		}
		seen[c.Key()] = true
		if c.Object != nil && c.Object.Spec() == nil {
			addFault(c.Key().String(), "spec", "is missing or does not match the kind")
		}
	}
	return object.NewInvalid(faults)
}

// isPrintable reports whether s has 1 to limit bytes and only printable
// characters.
func isPrintable(s string, limit int) bool {
	return s != "" && len(s) <= limit && strings.IndexFunc(s, func(r rune) bool {
		return r == unicode.ReplacementChar || !unicode.IsPrint(r)
	}) < 0
}

// summarize returns a one-line description of bounded length of the staged
// changes.
func summarize(staged map[object.Key]*object.Object) string {
	var b strings.Builder
	for i, k := range slices.SortedFunc(maps.Keys(staged), object.Key.Compare) {
		if i == maxSummaryKeys {
			fmt.Fprintf(&b, " and %d more", len(staged)-i)
			break
		}
		if i > 0 {
			b.WriteString(", ")
		}
		if staged[k] == nil {
			b.WriteString("delete ")
		}
		b.WriteString(k.String())
	}
	return b.String()
}
