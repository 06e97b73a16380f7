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
	// budgetUnit is the cost of one retry in hundredths: each call deposits
	// the budget's percentage.
	budgetUnit = 100
	// defaultReserve lets a service with little traffic retry a few times, and
	// bounds the burst after a long time without failures.
	defaultReserve = 10
)

// RetryOptions bounds how often calls are sent again. Zero values mean the
// defaults.
type RetryOptions struct {
	// BudgetPercent is the share of a service's calls that may be repeated
	// unless the policy states one; default 10.
	BudgetPercent int
	// Reserve is the number of repeats of one service that are saved up at
	// most; default 10.
	Reserve int
	// FreeTries is the number of further nodes that are tried after nodes that
	// refused the call before their target saw it. Such tries cost targets
	// nothing and are not charged to the budget; default 0, which charges them.
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

// percent returns the share of calls that a policy lets repeat.
func (o RetryOptions) percent(p *object.PolicySpec) int64 {
	if p == nil || p.RetryBudgetPercent <= 0 {
		return int64(o.BudgetPercent)
	}
	return int64(p.RetryBudgetPercent)
}

// tries follows the attempts to place one call.
type tries struct {
	policy  *object.PolicySpec
	budget  *budget
	free    int  // tries left that are not charged
	unsent  bool // refusals before the target saw the call are never charged
	repeats int  // of the call, charged to the budget
	skip    []string
	charged bool // the next try is one of repeats
	late    bool // the next try goes to a gate that may make the call late
	last    *refusal
	barred  bar // why there is no further try
}

// bar names why a call is not sent again; "" when it may be.
type bar string

const (
	barRetried  bar = "retried"  // another level has retried already
	barBody     bar = "body"     // the body is not kept
	barGone     bar = "gone"     // the caller left, or the node stops
	barTime     bar = "time"     // no time is left
	barStatus   bar = "status"   // the refusal is final
	barKind     bar = "kind"     // it may have run and must not run twice
	barAttempts bar = "attempts" // of the policy
	barFree     bar = "hops"     // nodes that may be asked without charge
	barBudget   bar = "budget"   // of the service's repeats
)

// again takes the refusal of one node and reports whether the call goes to
// another one.
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
	// firstTryLate is the probability of being late from which a call is
	// refused without asking any node, and askAnyway the share of such calls
	// that ask one all the same, so that the states stay known.
	firstTryLate = 0.8
	askAnyway    = 0.25
	// nextTryLate is the same for a further node after a refusal: a hop to a
	// node that refuses the call as well only costs its caller time.
	nextTryLate = 0.5
)

// kind returns how the try that follows is counted.
func (t *tries) kind() int {
	if t.charged {
		return triesRepeat
	}
	return triesFree
}

// futile reports whether the picked endpoint's node would probably refuse the
// call. random is from 0 to 1.
func (t *tries) futile(p *balance.Picked, random float64) bool {
	switch {
	case t.late:
		return false
	case t.last != nil && t.last.crowded:
		return p.Late > nextTryLate
	}
	return p.Late > firstTryLate && random > askAnyway
}

// beLate reports whether a call that no gate admits in time is sent once more to
// run late.
func (t *tries) beLate(c *call, f *refusal) bool {
	if t.late || !f.crowded || c.work.target.IsZero() || time.Until(c.work.target) > 0 {
		return false
	}
	t.late, t.skip = true, nil
	return true
}

// charge takes the cost of one more try, or tells why there is none.
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

// end returns how the call ended; f is a reason of this node, or nil.
func (t *tries) end(f *refusal) *refusal {
	if t.last == nil {
		return f
	}
	made := t.repeats
	if f != nil {
		made-- // no node was left for the last one
	}
	t.last.retried = t.last.retried || made > 0
	return t.last
}

// budget limits the retries of one service to a share of its calls.
type budget struct {
	hundredths atomic.Int64
	reserve    int64 // hundredths
}

// newBudget returns a full budget; reserve is its size in repeats.
func newBudget(reserve int) *budget {
	b := &budget{reserve: int64(reserve) * budgetUnit}
	b.hundredths.Store(b.reserve)
	return b
}

// deposit counts one call.
func (b *budget) deposit(percent int64) {
	for {
		now := b.hundredths.Load()
		if now >= b.reserve || b.hundredths.CompareAndSwap(now, min(now+percent, b.reserve)) {
			return
		}
	}
}

// withdraw takes the cost of one retry, or reports false.
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

// budgetOf returns the budget of a service.
func (o *Outbound) budgetOf(service string) *budget {
	if b, ok := o.budgets.Load(service); ok {
		return b.(*budget)
	}
	b, _ := o.budgets.LoadOrStore(service, newBudget(o.opts.Retries.Reserve))
	return b.(*budget)
}

// barOf returns why the call may not be sent again after the refusal, whatever it
// costs, or "".
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
		return true // the owner's ledger runs it at most once
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

// retriesOf returns how often a call may reach a further target.
func retriesOf(p *object.PolicySpec) int {
	switch {
	case p != nil && p.Retries > 0:
		return p.Retries
	case p != nil && p.MaxAttempts > 0:
		return p.MaxAttempts - 1
	}
	return defaultRetries
}
