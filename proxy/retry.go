package proxy

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"siskingw/balance"
	"siskingw/object"
)

const (
	defaultRetries       = 1
	defaultBudgetPercent = 10
	// budgetUnit is the cost of one retry in hundredths of a retry. Each call
	// deposits the budget's percentage in the same unit.
	budgetUnit = 100
	// defaultReserve, in retries, lets a service with little traffic retry a
	// few times and bounds the burst after a long time without failures.
	defaultReserve = 10
)

// RetryOptions limits retries. Zero values select the defaults.
type RetryOptions struct {
	// BudgetPercent is the retry budget of a service as a percentage of its
	// calls. A policy may override it; default 10.
	BudgetPercent int
	// Reserve is the capacity of a service's retry budget in retries; default 10.
	Reserve int
	// FreeTries is the number of retries per call, after refusals that came
	// before the target saw the call, that are not charged to the budget: they
	// cause targets no load. Default 0, which charges all retries.
	FreeTries int
}

func (o RetryOptions) withDefaults() RetryOptions {
	if o.BudgetPercent <= 0 {
		o.BudgetPercent = defaultBudgetPercent
	}
	if o.Reserve <= 0 {
		o.Reserve = defaultReserve
	}
	return o
}

// percent returns the retry budget under policy p, as a percentage of calls.
func (o RetryOptions) percent(p *object.PolicySpec) int64 {
	if p == nil || p.RetryBudgetPercent <= 0 {
		return int64(o.BudgetPercent)
	}
	return int64(p.RetryBudgetPercent)
}

// tries tracks the attempts of one call and decides about its retries.
type tries struct {
	policy  *object.PolicySpec
	budget  *budget
	free    int      // uncharged retries left
	unsent  bool     // retries after refusals before the target saw the call are not charged
	repeats int      // retries charged to the budget
	skip    []string // IDs of nodes to exclude from the next pick
	charged bool     // the next attempt is charged to the budget
	late    bool     // the next attempt asks the gate to admit the call even if it will miss its target latency
	last    *refusal
	barred  bar // why the call is not retried
}

// bar is the reason why a call is not retried; "" if it may be.
type bar string

const (
	barRetried  bar = "retried"  // the next hop has already retried the call
	barBody     bar = "body"     // the body is not buffered in full and cannot be replayed
	barGone     bar = "gone"     // the caller disconnected, or the node is stopping
	barTime     bar = "time"     // the deadline has passed
	barStatus   bar = "status"   // the status does not allow a retry
	barKind     bar = "kind"     // the call may have run and is not idempotent
	barAttempts bar = "attempts" // the policy's limit on retries is reached
	barFree     bar = "hops"     // RetryOptions.FreeTries is used up
	barBudget   bar = "budget"   // the service's retry budget is used up
)

// again records the refusal by a node and reports whether the call is retried
// on another one.
func (t *tries) again(c *call, f *refusal, node string) bool {
	t.charged = false
	if t.barred = barOf(c, t.policy, f); t.barred == "" {
		if t.barred = t.charge(f); t.barred != "" && t.beLate(c, f) {
			t.barred = ""
		}
	}
	t.last = merge(t.last, f)
	if !t.late {
		t.skip = append(t.skip, node)
	}
	return t.barred == ""
}

const (
	// firstTryLate is the probability of a late response, from 0 to 1, above which
	// a call is refused without an attempt. askAnyway is the share of such calls,
	// from 0 to 1, that are sent all the same, so that the balancer keeps getting
	// reports of the gates' state.
	firstTryLate = 0.8
	askAnyway    = 0.25
	// nextTryLate is the same limit for a retry after a gate refused the call:
	// an attempt that is refused as well only costs the caller time.
	nextTryLate = 0.5
)

// kind returns the index of the counter for the retry that follows.
func (t *tries) kind() int {
	if t.charged {
		return triesRepeat
	}
	return triesFree
}

// futile reports whether the gate of the picked endpoint would probably refuse
// the call. random is from 0 to 1.
func (t *tries) futile(p *balance.Picked, random float64) bool {
	switch {
	case t.late:
		return false
	case t.last != nil && t.last.crowded:
		return p.Late > nextTryLate
	}
	return p.Late > firstTryLate && random > askAnyway
}

// beLate reports whether a call that was refused by a gate and has missed its
// target latency is retried once more, to run late but before its deadline.
func (t *tries) beLate(c *call, f *refusal) bool {
	if t.late || !f.crowded || c.work.target.IsZero() || time.Until(c.work.target) > 0 {
		return false
	}
	t.late, t.skip = true, nil
	return true
}

// charge pays for one retry, or returns why none is allowed.
func (t *tries) charge(f *refusal) bar {
	switch {
	case t.unsent && !f.reached && f.outcome == OutcomeNotRun:
		if t.free--; t.free < 0 {
			return barFree
		}
		return ""
	case t.repeats >= retriesOf(t.policy):
		return barAttempts
	case !t.budget.withdraw():
		return barBudget
	}
	t.repeats++
	t.charged = true
	return ""
}

// end returns the refusal to send to the caller. f is a refusal by this node
// that ended the attempts, or nil; it is used only if no attempt was made.
func (t *tries) end(f *refusal) *refusal {
	if t.last == nil {
		return f
	}
	made := t.repeats
	if f != nil {
		made-- // the last retry was charged, but not sent
	}
	t.last.retried = t.last.retried || made > 0
	return t.last
}

// budget is a token bucket that limits the retries of one service to a share of
// its calls.
type budget struct {
	hundredths atomic.Int64 // of a retry
	reserve    int64        // capacity, in hundredths of a retry
}

// newBudget returns a full budget; reserve is its capacity in retries.
func newBudget(reserve int) *budget {
	b := &budget{reserve: int64(reserve) * budgetUnit}
	b.hundredths.Store(b.reserve)
	return b
}

// deposit credits one call with percent hundredths of a retry.
func (b *budget) deposit(percent int64) {
	for {
		now := b.hundredths.Load()
		if now >= b.reserve || b.hundredths.CompareAndSwap(now, min(now+percent, b.reserve)) {
			return
		}
	}
}

// withdraw pays for one retry; it reports false if the budget is too low.
func (b *budget) withdraw() bool {
	for {
		now := b.hundredths.Load()
		if now < budgetUnit {
			return false
		}
		if b.hundredths.CompareAndSwap(now, now-budgetUnit) {
			return true
		}
	}
}

// budgetOf returns the retry budget of a service.
func (o *Outbound) budgetOf(service string) *budget {
	if b, ok := o.budgets.Load(service); ok {
		return b.(*budget)
	}
	b, _ := o.budgets.LoadOrStore(service, newBudget(o.opts.Retries.Reserve))
	return b.(*budget)
}

// barOf returns why the call must not be retried after f, regardless of the
// budget, or "".
func barOf(c *call, p *object.PolicySpec, f *refusal) bar {
	switch {
	case f.retried:
		return barRetried
	case !c.body.replayable():
		return barBody
	case c.ctx.Err() != nil:
		return barGone
	case c.left() <= 0:
		return barTime
	}
	switch f.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if f.outcome == OutcomeNotRun || idempotent(c, p) {
			return ""
		}
		return barKind
	}
	return barStatus
}

// idempotent reports whether the call may run more than once.
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

// retriesOf returns the limit on charged retries of one call.
func retriesOf(p *object.PolicySpec) int {
	switch {
	case p != nil && p.Retries > 0:
		return p.Retries
	case p != nil && p.MaxAttempts > 0:
		return p.MaxAttempts - 1
	}
	return defaultRetries
}
