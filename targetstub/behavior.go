// Package targetstub is a stand-in for a target: an HTTP server with slots, a
// connection limit and work time, whose health and load endpoints may lag or
// lie, and which records what it ran. Its behavior can be changed at run time.
package targetstub

import (
	"encoding/json"
	"io"

	"siskingw/errdefs"
)

// Behavior is what the stand-in does. Times are in ms, percentages 0..100.
type Behavior struct {
	Slots        int     `json:"slots"`        // requests worked on at once
	Connections  int     `json:"connections"`  // further connections are closed at once; 0 for no limit
	WorkMs       float64 `json:"workMs"`       // time in a slot
	JitterMs     float64 `json:"jitterMs"`     // up to this much is added at random
	Shed         bool    `json:"shed"`         // refuse with 503 when no slot is free, instead of queueing
	ColdStartMs  float64 `json:"coldStartMs"`  // time after the start in which work takes longer
	ColdFactor   float64 `json:"coldFactor"`   // work time factor at the start, falls to 1
	Draining     bool    `json:"draining"`     // refuse new requests with 503
	FailPercent  float64 `json:"failPercent"`  // answered with 500 after the work
	HangPercent  float64 `json:"hangPercent"`  // held until the caller gives up
	CutPercent   float64 `json:"cutPercent"`   // response cut off in the middle
	IgnoreCancel bool    `json:"ignoreCancel"` // work on after the caller gave up
	BodyBytes    int     `json:"bodyBytes"`    // size of a response body

	HealthLagMs float64  `json:"healthLagMs"` // age of the state that the health endpoint tells
	HealthLie   string   `json:"healthLie"`   // "up" or "down": told whatever the state
	LoadLagMs   float64  `json:"loadLagMs"`   // age of the load that the load endpoint tells
	LoadLie     *float64 `json:"loadLie"`     // told whatever the load
}

// Defaults of a Behavior.
const (
	defaultSlots      = 9
	defaultWorkMs     = 10
	defaultBodyBytes  = 256
	defaultColdFactor = 4
	maxBodyBytes      = 64 << 20
)

// DefaultBehavior returns a healthy target.
func DefaultBehavior() Behavior {
	return Behavior{Slots: defaultSlots, WorkMs: defaultWorkMs, BodyBytes: defaultBodyBytes, ColdFactor: defaultColdFactor}
}

// patch overwrites the fields that the JSON object in r holds. It returns an
// Invalid error for unknown fields and impossible values.
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
