// Package object defines the configuration objects that operators publish, their
// canonical encoding and the validation of a set of objects.
package object

import (
	"strings"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindService      Kind = "Service"
	KindRoute        Kind = "Route"
	KindEndpointSet  Kind = "EndpointSet"
	KindPolicy       Kind = "Policy"
	KindListener     Kind = "Listener"
	KindOrganisation Kind = "Organisation"
)

// Kinds lists every kind in alphabetical order.
var Kinds = []Kind{KindEndpointSet, KindListener, KindPolicy, KindRoute, KindService, KindOrganisation}

// Key identifies an object in a set.
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

// Object is one configuration object. Only the spec that matches Kind is set.
// Objects in a snapshot are immutable. The JSON form has the fields kind, name,
// revision, author and spec.
type Object struct {
	Kind     Kind
	Name     string
	Revision uint64 // configuration version that last changed the object
	Author   string // operator who last changed the object

	Service      *ServiceSpec
	Route        *RouteSpec
	EndpointSet  *EndpointSetSpec
	Policy       *PolicySpec
	Listener     *ListenerSpec
	Organisation *OrganisationSpec
}

// Key returns the identity of the object.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// ServiceSpec refers to the endpoints and the policy of a service.
type ServiceSpec struct {
	EndpointSet    string `json:"endpointSet"`
	Policy         string `json:"policy,omitempty"`
	Protocol       string `json:"protocol,omitempty"`       // empty or "http"
	HealthPath     string `json:"healthPath,omitempty"`     // path of the targets' health check
	MaxConnections int    `json:"maxConnections,omitempty"` // concurrent connections that one target accepts
}

// WorkKind classifies calls. It determines the default priority and timeout of
// a call and its queue at a gate.
type WorkKind string

// The kinds of work, the most important first.
const (
	WorkBid      WorkKind = "bid"
	WorkUpload   WorkKind = "upload"
	WorkPage     WorkKind = "page"
	WorkDownload WorkKind = "download" // a page with a large response
)

// RouteSpec routes requests to one service, or to several by weight.
type RouteSpec struct {
	Host       string            `json:"host,omitempty"` // matched exactly; empty matches every host
	PathPrefix string            `json:"pathPrefix"`
	Service    string            `json:"service,omitempty"` // empty if Split is set
	Split      []WeightedService `json:"split,omitempty"`
	Policy     string            `json:"policy,omitempty"`
	Kind       WorkKind          `json:"kind,omitempty"`       // default page
	Fallback   string            `json:"fallback,omitempty"`   // route used when the service has no reachable endpoint
	RequireKey bool              `json:"requireKey,omitempty"` // calls need the key of an Organisation
	// Unavailable, unless empty, is the reason why all calls are refused with 503. Such a
	// route has no service, split or fallback.
	Unavailable string `json:"unavailable,omitempty"`
}

// WeightedService is a service that receives a share of a route's calls.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum of the route's weights
}

// EndpointSetSpec selects targets by the service that they announce.
type EndpointSetSpec struct {
	Announce string `json:"announce"`           // service name that the targets announce
	MinReady int    `json:"minReady,omitempty"` // with fewer targets that are not ejected, ejected ones get calls too
}

// PolicySpec sets the timeouts, retries, queueing and ejection of calls. Zero
// values mean the defaults of the proxy.
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
	Priority        *int   `json:"priority,omitempty"`        // 0 is the highest; the default depends on the kind of work
	TargetLatencyMs int    `json:"targetLatencyMs,omitempty"` // latency up to which a response has its full value
	MaxAttempts     int    `json:"maxAttempts,omitempty"`     // endpoints per call; 0 for no limit besides Retries
}

// Repeat sets whether a call is idempotent, that is whether it may run more than
// once.
type Repeat string

// The values of Repeat.
const (
	RepeatByMethod Repeat = ""       // depends on IdempotentMethods
	RepeatAlways   Repeat = "always" // idempotent with any method
	RepeatNever    Repeat = "never"  // at most once, with any method
)

// ListenerSpec limits the size and duration of callers' requests. Zero values
// mean the defaults of the proxy.
type ListenerSpec struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes    int64 `json:"maxBodyBytes,omitempty"`
	HeaderTimeoutMs int   `json:"headerTimeoutMs,omitempty"` // to receive the header of one request
	IdleTimeoutMs   int   `json:"idleTimeoutMs,omitempty"`   // between requests on a connection
}

// EjectionSpec configures outlier ejection of targets. Zero values mean the
// defaults of the balancer.
type EjectionSpec struct {
	ConsecutiveFailures int `json:"consecutiveFailures,omitempty"` // consecutive failures that eject a target
	BaseMs              int `json:"baseMs,omitempty"`              // duration of the first ejection
	MaxPercent          int `json:"maxPercent,omitempty"`          // above this percentage, ejected targets get calls too
}
