package proxy

import (
	"net/http"
	"time"
)

// Edge translates the headers of callers and targets. Nodes always speak the
// Siskingw- headers to each other; an Edge is used only towards the callers and
// the target of an instance.
type Edge interface {
	// Call reads what a caller states about its call. It returns an Invalid
	// error for a statement that cannot be read.
	Call(h http.Header) (CallerStatement, error)
	// Refuse adds to the header of a refusal what the caller can use.
	Refuse(h http.Header, s RefusalStatement)
	// Send adds to the header of a request what the target must know.
	Send(h http.Header, s TargetStatement)
	// Answer reads what a target's answer states about itself.
	Answer(resp *http.Response) AnswerStatement
}

// CallerStatement is what a caller states about its call.
type CallerStatement struct {
	ID          string        // identifies this attempt of the caller; empty when callers send none
	Deadline    time.Duration // how long the caller waits
	HasDeadline bool
}

// RefusalStatement is what a node tells a caller besides the status.
type RefusalStatement struct {
	NotRun     bool          // the call has not run and never will
	RetryAfter time.Duration // when the caller should come back; 0 for no advice
}

// TargetStatement is what a node tells a target about a call.
type TargetStatement struct {
	ID       string        // as the caller stated it
	Deadline time.Duration // time that is left
	Instance string        // the target that the call is meant for
	Caller   string        // service on whose instance the call began
}

// AnswerStatement is what a target's answer states about itself.
type AnswerStatement struct {
	ID      string // of the call that it answers; empty when the target states none
	Genuine bool   // it is an answer of a target, not other bytes in the form of one
	NotRun  bool   // the target did not run the call
	Other   bool   // another target than the expected one has the address
	Load    TargetLoad
}

// TargetLoad is a target's load as its answer states it.
type TargetLoad struct {
	Known   bool
	Running int // calls
	Waiting int // calls
	Slots   int // calls that it runs at once
}

// nativeEdge is the Edge of callers and targets that use the nodes' own headers.
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
