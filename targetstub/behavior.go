// Package targetstub implements a stub of a target: an HTTP server with a limited
// number of slots and connections and a simulated work time. Its health and load
// endpoints can report outdated or false values, and it records which requests it
// ran. Its behavior can be changed at run time.
package targetstub

import (
	"encoding/json"
	"io"

	"siskingw/errdefs"
)

// Behavior configures the stub. Times are in ms, percentages are 0..100.
type Behavior struct {
	Slots        int     `json:"slots"`        // requests processed at once; at least 1
	Connections  int     `json:"connections"`  // maximum of open connections, further ones are closed; 0: no limit
	WorkMs       float64 `json:"workMs"`       // time that a request spends in its slot
	JitterMs     float64 `json:"jitterMs"`     // maximum of the uniformly random time added to WorkMs
	Shed         bool    `json:"shed"`         // refuse requests with 503 when no slot is free, instead of queueing them
	ColdStartMs  float64 `json:"coldStartMs"`  // time after the start during which requests take longer
	ColdFactor   float64 `json:"coldFactor"`   // factor on the work time at the start, falling linearly to 1
	Draining     bool    `json:"draining"`     // refuse new requests with 503
	FailPercent  float64 `json:"failPercent"`  // share of requests answered with 500 after the work time
	HangPercent  float64 `json:"hangPercent"`  // share of requests held until the caller cancels or the deadline passes
	CutPercent   float64 `json:"cutPercent"`   // share of responses aborted after half of the body
	IgnoreCancel bool    `json:"ignoreCancel"` // finish the work after cancellation or the deadline
	BodyBytes    int     `json:"bodyBytes"`    // size of the response body

	HealthLagMs float64  `json:"healthLagMs"` // age of the state that the health endpoint reports
	FalseHealth string   `json:"healthLie"`   // "up" or "down": reported instead of the state; "": the state
	LoadLagMs   float64  `json:"loadLagMs"`   // age of the load that the load endpoint reports
	FalseLoad   *float64 `json:"loadLie"`     // reported instead of the load, unless null
}

// Default values and limits of a Behavior.
const (
	defaultSlots      = 9
	defaultWorkMs     = 10
	defaultBodyBytes  = 256
	defaultColdFactor = 4
	maxBodyBytes      = 64 << 20
)

// DefaultBehavior returns the behavior of a healthy target.
func DefaultBehavior() Behavior {
	return Behavior{Slots: defaultSlots, WorkMs: defaultWorkMs, BodyBytes: defaultBodyBytes, ColdFactor: defaultColdFactor}
}

// patch sets the fields that the JSON object in r contains. For unknown fields and
// invalid values it returns an Invalid error and changes nothing.
func (b *Behavior) patch(r io.Reader) error {
	next := *b
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	if err := d.Decode(&next); err != nil {
		return errdefs.Invalid.Wrap(err, "behavior cannot be decoded")
	}
	if next.Slots < 1 || next.WorkMs < 0 || next.BodyBytes < 0 || next.BodyBytes > maxBodyBytes {
		return errdefs.Invalid.New("behavior needs slots >= 1, workMs >= 0 and bodyBytes in 0..%d", maxBodyBytes)
	}
	*b = next
	return nil
}
