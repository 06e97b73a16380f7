package proxy

import (
	"siskingw/admit"
)

// cause names why a call was refused or lost: a label of the metrics and a field
// of log lines. Nodes tell each other the causes of their refusals.
type cause string

const (
	causeRequest      cause = "bad_request"      // the caller's request is not acceptable
	causeBody         cause = "body"             // the request's body did not arrive
	causeCallerGone   cause = "caller_gone"      // the caller's connection ended
	causeNoConfig     cause = "no_configuration" // no version is in force
	causeNoRoute      cause = "no_route"
	causeNoTime       cause = "no_time" // the stated deadline is over
	causeNoEndpoint   cause = "no_endpoint"
	causeFull         cause = "all_full" // every endpoint is expected to be full
	causeStopping     cause = "stopping"
	causeNoTarget     cause = "no_target"     // the instance has none at the moment
	causeOtherService cause = "other_service" // the instance has a target of another service
	causeTarget       cause = "target"        // the target itself refused
	causeUnreachable  cause = "unreachable"   // no connection to the next hop
	causeUnsent       cause = "unsent"        // nothing was sent on the connection
	causeLost         cause = "answer_lost"
	causeCut          cause = "answer_cut" // the answer broke off on its way
	causeKey          cause = "key"        // the ledger of idempotency keys refuses
	causeNode         cause = "node"       // another node refused and did not say why
)

// causes are all causes, as labels of the metrics.
var causes = append([]cause{
	causeRequest, causeBody, causeCallerGone, causeNoConfig, causeNoRoute, causeNoTime, causeNoEndpoint, causeFull,
	causeStopping, causeNoTarget, causeOtherService, causeTarget, causeUnreachable, causeUnsent, causeLost, causeCut,
	causeKey, causeNode,
}, gateCauses()...)

// gateCauses are the causes of a gate's refusals.
func gateCauses() []cause {
	names := admit.Causes()
	all := make([]cause, len(names))
	for i, name := range names {
		all[i] = cause(name)
	}
	return all
}

var knownCauses = func() map[cause]bool {
	known := make(map[cause]bool)
	for _, c := range causes {
		known[c] = true
	}
	return known
}()

// parseCause reads the cause that another node states. Unknown ones count as
// causeNode, so that other nodes cannot add labels to the metrics.
func parseCause(v string) cause {
	if c := cause(v); knownCauses[c] {
		return c
	}
	return causeNode
}
