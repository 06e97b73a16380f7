package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/platform"
	"siskingw/rollout"
	"siskingw/telemetry"
)

// rolloutStoreTimeout limits one call to the store about a roll-out.
const rolloutStoreTimeout = 1500 * time.Millisecond

// recheckDelay and recheckJitter are the minimum delay and the added jitter before a
// status is read in a later era of the store. All nodes that watch the store learn of it
// at the same moment, and the notes of the others arrive within the delay.
const (
	recheckDelay  = 500 * time.Millisecond
	recheckJitter = 400 * time.Millisecond
)

// orderState is an order with its decider on this node.
type orderState struct {
	decider   *rollout.Decider
	announced bool // this node states the directive in its note
}

// onOrder is called for each order that this node reads from the store.
func (s *rolloutService) onOrder(o rollout.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	read := s.read[o.Service]
	if read == nil {
		read = new(rollout.Orders)
		s.read[o.Service] = read
	}
	reading, order := read.Read(o)
	switch reading {
	case rollout.NewOrder:
		d := rollout.NewDecider(order, now)
		d.Repeat(o.Position, now) // the order may be one of an earlier era
		s.orders[o.Service] = &orderState{decider: d}
		s.node.log.Info(telemetry.EventRolloutOrdered, "service", o.Service, "order", o.Position, "version", o.Version,
			"durationMs", o.Duration.Milliseconds(), "distinct", order.Distinct)
	case rollout.RepeatedOrder:
		d := s.orders[o.Service].decider
		d.Repeat(o.Position, now)
		s.node.log.Info(telemetry.EventRolloutRepeated, "service", o.Service, "order", d.Order().Position, "readAt", o.Position,
			"version", o.Version)
	case rollout.OutdatedOrder:
		s.node.log.Info(telemetry.EventRolloutOutdated, "service", o.Service, "order", s.orders[o.Service].decider.Order().Position,
			"readAt", o.Position, "version", o.Version)
	}
}

// onEra is called when the store has begun a later era.
func (s *rolloutService) onEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, o := range s.orders {
		o.decider.Recheck(now, recheckDelay+rand.N(recheckJitter))
	}
}

// decide makes the next step of a roll-out. index is the number of readers before
// this one. s.mu must be held.
func (s *rolloutService) decide(ctx context.Context, o *orderState, index int, now time.Time) {
	a := o.decider.Step(s.facts(o.decider.Order(), index), now)
	if a.Announce != nil {
		o.announced = true
		if a.Decided != nil {
			s.logDecision(*a.Decided, *a.Announce)
		}
		s.learn(*a.Announce, s.node.settings.ID)
	}
	if a.Kept != nil {
		s.node.log.Info(telemetry.EventRolloutKept, "service", a.Kept.Service, "order", a.Kept.Order, "state", a.Kept.State.String(),
			"position", a.Kept.Position)
	}
	if a.Read {
		go s.readStatus(ctx, o)
	}
	if a.Write != nil {
		go s.writeStatus(ctx, o, *a.Write)
	}
}

// facts returns what this node knows about an order. s.mu must be held.
func (s *rolloutService) facts(order rollout.Order, index int) rollout.Facts {
	f := rollout.Facts{Survey: s.traffic.Survey(order.Service), Index: index}
	f.Known, f.HasKnown = s.book.Get(order.Service)
	if f.HasKnown && f.Known.Order.Same(order.Position) {
		f.Verdict = s.verdicts[order.Service]
		f.BaseIdle = s.baseIdle(order.Service, f.Known)
	}
	var others []rollout.Target
	for _, t := range s.targets(order.Service) {
		if t.Version != order.Version {
			others = append(others, t)
		}
	}
	f.InForce = rollout.InForce(others, "")
	return f
}

// baseIdle reports whether all targets of the old version have stated that they are
// idle. s.mu must be held.
func (s *rolloutService) baseIdle(service string, d rollout.Directive) bool {
	idle := make(map[string]bool)
	for _, e := range s.evidence(service, d) {
		idle[e.Node] = e.Idle
	}
	for _, t := range s.targets(service) {
		if t.Usable && t.Version == d.Base && t.Version != d.Target && !idle[t.Node] {
			return false
		}
	}
	return true
}

// logDecision logs a decision with its inputs.
func (s *rolloutService) logDecision(in rollout.Input, d rollout.Directive) {
	v := in.Verdict
	s.node.log.Info(telemetry.EventRolloutDecided, "service", d.Service, "order", d.Order, "phase", d.Phase.String(),
		"percent", d.SharePercent, "target", d.Target, "base", d.Base, "reason", d.Reason,
		"elapsedMs", in.Elapsed.Milliseconds(), "durationMs", in.Order.Duration.Milliseconds(),
		"verdict", v.Outcome.String(), "answers", v.Answers, "bad", v.Bad, "worst", v.Worst.String(),
		"newTargets", in.Survey.New, "oldTargets", in.Survey.Base, "canaries", len(in.Survey.Canaries), "oldIdle", in.BaseIdle)
}

// readStatus reads the status from the store.
func (s *rolloutService) readStatus(ctx context.Context, o *orderState) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	order := o.decider.Order()
	status, at, err := platform.ReadRolloutStatus(ctx, s.store, order.Service)
	if err != nil {
		s.logStoreError(order, "read", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.decider.ReadDone(status, at, err == nil, time.Now())
}

// writeStatus writes the status in place of the one at its revision.
func (s *rolloutService) writeStatus(ctx context.Context, o *orderState, w rollout.Status) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	at, err := platform.WriteRolloutStatus(ctx, s.store, w)
	result := rollout.Written
	switch {
	case err == nil:
		s.node.log.Info(telemetry.EventRolloutRecorded, "service", w.Service, "order", w.Order, "state", w.State.String(),
			"reason", w.Reason, "position", at)
	case errorx.IsOfType(err, errdefs.Conflict):
		result = rollout.Replaced
	default:
		result = rollout.Unknown
		s.logStoreError(o.decider.Order(), "write", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.decider.WriteDone(w, at, result, time.Now())
}

// logStoreError logs a failed call to the store.
func (s *rolloutService) logStoreError(o rollout.Order, operation string, err error) {
	s.node.log.Info(telemetry.EventRolloutStore, "service", o.Service, "order", o.Position,
		"operation", operation, "error", err.Error())
}
