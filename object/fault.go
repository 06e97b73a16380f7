package object

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"siskingw/faults"
)

// Fault is one reason why a set of objects is refused.
type Fault struct {
	Source string `json:"source,omitempty"` // file that holds the object
	Object string `json:"object,omitempty"` // kind/name, or the position in the file
	Field  string `json:"field,omitempty"`  // path of the field, such as spec.pathPrefix
	Reason string `json:"reason"`
}

// String returns the fault as one line.
func (f Fault) String() string {
	parts := slices.DeleteFunc([]string{f.Source, f.Object, f.Field, f.Reason}, func(s string) bool { return s == "" })
	return strings.Join(parts, ": ")
}

var faultsProperty = errorx.RegisterProperty("faults")

// maxListedFaults bounds how many faults the message of an error spells out;
// FaultsOf returns all of them.
const maxListedFaults = 10

// NewInvalid returns one Invalid error that holds every fault, or nil when
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
	return faults.Invalid.New("%d faults: %s", len(list), text.String()).WithProperty(faultsProperty, list)
}

// FaultsOf returns the faults that an Invalid error holds, or nil.
func FaultsOf(err error) []Fault {
	v, ok := errorx.ExtractProperty(err, faultsProperty)
	if !ok {
		return nil
	}
	list, _ := v.([]Fault)
	return list
}
