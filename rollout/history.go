package rollout

import (
	"time"

	"siskingw/store"
)

// Window is the time over which the latest answers are judged by themselves: a
// version may become bad only after a while, and the good answers before would
// hide it.
const Window = 3 * time.Second

// disputeTime is how long a version may be disputed before it is judged bad.
// Meanwhile other targets take the place of those that may be faulty: they get
// answers within 1.5 s. A version must be left within 5 s of its 50th bad answer.
const disputeTime = 2 * time.Second

// TargetEvidence is the evidence of one target with its version.
type TargetEvidence struct {
	Node string
	New  bool
	Evidence
}

// observation is the evidence of all targets at one time.
type observation struct {
	at      time.Time
	targets []TargetEvidence
}

// History keeps the evidence of one order over the last Window. It is not safe for
// concurrent use.
type History struct {
	order         store.Position
	observations  []observation
	disputedSince time.Time // zero if the version is not disputed
}

// Add adds the evidence of all targets for the order at a time. Evidence of another
// order starts a new history.
func (h *History) Add(order store.Position, targets []TargetEvidence, now time.Time) {
	if h.order != order {
		*h = History{order: order}
	}
	for len(h.observations) > 1 && now.Sub(h.observations[1].at) >= Window {
		h.observations = h.observations[1:]
	}
	h.observations = append(h.observations, observation{at: now, targets: targets})
}

// Judge returns the verdict on the latest answers if they show that the version is
// bad, and otherwise that on all answers since the order. A version that stays
// disputed for disputeTime is bad.
func (h *History) Judge() Verdict {
	if len(h.observations) == 0 {
		return Verdict{}
	}
	latest := h.observations[len(h.observations)-1]
	total := samples(latest.targets, nil)
	all := Judge(total)
	recent := Judge(withControl(samples(latest.targets, h.observations[0].targets), total))
	if recent.Outcome == Bad || all.Outcome == Bad {
		return worse(recent, all)
	}
	if !recent.Disputed && !all.Disputed {
		h.disputedSince = time.Time{}
	} else if h.disputedSince.IsZero() {
		h.disputedSince = latest.at
	}
	if !h.disputedSince.IsZero() {
		v := worse(recent, all)
		v.Outcome = Undecided
		if latest.at.Sub(h.disputedSince) >= disputeTime {
			v.Outcome = Bad
		}
		return v
	}
	if all.Outcome == Good && recent.Worst.Ratio > suspicion {
		all.Outcome = Undecided // it may be about to become bad
	}
	return all
}

// worse returns the verdict that speaks more against the version.
func worse(recent, all Verdict) Verdict {
	if recent.Outcome == Bad || all.Outcome != Bad && recent.Disputed {
		return recent
	}
	return all
}

// withControl returns the samples with all answers of the old version on the routes
// on which it has too few lately: once the traffic has moved it gets none.
func withControl(recent, total []Sample) []Sample {
	control := controlTotals(recent)
	for i, s := range total {
		if s.New {
			continue
		}
		for r, c := range s.Routes {
			if control[r] < minControl {
				recent[i].Routes[r] = c
			}
		}
	}
	return recent
}

// samples returns the evidence without what it was before.
func samples(now, before []TargetEvidence) []Sample {
	type key struct{ node, target string }
	earlier := make(map[key]Evidence, len(before))
	for _, t := range before {
		earlier[key{t.Node, t.Target}] = t.Evidence
	}
	list := make([]Sample, len(now))
	for i, t := range now {
		list[i] = Sample{Node: t.Node, New: t.New, Routes: difference(t.Routes, earlier[key{t.Node, t.Target}].Routes)}
	}
	return list
}

// difference returns the answers in now that are not in before. Where counts have
// begun anew, it returns those in now.
func difference(now, before map[uint32]Counts) map[uint32]Counts {
	out := make(map[uint32]Counts, len(now))
	for r, c := range now {
		out[r] = c.since(before[r])
	}
	return out
}

func (c Counts) since(old Counts) Counts {
	d := c
	if c.Failed < old.Failed {
		return c
	}
	d.Failed -= old.Failed
	for i := range d.Answers {
		if c.Answers[i] < old.Answers[i] {
			return c
		}
		d.Answers[i] -= old.Answers[i]
	}
	return d
}
