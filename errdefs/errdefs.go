// Package errdefs defines the error types of siskingw and the exit codes that
// commands derive from them. Every failure has a type; callers decide by type
// with errorx.IsOfType and never by message.
package errdefs

import (
	"github.com/joomcode/errorx"
)

// Retriable marks errors after which the same request may be repeated unchanged.
var Retriable = errorx.RegisterTrait("retriable")

var (
	config    = errorx.NewNamespace("config")
	storage   = errorx.NewNamespace("store")
	transport = errorx.NewNamespace("transport")
	calls     = errorx.NewNamespace("call")
	process   = errorx.NewNamespace("process")
)

// Errors of objects, versions and operators' requests.
var (
	// Invalid reports settings, objects or arguments that fail validation.
	Invalid = config.NewType("invalid")
	// Conflict reports a change based on a revision that is no longer current.
	Conflict = config.NewType("conflict")
	// NotFound reports an object, version or key that does not exist.
	NotFound = config.NewType("not_found")
	// Stale reports a version that is not higher than the one in force.
	Stale = config.NewType("stale")
	// BaseMismatch reports a delta whose base is not the snapshot it was applied to.
	BaseMismatch = config.NewType("base_mismatch")
	// Corrupt reports content whose digest or encoding is wrong.
	Corrupt = config.NewType("corrupt")
	// Dangling reports a reference to an object that the snapshot does not hold.
	Dangling = config.NewType("dangling")
)

// Errors of the platform's store.
var (
	// StoreUnavailable reports a store call that certainly had no effect.
	StoreUnavailable = storage.NewType("unavailable", Retriable)
	// StoreLimited reports a call that the store refused because of its rate limit.
	StoreLimited = StoreUnavailable.NewSubtype("rate_limited")
	// StoreUnknown reports a store write whose effect is unknown; settle it by reading.
	StoreUnknown = storage.NewType("unknown")
	// StoreCompacted reports a watch that cannot resume; the reader must read again.
	StoreCompacted = storage.NewType("compacted", Retriable)
)

// Errors between nodes.
var (
	// PeerUnavailable reports a peer that could not be reached.
	PeerUnavailable = transport.NewType("peer_unavailable", Retriable)
	// Busy reports a peer that is at its limit of concurrent transfers.
	Busy = transport.NewType("busy", Retriable)
	// Timeout reports an operation that passed its deadline.
	Timeout = transport.NewType("timeout", errorx.Timeout())
)

// Errors of proxied calls.
var (
	// NotRun reports a call of which no byte reached the target's handler.
	NotRun = calls.NewType("not_run", Retriable)
	// Unhealthy reports a target that fails its health check.
	Unhealthy = calls.NewType("unhealthy")
	// OutcomeUnknown reports a call that may have run.
	OutcomeUnknown = calls.NewType("outcome_unknown")
)

// Errors of this process.
var (
	// Internal reports a state that the code should never reach.
	Internal = process.NewType("internal")
	// Stopped reports an operation on a service that has stopped.
	Stopped = process.NewType("stopped")
)

// Exit codes of the siskingw commands.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3 // the objects or settings are invalid
	ExitConflict    = 4 // another operator changed the object first
	ExitUnavailable = 5 // the node or the store cannot be reached
	ExitTimeout     = 6 // accepted or unknown, not confirmed in time
	ExitNotFound    = 7
)

// ExitCode returns the exit code for err.
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
