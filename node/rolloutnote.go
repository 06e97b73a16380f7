package node

import (
	"bytes"
	"time"

	"siskingw/member"
	"siskingw/rollout"
)

// state puts what this node has to say about roll-outs into its membership record:
// as a reader of the store, number index in their order, the directives, and beside a
// target that takes part its evidence. s.mu must be held.
func (s *rolloutService) state(reader bool, index int, now time.Time) {
	var note rollout.Note
	for service, d := range s.book.All() {
		o := s.orders[service]
		if reader && o != nil && o.announced || s.mustRestate(d, index, now) {
			note.Directives = append(note.Directives, d)
		}
	}
	if e, ok := s.ownEvidence(now); ok {
		note.Evidence = e
	}
	b, err := note.Encode(member.MaxTargetNoteBytes)
	if err != nil {
		s.node.log.Error(err, "note about roll-outs")
		return
	}
	if bytes.Equal(b, s.stated) || !s.due(note, now) {
		return
	}
	s.stated, s.evidenceAt = b, now
	s.node.dir.UpdateSelf(func(r *member.Record) { r.TargetNote = b })
}

// restateDelay is how long no other node states a directive before the first relay does
// that knows it, and restateStep the additional time of each further relay.
const (
	restateDelay = 300 * time.Millisecond
	restateStep  = 150 * time.Millisecond
)

// mustRestate reports whether this node states a directive although it does not decide:
// it is a relay, and no other node states it or a later one. When all deciders restart,
// the new ones learn so what the store may have lost. s.mu must be held.
func (s *rolloutService) mustRestate(d rollout.Directive, index int, now time.Time) bool {
	self := s.node.dir.Self().ID
	if !member.IsRelay(s.node.dir, self) {
		return false
	}
	since, known := s.unstatedSince[d.Service]
	restating := known && now.Sub(since) >= restateDelay+time.Duration(index)*restateStep
	for _, domain := range s.node.dir.FailureDomains() {
		for _, r := range member.Relays(s.node.dir, domain.Name) {
			// Of two nodes that restate a directive, that with the lower ID goes on.
			if r.ID == self || len(r.TargetNote) == 0 || restating && r.ID > self {
				continue
			}
			for _, other := range s.notes.of(r).Directives {
				if other.Service == d.Service && !d.Supersedes(other) {
					delete(s.unstatedSince, d.Service)
					return false
				}
			}
		}
	}
	if !known {
		s.unstatedSince[d.Service] = now
	}
	return restating
}

// due reports whether a changed note is stated now: a change of directives at once,
// evidence at most once in evidenceInterval.
func (s *rolloutService) due(note rollout.Note, now time.Time) bool {
	if now.Sub(s.evidenceAt) >= evidenceInterval {
		return true
	}
	last, err := rollout.DecodeNote(s.stated)
	if err != nil || len(last.Directives) != len(note.Directives) {
		return true
	}
	known := make(map[string]rollout.Directive, len(last.Directives))
	for _, d := range last.Directives {
		known[d.Service] = d
	}
	for _, d := range note.Directives {
		if d.Supersedes(known[d.Service]) {
			return true
		}
	}
	return false
}

// ownEvidence returns the evidence of this node's target. A target of the new
// version states its answers, a few old ones state theirs for comparison, and all
// old ones state that they are idle once the traffic has moved.
func (s *rolloutService) ownEvidence(now time.Time) (rollout.Evidence, bool) {
	b := s.node.target.backend.Load()
	if b == nil {
		return rollout.Evidence{}, false
	}
	d, ok := s.book.Get(b.target.Service)
	if !ok || !d.Active() {
		return rollout.Evidence{}, false
	}
	s.recorder.Start(d, b.target.ID, now)
	e := s.recorder.Evidence(b.Gate.Stats().InFlight, now)
	id := s.node.dir.Self().ID
	survey := s.traffic.Survey(b.target.Service)
	answers, _ := e.Total()
	switch {
	case b.target.Version == d.Target:
		e.Idle = false
		return e, answers > 0 && (d.Phase == rollout.Canary || survey.Witnesses[id])
	case survey.Controls[id]:
		return e, true
	case d.Phase == rollout.Moving && d.SharePercent >= 100:
		e.Routes = nil
		return e, e.Idle
	}
	return rollout.Evidence{}, false
}
