package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"

	"siskingw/admin"
	"siskingw/object"
	"siskingw/proxy"
)

// whereCommand implements "where", which explains where a call would go now.
type whereCommand struct{ query proxy.WhereQuery }

func (*whereCommand) name() string { return "where" }
func (*whereCommand) synopsis() string {
	return "tell where a call would go now, and why, without sending it"
}
func (*whereCommand) usage() string {
	return `[-method METHOD] [-host HOST] [-organisation NAME] PATH

Asks the node, as one of the caller's side, for the route, the weighted part, the
candidates with their figures and the age of these, the choice and the reason, or
the refusal with the advised delay; with -organisation also the organisation's quota here. It sends nothing and changes nothing.`
}

func (c *whereCommand) flags(f *flag.FlagSet) {
	f.StringVar(&c.query.Method, "method", "GET", "method of the call")
	f.StringVar(&c.query.Host, "host", "", "host of the call")
	f.StringVar(&c.query.Organisation, "organisation", "", "name of the organisation on whose behalf the call is made; none if empty")
}

func (c *whereCommand) run(ctx context.Context, e *env, args []string) error {
	if len(args) != 1 {
		return usageError("where needs one path")
	}
	c.query.Path = args[0]
	w, err := e.client.Where(ctx, c.query)
	if err != nil {
		return err
	}
	if e.format != "json" {
		printPlacement(e, w)
	}
	return e.print(w, candidateRows(w))
}

// printPlacement prints what precedes the table of candidates.
func printPlacement(e *env, w admin.Where) {
	fmt.Fprintf(e.out, "node %s, version %d\n", w.Node, w.Version)
	if w.Route != "" {
		fmt.Fprintf(e.out, "route %s, service %s, priority %d, target latency %d ms, timeout %d ms\n",
			object.QuoteUnprintable(w.Route), object.QuoteUnprintable(w.Service), w.Priority, w.TargetMs, w.TimeoutMs)
	}
	for _, p := range w.Parts {
		next := ""
		if p.Next {
			next = " (next)"
		}
		fmt.Fprintf(e.out, "part %s, weight %d%s\n", object.QuoteUnprintable(p.Service), p.Weight, next)
	}
	if q := w.Quota; q != nil {
		fmt.Fprintf(e.out, "quota: a call is now %s; credit for %d calls here, %.1f calls/s here, %.1f calls/s granted, %s\n",
			q.Verdict, q.Held, q.DemandPerS, q.SupplyPerS, poolOf(q))
	}
	if w.Chosen != "" {
		fmt.Fprintf(e.out, "goes to %s: %s\n", w.Chosen, w.Reason)
	}
	if w.Status != 0 {
		fmt.Fprintf(e.out, "%.0f%% of such calls are refused with %d: %s\n", 100*w.RefusedShare, w.Status, object.QuoteUnprintable(w.Reason))
	}
	if len(w.RetryAfterMs) == 2 {
		fmt.Fprintf(e.out, "Retry-After %d to %d ms\n", w.RetryAfterMs[0], w.RetryAfterMs[1])
	}
}

// poolOf returns what the pools said last.
func poolOf(q *admin.WhereQuota) string {
	switch {
	case !q.PoolInContact:
		return "no pool answers"
	case q.Scarce:
		return "the organisation asks for more than its quota"
	}
	return "credit is not scarce"
}

// candidateRows returns the table of candidates.
func candidateRows(w admin.Where) [][]string {
	if len(w.Candidates) == 0 {
		return nil
	}
	rows := [][]string{{"TARGET", "DOMAIN", "STATE", "SHARE", "CALLS/SLOTS", "OWN", "SERVICE MS", "NEWS MS", "FAILED", "LATE", "LOSS"}}
	for _, k := range w.Candidates {
		rows = append(rows, []string{k.ID, k.Domain, stateOf(k), percent(k.Share), fmt.Sprintf("%.1f/%d", k.Calls, k.Slots),
			strconv.FormatInt(k.OwnInFlight, 10), fmt.Sprintf("%.1f", k.ServiceMs), newsOf(k),
			percent(k.Failed), percent(k.Late), fmt.Sprintf("%.3f", k.Loss)})
	}
	return rows
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }

func stateOf(k admin.WhereCandidate) string {
	if k.Ejected {
		return "ejected"
	}
	return k.State
}

// newsOf returns the age of the news about a candidate; "-" without any.
func newsOf(k admin.WhereCandidate) string {
	switch {
	case k.NewsAgeMs == 0:
		return "-"
	case k.Relayed:
		return fmt.Sprintf("%.0f relayed", k.NewsAgeMs)
	}
	return fmt.Sprintf("%.0f", k.NewsAgeMs)
}
