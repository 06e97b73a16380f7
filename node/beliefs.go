package node

import (
	"github.com/go-logr/logr"

	"siskingw/balance"
	"siskingw/member"
	"siskingw/telemetry"
)

// Lines a second and at once about other nodes and their targets. A fleet that
// restarts as a whole changes thousands of records.
const (
	beliefRate  = 20
	beliefBurst = 200
)

// beliefs logs what a node believes of other nodes and their targets.
type beliefs struct {
	member *telemetry.RateLimitedLogger
	target *telemetry.RateLimitedLogger
}

func newBeliefs(log logr.Logger) *beliefs {
	return &beliefs{
		member: telemetry.NewRateLimitedLogger(log, telemetry.EventMemberChanged, beliefRate, beliefBurst),
		target: telemetry.NewRateLimitedLogger(log, telemetry.EventTargetJudged, beliefRate, beliefBurst),
	}
}

// members logs changed records.
func (b *beliefs) members(changed []*member.Record) {
	for _, r := range changed {
		b.member.Log(func() []any {
			return []any{
				"member", r.ID, "state", r.State.String(), "incarnation", r.Incarnation, "sequence", r.Sequence,
				"service", r.Service, "slots", r.Slots,
			}
		})
	}
}

// eject logs that a target is left out or trusted again.
func (b *beliefs) eject(e balance.Ejection) {
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
