// Package object defines the named objects that operators declare, their
// canonical encoding and the validation of a whole set.
package object

import (
	"strings"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindService     Kind = "Service"
	KindRoute       Kind = "Route"
	KindEndpointSet Kind = "EndpointSet"
	KindPolicy      Kind = "Policy"
	KindListener    Kind = "Listener"
)

// Kinds lists every kind in alphabetical order.
var Kinds = []Kind{KindEndpointSet, KindListener, KindPolicy, KindRoute, KindService}

// Key identifies an object within a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Compare orders keys by kind and then by name.
func (k Key) Compare(other Key) int {
	if c := strings.Compare(string(k.Kind), string(other.Kind)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, other.Name)
}

// Object is one declared object. Exactly the spec that matches Kind is set.
// Objects in a snapshot are immutable. The JSON form has the fields kind,
// name, revision, author and spec.
type Object struct {
	Kind     Kind
	Name     string
	Revision uint64 // configuration version that last changed the object
	Author   string // operator who last changed the object

	Service     *ServiceSpec
	Route       *RouteSpec
	EndpointSet *EndpointSetSpec
	Policy      *PolicySpec
	Listener    *ListenerSpec
}

// Key returns the identity of the object.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// ServiceSpec names the endpoints and the policy of a service.
type ServiceSpec struct {
	EndpointSet    string `json:"endpointSet"`
	Policy         string `json:"policy,omitempty"`
	Protocol       string `json:"protocol,omitempty"`       // only "http"
	HealthPath     string `json:"healthPath,omitempty"`     // path of the targets' health check
	MaxConnections int    `json:"maxConnections,omitempty"` // connections that one target accepts
}

// WorkKind classifies calls; gates keep the kinds apart.
type WorkKind string

// The kinds of work from the most to the least important.
const (
	WorkBid    WorkKind = "bid"
	WorkUpload WorkKind = "upload"
	WorkPage   WorkKind = "page"
)

// RouteSpec maps requests to one service, or to several by weight.
type RouteSpec struct {
	Host       string     `json:"host,omitempty"` // exact; empty matches every host
	PathPrefix string     `json:"pathPrefix"`
	Service    string     `json:"service,omitempty"` // empty with Split
	Split      []Weighted `json:"split,omitempty"`
	Policy     string     `json:"policy,omitempty"`
	Kind       WorkKind   `json:"kind,omitempty"`     // default page
	Fallback   string     `json:"fallback,omitempty"` // route used when the service has no reachable endpoint
}

// Weighted is a service that gets a share of a route's calls.
type Weighted struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // share of the sum of the route's weights
}

// EndpointSetSpec selects announced targets.
type EndpointSetSpec struct {
	Announce string `json:"announce"`           // the service name that targets announce
	MinReady int    `json:"minReady,omitempty"` // no target is ejected below this count
}

// PolicySpec limits calls. Zero values mean the defaults of the proxy.
type PolicySpec struct {
	TimeoutMs          int           `json:"timeoutMs,omitempty"`
	Retries            int           `json:"retries,omitempty"`
	IdempotentMethods  []string      `json:"idempotentMethods,omitempty"`
	RetryBudgetPercent int           `json:"retryBudgetPercent,omitempty"`
	QueueLength        int           `json:"queueLength,omitempty"`
	QueueTimeoutMs     int           `json:"queueTimeoutMs,omitempty"`
	MaxBodyBytes       int64         `json:"maxBodyBytes,omitempty"`
	Ejection           *EjectionSpec `json:"ejection,omitempty"`

	Repeat          Repeat `json:"repeat,omitempty"`
	Priority        *int   `json:"priority,omitempty"`        // 0 is the most important; default by kind of work
	TargetLatencyMs int    `json:"targetLatencyMs,omitempty"` // time within which an answer has its full value
	MaxAttempts     int    `json:"maxAttempts,omitempty"`     // endpoints that one call may reach; 0 for no limit besides retries
}

// Repeat states whether a call may run more than once.
type Repeat string

// The values of Repeat.
const (
	RepeatByMethod Repeat = ""       // by IdempotentMethods
	RepeatAlways   Repeat = "always" // idempotent whatever the method
	RepeatNever    Repeat = "never"  // at most once whatever the method
)

// ListenerSpec bounds what callers may send and how long they may take. Zero
// values mean the defaults of the proxy.
type ListenerSpec struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes    int64 `json:"maxBodyBytes,omitempty"`
	HeaderTimeoutMs int   `json:"headerTimeoutMs,omitempty"` // for the header of one request
	IdleTimeoutMs   int   `json:"idleTimeoutMs,omitempty"`   // between requests on a connection
}

// EjectionSpec sets when a failing target is left out and for how long.
type EjectionSpec struct {
	ConsecutiveFailures int `json:"consecutiveFailures,omitempty"`
	BaseMs              int `json:"baseMs,omitempty"`
	MaxPercent          int `json:"maxPercent,omitempty"`
}
