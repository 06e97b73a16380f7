package settings

import (
	"bytes"
	"encoding/json"
	"math"

	"siskingw/errdefs"
)

// whole is a whole number that the platform gives. It may be written as 1500.0, and a
// fraction is rounded: a node must start with whatever figure it is given.
type whole int

// UnmarshalJSON decodes a number. It returns an Invalid error for any other value and
// for a number that is out of the range of an int32.
func (n *whole) UnmarshalJSON(b []byte) error {
	var v float64
	if err := json.Unmarshal(b, &v); err != nil {
		return errdefs.Invalid.Wrap(err, "not a number")
	}
	if math.Abs(v) > math.MaxInt32 {
		return errdefs.Invalid.New("%s is out of range", b)
	}
	*n = whole(math.Round(v))
	return nil
}

// UnmarshalJSON decodes the settings of the platform. It returns an Invalid error for a
// value of another type and for an unknown field.
func (p *Platform) UnmarshalJSON(b []byte) error {
	type plain Platform // has no UnmarshalJSON
	in := struct {
		*plain
		// These take precedence over the fields of the same name in plain.
		HeartbeatMs whole `json:"heartbeatMs"`
		DrainMs     whole `json:"drainMs"`
		QuotaSlack  whole `json:"quotaSlack"`
		MemoryMB    whole `json:"memoryMB"`
		MaxFiles    whole `json:"maxFiles"`
	}{plain: (*plain)(p)}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return errdefs.Invalid.Wrap(err, "platform")
	}
	p.HeartbeatMs, p.DrainMs, p.QuotaSlack = int(in.HeartbeatMs), int(in.DrainMs), int(in.QuotaSlack)
	p.MemoryMB, p.MaxFiles = int(in.MemoryMB), int(in.MaxFiles)
	return nil
}
