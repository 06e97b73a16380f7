package proxy

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"

	"siskingw/organisation"
	"siskingw/quota"
	"siskingw/snapshot"
)

const (
	// HeaderOrganisationKey is the API key of a caller that uses the Siskingw- headers.
	// It is never sent to another node or to a target.
	HeaderOrganisationKey = "Siskingw-Organisation-Key"
	// HeaderOrganisation states the organisation of a call: to the target's node its name and
	// its weight, separated by a semicolon; to a target that uses the Siskingw-
	// headers the name alone. Nodes that do not know it ignore it.
	HeaderOrganisation = "Siskingw-Organisation"
)

// identify determines the organisation of the call by its key, which it removes from the
// request at once, together with whatever the caller states about its organisation. It
// returns a refusal with status 401 if the route needs a key and the call has none
// of an organisation. In a configuration without organisations it does nothing.
func (o *Outbound) identify(c *call, snap *snapshot.Snapshot, res *snapshot.ResolvedRoute) *refusal {
	set := o.opts.Organisations.Of(snap)
	if set.Empty() {
		return nil
	}
	key := o.opts.HeaderFormat.TakeKey(c.r.Header)
	if c.organisation = set.OfKey(key); c.organisation != nil || res == nil || !res.Route.RequireKey {
		return nil
	}
	c.work.class = res.Name // for the log of decisions
	f := &refusal{status: http.StatusUnauthorized, outcome: OutcomeNotRun, cause: causeUnknownKey,
		reason: "the key belongs to no organisation", closeConn: c.bodyUnread()}
	if key == "" {
		f.cause, f.reason = causeMissingKey, "the route needs a key"
	}
	return f
}

// Quota keeps the calls of organisations within their quotas.
type Quota interface {
	// Acquire takes the credit for one call of an organisation with a quota. late is set
	// for a call that has missed its target latency.
	Acquire(ctx context.Context, t *organisation.Organisation, late bool) quota.Decision
	// Return gives back the credit of a call that has not run.
	Return(quota.Credit)
	// Peek returns the credit of an organisation at this instance and the decision that a
	// call would get now. It changes nothing.
	Peek(t *organisation.Organisation) quota.State
}

// spendQuota takes the credit for the call if its organisation has a quota. It returns a
// refusal with status 429 if there is none.
func (o *Outbound) spendQuota(c *call) *refusal {
	if !o.limited(c) {
		return nil
	}
	d := o.opts.Quota.Acquire(c.ctx, c.organisation, c.ask.late(c))
	if d.Verdict == quota.Allowed {
		c.credit = d.Credit
		return nil
	}
	return c.quotaRefusal(d)
}

// peekQuota returns the state of the organisation's quota at this node, and the refusal
// that spendQuota would return now. The state is nil if the call needs no credit.
func (o *Outbound) peekQuota(c *call) (*quota.State, *refusal) {
	if !o.limited(c) {
		return nil, nil
	}
	s := o.opts.Quota.Peek(c.organisation)
	if s.Verdict != quota.Refused {
		return &s, nil
	}
	return &s, c.quotaRefusal(s.Decision)
}

// limited reports whether the call needs credit of its organisation.
func (o *Outbound) limited(c *call) bool {
	return o.opts.Quota != nil && c.organisation != nil && c.organisation.Limited()
}

func (c *call) quotaRefusal(d quota.Decision) *refusal {
	return &refusal{status: http.StatusTooManyRequests, outcome: OutcomeNotRun, cause: causeQuota,
		reason: d.Cause, retryAfter: d.After, closeConn: c.bodyUnread()}
}

// bodyUnread reports whether the request has a body that the server has not read. It
// closes the connection after a refusal then, and the refusal must say so: a caller
// that sent the next request could not tell whether it was run.
func (c *call) bodyUnread() bool {
	_, buffered := c.r.Body.(*bufferedBody)
	return c.r.ContentLength != 0 && !buffered
}

// returnQuota gives back the credit of a call that has not run. Calls that are
// retried spend one credit, as a quota counts calls and not attempts.
func (o *Outbound) returnQuota(c *call, f *refusal) {
	if f != nil && f.outcome == OutcomeNotRun && c.credit != (quota.Credit{}) {
		o.opts.Quota.Return(c.credit)
	}
}

// setOrganisation adds the organisation of the call to its attributes; t may be nil. The
// priority of an organisation takes precedence over that of the route.
func (w *work) setOrganisation(t *organisation.Organisation) {
	if t == nil {
		return
	}
	w.organisation, w.weight = t.Name, t.Weight
	if t.Priority != nil {
		w.priority = *t.Priority
	}
}

// formatOrganisation returns the HeaderOrganisation value for the target's node.
func (w *work) formatOrganisation() string {
	return formatName(w.organisation) + ";" + strconv.FormatFloat(w.weight, 'g', -1, 64)
}

// parseOrganisation reads a HeaderOrganisation value of the caller's node. Without a valid
// weight the organisation has the default one.
func (w *work) parseOrganisation(v string) {
	name, weight, _ := strings.Cut(v, ";")
	w.organisation = parseName(name)
	if f, err := strconv.ParseFloat(weight, 64); err == nil && f > 0 && !math.IsInf(f, 0) {
		w.weight = f
	}
}

// TakeKey implements HeaderFormat.
func (nativeFormat) TakeKey(h http.Header) string {
	v := h[HeaderOrganisationKey]
	delete(h, HeaderOrganisationKey)
	delete(h, HeaderOrganisation)
	if len(v) != 1 {
		return ""
	}
	return v[0]
}
