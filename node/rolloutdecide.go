package node

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
	"siskingw/platform"
	"siskingw/rollout"
	"siskingw/telemetry"
)

const (
	// rolloutStoreTimeout limits one call to the store about a roll-out.
	rolloutStoreTimeout = 1500 * time.Millisecond
	// rolloutStoreRetry is the pause after a failed call.
	rolloutStoreRetry = 300 * time.Millisecond
	// standbyWriteDelay is how long each further reader leaves a status write to the
	// readers before it. The compare-and-swap makes two writes harmless, but each
	// call is paid for.
	standbyWriteDelay = 700 * time.Millisecond
	// statusMaxGap is the time without a decision by this node after which it reads
	// the status again: another node has decided meanwhile.
	statusMaxGap = 2 * time.Second
)

// orderState is what this node knows about one order as a decider.
type orderState struct {
	order       rollout.Order
	seen        time.Time
	ageWhenSeen time.Duration // of the order, if another node had seen it before

	statusKnown bool
	status      *rollout.Status // in the store; nil for none
	revision    int64           // of the status's key, 0 for none
	busy        bool            // a call to the store is under way
	retryAt     time.Time

	announced bool // this node states the directive in its note
	known     rollout.Directive
	stepAt    time.Time // when known became the directive in force
	wanted    rollout.State
	wantedAt  time.Time // since when this node wants to write wanted
	decidedAt time.Time
}

// onOrder is called for each order that this node reads from the store.
func (s *rolloutService) onOrder(o rollout.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.orders[o.Service]; old != nil && old.order.Revision >= o.Revision {
		return
	}
	s.orders[o.Service] = &orderState{order: o, seen: time.Now()}
	s.node.log.Info(telemetry.EventRolloutOrdered, "service", o.Service, "order", o.Revision, "version", o.Version,
		"durationMs", o.Duration.Milliseconds())
}

// decide makes the next step of a roll-out. index is the number of readers before
// this one. s.mu must be held.
func (s *rolloutService) decide(ctx context.Context, o *orderState, index int, now time.Time) {
	if now.Sub(o.decidedAt) > statusMaxGap {
		o.statusKnown = false
	}
	o.decidedAt = now
	if o.busy || now.Before(o.retryAt) {
		return
	}
	if !o.statusKnown {
		o.busy = true
		go s.readStatus(ctx, o)
		return
	}
	in := s.input(o, now)
	out := rollout.Decide(in)
	if out.Announce {
		o.announced = true
		if d := out.Directive; d.Supersedes(in.Known) || !in.HasKnown {
			s.logDecision(in, d)
			s.learn(d, s.node.settings.ID)
		}
	}
	s.want(ctx, o, out.Write, index, now)
}

// want writes a status unless a reader before this one is to do so.
func (s *rolloutService) want(ctx context.Context, o *orderState, w *rollout.Status, index int, now time.Time) {
	if w == nil {
		o.wanted = 0
		return
	}
	if o.wanted != w.State {
		o.wanted, o.wantedAt = w.State, now
	}
	if now.Sub(o.wantedAt) < time.Duration(index)*standbyWriteDelay {
		return
	}
	o.busy = true
	go s.writeStatus(ctx, o, *w, o.revision)
}

// input returns the input of the decision. s.mu must be held.
func (s *rolloutService) input(o *orderState, now time.Time) rollout.Input {
	service := o.order.Service
	in := rollout.Input{Order: o.order, Stored: o.status, Elapsed: now.Sub(o.seen) + o.ageWhenSeen, Now: now}
	in.Known, in.HasKnown = s.book.Get(service)
	if in.Known != o.known {
		o.known, o.stepAt = in.Known, now
	}
	in.SinceStep = now.Sub(o.stepAt)
	in.Survey = s.traffic.Survey(service)
	if in.HasKnown && in.Known.Revision == o.order.Revision {
		in.Verdict = s.verdict[service]
		in.BaseIdle = s.baseIdle(service, in.Known)
	}
	var others []rollout.Target
	for _, t := range s.targets(service) {
		if t.Version != o.order.Version {
			others = append(others, t)
		}
	}
	in.InForce = rollout.InForce(others, "")
	return in
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
	s.node.log.Info(telemetry.EventRolloutDecided, "service", d.Service, "order", d.Revision, "phase", d.Phase.String(),
		"percent", d.SharePercent, "target", d.Target, "base", d.Base, "reason", d.Reason,
		"elapsedMs", in.Elapsed.Milliseconds(), "durationMs", in.Order.Duration.Milliseconds(),
		"verdict", v.Outcome.String(), "answers", v.Answers, "bad", v.Bad, "worst", v.Worst.String(),
		"newTargets", in.Survey.New, "oldTargets", in.Survey.Base, "canaries", len(in.Survey.Canaries), "oldIdle", in.BaseIdle)
}

// readStatus reads the status from the store.
func (s *rolloutService) readStatus(ctx context.Context, o *orderState) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	status, revision, err := platform.ReadRolloutStatus(ctx, s.store, o.order.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.busy = false
	if err != nil {
		s.retryStore(o, "read", err)
		return
	}
	o.statusKnown, o.status, o.revision = true, status, revision
	if status != nil && status.Order == o.order.Revision {
		age := o.seen.Sub(status.Started) // by two clocks, so only a hint
		o.ageWhenSeen = min(max(age, 0), o.order.Duration)
	}
}

// writeStatus writes the status. After an error it reads the status again before the
// next decision: the write may have taken effect, or another node's.
func (s *rolloutService) writeStatus(ctx context.Context, o *orderState, w rollout.Status, replaced int64) {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	revision, err := platform.WriteRolloutStatus(ctx, s.store, w, replaced)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.busy = false
	if err != nil {
		o.statusKnown = false
		if !errorx.IsOfType(err, errdefs.Conflict) {
			s.retryStore(o, "write", err)
		}
		return
	}
	w.Revision = revision
	o.status, o.revision = &w, revision
	s.node.log.Info(telemetry.EventRolloutRecorded, "service", w.Service, "order", w.Order, "state", w.State.String(),
		"reason", w.Reason, "revision", revision)
}

// retryStore logs a failed call to the store and delays the next one. s.mu must be
// held.
func (s *rolloutService) retryStore(o *orderState, operation string, err error) {
	o.retryAt = time.Now().Add(rolloutStoreRetry)
	s.node.log.Info(telemetry.EventRolloutStore, "service", o.order.Service, "order", o.order.Revision,
		"operation", operation, "error", err.Error())
}
