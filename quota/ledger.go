package quota

import (
	"slices"
	"sync"
	"time"

	"siskingw/organisation"
)

const (
	// demandTime is the time constant of the estimated demand.
	demandTime = time.Second
	// minWant is the smallest want, in calls, that is worth a message.
	minWant = 0.5
	// activeTime is how long after its last call an organisation still counts as active.
	activeTime = 5 * time.Second
	// contactTime is the age up to which an answer of a pool shows contact to it.
	contactTime = time.Second
	// scarceTime is how long an answer that credit is scarce holds, if no later one
	// comes: an interval between questions and the time of an answer.
	scarceTime = 600 * time.Millisecond
	// minReturn and maxReturn bound the time after which a refused caller is told to
	// come back. Callers ignore longer ones, and credit cannot come sooner than a
	// pool is asked.
	minReturn = 100 * time.Millisecond
	maxReturn = 1600 * time.Millisecond
	// startSpread is the time over which the callers come back that were refused
	// before there was any credit.
	startSpread = 400 * time.Millisecond
	// reserveTime is how long scarce credit must last for the calls that can be in
	// time before others get any: an interval between questions.
	reserveTime = askInterval
)

// Verdict is the decision about one call.
type Verdict int

// The decisions.
const (
	Allowed Verdict = iota
	Pending         // no credit is here, but a pool is being asked
	Refused
)

// String returns the verdict in words.
func (v Verdict) String() string {
	switch v {
	case Allowed:
		return "allowed"
	case Pending:
		return "waits for the pool"
	}
	return "refused"
}

// Credit is what one call has spent; it can be returned if the call has not run.
// The zero value is no credit.
type Credit struct {
	organisation string
	until        time.Time
}

// Ledger holds the credit of one instance. Its methods are safe for concurrent use.
// Times are those of a steady clock.
type Ledger struct {
	bounds      Bounds
	node        string
	incarnation uint64
	random      func() float64 // from 0 to 1

	mu       sync.Mutex
	fraction float64   // of the credit that the instance may create, see SetInstances
	promised Stamp     // pool that the fraction is pledged to; At is not used
	until    time.Time // end of the pledge, or of the one that an earlier process may have made
	number   uint64
	echo     Stamp // of the last answer
	answered time.Time
	accounts map[string]*account
	lenders  int // number of other pools that can be asked for credit
}

// NewLedger returns the ledger of a process that starts now. It has no credit: an
// earlier process may have spent it.
func NewLedger(node string, incarnation uint64, b Bounds, now time.Time, random func() float64) *Ledger {
	return &Ledger{bounds: b, node: node, incarnation: incarnation, random: random,
		until: now.Add(PledgeTime), accounts: make(map[string]*account)}
}

// SetInstances sets the number of instances among which quotas are divided; 0 if it
// is not known, so that the instance creates no credit.
func (l *Ledger) SetInstances(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fraction = 0
	if n > 0 {
		l.fraction = 1 / float64(n)
	}
}

// Decision is the decision about one call.
type Decision struct {
	Verdict Verdict
	Credit  Credit        // spent by an allowed call
	After   time.Duration // time after which a refused caller should come back
	Low     bool          // little credit is left, so that the pool should be asked soon
	Cause   string        // of a refusal, one of the constants below
}

// Causes of refusals.
const (
	CauseOver      = "over the quota"         // the organisation asks for more than its quota
	CauseNoCredit  = "no credit here"         // the pool had none for this instance in time
	CauseNoContact = "no pool can be reached" // and the instance's own credit is used up
)

// Take decides about one call of an organisation and takes its credit. It is Pending only
// if wait is set. first is false for a call that was Pending before; each call that
// was Pending is decided again.
func (l *Ledger) Take(t *organisation.Organisation, first, wait bool, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(l.accountOf(t.Name, now), t, first, wait, now)
}

// State is the credit of an organisation at one instance, and the decision that a call
// would get now.
type State struct {
	Decision
	Held    int     // credit granted to the instance and still valid, in calls
	Demand  float64 // calls per second at the instance
	Supply  float64 // credit granted to the instance per second
	Scarce  bool    // the last answer of a pool said that the organisation asks for more than its quota
	Pool    string  // node whose pool holds the instance's fraction; empty for none
	Contact bool    // the pool answers
}

// Peek returns the state of an organisation. It changes nothing.
func (l *Ledger) Peek(t *organisation.Organisation, now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := *newAccount(now)
	if known := l.accounts[t.Name]; known != nil {
		a = *known
		a.lots = slices.Clone(known.lots)
	}
	s := State{Held: a.held(now), Demand: a.rate(now), Supply: decayed(a.supply, now.Sub(a.supplyAt)),
		Scarce: now.Before(a.scarceTo), Contact: now.Sub(l.answered) < contactTime}
	if now.Before(l.until) {
		s.Pool = l.promised.Pool
	}
	s.Decision = l.take(&a, t, true, true, now)
	return s
}

// take decides about one call and changes nothing but the account.
func (l *Ledger) take(a *account, t *organisation.Organisation, first, wait bool, now time.Time) Decision {
	if first {
		a.demand = decayed(a.demand, now.Sub(a.demandAt)) + 1/demandTime.Seconds()
		a.demandAt = now
	} else {
		a.waiting = max(a.waiting-1, 0)
	}
	if until, ok := a.takeLot(now); ok {
		low := !now.Before(a.scarceTo) && float64(a.held(now)) <= l.bounds.holding(t, a.rate(now))/4
		return Decision{Credit: Credit{organisation: t.Name, until: until}, Low: low}
	}
	if l.takeOwn(a, t, now) {
		return Decision{} // its whole life is over at once: it cannot be returned
	}
	contact := now.Sub(l.answered) < contactTime
	scarce := now.Before(a.scarceTo)
	if wait && contact && !scarce {
		a.waiting++
		return Decision{Verdict: Pending}
	}
	d := Decision{Verdict: Refused, After: l.returnTime(a, contact, now), Cause: CauseNoCredit}
	switch {
	case !contact:
		d.Cause = CauseNoContact
	case scarce:
		d.Cause = CauseOver
	}
	return d
}

// TakeLate is Take for a call that has missed its target latency. While the organisation
// asks for more than its quota, such calls get only the credit that those which can
// be in time leave: the quota allows the same number of calls either way.
func (l *Ledger) TakeLate(t *organisation.Organisation, wait bool, now time.Time) Decision {
	if d, refused := l.refuseLate(t, now); refused {
		return d
	}
	return l.Take(t, true, wait, now)
}

func (l *Ledger) refuseLate(t *organisation.Organisation, now time.Time) (Decision, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accountOf(t.Name, now)
	a.late = decayed(a.late, now.Sub(a.lateAt)) + 1/demandTime.Seconds()
	a.lateAt = now
	inTime := max(a.rate(now)-a.late, 0)
	if !now.Before(a.scarceTo) || float64(a.held(now)) > inTime*reserveTime.Seconds() {
		return Decision{}, false
	}
	a.demand = a.rate(now) + 1/demandTime.Seconds()
	a.demandAt = now
	contact := now.Sub(l.answered) < contactTime
	return Decision{Verdict: Refused, After: l.returnTime(a, contact, now), Cause: CauseOver}, true
}

// Return gives back the credit of a call that has not run.
func (l *Ledger) Return(c Credit, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[c.organisation]; a != nil && now.Before(c.until) {
		a.addLot(lot{tokens: 1, until: c.until})
	}
}

// NewAsk returns the next question to a pool and makes the pledge that it states.
// A pledge to another pool is withdrawn first, by a question with no pledge to
// that pool: see Pledged.
func (l *Ledger) NewAsk(pool string, set *organisation.Set, now time.Time) Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	a := Ask{Node: l.node, Incarnation: l.incarnation, Number: l.number}
	if l.echo.Pool == pool {
		a.Echo = l.echo
		if !now.Before(l.until) || l.promised.samePool(l.echo) {
			l.dropOwn()
			a.Pledge, l.promised, l.until = l.fraction, l.echo, now.Add(PledgeTime)
		}
	}
	a.Wants = l.wants(set, now)
	return a
}

// NewWithdrawal returns the question that withdraws the pledge to the pool that
// holds it.
func (l *Ledger) NewWithdrawal() Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return Ask{Node: l.node, Incarnation: l.incarnation, Number: l.number}
}

// Pledged returns the node of the pool to which the fraction is pledged, or "".
func (l *Ledger) Pledged(now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until) {
		return l.promised.Pool
	}
	return ""
}

// Apply records the answer to an Ask that was made at the time asked.
func (l *Ledger) Apply(a Ask, r Answer, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Borrow {
		l.applyBorrowed(a, r, asked, now)
		return
	}
	if l.promised.samePool(r.Stamp) && (r.Closed || a.Pledge == 0) && a.Number == l.number && now.Before(l.until) {
		// The pool holds no pledge any more, and the answer is to the last question.
		l.promised, l.until = Stamp{}, now
	}
	if r.Stamp.Pool == l.promised.Pool && r.Stamp.Incarnation > l.promised.Incarnation && now.Before(l.until) {
		// The process that held the pledge has ended: this one listens in its place.
		l.promised, l.until = Stamp{}, now
	}
	if r.Closed {
		l.echo = Stamp{}
		return
	}
	l.echo, l.answered = r.Stamp, now
	for _, g := range r.Grants {
		acc := l.accounts[g.Organisation]
		if acc == nil {
			continue
		}
		acc.scarceAtHome = g.Scarce
		switch scarce := now.Before(acc.scarceTo); {
		case !g.Scarce:
			acc.scarceTo = time.Time{}
		case scarce || l.lenders == 0 || now.Before(acc.exhaustedTo):
			acc.scarceTo = now.Add(scarceTime)
		}
		acc.add(g, asked, now)
	}
}

// wants returns what the instance would like to have: for each active organisation the
// credit for its demand of one demandTime and some spare.
func (l *Ledger) wants(set *organisation.Set, now time.Time) []Want {
	var out []Want
	for name, a := range l.accounts {
		t := set.Get(name)
		if t == nil || !t.Limited() || now.Sub(a.demandAt) > activeTime {
			delete(l.accounts, name)
			continue
		}
		rate := a.rate(now)
		want := max(l.bounds.holding(t, rate)-float64(a.held(now)), float64(a.waiting))
		if want >= minWant && len(out) < maxWants {
			out = append(out, Want{Organisation: name, Tokens: want, Rate: rate, Waiting: a.waiting})
		}
	}
	return out
}

// takeOwn takes credit that the instance has created itself while its fraction was
// not pledged.
func (l *Ledger) takeOwn(a *account, t *organisation.Organisation, now time.Time) bool {
	if now.Before(l.until) {
		return false
	}
	from := a.ownTo
	if from.Before(l.until) {
		from = l.until
	}
	rate := l.bounds.rate(t) * l.fraction
	a.own = min(a.own+rate*now.Sub(from).Seconds(), rate*l.bounds.life(t).Seconds())
	a.ownTo = now
	if a.own < 1 {
		return false
	}
	a.own--
	return true
}

// dropOwn drops the credit that the instance has created but not spent: it is
// about to pledge its fraction.
func (l *Ledger) dropOwn() {
	for _, a := range l.accounts {
		a.own = 0
	}
}

// returnTime returns when a refused caller should come back. Each caller gets a
// later time, as credit comes at the rate of the supply here.
func (l *Ledger) returnTime(a *account, contact bool, now time.Time) time.Duration {
	supply := decayed(a.supply, now.Sub(a.supplyAt))
	if !contact && now.Before(l.until) { // then there is credit of the instance's own, or of the next pool
		return l.until.Sub(now) + minReturn + time.Duration(l.random()*float64(startSpread))
	}
	if !contact || supply < 1/maxReturn.Seconds() {
		return minReturn + time.Duration(l.random()*float64(maxReturn-minReturn))
	}
	if a.nextFree.Before(now) {
		a.nextFree = now
	}
	a.nextFree = a.nextFree.Add(time.Duration(float64(time.Second) / supply))
	if a.nextFree.Sub(now) > maxReturn {
		a.nextFree = now // the calls beyond are not within the quota; spread them over the same time
		return minReturn + time.Duration(l.random()*float64(maxReturn-minReturn))
	}
	return max(a.nextFree.Sub(now), minReturn) + time.Duration(l.random()*float64(minReturn))
}

// accountOf returns the account of an organisation; the first use creates it.
func (l *Ledger) accountOf(name string, now time.Time) *account {
	a := l.accounts[name]
	if a == nil {
		a = newAccount(now)
		l.accounts[name] = a
	}
	return a
}
