package proxy

import (
	"net/http"
	"time"
)

// Edge translates between the header format of callers and targets and the
// proxy's own types. Nodes always use the Siskingw- headers between each other;
// an Edge applies only to the callers and the target of an instance.
type Edge interface {
	// Call reads a caller's request headers. It returns an Invalid error for
	// values that cannot be parsed.
	Call(h http.Header) (CallerStatement, error)
	// Refuse adds to the header of a refusal the fields for the caller.
	Refuse(h http.Header, s RefusalStatement)
	// Send adds to the header of a request the fields for the target.
	Send(h http.Header, s TargetStatement)
	// Answer reads the header of a target's response.
	Answer(resp *http.Response) AnswerStatement
}

// CallerStatement is the call metadata in a caller's request.
type CallerStatement struct {
	ID          string        // the caller's ID of this attempt; empty if callers send none
	Deadline    time.Duration // timeout of the caller, relative to the start of the request
	HasDeadline bool
}

// RefusalStatement is what a node tells a caller about a refusal, besides the
// status.
type RefusalStatement struct {
	NotRun     bool          // the call did not run and never will
	RetryAfter time.Duration // advised wait before a retry; 0 for no advice
}

// TargetStatement is the call metadata in a request to a target.
type TargetStatement struct {
	ID       string        // the caller's ID of this attempt
	Deadline time.Duration // time left until the call's deadline
	Instance string        // identity of the target that the call is meant for
	Caller   string        // name of the calling service
}

// AnswerStatement is the metadata in a target's response.
type AnswerStatement struct {
	ID      string // ID of the call that it responds to; empty if the target sends none
	Genuine bool   // the response is known to come from the target
	NotRun  bool   // the target did not run the call
	Other   bool   // the address now belongs to another target than the expected one
	Load    TargetLoad
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Known   bool // the response reported a load
	Running int  // calls that the target is running
	Waiting int  // calls that wait in the target's queue
	Slots   int  // calls that the target runs concurrently at most
}

// nativeEdge is the Edge for callers and targets that use the Siskingw- headers.
type nativeEdge struct{}

func (nativeEdge) Call(h http.Header) (CallerStatement, error) {
	v := h[HeaderDeadline]
	if len(v) == 0 {
		return CallerStatement{}, nil
	}
	d, err := ParseDeadline(v[0])
	return CallerStatement{Deadline: d, HasDeadline: true}, err
}

func (nativeEdge) Refuse(http.Header, RefusalStatement) {}

func (nativeEdge) Send(h http.Header, s TargetStatement) {
	h[HeaderDeadline] = []string{formatMs(s.Deadline)}
}

func (nativeEdge) Answer(*http.Response) AnswerStatement { return AnswerStatement{Genuine: true} }
