package node

import (
	"github.com/go-logr/logr"

	"siskingw/balance"
	"siskingw/member"
	"siskingw/telemetry"
)

// Rate limit, in log lines per second, and burst of the log of each kind of
// state change. The restart of a whole fleet changes thousands of records.
const (
	maxStateLinesPerSecond = 20
	stateLinesBurst        = 200
)

// stateLog logs changes of the state that this node holds about other nodes and
// their targets, up to a rate.
type stateLog struct {
	member *telemetry.RateLimitedLogger
	target *telemetry.RateLimitedLogger
}

func newStateLog(log logr.Logger) *stateLog {
	return &stateLog{
		member: telemetry.NewRateLimitedLogger(log, telemetry.EventMemberChanged, maxStateLinesPerSecond, stateLinesBurst),
		target: telemetry.NewRateLimitedLogger(log, telemetry.EventTargetJudged, maxStateLinesPerSecond, stateLinesBurst),
	}
}

// logMembers logs changed membership records.
func (b *stateLog) logMembers(changed []*member.Record) {
	for _, r := range changed {
		b.member.Log(func() []any {
			return []any{
				"member", r.ID, "state", r.State.String(), "incarnation", r.Incarnation, "sequence", r.Sequence,
				"service", r.Service, "slots", r.Slots,
			}
		})
	}
}

// logEjection logs the ejection of a target or the end of its ejection.
func (b *stateLog) logEjection(e balance.Ejection) {
	b.target.Log(func() []any {
		outcome := "trusted"
		if e.Duration > 0 {
			outcome = "left out"
		}
		return []any{
			"target", e.Target.ID, "service", e.Target.Service, "outcome", outcome,
			"forMs", e.Duration.Milliseconds(), "failures", e.Failures, "unreachable", e.Unreachable,
			"incarnation", e.Target.Incarnation, "sequence", e.Target.Sequence,
		}
	})
}
