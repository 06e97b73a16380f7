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
)

// Kinds lists every kind in alphabetical order.
var Kinds = []Kind{KindEndpointSet, KindPolicy, KindRoute, KindService}

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
}

// Key returns the identity of the object.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// ServiceSpec names the endpoints and the policy of a service.
type ServiceSpec struct {
	EndpointSet string `json:"endpointSet"`
	Policy      string `json:"policy,omitempty"`
	Protocol    string `json:"protocol,omitempty"` // only "http"
}

// WorkKind classifies calls; gates keep the kinds apart.
type WorkKind string

// The kinds of work from the most to the least important.
const (
	WorkBid    WorkKind = "bid"
	WorkUpload WorkKind = "upload"
	WorkPage   WorkKind = "page"
)

// RouteSpec maps requests to a service.
type RouteSpec struct {
	Host       string   `json:"host,omitempty"` // exact; empty matches every host
	PathPrefix string   `json:"pathPrefix"`
	Service    string   `json:"service"`
	Policy     string   `json:"policy,omitempty"`
	Kind       WorkKind `json:"kind,omitempty"`     // default page
	Fallback   string   `json:"fallback,omitempty"` // route used when the service has no reachable endpoint
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
}

// EjectionSpec sets when a failing target is left out and for how long.
type EjectionSpec struct {
	ConsecutiveFailures int `json:"consecutiveFailures,omitempty"`
	BaseMs              int `json:"baseMs,omitempty"`
	MaxPercent          int `json:"maxPercent,omitempty"`
}
