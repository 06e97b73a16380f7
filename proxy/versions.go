package proxy

import (
	"net/http"
	"time"

	"siskingw/balance"
	"siskingw/rollout"
	"siskingw/snapshot"
)

// maxLateTrial is the probability, 0 to 1, of a late response above which a call
// does not try a new version: targets of the new version may have no room left.
const maxLateTrial = 0.6

// pickVersion selects the endpoint among the versions that the plan of the attempt
// permits. A call that cannot try the new version goes to one that is in force.
func (o *Outbound) pickVersion(c *call, res *snapshot.ResolvedRoute, t *retryState) (*balance.Picked, error) {
	t.plan = o.opts.Rollouts.Plan(res.EndpointSet.Announce, t.lastRefusal != nil)
	picked, err := o.pickAmong(c, res, t, t.plan.Rule)
	for t.plan.HasFallback && (err != nil || t.plan.Trial && picked.Late > maxLateTrial) {
		if err == nil {
			picked.Done(balance.Report{})
		}
		t.plan = t.plan.Fall()
		picked, err = o.pickAmong(c, res, t, t.plan.Rule)
	}
	return picked, err
}

// versionRule returns the rule for the balancer, nil for one without limits.
func versionRule(r rollout.Rule) balance.VersionRule {
	if !r.Limited {
		return nil
	}
	return r
}

// recordSent tells the plan whether the attempt reached a target, and whether it was
// the first of the call to do so.
func (t *retryState) recordSent(f *refusal) {
	reached := f == nil || f.outcome != OutcomeNotRun || f.reachedTarget
	t.plan.Sent(reached, reached && !t.reached)
	t.reached = t.reached || reached
}

// Answer is the result of one call at the target of this instance.
type Answer struct {
	Instance string        // identity of the target
	Route    string        // name of the route
	Failed   bool          // the target failed: 5xx, or a response that is lost or invalid
	Ignored  bool          // the target did not run the call, or the caller left
	Duration time.Duration // time at the target
}

// observeAnswer passes the result of a call at the target to OnAnswer. A call that
// the target has not answered by its deadline counts as slow, not as failed.
func (in *Inbound) observeAnswer(c *call, b *Backend, f *refusal, d time.Duration) {
	if in.opts.OnAnswer == nil {
		return
	}
	a := Answer{Instance: b.Instance, Route: c.work.class, Duration: d}
	switch {
	case f == nil:
		a.Failed = c.status >= http.StatusInternalServerError
	case f.callerFault || f.outcome == OutcomeNotRun || c.ctx.Err() != nil:
		a.Ignored = true
	default:
		a.Failed = c.timeLeft() > 0
	}
	in.opts.OnAnswer(a)
}
