package quota

import (
	"math"
	"time"
)

// account is the credit of one organisation.
type account struct {
	lots     []lot // granted credit, by the end of its life
	own      float64
	ownTo    time.Time // moment up to which own holds
	demand   float64   // calls per second, decaying
	demandAt time.Time
	late     float64 // part of demand of calls that have missed their target latency
	lateAt   time.Time
	supply   float64 // granted credit per second, decaying
	supplyAt time.Time
	scarceTo time.Time // until then the organisation asks for more than its quota
	waiting  int       // calls that are Pending
	nextFree time.Time

	// Credit of other regions.
	borrowing    float64   // calls that questions in flight ask for
	lender       int       // number of the pool that is asked next
	exhausted    int       // pools in a row that had too little
	exhaustedTo  time.Time // until then nothing is borrowed
	scarceAtHome bool      // the organisation asks for more than the credit of its own region
}

// lot is credit for whole calls with the same end.
type lot struct {
	tokens int
	until  time.Time
}

// add adds granted credit.
func (a *account) add(g Grant, asked, now time.Time) {
	a.supply = decayed(a.supply, now.Sub(a.supplyAt)) + float64(max(g.Tokens, 0))/demandTime.Seconds()
	a.supplyAt = now
	if until := asked.Add(min(g.Life, maxLife)); g.Tokens > 0 && now.Before(until) {
		a.addLot(lot{tokens: g.Tokens, until: until})
	}
}

func newAccount(now time.Time) *account {
	return &account{ownTo: now, demandAt: now, lateAt: now, supplyAt: now}
}

// takeLot takes credit for one call, of those that are valid the one that ends
// first, and returns its end.
func (a *account) takeLot(now time.Time) (until time.Time, ok bool) {
	a.dropEnded(now)
	if len(a.lots) == 0 {
		return time.Time{}, false
	}
	until = a.lots[0].until
	if a.lots[0].tokens--; a.lots[0].tokens == 0 {
		a.lots = a.lots[1:]
	}
	return until, true
}

// dropEnded drops the credit whose life has ended.
func (a *account) dropEnded(now time.Time) {
	for len(a.lots) > 0 && !now.Before(a.lots[0].until) {
		a.lots = a.lots[1:]
	}
}

// addLot adds credit in the order of its end.
func (a *account) addLot(n lot) {
	i := len(a.lots)
	for i > 0 && n.until.Before(a.lots[i-1].until) {
		i--
	}
	if i > 0 && a.lots[i-1].until.Equal(n.until) {
		a.lots[i-1].tokens += n.tokens
		return
	}
	a.lots = append(a.lots[:i], append([]lot{n}, a.lots[i:]...)...)
}

// held returns the valid credit, in calls.
func (a *account) held(now time.Time) (sum int) {
	a.dropEnded(now)
	for _, n := range a.lots {
		sum += n.tokens
	}
	return sum
}

// rate returns the demand in calls per second.
func (a *account) rate(now time.Time) float64 { return decayed(a.demand, now.Sub(a.demandAt)) }

// decayed returns a value after it has decayed for d.
func decayed(v float64, d time.Duration) float64 {
	return v * math.Exp(-d.Seconds()/demandTime.Seconds())
}
