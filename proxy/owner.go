package proxy

import (
	"encoding/json"
	"net/http"
	"time"

	"siskingw/balance"
	"siskingw/idem"
	"siskingw/member"
	"siskingw/object"
	"siskingw/snapshot"
)

// routeKeyed sends a keyed call to the owner that its key names and to no other
// node, unless the owner replies that it handed the key over.
func (o *Outbound) routeKeyed(c *call, res *snapshot.ResolvedRoute) *refusal {
	key, err := idem.Parse(c.key)
	if err != nil {
		f := badRequest(err.Error())
		f.authoritative = true // no owner can have run a malformed key
		return f
	}
	owner := o.opts.View.Lookup(key.Owner)
	if owner == nil || owner.Incarnation != key.Incarnation || owner.State == member.Dead || owner.State == member.Left {
		return notRun(causeKey, "the owner of the key is gone", nil)
	}
	if owner.Service != res.EndpointSet.Announce {
		return badRequest("the key belongs to another service")
	}
	b := o.retryBudgetOf(res.ServiceName)
	b.deposit(o.opts.Retries.budgetPercent(res.Policy))
	f := o.sendToOwner(c, owner, res.Policy, b)
	if f == nil || f.movedTo == "" {
		return f
	}
	newOwner := o.opts.View.Lookup(f.movedTo)
	if newOwner == nil || newOwner.Service != owner.Service {
		// The new owner may have run an earlier attempt that came through another
		// node; correctKeyedRefusal therefore reports unknown unless this is the
		// first attempt.
		return notRun(causeKey, "the new owner of the key is not known", nil)
	}
	c.voucher = f.voucher
	redirected := o.sendToOwner(c, newOwner, res.Policy, b)
	if redirected != nil && redirected.movedTo != "" {
		redirected.movedTo = "" // only one redirect is followed
	}
	return redirected
}

// sendToOwner sends a keyed call to one node and retries it there within the policy
// and the budget. Retries are safe because the node's ledger deduplicates them.
func (o *Outbound) sendToOwner(c *call, rec *member.Record, p *object.PolicySpec, b *retryBudget) *refusal {
	var last *refusal
	for retry := 0; ; retry++ {
		f := o.send(c, rec)
		if f == nil || f.aborted || f.movedTo != "" {
			return f
		}
		retryAllowed := retry < maxRetries(p) && !f.authoritative && noRetryReasonOf(c, p, f) == "" && b.withdraw()
		last = mergeRefusals(last, f)
		if !retryAllowed {
			last.retried = last.retried || retry > 0
			return last
		}
		if f.outcome == OutcomeUnknown {
			c.first = false // the failed attempt may still arrive at the owner
		}
		o.opts.Metrics.countRetry(retryCharged)
	}
}

// serveNodeAPI serves requests to the node itself, under reservedPrefix.
func (o *Outbound) serveNodeAPI(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != reservedPrefix+"keys":
		writeError(w, http.StatusNotFound, "no such resource")
	case r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		writeError(w, http.StatusMethodNotAllowed, "keys are minted with POST")
	default:
		o.mint(w, r.URL.Query().Get("service"))
	}
}

// mint responds with a new idempotency key, owned by an endpoint of the service.
func (o *Outbound) mint(w http.ResponseWriter, service string) {
	snap := o.opts.Current.Load()
	if snap == nil {
		writeError(w, http.StatusServiceUnavailable, "no configuration is in force yet")
		return
	}
	svc := snap.Get(object.Key{Kind: object.KindService, Name: service})
	if svc == nil {
		writeError(w, http.StatusNotFound, "service does not exist")
		return
	}
	set := snap.Get(object.Key{Kind: object.KindEndpointSet, Name: svc.Service.EndpointSet})
	picked, err := o.opts.Balancer.Pick(set.EndpointSet, nil, nil)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "the service has no endpoint")
		return
	}
	owner := picked.Record
	picked.Done(balance.Report{})
	writeJSON(w, http.StatusCreated, map[string]string{
		"key": idem.Mint(owner, time.Now()).String(), "owner": owner.ID,
	})
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderOutcome, OutcomeNotRun)
	writeJSON(w, status, map[string]string{"error": reason})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has disconnected
}
