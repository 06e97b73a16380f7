package object

import (
	"strings"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
)

// Fault is one error in a set of objects.
type Fault struct {
	Source string `json:"source,omitempty"` // file that contains the object
	Object string `json:"object,omitempty"` // kind/name, or the position in the file if they are not known
	Field  string `json:"field,omitempty"`  // path of the field, such as spec.pathPrefix
	Reason string `json:"reason"`
}

// String returns the fault as one line. Parts with unprintable characters are
// quoted, so that a name with a line break cannot forge a line of output.
func (f Fault) String() string {
	var parts []string
	for _, s := range []string{f.Source, f.Object, f.Field, f.Reason} {
		if s = QuoteUnprintable(s); s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, ": ")
}

// MergeFaults merges the faults of decoding and of validation into one Invalid
// error. It returns nil when there are none. If decoding found a fault in a
// field or in the whole spec of an object, the validation faults of that field
// or of the object are omitted, because they concern a value that could not be
// decoded.
func MergeFaults(decoding, validation error) error {
	all := FaultsOf(decoding)
	undecoded := make(map[string]bool)
	for _, f := range all {
		undecoded[f.Object+"\x00"+f.Field] = true
		undecoded[f.Object+"\x00spec"] = undecoded[f.Object+"\x00spec"] || f.Field == "spec"
	}
	for _, f := range FaultsOf(validation) {
		if !undecoded[f.Object+"\x00"+f.Field] && !undecoded[f.Object+"\x00spec"] {
			all = append(all, f)
		}
	}
	return NewInvalid(all)
}

var faultsProperty = errorx.RegisterProperty("faults")

// maxListedFaults is the number of faults that the message of an error contains;
// FaultsOf returns all of them.
const maxListedFaults = 10

// NewInvalid returns one Invalid error that contains every fault, or nil when
// there is none.
func NewInvalid(list []Fault) error {
	if len(list) == 0 {
		return nil
	}
	var text strings.Builder
	for i, f := range list {
		if i == maxListedFaults {
			text.WriteString("; ...")
			break
		}
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(f.String())
	}
	return errdefs.Invalid.New("%d faults: %s", len(list), text.String()).WithProperty(faultsProperty, list)
}

// FaultsOf returns the faults that err contains, or nil.
func FaultsOf(err error) []Fault {
	v, ok := errorx.ExtractProperty(err, faultsProperty)
	if !ok {
		return nil
	}
	list, _ := v.([]Fault)
	return list
}
