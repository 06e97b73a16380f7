package proxy

import (
	"siskingw/admit"
)

// cause is why a call was refused or its response was lost. It is a metric label
// and a log field, and nodes send it to each other in HeaderCause.
type cause string

const (
	causeBadRequest   cause = "bad_request"      // the caller's request is invalid
	causeBody         cause = "body"             // the request body did not arrive in full
	causeCallerGone   cause = "caller_gone"      // the caller disconnected
	causeNoConfig     cause = "no_configuration" // no configuration version has been applied yet
	causeNoRoute      cause = "no_route"
	causeUnavailable  cause = "unavailable" // the route is unavailable in the configuration in force
	causeMissingKey   cause = "missing_key" // the route needs an API key, and the call has none
	causeUnknownKey   cause = "unknown_key" // the API key belongs to no organisation
	causeQuota        cause = "quota"       // the organisation of the call has no credit left
	causeNoTime       cause = "no_time"     // less than 1 ms was left when the call arrived
	causeNoEndpoint   cause = "no_endpoint"
	causeAllFull      cause = "all_full" // every endpoint would probably refuse the call
	causeStopping     cause = "stopping"
	causeNoTarget     cause = "no_target"     // the instance has no target at the moment
	causeOtherService cause = "other_service" // the instance has a target of another service
	causeTarget       cause = "target"        // the target refused the call itself
	causeUnreachable  cause = "unreachable"   // no connection to the next hop could be made
	causeUnsent       cause = "unsent"        // the exchange ended before anything was sent
	causeAnswerLost   cause = "answer_lost"   // part of the request or all of it was sent, but no valid response header arrived
	causeAnswerCut    cause = "answer_cut"    // the response broke off before its end
	causeKey          cause = "key"           // the call was refused because of its idempotency key
	causeMemory       cause = "memory"        // the node has no memory for the call's bodies
	causeStreams      cause = "streams"       // too many calls hold slots of the target while their bodies arrive
	causeElsewhere    cause = "elsewhere"     // the target is full and another one has room
	causeOtherNode    cause = "node"          // another node refused without a known cause
)

// allCauses lists all causes, to register their metrics.
var allCauses = append([]cause{
	causeBadRequest, causeBody, causeCallerGone, causeNoConfig, causeNoRoute, causeUnavailable, causeMissingKey, causeUnknownKey, causeQuota, causeNoTime, causeNoEndpoint,
	causeAllFull, causeStopping, causeNoTarget, causeOtherService, causeTarget, causeUnreachable, causeUnsent,
	causeAnswerLost, causeAnswerCut, causeKey, causeMemory, causeStreams, causeElsewhere, causeOtherNode,
}, gateCauses()...)

// gateCauses returns the causes of refusals by the admission gate.
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
	for _, c := range allCauses {
		known[c] = true
	}
	return known
}()

// parseCause parses a HeaderCause value. Unknown ones become causeOtherNode, so
// that other nodes cannot add metric labels.
func parseCause(v string) cause {
	if c := cause(v); knownCauses[c] {
		return c
	}
	return causeOtherNode
}
