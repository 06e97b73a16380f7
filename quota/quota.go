// Package quota keeps the calls of each organisation within its quota, over all
// instances together, whether they are in touch or not.
//
// Credit for one call (a token) comes into being at the organisation's rate. The right to
// create it is divided among the instances: each has the fraction 1/instances. It
// pledges the fraction to one pool, an instance that creates the credit of all
// pledges and grants it to those that ask, by demand; while no pool answers, the
// instance creates its own. A fraction is used by one party at a time, and credit
// lapses a fixed time after it came into being. No interleaving of crashes, cuts and
// delays therefore lets more calls pass than the quota and its tolerance allow.
//
// The Ledger (at the callers' nodes) and the Pool decide; they use neither the
// network nor a clock. The Service connects them. docs/design/quota.md gives the
// proof and the alternatives.
package quota

import (
	"time"

	"siskingw/organisation"
)

// Bounds is the tolerance of quotas: in no Window may more calls of an organisation be
// made than (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64 // calls
}

// DefaultBounds applies where the settings state none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

const (
	// useOfLimit is the part of the limit, 0 to 1, that is used. The rest covers
	// instances whose views of the number of instances differ, and steady clocks
	// that run at different rates.
	useOfLimit = 0.97
	// aimedRate is the rate, relative to that of the quota, at which credit is created
	// at least, where the tolerance allows it, and maxRate the highest. The rest of the tolerance is the life of credit:
	// at 1.4, two fifths of the credit of a fleet of 83 lapsed unused, and two fifths
	// of the calls had to wait for the pool.
	aimedRate = 1.05
	maxRate   = 1.5
	// minLife and maxLife bound the life of credit: it must outlast the intervals
	// between questions, and a longer life costs rate.
	minLife = 700 * time.Millisecond
	maxLife = 2500 * time.Millisecond
	// shortestLife replaces minLife where that would leave less than the rate of the
	// quota.
	shortestLife = 200 * time.Millisecond
	// grantPart is the part of the life of credit that it may spend at the instance
	// that it was granted to, up to maxGrantLife; the rest it may spend in the pool,
	// where it is there for everyone.
	grantPart    = 0.65
	maxGrantLife = 1300 * time.Millisecond
	// holdPart is the part of the life of granted credit for which the credit that an
	// instance holds would last. Credit that it holds and does not need lapses.
	holdPart = 0.5
	// minUse is the number of calls within the life of granted credit below which an
	// instance holds none: most of it would lapse. Its calls wait for the pool.
	minUse = 0.6
	// PledgeTime is how long a pledge binds an instance. A pledge counts from the
	// answer before the question that renews it, so that this must exceed two intervals
	// between questions. The credit of a pool that dies, and all credit of a fleet that
	// starts anew, is missing for that time.
	PledgeTime = 700 * time.Millisecond
)

// limit returns the number of calls for which credit may come into being within one
// window and one life of credit.
func (b Bounds) limit(t *organisation.Organisation) float64 {
	return useOfLimit * ((t.RatePerS*b.Window.Seconds()+t.Burst)*(1+b.Over) + b.Slack)
}

// life returns how long credit of the organisation is valid after it came into being. With
// credit that lives for a time A, at most rate x (Window + A) calls are made in a
// window.
func (b Bounds) life(t *organisation.Organisation) time.Duration {
	at := func(rate float64) time.Duration { // life at a rate relative to that of the quota
		return time.Duration(min(b.limit(t)/(rate*t.RatePerS)-b.Window.Seconds(), maxLife.Seconds()) * float64(time.Second))
	}
	return max(at(aimedRate), min(minLife, at(1)), shortestLife)
}

// rate returns the calls per second for which credit is created.
func (b Bounds) rate(t *organisation.Organisation) float64 {
	return min(b.limit(t)/(b.Window+b.life(t)).Seconds(), maxRate*t.RatePerS)
}

// grantLife returns the part of life after the moment of asking for the credit.
func (b Bounds) grantLife(t *organisation.Organisation) time.Duration {
	return min(time.Duration(grantPart*float64(b.life(t))), maxGrantLife)
}

// holding returns the credit, in calls, that an instance with the demand, in calls
// per second, holds.
func (b Bounds) holding(t *organisation.Organisation, demand float64) float64 {
	if demand*b.grantLife(t).Seconds() < minUse {
		return 0
	}
	return max(demand*b.grantLife(t).Seconds()*holdPart, 1)
}

// poolLife returns the part of life that credit may spend in the pool.
func (b Bounds) poolLife(t *organisation.Organisation) time.Duration {
	return b.life(t) - b.grantLife(t)
}

// Stamp is a moment on the clock of one process of a pool.
type Stamp struct {
	Pool        string // ID of the node; empty for none
	Incarnation uint64
	At          time.Duration // since the start of the process
}

// samePool reports whether both stamps are of one process.
func (s Stamp) samePool(o Stamp) bool { return s.Pool == o.Pool && s.Incarnation == o.Incarnation }

// Ask is what an instance tells a pool.
type Ask struct {
	Node        string
	Incarnation uint64
	Number      uint64  // rises with each Ask of one incarnation
	Echo        Stamp   // of the pool's last Answer; the pledge counts from it
	Pledge      float64 // fraction that the instance does not use itself, 0 to 1
	// Borrow marks a question that only asks for credit and changes no pledge; the
	// sender's fraction is pledged to another pool.
	Borrow bool
	Wants  []Want
}

// Want is the credit that an instance would like to have for an organisation.
type Want struct {
	Organisation string
	Tokens       float64 // to hold, beyond what it holds already
	Rate         float64 // demand, in calls per second
	Waiting      int     // calls that wait for credit
}

// Answer is what a pool replies.
type Answer struct {
	Stamp  Stamp
	Closed bool // the pool stops: it has given up the pledge and grants nothing more
	Grants []Grant
}

// Grant is the credit of one organisation, valid for Life from the moment of the Ask.
type Grant struct {
	Organisation string
	Tokens       int
	Life         time.Duration
	Scarce       bool // the organisation asks for more than its quota
}
