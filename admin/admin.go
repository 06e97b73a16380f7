// Package admin is the operators' HTTP API of a node and its client.
//
//	POST   /v1/apply                  publish.Request -> publish.Result
//	GET    /v1/objects[?kind=]        -> Objects, as in force on this node
//	GET    /v1/objects/{kind}/{name}  -> object
//	DELETE /v1/objects/{kind}/{name}?operation=&author=&basedOn=&since= -> publish.Result
//	GET    /v1/history[?limit=]       -> History
//	GET    /v1/status                 -> Status
//	GET    /v1/version                -> Version
//
// Failures answer with an Error and a status code that follows its type.
package admin

import (
	"time"

	"siskingw/object"
	"siskingw/publish"
	"siskingw/snapshot"
)

// Objects lists objects of the version in force on the asked node.
type Objects struct {
	Version uint64           `json:"version"` // 0: no version is in force
	Objects []*object.Object `json:"objects"`
}

// History lists versions, latest first.
type History struct {
	Entries []publish.Entry `json:"entries"`
}

// Version is the version in force on the asked node.
type Version struct {
	Version uint64          `json:"version"` // 0: none yet
	Digest  snapshot.Digest `json:"digest"`
}

// Status tells which version is in force where, as the asked node knows it.
// It is never ahead of the truth.
type Status struct {
	Node    string   `json:"node"`    // that answers
	Version uint64   `json:"version"` // in force on that node
	Domains []Domain `json:"domains"` // sorted by name
}

// Domain is the state of one failure domain.
type Domain struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	// InForce is the version that every member has confirmed at least; 0
	// while any member's confirmation is missing.
	InForce   uint64   `json:"inForce"`
	Members   int      `json:"members"`
	Confirmed int      `json:"confirmed"`          // members that run the latest known version
	Laggards  []string `json:"laggards,omitempty"` // some of the others, by node id
	// UnreachableSince is set while the failure domain cannot be asked.
	UnreachableSince *time.Time `json:"unreachableSince,omitempty"`
}

// State is the answer about one failure domain and one version.
type State string

// The states of a failure domain.
const (
	StateInForce     State = "in force"
	StatePending     State = "pending"
	StateUnreachable State = "unreachable"
)

// StateOf returns the state of the version in the failure domain. A failure
// domain that cannot be asked is never in force.
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

// StatusSource tells the state of the fleet.
type StatusSource interface {
	Status() Status
}
