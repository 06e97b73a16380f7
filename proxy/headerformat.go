package proxy

import (
	"net/http"
	"time"
)

// HeaderFormat translates between the header format of callers and targets and
// the proxy's own types. Nodes always use the Siskingw- headers between each
// other; a HeaderFormat applies only to the callers and the target of an instance.
type HeaderFormat interface {
	// ReadRequest reads a caller's request headers. It returns an Invalid error
	// for values that cannot be parsed.
	ReadRequest(h http.Header) (CallerInfo, error)
	// TakeKey removes from a caller's request the API key and any organisation that the
	// caller states, and returns the key; "" for none or more than one. Nothing
	// else may see the key.
	TakeKey(h http.Header) (key string)
	// WriteRefusal adds to the header of a refusal the fields for the caller.
	WriteRefusal(h http.Header, s RefusalInfo)
	// WriteRequest adds to the header of a request the fields for the target.
	WriteRequest(h http.Header, s TargetInfo)
	// ReadResponse reads the header of a target's response.
	ReadResponse(resp *http.Response) ResponseInfo
}

// CallerInfo is the call metadata in a caller's request.
type CallerInfo struct {
	ID          string        // the caller's ID of this attempt; empty if callers send none
	Deadline    time.Duration // timeout of the caller, relative to the start of the request
	HasDeadline bool
}

// RefusalInfo is what a node tells a caller about a refusal, besides the status.
type RefusalInfo struct {
	NotRun     bool          // the call did not run and never will
	RetryAfter time.Duration // advised wait before a retry; 0 for no advice
}

// TargetInfo is the call metadata in a request to a target.
type TargetInfo struct {
	ID           string        // the caller's ID of this attempt
	Deadline     time.Duration // time left until the call's deadline
	Instance     string        // identity of the target that the call is meant for
	Caller       string        // name of the calling service
	Organisation string        // organisation on whose behalf the call is made; empty for none
}

// ResponseInfo is the metadata in a target's response.
type ResponseInfo struct {
	ID          string // ID of the call that it responds to; empty if the target sends none
	FromTarget  bool   // the response is known to come from the target
	NotRun      bool   // the target did not run the call
	OtherTarget bool   // the address now belongs to another target than the expected one
	Load        TargetLoad
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Known   bool // the response reported a load
	Running int  // calls that the target is running
	Waiting int  // calls that wait in the target's queue
	Slots   int  // calls that the target runs concurrently at most
	// Slowness is how long work takes on the target's machine at this moment,
	// relative to the usual time; 0 if the target does not state it.
	Slowness float64
}

// nativeFormat is the HeaderFormat of callers and targets that use the Siskingw-
// headers.
type nativeFormat struct{}

func (nativeFormat) ReadRequest(h http.Header) (CallerInfo, error) {
	v := h[HeaderDeadline]
	if len(v) == 0 {
		return CallerInfo{}, nil
	}
	d, err := ParseDeadline(v[0])
	return CallerInfo{Deadline: d, HasDeadline: true}, err
}

func (nativeFormat) WriteRefusal(http.Header, RefusalInfo) {}

func (nativeFormat) WriteRequest(h http.Header, s TargetInfo) {
	h[HeaderDeadline] = []string{formatMs(s.Deadline)}
	if s.Organisation != "" {
		h[HeaderOrganisation] = []string{s.Organisation}
	}
}

func (nativeFormat) ReadResponse(*http.Response) ResponseInfo { return ResponseInfo{FromTarget: true} }
