package proxy

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"siskingw/balance"
	"siskingw/object"
	"siskingw/rollout"
)

const (
	defaultRetries       = 1
	defaultBudgetPercent = 10
	// retryCost is the cost of one retry in hundredths of a retry. Each call
	// deposits the budget's percentage in the same unit.
	retryCost = 100
	// defaultBudgetCapacity, in retries, lets a service with little traffic retry
	// a few times and bounds the burst after a long time without failures.
	defaultBudgetCapacity = 10
)

// RetryOptions limits retries. Zero values select the defaults.
type RetryOptions struct {
	// BudgetPercent is the retry budget of a service as a percentage of its
	// calls. A policy may override it; default 10.
	BudgetPercent int
	// BudgetCapacity is the capacity of a service's retry budget in retries;
	// default 10.
	BudgetCapacity int
	// FreeRetries is the number of retries per call, after refusals that came
	// before the target saw the call, that are not charged to the budget: they
	// cause targets no load. Default 0, which charges all retries.
	FreeRetries int
}

func (o RetryOptions) withDefaults() RetryOptions {
	if o.BudgetPercent <= 0 {
		o.BudgetPercent = defaultBudgetPercent
	}
	if o.BudgetCapacity <= 0 {
		o.BudgetCapacity = defaultBudgetCapacity
	}
	return o
}

// budgetPercent returns the retry budget under policy p, as a percentage of calls.
func (o RetryOptions) budgetPercent(p *object.PolicySpec) int64 {
	if p == nil || p.RetryBudgetPercent <= 0 {
		return int64(o.BudgetPercent)
	}
	return int64(p.RetryBudgetPercent)
}

// retryState tracks the attempts of one call and decides about its retries.
type retryState struct {
	policy         *object.PolicySpec
	budget         *retryBudget
	freeLeft       int      // uncharged retries left
	freeEnabled    bool     // retries after refusals before the target saw the call are not charged
	chargedRetries int      // retries charged to the budget
	excluded       []string // IDs of nodes to exclude from the next pick
	refusedBy      []string // IDs of nodes whose target itself refused the call
	nextCharged    bool     // the next attempt is charged to the budget
	allowLate      bool     // the next attempt may run late, see work.allowLate
	lateFromStart  bool     // the call could not meet its target latency at any target
	lastRefusal    *refusal
	plan           rollout.Plan  // versions that the current attempt may use
	reached        bool          // an attempt has reached a target
	noRetry        noRetryReason // why the call is not retried
}

// noRetryReason is the reason why a call is not retried; "" if it may be.
type noRetryReason string

const (
	noRetryAlreadyRetried noRetryReason = "retried"  // the next hop has already retried the call
	noRetryBody           noRetryReason = "body"     // the body is not buffered in full and cannot be replayed
	noRetryCanceled       noRetryReason = "gone"     // the caller disconnected, or the node is stopping
	noRetryDeadline       noRetryReason = "time"     // the deadline has passed
	noRetryStatus         noRetryReason = "status"   // the status does not allow a retry
	noRetryNotIdempotent  noRetryReason = "kind"     // the call may have run and is not idempotent
	noRetryLimit          noRetryReason = "attempts" // the policy's limit on retries is reached
	noRetryFreeLimit      noRetryReason = "hops"     // RetryOptions.FreeRetries is used up
	noRetryBudget         noRetryReason = "budget"   // the service's retry budget is used up
)

// shouldRetry records the refusal by a node and reports whether the call is
// retried on another one.
func (t *retryState) shouldRetry(c *call, f *refusal, node string) bool {
	t.nextCharged = false
	if t.noRetry = noRetryReasonOf(c, t.policy, f); t.noRetry == "" {
		if t.noRetry = t.charge(f); t.noRetry != "" && t.retryLate(c, f) {
			t.noRetry = ""
		}
	}
	t.lastRefusal = mergeRefusals(t.lastRefusal, f)
	if f.reachedTarget {
		t.refusedBy = append(t.refusedBy, node)
	}
	if !t.allowLate || f.reachedTarget || t.lateFromStart {
		t.excluded = append(t.excluded, node)
	}
	return t.noRetry == ""
}

const (
	// maxLateFirstAttempt is the probability of a late response, from 0 to 1,
	// above which a call is refused without an attempt. probeShare is the share of
	// such calls, from 0 to 1, that are still sent, so that the balancer keeps
	// getting reports of the gates' state.
	maxLateFirstAttempt = 0.8
	probeShare          = 0.25
	// maxLateRetry is the same limit for a retry after a gate refused the call:
	// an attempt that is refused as well only costs the caller time.
	maxLateRetry = 0.5
	// maxLateIdle is the probability of a late response at an idle target, from 0 to
	// 1, above which a call is sent as a late one. Its time is short because its
	// caller comes back after a refusal, which says nothing about the load of the
	// targets: it runs if one has a slot that no other call needs.
	maxLateIdle = 0.5
)

// counterIndex returns the index of the counter for the retry that follows.
func (t *retryState) counterIndex() int {
	if t.nextCharged {
		return retryCharged
	}
	return retryFree
}

// likelyRefused reports whether the gate of the picked endpoint would probably
// refuse the call. A nested call is refused only if it cannot be answered at all.
// random is from 0 to 1.
func (t *retryState) likelyRefused(p *balance.Picked, nested bool, random float64) bool {
	switch {
	case t.allowLate:
		return false
	case nested:
		return p.Missed > maxLateFirstAttempt && random > probeShare
	case t.lastRefusal != nil && t.lastRefusal.overloaded:
		return p.Late > maxLateRetry
	}
	return p.Late > maxLateFirstAttempt && random > probeShare
}

// retryLate reports whether a call that was refused by a gate and has missed its
// target latency is retried once more, to run late but before its deadline. It may
// go to any node but those whose target refused it: a copy of that refusal could be
// taken as the response to the second attempt.
func (t *retryState) retryLate(c *call, f *refusal) bool {
	if t.allowLate || !f.overloaded || c.work.targetTime.IsZero() || time.Until(c.work.targetTime) > 0 {
		return false
	}
	t.allowLate, t.excluded = true, slices.Clone(t.refusedBy)
	return true
}

// hasRetryLeft reports whether a refusal by the next target's gate would lead to
// another attempt, as far as that is known before.
func (t *retryState) hasRetryLeft(c *call) bool {
	switch {
	case !c.body.replayable():
		return false
	case t.freeEnabled:
		return t.freeLeft > 0
	}
	return t.chargedRetries < maxRetries(t.policy) && t.budget.credit.Load() >= retryCost
}

// charge pays for one retry, or returns why none is allowed.
func (t *retryState) charge(f *refusal) noRetryReason {
	switch {
	case t.freeEnabled && !f.reachedTarget && f.outcome == OutcomeNotRun:
		if t.freeLeft--; t.freeLeft < 0 {
			return noRetryFreeLimit
		}
		return ""
	case t.chargedRetries >= maxRetries(t.policy):
		return noRetryLimit
	case !t.budget.withdraw():
		return noRetryBudget
	}
	t.chargedRetries++
	t.nextCharged = true
	return ""
}

// result returns the refusal to send to the caller. f is a refusal by this node
// that ended the attempts, or nil; it is used only if no attempt was made.
func (t *retryState) result(f *refusal) *refusal {
	if t.lastRefusal == nil {
		return f
	}
	sent := t.chargedRetries
	if f != nil && t.nextCharged {
		sent-- // the last retry was charged, but not sent
	}
	t.lastRefusal.retried = t.lastRefusal.retried || sent > 0
	return t.lastRefusal
}

// retryBudget is a token bucket that limits the retries of one service to a share of
// its calls.
type retryBudget struct {
	credit   atomic.Int64 // hundredths of a retry
	capacity int64        // hundredths of a retry
}

// newRetryBudget returns a full budget; capacity is in retries.
func newRetryBudget(capacity int) *retryBudget {
	b := &retryBudget{capacity: int64(capacity) * retryCost}
	b.credit.Store(b.capacity)
	return b
}

// deposit credits one call with percent hundredths of a retry.
func (b *retryBudget) deposit(percent int64) {
	for {
		current := b.credit.Load()
		if current >= b.capacity || b.credit.CompareAndSwap(current, min(current+percent, b.capacity)) {
			return
		}
	}
}

// withdraw pays for one retry; it reports false if the budget is too low.
func (b *retryBudget) withdraw() bool {
	for {
		current := b.credit.Load()
		if current < retryCost {
			return false
		}
		if b.credit.CompareAndSwap(current, current-retryCost) {
			return true
		}
	}
}

// retryBudgetOf returns the retry budget of a service.
func (o *Outbound) retryBudgetOf(service string) *retryBudget {
	if b, ok := o.retryBudgets.Load(service); ok {
		return b.(*retryBudget)
	}
	b, _ := o.retryBudgets.LoadOrStore(service, newRetryBudget(o.opts.Retries.BudgetCapacity))
	return b.(*retryBudget)
}

// noRetryReasonOf returns why the call must not be retried after f, regardless of
// the budget, or "".
func noRetryReasonOf(c *call, p *object.PolicySpec, f *refusal) noRetryReason {
	switch {
	case f.retried:
		return noRetryAlreadyRetried
	case !c.body.replayable():
		return noRetryBody
	case c.ctx.Err() != nil:
		return noRetryCanceled
	case c.timeLeft() <= 0:
		return noRetryDeadline
	}
	switch f.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if f.outcome == OutcomeNotRun || idempotent(c, p) {
			return ""
		}
		return noRetryNotIdempotent
	}
	return noRetryStatus
}

// idempotent reports whether the call may be sent again after an attempt that may
// have run.
func idempotent(c *call, p *object.PolicySpec) bool {
	if c.key != "" {
		return true // the ledger of the key's owner runs it at most once
	}
	switch {
	case p != nil && p.Repeat == object.RepeatAlways:
		return true
	case p != nil && p.Repeat == object.RepeatNever:
		return false
	case p != nil && len(p.IdempotentMethods) > 0:
		return slices.Contains(p.IdempotentMethods, c.r.Method)
	}
	switch c.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// maxRetries returns the limit on charged retries of one call.
func maxRetries(p *object.PolicySpec) int {
	switch {
	case p != nil && p.Retries > 0:
		return p.Retries
	case p != nil && p.MaxAttempts > 0:
		return p.MaxAttempts - 1
	}
	return defaultRetries
}
