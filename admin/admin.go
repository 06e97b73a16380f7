// Package admin implements the operators' HTTP API of a node and a client of it.
//
//	POST   /v1/apply                  publish.Request -> publish.Result
//	GET    /v1/objects[?kind=]        -> Objects, of the version in force on this node
//	GET    /v1/objects/{kind}/{name}  -> object
//	DELETE /v1/objects/{kind}/{name}?operation=&author=&basedOn=&since= -> publish.Result
//	GET    /v1/history[?limit=]       -> History
//	GET    /v1/status                 -> Status
//	GET    /v1/version                -> Version
//
// A failed request is answered with an Error and the status code of its type.
package admin

import (
	"time"

	"siskingw/buildinfo"
	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
)

// Objects lists objects of the version in force on the responding node.
type Objects struct {
	Version uint64           `json:"version"` // 0: no version is in force
	Objects []*object.Object `json:"objects"`
}

// History lists versions, newest first.
type History struct {
	Entries []publish.HistoryEntry `json:"entries"`
}

// Version is the version in force on the responding node, and the build of that node.
type Version struct {
	Version uint64          `json:"version"` // 0: no version is in force
	Digest  snapshot.Digest `json:"digest"`
	Build   buildinfo.Info  `json:"build"` // empty for a node of a build that does not state it
}

// Status reports which version is in force in each failure domain, as far as the
// responding node knows. It may lag behind the actual state, but never reports a
// version as in force before it is.
type Status struct {
	Node    string   `json:"node"`    // id of the responding node
	Version uint64   `json:"version"` // in force on that node
	Domains []Domain `json:"domains"` // sorted by name
	// Unavailable lists the routes that are unavailable in Version, sorted by name, up to
	// MaxUnavailable of them. UnavailableCount is the number of all.
	Unavailable      []UnavailableRoute `json:"unavailable,omitempty"`
	UnavailableCount int                `json:"unavailableCount,omitempty"`
	// StoreEra is the latest era of the store that the node has read, 0 for none, and
	// StoreEraSince when it read that first.
	StoreEra      int64      `json:"storeEra,omitempty"`
	StoreEraSince *time.Time `json:"storeEraSince,omitempty"`
}

// MaxUnavailable is the maximum number of unavailable routes that Status lists.
const MaxUnavailable = 100

// UnavailableRoute is a route whose calls are refused.
type UnavailableRoute struct {
	Route  string `json:"route"`
	Reason string `json:"reason"`
}

// AddUnavailable adds the unavailable routes of the version in force to s.
func (s *Status) AddUnavailable(routes []*object.Object) {
	s.UnavailableCount = len(routes)
	for _, o := range routes[:min(len(routes), MaxUnavailable)] {
		s.Unavailable = append(s.Unavailable, UnavailableRoute{Route: o.Name, Reason: o.Route.Unavailable})
	}
}

// Domain is the state of one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	// InForce is the lowest version that the members have confirmed, or 0 while
	// any member has not confirmed one.
	InForce   uint64   `json:"inForce"`
	Members   int      `json:"members"`
	Confirmed int      `json:"confirmed"`          // members that have confirmed the latest known version
	Laggards  []string `json:"laggards,omitempty"` // node ids of some of the other members
	// UnreachableSince is set while the failure domain cannot be queried.
	UnreachableSince *time.Time `json:"unreachableSince,omitempty"`
}

// State is the state of one version in one failure domain.
type State string

// The states of a version in a failure domain.
const (
	StateInForce     State = "in force"
	StatePending     State = "pending"
	StateUnreachable State = "unreachable"
)

// StateOf returns the state of the version in the failure domain. In a failure
// domain that cannot be queried no version counts as in force.
func (d Domain) StateOf(version uint64) State {
	switch {
	case d.UnreachableSince != nil:
		return StateUnreachable
	case d.InForce >= version && d.InForce > 0:
		return StateInForce
	}
	return StatePending
}

// InForce reports whether the version, or a later one, is in force in every
// failure domain. It is false when no failure domain is known.
func (s Status) InForce(version uint64) bool {
	for _, d := range s.Domains {
		if d.StateOf(version) != StateInForce {
			return false
		}
	}
	return len(s.Domains) > 0
}

// StatusSource provides the status that the API returns.
type StatusSource interface {
	Status() Status
}
