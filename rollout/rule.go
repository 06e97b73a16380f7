package rollout

import "sync/atomic"

// Rule states which targets of a service one call may use. The zero Rule allows
// every target.
type Rule struct {
	Limited  bool   // the rule restricts the versions at all
	Version  string // the permitted version; with Exclude, the only one not permitted
	Exclude  bool
	Unknown  bool            // targets whose version is not known are permitted as well
	Canaries map[string]bool // permitted nodes of the new version; nil for all
}

// Allows reports whether the rule permits a target of the version at the node.
func (r Rule) Allows(node, version string) bool {
	switch {
	case !r.Limited || r.Unknown && version == "":
		return true
	case r.Exclude:
		return version != r.Version
	}
	return version == r.Version && (r.Canaries == nil || r.Canaries[node])
}

// only returns the rule that permits one version.
func only(version string) Rule { return Rule{Limited: true, Version: version} }

// orUnknown returns the rule with targets whose version is not known permitted.
func (r Rule) orUnknown() Rule {
	r.Unknown = true
	return r
}

// except returns the rule that permits all versions but one.
func except(version string) Rule { return Rule{Limited: true, Exclude: true, Version: version} }

// BaseRule returns the rule for calls that must not use an unproven version. It
// permits what is left where no target of the version in force is left: an
// unproven version is better than no answer. A target whose version is not known may
// have the unproven one. It is permitted when the roll-out has ended, unless it was
// reverted and targets of the version are left: the node beside one of them may have
// just restarted. It is also permitted when there are more of them: after a restart of
// many nodes the few targets that have announced themselves could not take all calls.
func BaseRule(d Directive, s Survey) Rule {
	switch {
	case d.Phase == Done && s.New > 0:
		return only(d.Target).orUnknown()
	case s.Base > 0 && (d.Phase == Reverted && s.New == 0 || s.Unknown > s.Base):
		return only(d.Base).orUnknown()
	case s.Base > 0:
		return only(d.Base)
	case s.Others+s.Unknown > 0:
		return except(d.Target)
	}
	return Rule{}
}

// NewRule returns the rule for calls that try the new version; ok is false if it
// has no target for them.
func NewRule(d Directive, s Survey) (rule Rule, ok bool) {
	switch {
	case d.Phase == Canary && len(s.Canaries) > 0:
		r := only(d.Target)
		r.Canaries = s.Canaries
		return r, true
	case d.Phase == Moving && s.Unknown > s.New:
		return only(d.Target).orUnknown(), true
	case d.Phase == Moving && s.New > 0:
		return only(d.Target), true
	}
	return Rule{}, false
}

// Credit limits the share of calls that the new version gets at one node. Every
// call that reached the service adds the share, every call to the new version
// takes one. The sum over all nodes therefore stays below the share of all calls,
// also where nodes are cut off or restart: a new process begins without credit.
type Credit struct {
	milli atomic.Int64 // thousandths of a call
}

const (
	milliPerCall = 1000
	// maxCredit bounds the calls that a node may send after a time in which it
	// could send none.
	maxCredit = 3 * milliPerCall
)

// Add credits one call with the share, 0 to 1.
func (c *Credit) Add(share float64) {
	for {
		old := c.milli.Load()
		if c.milli.CompareAndSwap(old, min(old+int64(share*milliPerCall), maxCredit)) {
			return
		}
	}
}

// Take takes one call from the credit and reports whether there was enough.
func (c *Credit) Take() bool {
	for {
		old := c.milli.Load()
		if old < milliPerCall {
			return false
		}
		if c.milli.CompareAndSwap(old, old-milliPerCall) {
			return true
		}
	}
}

// Return gives back the credit of a call that did not reach the new version.
func (c *Credit) Return() { c.milli.Add(milliPerCall) }

// Reset takes all credit away. It is called when the share changes.
func (c *Credit) Reset() { c.milli.Store(0) }

// Share returns the share of the calls, 0 to 1, that the new version gets under a
// directive. permitted is the share that an unproven version may get.
func (d Directive) Share(permitted float64) float64 {
	switch d.Phase {
	case Canary:
		return permitted * canaryShareUsed
	case Moving:
		return float64(d.SharePercent) / 100
	}
	return 0
}
