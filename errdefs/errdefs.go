// Package errdefs defines the error types of siskingw and the exit codes that
// commands derive from them. Every error has a type; code that handles errors
// checks the type with errorx.IsOfType, never the message.
package errdefs

import (
	"github.com/joomcode/errorx"
)

// Retriable marks errors after which the same request may be retried unchanged.
var Retriable = errorx.RegisterTrait("retriable")

var (
	configErrors    = errorx.NewNamespace("config")
	storeErrors     = errorx.NewNamespace("store")
	transportErrors = errorx.NewNamespace("transport")
	callErrors      = errorx.NewNamespace("call")
	processErrors   = errorx.NewNamespace("process")
)

// Errors about objects, versions and operators' requests.
var (
	// Invalid reports settings, objects or arguments that fail validation.
	Invalid = configErrors.NewType("invalid")
	// Conflict reports a change that is based on an outdated revision.
	Conflict = configErrors.NewType("conflict")
	// NotFound reports an object, version or key that does not exist.
	NotFound = configErrors.NewType("not_found")
	// Stale reports a version that is not higher than the one in force.
	Stale = configErrors.NewType("stale")
	// BaseMismatch reports a delta that was applied to a snapshot other than its
	// base.
	BaseMismatch = configErrors.NewType("base_mismatch")
	// Corrupt reports content with a wrong digest or an invalid encoding.
	Corrupt = configErrors.NewType("corrupt")
	// Dangling reports a reference to an object that is not in the snapshot.
	Dangling = configErrors.NewType("dangling")
)

// Errors of calls to the platform's store.
var (
	// StoreUnavailable reports a failed store call that is known to have had no
	// effect.
	StoreUnavailable = storeErrors.NewType("unavailable", Retriable)
	// StoreLimited reports a call that the store rejected by its rate limit.
	StoreLimited = StoreUnavailable.NewSubtype("rate_limited")
	// StoreUnknown reports a store write that may have taken effect; a read tells
	// whether it did.
	StoreUnknown = storeErrors.NewType("unknown")
	// StoreCompacted reports a watch that cannot resume because its revision was
	// compacted; the reader must read the current state.
	StoreCompacted = storeErrors.NewType("compacted", Retriable)
)

// Errors of calls between nodes.
var (
	// PeerUnavailable reports a peer that cannot be reached.
	PeerUnavailable = transportErrors.NewType("peer_unavailable", Retriable)
	// Busy reports a peer that has reached its limit of concurrent transfers.
	Busy = transportErrors.NewType("busy", Retriable)
	// Timeout reports an operation that exceeded its deadline.
	Timeout = transportErrors.NewType("timeout", errorx.Timeout())
)

// Errors of proxied calls.
var (
	// NotRun reports a call that did not run: no byte of it reached the target's
	// handler.
	NotRun = callErrors.NewType("not_run", Retriable)
	// Unhealthy reports a target that fails its health check.
	Unhealthy = callErrors.NewType("unhealthy")
	// OutcomeUnknown reports a call that may or may not have run.
	OutcomeUnknown = callErrors.NewType("outcome_unknown")
)

// Errors of this process.
var (
	// Internal reports a state that the code should never reach.
	Internal = processErrors.NewType("internal")
	// Stopped reports an operation on a service that has stopped.
	Stopped = processErrors.NewType("stopped")
)

// Exit codes of the siskingw commands.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3 // the objects or settings are invalid
	ExitConflict    = 4 // another operator changed the object first
	ExitUnavailable = 5 // the node or the store cannot be reached
	ExitTimeout     = 6 // the change was accepted or may have been, and was not confirmed in time
	ExitNotFound    = 7
)

// ExitCode returns the exit code for err, which may be nil.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case isAny(err, Invalid, Dangling, Corrupt):
		return ExitRefused
	case isAny(err, Conflict):
		return ExitConflict
	case isAny(err, NotFound):
		return ExitNotFound
	case isAny(err, Timeout, StoreUnknown):
		return ExitTimeout
	case isAny(err, StoreUnavailable, PeerUnavailable, Busy, Stopped):
		return ExitUnavailable
	}
	return ExitInternal
}

// isAny reports whether err is of one of the given types.
func isAny(err error, types ...*errorx.Type) bool {
	for _, t := range types {
		if errorx.IsOfType(err, t) {
			return true
		}
	}
	return false
}
