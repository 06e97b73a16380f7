package node

import (
	"fmt"
	"slices"

	"siskingw/admin"
	"siskingw/object"
	"siskingw/rollout"
)

// rolloutList returns what this node knows about the roll-outs, for operators.
func (n *Node) rolloutList() admin.Rollouts {
	out := admin.Rollouts{Node: n.settings.ID}
	if n.rollouts != nil {
		out.Rollouts = n.rollouts.list()
	}
	return out
}

func (s *rolloutService) list() []admin.Rollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.routeNames()
	var list []admin.Rollout
	for service, d := range s.book.All() {
		v, survey := s.verdicts[service], s.traffic.Survey(service)
		r := admin.Rollout{Service: service, Order: d.Order.Revision(), Era: d.Order.Era(), Version: d.Target, Base: d.Base, Phase: d.Phase.String(),
			SharePercent: d.SharePercent, Reason: d.Reason, Deciders: s.deciders(d),
			NewTargets: survey.New, OldTargets: survey.Base,
			Verdict: v.Outcome.String(), Answers: v.Answers, BadAnswers: v.Bad}
		r.NodeCalls, r.NodeNewCalls = s.traffic.Counts(service)
		for _, rv := range v.Routes {
			r.Routes = append(r.Routes, adminRoute(rv, names))
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b admin.Rollout) int { return int(b.Order - a.Order) })
	return list
}

func adminRoute(v rollout.RouteVerdict, names map[uint32]string) admin.RolloutRoute {
	name, ok := names[v.Route]
	if !ok {
		name = fmt.Sprintf("%08x", v.Route) // no longer in force
	}
	return admin.RolloutRoute{Route: name, Verdict: v.Outcome.String(), Answers: v.Answers, BadAnswers: v.BadAnswers,
		ControlAnswers: v.Control, ControlShare: v.ControlShare, Ratio: v.Ratio}
}

// routeNames returns the names of the routes in force by their hash.
func (s *rolloutService) routeNames() map[uint32]string {
	names := map[uint32]string{rollout.OtherRoutes: "(all others)"}
	if snap := s.node.current.Load(); snap != nil {
		for o := range snap.All() {
			if o.Kind == object.KindRoute {
				names[rollout.RouteHash(o.Name)] = o.Name
			}
		}
	}
	return names
}

// deciders returns the nodes that state a directive in their notes. s.mu must be
// held.
func (s *rolloutService) deciders(d rollout.Directive) []string {
	var ids []string
	for _, domain := range s.node.dir.FailureDomains() {
		for _, r := range s.node.dir.Ranked(domain.Name) {
			if len(r.TargetNote) == 0 {
				continue
			}
			if slices.ContainsFunc(s.notes.of(r).Directives, func(o rollout.Directive) bool {
				return o.Service == d.Service && o.Order.Same(d.Order) && o.Phase == d.Phase
			}) {
				ids = append(ids, r.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
