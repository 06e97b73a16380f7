package proxy

import (
	"net/http"
	"slices"
	"sync/atomic"

	"siskingw/object"
)

const (
	defaultRetries       = 1
	defaultBudgetPercent = 10
	// budgetUnit is the cost of one retry in hundredths: each call deposits
	// the budget's percentage.
	budgetUnit = 100
	// budgetReserve lets a service with little traffic retry a few times, and
	// bounds the burst after a long time without failures.
	budgetReserve = 10 * budgetUnit
)

// budget limits the retries of one service to a share of its calls.
type budget struct {
	hundredths atomic.Int64
}

func newBudget() *budget {
	b := &budget{}
	b.hundredths.Store(budgetReserve)
	return b
}

// deposit counts one call.
func (b *budget) deposit(percent int64) {
	for {
		now := b.hundredths.Load()
		if now >= budgetReserve || b.hundredths.CompareAndSwap(now, min(now+percent, budgetReserve)) {
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
	b, _ := o.budgets.LoadOrStore(service, newBudget())
	return b.(*budget)
}

// mayRetry reports whether the call may be sent again after the refusal.
func mayRetry(c *call, p *object.PolicySpec, f *refusal) bool {
	if f.retried || !c.body.replayable() || c.ctx.Err() != nil || c.left() <= 0 {
		return false
	}
	switch f.status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return f.outcome == OutcomeNotRun || idempotent(c, p)
	}
	return false
}

// idempotent reports whether the call may run more than once.
func idempotent(c *call, p *object.PolicySpec) bool {
	if c.key != "" {
		return true // the owner's ledger runs it at most once
	}
	if p != nil && len(p.IdempotentMethods) > 0 {
		return slices.Contains(p.IdempotentMethods, c.r.Method)
	}
	switch c.r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

func retriesOf(p *object.PolicySpec) int {
	if p == nil || p.Retries <= 0 {
		return defaultRetries
	}
	return p.Retries
}

func budgetPercent(p *object.PolicySpec) int64 {
	if p == nil || p.RetryBudgetPercent <= 0 {
		return defaultBudgetPercent
	}
	return int64(p.RetryBudgetPercent)
}
