package node

import (
	"bytes"
	"time"

	"siskingw/member"
	"siskingw/rollout"
)

// state puts what this node has to say about roll-outs into its membership record:
// as a reader of the store the directives, and beside a target that takes part its
// evidence. s.mu must be held.
func (s *rolloutService) state(reader bool, now time.Time) {
	var note rollout.Note
	if reader {
		for service, o := range s.orders {
			if d, ok := s.book.Get(service); ok && o.announced {
				note.Directives = append(note.Directives, d)
			}
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
