package admin

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"siskingw/balance"
	"siskingw/proxy"
	"siskingw/quota"
)

// Locator explains where calls would go. It is implemented by *proxy.Outbound.
type Locator interface {
	Where(q proxy.WhereQuery) (proxy.Placement, error)
}

// Where is the response to a request for the placement of a call.
type Where struct {
	Node         string           `json:"node"`
	Version      uint64           `json:"version"` // configuration in force on the node
	Route        string           `json:"route,omitempty"`
	Service      string           `json:"service,omitempty"`
	Parts        []WherePart      `json:"parts,omitempty"`
	Announce     string           `json:"announce,omitempty"`
	Priority     int              `json:"priority"`
	Repeatable   bool             `json:"repeatable"`
	TargetMs     int64            `json:"targetMs,omitempty"`
	TimeoutMs    int64            `json:"timeoutMs,omitempty"`
	Candidates   []WhereCandidate `json:"candidates"`
	Chosen       string           `json:"chosen,omitempty"`
	Reason       string           `json:"reason"`
	Status       int              `json:"status,omitempty"`       // of the refusal
	RefusedShare float64          `json:"refusedShare,omitempty"` // share of such calls, 0..1
	RetryAfterMs []int64          `json:"retryAfterMs,omitempty"` // shortest and longest advice
	Quota        *WhereQuota      `json:"quota,omitempty"`        // of the organisation; absent if it has none
}

// WhereQuota is the state of an organisation's quota at the node.
type WhereQuota struct {
	Verdict       string  `json:"verdict"`         // allowed, waits for the pool, or refused
	Cause         string  `json:"cause,omitempty"` // of the refusal
	Held          int     `json:"held"`            // credit at the node, in calls
	DemandPerS    float64 `json:"demandPerS"`      // calls at the node
	SupplyPerS    float64 `json:"supplyPerS"`      // credit that the node is granted
	Scarce        bool    `json:"scarce"`          // the pools say that the organisation asks for more than its quota
	Pool          string  `json:"pool,omitempty"`  // node that the node's fraction is pledged to
	PoolInContact bool    `json:"poolInContact"`
}

// WherePart is a weighted service of a route.
type WherePart struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
	Next    bool   `json:"next"`
}

// WhereCandidate is a target with the figures behind the choice.
type WhereCandidate struct {
	ID          string  `json:"id"`
	Domain      string  `json:"failureDomain"`
	State       string  `json:"state"`
	Share       float64 `json:"share"` // of such calls, 0..1
	Slots       int     `json:"slots"`
	OwnInFlight int64   `json:"ownInFlight"`
	Calls       float64 `json:"calls"` // estimated calls ahead
	ServiceMs   float64 `json:"serviceMs"`
	NewsAgeMs   float64 `json:"newsAgeMs,omitempty"` // absent without news
	Relayed     bool    `json:"relayed,omitempty"`
	Failed      float64 `json:"failed,omitempty"` // share of the recent calls, 0..1
	Ejected     bool    `json:"ejected,omitempty"`
	Late        float64 `json:"late"`
	Missed      float64 `json:"missed"`
	Loss        float64 `json:"loss"`
}

// RegisterWhere registers the handler for the placement of calls on mux. node is
// the id of the node.
func (s *Server) RegisterWhere(mux *http.ServeMux, node string, l Locator) {
	mux.HandleFunc("GET /v1/where", s.handle(func(r *http.Request) (any, error) {
		q := r.URL.Query()
		p, err := l.Where(proxy.WhereQuery{Method: q.Get("method"), Host: q.Get("host"), Path: q.Get("path"), Organisation: q.Get("organisation")})
		if err != nil {
			return nil, err
		}
		return toWhere(node, p), nil
	}))
}

func toWhere(node string, p proxy.Placement) Where {
	w := Where{Node: node, Version: p.Version, Route: p.Route, Service: p.Service, Announce: p.Announce,
		Priority: p.Priority, Repeatable: p.Repeatable, TargetMs: p.Target.Milliseconds(), TimeoutMs: p.Timeout.Milliseconds(),
		Candidates: []WhereCandidate{}, Chosen: p.Chosen, Reason: p.Reason, Status: p.Status, RefusedShare: p.RefusedShare}
	if p.RetryAfterMax > 0 {
		w.RetryAfterMs = []int64{p.RetryAfterMin.Milliseconds(), p.RetryAfterMax.Milliseconds()}
	}
	if p.Quota != nil {
		w.Quota = toWhereQuota(*p.Quota)
	}
	for _, part := range p.Parts {
		w.Parts = append(w.Parts, WherePart(part))
	}
	for _, k := range p.Candidates {
		w.Candidates = append(w.Candidates, toWhereCandidate(k))
	}
	return w
}

func toWhereQuota(s quota.State) *WhereQuota {
	return &WhereQuota{Verdict: s.Verdict.String(), Cause: s.Cause, Held: s.Held, DemandPerS: s.Demand,
		SupplyPerS: s.Supply, Scarce: s.Scarce, Pool: s.Pool, PoolInContact: s.Contact}
}

func toWhereCandidate(k balance.Candidate) WhereCandidate {
	return WhereCandidate{ID: k.ID, Domain: k.FailureDomain, State: k.State, Share: k.Share, Slots: k.Slots,
		OwnInFlight: k.OwnInFlight, Calls: k.Calls, ServiceMs: inMs(k.ServiceTime), NewsAgeMs: inMs(k.NewsAge),
		Relayed: k.Relayed, Failed: k.Failed, Ejected: k.Ejected, Late: k.Late, Missed: k.Missed, Loss: k.Loss}
}

func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Where returns where a call would go now on the node.
func (c *Client) Where(ctx context.Context, q proxy.WhereQuery) (Where, error) {
	var out Where
	v := url.Values{"method": {q.Method}, "host": {q.Host}, "path": {q.Path}, "organisation": {q.Organisation}}
	err := c.do(ctx, http.MethodGet, "/v1/where?"+v.Encode(), nil, &out)
	return out, err
}
