package proxy

import (
	"context"
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
