package proxy

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"siskingw/admit"
	"siskingw/member"
	"siskingw/telemetry"
)

// Lines a second and at once for each kind of decision. Under overload hundreds
// of calls are refused for the same reason; their number is in the metrics.
const (
	decisionRate  = 20
	decisionBurst = 100
)

// Decisions logs what a node decides about calls: one line for each call that
// did not simply succeed at its first try. A nil *Decisions logs nothing.
type Decisions struct {
	ended   *telemetry.Limited
	refused *telemetry.Limited
	lost    *telemetry.Limited
}

// NewDecisions returns a log of decisions.
func NewDecisions(log logr.Logger) *Decisions {
	limited := func(event string) *telemetry.Limited {
		return telemetry.NewLimited(log, event, decisionRate, decisionBurst)
	}
	return &Decisions{
		ended:   limited(telemetry.EventCallEnded),
		refused: limited(telemetry.EventCallRefused),
		lost:    limited(telemetry.EventCallLost),
	}
}

// step is one try to place a call.
type step struct {
	Node    string `json:"node"`
	Late    int    `json:"latePercent"` // expected probability of a late answer
	Ms      int64  `json:"ms"`          // duration of the try
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
}

const outcomeAnswered = "answered"

// note adds a try to the call's history.
func (c *call) note(rec *member.Record, late float64, f *refusal) {
	s := step{Node: rec.ID, Late: int(100 * late), Ms: time.Since(c.sentAt).Milliseconds(), Outcome: outcomeAnswered}
	if f != nil {
		s.Outcome, s.Reason = f.outcome, f.reason
	}
	c.steps = append(c.steps, s)
}

// end logs how a call ended at the caller's node, unless its first try was
// answered without an error of the target.
func (d *Decisions) end(c *call, f *refusal, version uint64) {
	if d == nil || f == nil && len(c.steps) <= 1 && c.status < http.StatusInternalServerError {
		return
	}
	d.ended.Log(func() []any {
		fields := []any{
			"call", c.id, "route", c.work.class, "service", c.work.service, "version", version,
			"ms", time.Since(c.start).Milliseconds(), "tries", c.steps,
		}
		if !c.deadline.IsZero() {
			fields = append(fields, "deadlineLeftMs", c.left().Milliseconds())
		}
		if !c.work.target.IsZero() {
			fields = append(fields, "targetLeftMs", time.Until(c.work.target).Milliseconds())
		}
		if c.barred != "" {
			fields = append(fields, "noRetry", c.barred)
		}
		if f == nil {
			return append(fields, "outcome", outcomeAnswered, "status", c.status)
		}
		return append(fields, "outcome", f.outcome, "status", f.status, "cause", f.cause, "reason", f.reason, "returnAfterMs", f.after.Milliseconds())
	})
}

// refuse logs that the target's node refuses a call, with the state of the gate
// that decided it.
func (d *Decisions) refuse(c *call, b *Backend, f *refusal) {
	if d == nil {
		return
	}
	d.refused.Log(func() []any {
		fields := []any{
			"call", c.id, "route", c.work.class, "caller", c.work.caller, "priority", c.work.priority,
			"deadlineLeftMs", c.left().Milliseconds(), "cause", f.cause, "reason", f.reason, "waitMs", f.after.Milliseconds(),
		}
		if !c.work.target.IsZero() {
			fields = append(fields, "targetLeftMs", time.Until(c.work.target).Milliseconds())
		}
		if b != nil {
			fields = append(fields, "target", b.Instance)
			fields = append(fields, gateFieldsOf(b.Gate)...)
		}
		return fields
	})
}

// fail logs a call whose answer of the target is lost or not usable.
func (d *Decisions) fail(c *call, b *Backend, f *refusal) {
	if d == nil {
		return
	}
	d.lost.Log(func() []any {
		return []any{
			"call", c.id, "route", c.work.class, "target", b.Instance, "outcome", f.outcome, "reached", f.reached,
			"cause", f.cause, "reason", f.reason, "ms", time.Since(c.start).Milliseconds(), "deadlineLeftMs", c.left().Milliseconds(),
		}
	})
}

func gateFieldsOf(g *admit.Gate) []any {
	s, r := g.Stats(), g.Report()
	return []any{"inFlight", s.InFlight, "queued", s.Queued, "serviceMs", r.Service.Milliseconds()}
}
