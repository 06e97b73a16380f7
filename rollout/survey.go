package rollout

// Target is a target of a service as a node knows it.
type Target struct {
	Node    string // id of the node beside it
	Version string // empty while it is not known
	Slots   int
	Usable  bool // its node is alive and takes calls
}

const (
	// canaryShareUsed is the part of the permitted share, 0 to 1, that a node gives
	// to a version that is not known to be good. The rest covers calls that are
	// sent twice and calls that a node sends while it restarts.
	canaryShareUsed = 0.85
	// canaryLoad is the load that a canary target should get relative to the mean
	// of the old ones, which at their busiest have about this load.
	canaryLoad = 1.25
	// minCanaries and maxCanaries bound the number of canary targets. With one
	// target a fault of its instance would look like one of the version.
	minCanaries = 2
	maxCanaries = 8
	// controls is the number of old targets that the canary targets are compared
	// with. Targets differ in speed, and where a fifth of them fails, 5 of 8 were
	// faulty in one run of a model in a hundred. Each statement goes to every node.
	controls = 12
	// witnesses is the number of new targets that state their answers while the
	// traffic moves.
	witnesses = 8
)

// Survey groups the targets of a service by their part in a roll-out.
type Survey struct {
	Canaries map[string]bool // nodes of the targets that get the canary's calls
	Controls map[string]bool // nodes of the old targets that they are compared with
	// Witnesses are nodes of new targets, the canaries among them, that state their
	// answers while the traffic moves.
	Witnesses map[string]bool
	// Targets and slots of the new version, of the base version and of others.
	New, Base, Others, Unknown    int // Unknown: targets whose version is not known
	NewSlots, BaseSlots, Excluded int // Excluded: slots of other versions
}

// onlyNew reports whether all known targets have the new version.
func (s Survey) onlyNew() bool { return s.New > 0 && s.Base+s.Others+s.Unknown == 0 }

// NewSurvey groups targets, which must be in the same order on every node, so that
// all nodes select the same canary targets. Those beside the suspect nodes are not
// selected.
func NewSurvey(d Directive, targets []Target, share float64, suspects map[string]bool) Survey {
	s := Survey{Canaries: make(map[string]bool), Controls: make(map[string]bool), Witnesses: make(map[string]bool)}
	for _, t := range targets {
		if !t.Usable {
			continue
		}
		switch t.Version {
		case "":
			s.Unknown++
		case d.Target:
			s.New++
			s.NewSlots += t.Slots
		case d.Base:
			s.Base++
			s.BaseSlots += t.Slots
		default:
			s.Others++
			s.Excluded += t.Slots
		}
	}
	canaries := canaryCount(s.Base, share)
	for _, t := range targets {
		if !t.Usable {
			continue
		}
		if t.Version == d.Target && len(s.Witnesses) < witnesses {
			s.Witnesses[t.Node] = true
		}
		switch {
		case t.Version == d.Target && len(s.Canaries) < canaries && !suspects[t.Node]:
			s.Canaries[t.Node] = true
		case t.Version == d.Base && t.Version != "" && t.Version != d.Target && len(s.Controls) < controls:
			s.Controls[t.Node] = true
		}
	}
	return s
}

// canaryCount returns how many canary targets the share of the calls keeps as busy
// as the busiest of the old targets.
func canaryCount(base int, share float64) int {
	return min(max(int(share*canaryShareUsed*float64(base)/canaryLoad), minCanaries), maxCanaries)
}

// InForce returns the version that a node without an order takes for the one in
// force: before, while it has a target, and otherwise the one with the most slots. It
// is empty if no target has stated its version.
func InForce(targets []Target, before string) string {
	slots := make(map[string]int)
	for _, t := range targets {
		if t.Usable && t.Version != "" {
			slots[t.Version] += t.Slots
		}
	}
	if slots[before] > 0 {
		return before
	}
	best := before
	for v, n := range slots {
		if n > slots[best] || n == slots[best] && v < best {
			best = v
		}
	}
	return best
}
