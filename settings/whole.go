package settings

import (
	"encoding/json"
	"math"

	"siskingw/errdefs"
)

// Whole is a whole number that the platform gives. It may be written as 1500.0, and a
// fraction is rounded: a node must start with whatever figure it is given.
type Whole int

// UnmarshalJSON decodes a number. It returns an Invalid error for any other value and
// for a number that is out of the range of an int32.
func (n *Whole) UnmarshalJSON(b []byte) error {
	var v float64
	if err := json.Unmarshal(b, &v); err != nil {
		return errdefs.Invalid.Wrap(err, "not a number")
	}
	if math.Abs(v) > math.MaxInt32 {
		return errdefs.Invalid.New("%s is out of range", b)
	}
	*n = Whole(math.Round(v))
	return nil
}
