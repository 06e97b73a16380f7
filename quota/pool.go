package quota

import (
	"math"
	"sort"
	"sync"
	"time"

	"siskingw/organisation"
)

const (
	// wantAge is the age up to which a node's want counts as demand.
	wantAge = time.Second
	// scarceFactor is how much more than its share of the stock a node gets while
	// credit is scarce. At 1, what waits in the stock for the nodes that ask next
	// lapsed at times: with two nodes a quarter of the credit.
	scarceFactor = 2
	// scarceRate is the demand, relative to the rate of the credit, above which credit
	// is scarce. The demand of an organisation with a few calls a second is an estimate from
	// few calls, and a call that waits for a moment may still get credit.
	scarceRate = 1.3
	// maxPledgers bounds the memory of a pool to some MB.
	maxPledgers = 50_000
)

// Pool creates the credit of the pledges that it holds and grants it. Its methods
// are safe for concurrent use. Times are those of a steady clock.
type Pool struct {
	bounds  Bounds
	self    Stamp // of the process; At is not used
	started time.Time
	random  func() float64 // from 0 to 1

	mu        sync.Mutex
	closed    bool
	sum       float64   // of the fractions that are pledged at accruedTo
	nextEnd   time.Time // no pledge that is part of sum ends before
	pledges   map[string]pledge
	accrued   float64   // integral of the pledged fractions, in seconds
	accruedTo time.Time // moment up to which accrued holds
	history   []sample  // of accrued, ascending
	stocks    map[string]*stock
}

// pledge is the fraction that one node has given to the pool.
type pledge struct {
	incarnation, number uint64
	fraction            float64
	until               time.Time
}

// stock is the credit of one organisation that is not granted yet.
type stock struct {
	tokens  float64
	accrued float64 // value of Pool.accrued that tokens include
	wants   map[string]nodeWant

	allTokens, allRate float64   // sums of wants
	swept              time.Time // last time at which old wants were dropped
}

// nodeWant is the last want of one node.
type nodeWant struct {
	tokens, rate float64
	at           time.Time
}

// NewPool returns the pool of one process, which starts now. random returns numbers
// from 0 to 1.
func NewPool(node string, incarnation uint64, b Bounds, now time.Time, random func() float64) *Pool {
	return &Pool{bounds: b, self: Stamp{Pool: node, Incarnation: incarnation}, started: now, random: random,
		pledges: make(map[string]pledge), accruedTo: now, stocks: make(map[string]*stock)}
}

// Close makes the pool give up all pledges and grant nothing more.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	clear(p.pledges)
	p.sum = 0
	clear(p.stocks)
}

// Pledged returns the sum of the pledged fractions.
func (p *Pool) Pledged(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accrue(now)
}

// Answer records the pledge of an Ask and grants credit under the given organisations.
func (p *Pool) Answer(a Ask, set *organisation.Set, now time.Time) Answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := Answer{Stamp: p.self, Closed: p.closed}
	out.Stamp.At = now.Sub(p.started)
	if p.closed || !a.Borrow && !p.record(a, now) {
		return out
	}
	sum := p.accrue(now)
	p.forgetOrganisations(set)
	for _, w := range a.Wants {
		if t := set.Get(w.Organisation); t != nil && t.Limited() && w.Tokens > 0 {
			out.Grants = append(out.Grants, p.grant(a.Node, t, w, sum, now))
		}
	}
	return out
}

// record replaces the pledge of the node. It returns false for an Ask that a later
// one has overtaken: its pledge may have been withdrawn since.
func (p *Pool) record(a Ask, now time.Time) bool {
	old, known := p.pledges[a.Node]
	if known && (a.Incarnation < old.incarnation || a.Incarnation == old.incarnation && a.Number <= old.number) ||
		!known && len(p.pledges) >= maxPledgers {
		return false
	}
	p.accrue(now)
	next := pledge{incarnation: a.Incarnation, number: a.Number, until: now.Add(PledgeTime)}
	if a.Pledge > 0 && a.Pledge <= 1 && a.Echo.samePool(p.self) {
		// The node made the pledge after it got the stamp, so that it binds it for
		// this long at least.
		next.fraction = a.Pledge
		if until := p.started.Add(a.Echo.At + PledgeTime); until.Before(next.until) {
			next.until = until
		}
	}
	if old.until.After(now) {
		p.sum -= old.fraction
	}
	if next.until.After(now) {
		p.sum += next.fraction
		if p.nextEnd.After(next.until) {
			p.nextEnd = next.until
		}
	}
	if n := len(p.history); n > 0 {
		p.history[n-1].slope = max(p.history[n-1].slope, p.sum)
	}
	p.pledges[a.Node] = next
	return true
}

// accrue adds the credit of the time since the last call and returns the sum of
// the fractions that are pledged now.
func (p *Pool) accrue(now time.Time) (sum float64) {
	if now.Before(p.nextEnd) {
		p.accrued += p.sum * max(now.Sub(p.accruedTo), 0).Seconds()
	} else {
		p.accrueEach(now)
	}
	if now.After(p.accruedTo) {
		p.accruedTo = now
	}
	if n := len(p.history); n == 0 || now.Sub(p.history[n-1].at) >= historyStep {
		p.history = append(p.history, sample{at: now, accrued: p.accrued, slope: p.sum})
	}
	for len(p.history) > 1 && now.Sub(p.history[1].at) > maxLife {
		p.history = p.history[1:]
	}
	return p.sum
}

// accrueEach is accrue at the end of a pledge: each counts up to its own end.
func (p *Pool) accrueEach(now time.Time) {
	p.sum, p.nextEnd = 0, now.Add(PledgeTime)
	for node, g := range p.pledges {
		end := now
		if g.until.After(now) {
			p.sum += g.fraction
			if g.fraction > 0 && g.until.Before(p.nextEnd) {
				p.nextEnd = g.until
			}
		} else {
			end = g.until
		}
		if end.After(p.accruedTo) {
			p.accrued += g.fraction * end.Sub(p.accruedTo).Seconds()
		}
		if now.Sub(g.until) > forgetTime {
			delete(p.pledges, node)
		}
	}
}

// historyStep is the shortest time between two samples of the accrued credit.
const historyStep = 20 * time.Millisecond

// sample is the value of Pool.accrued at a time.
type sample struct {
	at      time.Time
	accrued float64
	slope   float64 // highest sum of pledged fractions from then to the next sample
}

// accruedAt returns an upper bound of the value of accrued at a time, by the samples
// before and after it. With the sample after it alone, a pool that was asked less often
// than its credit lapses had never any.
func (p *Pool) accruedAt(at time.Time) float64 {
	i := sort.Search(len(p.history), func(i int) bool { return !p.history[i].at.Before(at) })
	bound := p.accrued
	if i < len(p.history) {
		bound = p.history[i].accrued
	}
	if i > 0 {
		before := p.history[i-1]
		bound = min(bound, before.accrued+before.slope*at.Sub(before.at).Seconds())
	}
	return bound
}

// forgetOrganisations drops the stocks of organisations that the configuration has no more.
func (p *Pool) forgetOrganisations(set *organisation.Set) {
	if len(p.stocks) <= set.Len() {
		return
	}
	for name := range p.stocks {
		if set.Get(name) == nil {
			delete(p.stocks, name)
		}
	}
}

// forgetTime is how long after its end a pledge is kept, so that a delayed Ask
// cannot renew one that was withdrawn: an Ask whose echo is older adds nothing.
const forgetTime = 10 * PledgeTime

// grant takes credit for one node from the stock of the organisation: first for the calls
// that wait, then, if there is not enough for all that is wanted, in proportion. sum is
// the sum of the pledged fractions.
func (p *Pool) grant(node string, t *organisation.Organisation, w Want, sum float64, now time.Time) Grant {
	s := p.stocks[t.Name]
	if s == nil {
		s = &stock{wants: make(map[string]nodeWant)} // all that has accrued and is still valid
		p.stocks[t.Name] = s
	}
	valid := p.accrued - p.accruedAt(now.Add(-p.bounds.poolLife(t)))
	perSecond := p.bounds.rate(t)
	s.tokens = min(s.tokens+perSecond*(p.accrued-s.accrued), perSecond*valid)
	s.accrued = p.accrued
	all, rate := s.demand(node, nodeWant{tokens: w.Tokens, rate: w.Rate, at: now})
	tokens := max(p.round(w.Tokens), float64(w.Waiting))
	if waiting := float64(w.Waiting); all > s.tokens {
		left := max(s.tokens-waiting, 0)
		tokens = waiting + p.round(max(w.Tokens-waiting, 0)*min(scarceFactor*left/all, 1))
	}
	tokens = max(min(tokens, math.Floor(s.tokens)), 0)
	s.tokens -= tokens
	return Grant{Organisation: t.Name, Tokens: int(tokens), Life: p.bounds.grantLife(t),
		Scarce: tokens < w.Tokens && rate > scarceRate*perSecond*sum}
}

// round rounds a share to a whole number with the share as its mean: a fraction of
// a call cannot be made, and rounding down would starve nodes with a small share.
func (p *Pool) round(share float64) float64 {
	whole := math.Floor(share)
	if p.random() < share-whole {
		whole++
	}
	return whole
}

// demand records the want of a node and returns the sums of the recent wants, in
// calls and in calls per second.
func (s *stock) demand(node string, w nodeWant) (tokens, rate float64) {
	if w.at.Sub(s.swept) > wantAge/4 {
		s.sweep(w.at)
	}
	old := s.wants[node]
	s.wants[node] = w
	s.allTokens += w.tokens - old.tokens
	s.allRate += w.rate - old.rate
	return s.allTokens, s.allRate
}

// sweep drops old wants and adds up the others.
func (s *stock) sweep(now time.Time) {
	s.swept, s.allTokens, s.allRate = now, 0, 0
	for node, w := range s.wants {
		if now.Sub(w.at) > wantAge {
			delete(s.wants, node)
			continue
		}
		s.allTokens += w.tokens
		s.allRate += w.rate
	}
}
