package proxy

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"siskingw/admit"
	"siskingw/member"
	"siskingw/telemetry"
)

// Rate limit of the log for each event, in lines per second and lines at once.
// Under overload hundreds of calls are refused for the same reason; the metrics
// count them all.
const (
	maxLinesPerSecond = 20
	maxLineBurst      = 100
)

// DecisionLog logs the calls that were refused, failed or retried, one line for
// each call within the rate limit. A nil *DecisionLog logs nothing.
type DecisionLog struct {
	ended   *telemetry.RateLimitedLogger
	refused *telemetry.RateLimitedLogger
	lost    *telemetry.RateLimitedLogger
}

// NewDecisionLog returns a DecisionLog that writes to log.
func NewDecisionLog(log logr.Logger) *DecisionLog {
	limited := func(event string) *telemetry.RateLimitedLogger {
		return telemetry.NewRateLimitedLogger(log, event, maxLinesPerSecond, maxLineBurst)
	}
	return &DecisionLog{
		ended:   limited(telemetry.EventCallEnded),
		refused: limited(telemetry.EventCallRefused),
		lost:    limited(telemetry.EventCallLost),
	}
}

// attemptRecord is the log record of one attempt.
type attemptRecord struct {
	Node        string `json:"node"`
	LatePercent int    `json:"latePercent"` // predicted probability of a late response, in percent
	Ms          int64  `json:"ms"`          // duration of the attempt
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason,omitempty"`
}

const outcomeAnswered = "answered"

// recordAttempt records the attempt that just ended; late is the predicted
// probability of a late response, from 0 to 1.
func (c *call) recordAttempt(rec *member.Record, late float64, f *refusal) {
	s := attemptRecord{Node: rec.ID, LatePercent: int(100 * late),
		Ms: time.Since(c.sentAt).Milliseconds(), Outcome: outcomeAnswered}
	if f != nil {
		s.Outcome, s.Reason = f.outcome, f.reason
	}
	c.attempts = append(c.attempts, s)
}

// logEnded logs the result of a call on the caller's node, unless the first attempt
// got a response with a status below 500. version is the configuration version
// in force.
func (d *DecisionLog) logEnded(c *call, f *refusal, version uint64) {
	if d == nil || f == nil && len(c.attempts) <= 1 && c.status < http.StatusInternalServerError {
		return
	}
	d.ended.Log(func() []any {
		fields := []any{
			"call", c.id, "route", c.work.class, "service", c.work.service, "version", version,
			"ms", time.Since(c.start).Milliseconds(), "tries", c.attempts,
		}
		if c.organisation != nil {
			fields = append(fields, "organisation", c.organisation.Name)
		}
		if !c.deadline.IsZero() {
			fields = append(fields, "deadlineLeftMs", c.timeLeft().Milliseconds())
		}
		if !c.work.targetTime.IsZero() {
			fields = append(fields, "targetLeftMs", time.Until(c.work.targetTime).Milliseconds())
		}
		if c.noRetry != "" {
			fields = append(fields, "noRetry", c.noRetry)
		}
		if f == nil {
			return append(fields, "outcome", outcomeAnswered, "status", c.status)
		}
		return append(fields, "outcome", f.outcome, "status", f.status, "cause", f.cause,
			"reason", f.reason, "returnAfterMs", f.retryAfter.Milliseconds())
	})
}

// logRefused logs that the target's node refused a call, with the state of its
// gate. b may be nil.
func (d *DecisionLog) logRefused(c *call, b *Backend, f *refusal) {
	if d == nil {
		return
	}
	d.refused.Log(func() []any {
		fields := []any{
			"call", c.id, "route", c.work.class, "caller", c.work.caller, "priority", c.work.priority,
			"deadlineLeftMs", c.timeLeft().Milliseconds(),
			"cause", f.cause, "reason", f.reason, "waitMs", f.retryAfter.Milliseconds(),
		}
		if c.work.organisation != "" {
			fields = append(fields, "organisation", c.work.organisation)
		}
		if !c.work.targetTime.IsZero() {
			fields = append(fields, "targetLeftMs", time.Until(c.work.targetTime).Milliseconds())
		}
		if b != nil {
			fields = append(fields, "target", b.Instance)
			fields = append(fields, gateLogFields(b.Gate)...)
		}
		if c.work.nested {
			fields = append(fields, "nested", true)
		}
		return fields
	})
}

// logLost logs a call that the target itself refused, or whose response was lost or
// cannot be used.
func (d *DecisionLog) logLost(c *call, b *Backend, f *refusal) {
	if d == nil {
		return
	}
	d.lost.Log(func() []any {
		return []any{
			"call", c.id, "route", c.work.class, "target", b.Instance, "outcome", f.outcome, "reached", f.reachedTarget,
			"cause", f.cause, "reason", f.reason, "ms", time.Since(c.start).Milliseconds(),
			"deadlineLeftMs", c.timeLeft().Milliseconds(),
		}
	})
}

func gateLogFields(g *admit.Gate) []any {
	s, r := g.Stats(), g.Report()
	return []any{"inFlight", s.InFlight, "queued", s.Queued, "serviceMs", r.ServiceTime.Milliseconds()}
}
