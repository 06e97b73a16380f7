package proxy

import (
	"context"
	"net/http"
	"time"

	"siskingw/member"
	"siskingw/object"
)

// Balancer chooses the endpoint of a call.
type Balancer interface {
	// Pick returns an endpoint that is not in skip, or a NotRun error when none is left.
	Pick(set *object.EndpointSetSpec, ejection *object.EjectionSpec, skip []string) (Picked, error)
}

// Picked is a chosen endpoint; Done must be called once.
type Picked interface {
	Target() *member.Record
	Done(Report)
}

// Report tells the balancer how a call went.
type Report struct {
	Failed   bool          // the endpoint failed to take or to answer the call
	Refused  bool          // the endpoint's node refused the call
	Load     float64       // as the answer reports it; negative without a report
	Duration time.Duration // until the answer's header
}

// Gate admits calls to the target.
type Gate interface {
	// Enter waits for a slot; it returns a NotRun error when the call is refused.
	Enter(ctx context.Context, kind object.WorkKind) (Ticket, error)
	// Drain refuses new work from now on.
	Drain()
	// Wait returns when no call is in flight.
	Wait(ctx context.Context) error
	// Load returns the calls in flight and queued, divided by the slots.
	Load() float64
}

// Ticket is a slot of the target.
type Ticket interface{ Leave() }

// Answer is a target's complete answer to keyed work.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Action is what the owner of a key does with a request.
type Action int

// The actions of a ledger.
const (
	Run     Action = iota + 1 // the key never ran: run it
	Replay                    // the key ran: give the stored answer
	Moved                     // the key never ran and another owner runs it
	Refused                   // the key never ran and is not taken now
	Unknown                   // the key may have run
)

// Decision tells the inbound handler what to do with a key.
type Decision struct {
	Action  Action
	Answer  *Answer // for Replay
	Owner   string  // node id, for Moved
	Voucher string  // for Moved
}

// Ledger records the keys that this node owns and their runs.
type Ledger interface {
	// Begin waits while the key runs. It returns a NotRun error when the key
	// certainly did not run, an Invalid error for a key that no node minted,
	// and any other error when the key may have run.
	Begin(ctx context.Context, key, voucher string) (Decision, error)
	// Finish stores the target's answer.
	Finish(key string, a *Answer)
	// Lost marks a key that may have run; every repeat is unknown.
	Lost(key string)
	// NotRun marks a key that certainly did not run; a repeat may run.
	NotRun(key string)
}

// Keys mints and reads idempotency keys.
type Keys interface {
	Mint(owner *member.Record, now time.Time) string
	// Owner returns the node and the incarnation that a key names, or an
	// Invalid error for a key that no node minted.
	Owner(key string) (id string, incarnation uint64, err error)
}
