package admin

import (
	"context"
	"net/http"
)

// Rollouts lists the roll-outs of target versions that a node knows.
type Rollouts struct {
	Node     string    `json:"node"` // the node that answered
	Rollouts []Rollout `json:"rollouts"`
}

// Rollout is the state of the latest roll-out of a service.
type Rollout struct {
	Service      string         `json:"service"`
	Order        int64          `json:"order"`         // store revision of the order
	Era          int64          `json:"era,omitempty"` // era of the store that gave out the revision
	Version      string         `json:"version"`       // that the service moves to
	Base         string         `json:"base"`          // version that was in force before
	Phase        string         `json:"phase"`         // canary, moving, reverted or done
	SharePercent int            `json:"sharePercent,omitempty"`
	Reason       string         `json:"reason,omitempty"`
	Deciders     []string       `json:"deciders,omitempty"` // nodes that watch the store and state this phase
	NewTargets   int            `json:"newTargets"`
	OldTargets   int            `json:"oldTargets"`
	NodeCalls    uint64         `json:"nodeCalls"`    // calls of the asked node to the service since the order
	NodeNewCalls uint64         `json:"nodeNewCalls"` // those that tried the new version
	Verdict      string         `json:"verdict"`
	Answers      int            `json:"answers"`    // of the new version, from the whole fleet
	BadAnswers   int            `json:"badAnswers"` // failed or several times slower than usual
	Routes       []RolloutRoute `json:"routes,omitempty"`
}

// RolloutRoute is the evidence on one route.
type RolloutRoute struct {
	Route          string  `json:"route"`
	Verdict        string  `json:"verdict"`
	Answers        int     `json:"answers"`
	BadAnswers     int     `json:"badAnswers"`
	ControlAnswers int     `json:"controlAnswers"` // of the old targets that are compared
	ControlShare   float64 `json:"controlShare"`   // share of bad answers, 0..1, of the old version
	Ratio          float64 `json:"ratio"`          // log likelihood ratio; positive speaks against the version
}

// WithRollouts makes the API return the roll-outs that f lists. Without it the list
// is empty.
func (s *Server) WithRollouts(f func() Rollouts) *Server {
	s.rollouts = f
	return s
}

func (s *Server) listRollouts(*http.Request) (any, error) {
	if s.rollouts == nil {
		return Rollouts{}, nil
	}
	return s.rollouts(), nil
}

// Rollouts returns the roll-outs that the node knows.
func (c *Client) Rollouts(ctx context.Context) (Rollouts, error) {
	var out Rollouts
	err := c.do(ctx, http.MethodGet, "/v1/rollouts", nil, &out)
	return out, err
}
