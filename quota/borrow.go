package quota

import (
	"math"
	"time"
)

const (
	// exhaustedTime is how long the pools of the other regions are not asked for more credit
	// of an organisation after each of them had too little. Credit that comes into being
	// meanwhile is granted to the calls of its own region.
	exhaustedTime = 300 * time.Millisecond
	// borrowPart is the part of what an instance wants to hold below which it borrows
	// although no call waits.
	borrowPart = 0.5
)

// applyBorrowed records the answer to a question that asked another pool for credit.
func (l *Ledger) applyBorrowed(a Ask, r Answer, asked, now time.Time) {
	granted := make(map[string]Grant, len(r.Grants))
	for _, g := range r.Grants {
		granted[g.Organisation] = g
	}
	for _, w := range a.Wants {
		acc := l.accounts[w.Organisation]
		if acc == nil {
			continue
		}
		acc.borrowing = max(acc.borrowing-w.Tokens, 0)
		g := granted[w.Organisation]
		acc.add(g, asked, now)
		if float64(g.Tokens) >= math.Floor(w.Tokens) {
			acc.exhausted, acc.scarceTo = 0, time.Time{}
			continue
		}
		acc.lender++
		if acc.exhausted++; acc.exhausted >= l.lenders {
			acc.exhausted, acc.exhaustedTo = 0, now.Add(exhaustedTime)
			if acc.scarceAtHome {
				acc.scarceTo = now.Add(scarceTime)
			}
		}
	}
}

// Unanswered records that a question to another pool for credit was not answered.
func (l *Ledger) Unanswered(a Ask, now time.Time) { l.Apply(a, Answer{}, now, now) }

// NewBorrows returns the questions to the pools of other regions, by number below
// lenders, after the answer to an Ask that was made at the same time as it: for credit
// that calls wait for and that this pool did not have, or of which it had little.
// Each organisation's is asked of one pool; the next time of the next, if that had too
// little.
func (l *Ledger) NewBorrows(a Ask, r Answer, lenders int, now time.Time) map[int]Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lenders = lenders; lenders == 0 || r.Closed {
		return nil
	}
	granted := make(map[string]int, len(r.Grants))
	for _, g := range r.Grants {
		granted[g.Organisation] = g.Tokens
	}
	out := make(map[int]Ask)
	for _, w := range a.Wants {
		acc, got := l.accounts[w.Organisation], float64(granted[w.Organisation])
		if acc == nil || now.Before(acc.exhaustedTo) {
			continue
		}
		missing := max(float64(w.Waiting)-got, 0)
		if got < borrowPart*w.Tokens {
			missing = max(missing, w.Tokens-got)
		}
		if missing -= acc.borrowing; missing < 1 {
			continue
		}
		acc.borrowing += missing
		q := out[acc.lender%lenders]
		q.Node, q.Incarnation, q.Borrow = l.node, l.incarnation, true
		q.Wants = append(q.Wants, Want{Organisation: w.Organisation, Tokens: missing, Waiting: min(w.Waiting, int(missing))})
		out[acc.lender%lenders] = q
	}
	return out
}
