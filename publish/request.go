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
	maxIDLength     = 64
	maxAuthorLength = 64
	maxChanges      = 20_000 // more than twice the objects of the target size
	maxSummaryKeys  = 5      // keys that a summary spells out
)

// Change creates, replaces or deletes one object.
type Change struct {
	// Object is the new state; nil when the object is deleted. Its revision
	// and author are ignored.
	Object *object.Object `json:"object,omitempty"`
	// Delete is the object to delete; nil when it is created or replaced.
	Delete *object.Key `json:"delete,omitempty"`
	// BasedOn is the revision of the object that the operator saw, 0 if the
	// object did not exist. nil overwrites whatever is there.
	BasedOn *uint64 `json:"basedOn,omitempty"`
}

// Key returns the object that the change is about.
func (c Change) Key() object.Key {
	if c.Delete != nil {
		return *c.Delete
	}
	return c.Object.Key()
}

// Request is a set of changes that take effect together or not at all.
type Request struct {
	// OperationID identifies the request. Repeating a request with the same
	// id never applies it twice.
	OperationID string `json:"operationId"`
	Author      string `json:"author"`
	// Since is a version that existed when the operation id was made. The
	// id is looked for in later versions only. 0 looks in the latest 128
	// versions, as far as the store retains them; each may take one read.
	Since   uint64   `json:"since,omitempty"`
	Changes []Change `json:"changes"`
}

// Result is the outcome of an accepted request.
type Result struct {
	Version uint64 `json:"version"` // that contains the changes
	Changed bool   `json:"changed"` // false: the set already was as requested
}

// ObjectConflict names an object that was changed by someone else first.
type ObjectConflict struct {
	Key      object.Key `json:"key"`
	BasedOn  uint64     `json:"basedOn"`
	Revision uint64     `json:"revision"`         // current; 0: the object does not exist
	Author   string     `json:"author,omitempty"` // of the current revision
}

// String describes the conflict in one line.
func (c ObjectConflict) String() string {
	if c.Revision == 0 {
		return fmt.Sprintf("%s: based on revision %d, but does not exist", c.Key, c.BasedOn)
	}
	return fmt.Sprintf("%s: based on revision %d, but %s changed it in revision %d", c.Key, c.BasedOn, c.Author, c.Revision)
}

var conflictsProperty = errorx.RegisterProperty("conflicts")

// NewConflict returns one Conflict error for all the objects.
func NewConflict(list []ObjectConflict) error {
	lines := make([]string, 0, len(list))
	for _, c := range list {
		lines = append(lines, c.String())
	}
	return errdefs.Conflict.New("%s", strings.Join(lines, "; ")).WithProperty(conflictsProperty, list)
}

// ConflictsOf returns the conflicts that an error holds, or nil.
func ConflictsOf(err error) []ObjectConflict {
	v, ok := errorx.ExtractProperty(err, conflictsProperty)
	if !ok {
		return nil
	}
	list, _ := v.([]ObjectConflict)
	return list
}

// check reports what is wrong with the request itself, as one Invalid error.
func (r Request) check() error {
	var list []object.Fault
	report := func(name, field, reason string) {
		list = append(list, object.Fault{Object: name, Field: field, Reason: reason})
	}
	if !printable(r.OperationID, maxIDLength) {
		report("", "operationId", fmt.Sprintf("want 1 to %d printable characters", maxIDLength))
	}
	if !printable(r.Author, maxAuthorLength) {
		report("", "author", fmt.Sprintf("want 1 to %d printable characters", maxAuthorLength))
	}
	if len(r.Changes) == 0 || len(r.Changes) > maxChanges {
		report("", "changes", fmt.Sprintf("%d changes; want 1 to %d", len(r.Changes), maxChanges))
	}
	seen := make(map[object.Key]bool)
	for i, c := range r.Changes {
		if (c.Object == nil) == (c.Delete == nil) {
			report(fmt.Sprintf("changes[%d]", i), "", "want either object or delete")
			continue
		}
		if seen[c.Key()] {
			report(c.Key().String(), "", "changed more than once in one request")
		}
		seen[c.Key()] = true
		if c.Object != nil && c.Object.Spec() == nil {
			report(c.Key().String(), "spec", "missing or not of the object's kind")
		}
	}
	return object.NewInvalid(list)
}

// printable reports whether s has 1 to limit bytes of printable characters.
func printable(s string, limit int) bool {
	return s != "" && len(s) <= limit && strings.IndexFunc(s, func(r rune) bool {
		return r == unicode.ReplacementChar || !unicode.IsPrint(r)
	}) < 0
}

// summary describes what a request changed in one line of bounded length.
func summary(staged map[object.Key]*object.Object) string {
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
