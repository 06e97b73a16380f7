package telemetry

// Messages of the log lines that record events: decisions about calls and changes
// of the state that a node observes. Operators' tools select lines by message, so
// the messages are defined only here. docs/OPERATIONS.md lists them with their
// fields.
const (
	// Decisions about one call; the field "call" holds the call's id.
	EventCallEnded   = "call ended"                 // at the caller's node
	EventCallRefused = "call refused at its target" // by the target's node, before it ran
	EventCallLost    = "call failed at its target"  // the target's response was lost or is invalid

	// Observed state of the node's own target, of other nodes and of their targets.
	EventTargetInUse       = "target in use"
	EventTargetLost        = "target lost"
	EventTargetInvalid     = "announcement names no target to use"
	EventTargetFound       = "target found by its health check"
	EventTargetUnconfirmed = "target not confirmed by its health check"
	EventTargetJudged      = "target judged"
	EventMemberChanged     = "member changed"

	// Clients outside the limits.
	EventClientStalled     = "stalled client closed"
	EventConnectionRefused = "connection refused, too many are open"
	EventPeerClosed        = "connection between nodes closed, beyond a limit"

	// Configuration and the store.
	EventVersion    = "version in force"
	EventStoreLost  = "store is lost"
	EventStoreBack  = "store is back"
	EventStoreEra   = "store began a new era"
	EventReload     = "settings reloaded"
	EventReloadFail = "settings not reloaded, the old ones stay"

	// Roll-outs of target versions.
	EventRolloutOrdered  = "roll-out ordered"
	EventRolloutDecided  = "roll-out decided" // at a node that watches the store
	EventRolloutState    = "roll-out state"   // at every node
	EventRolloutVetoed   = "version judged bad"
	EventRolloutStore    = "roll-out status not accessible"
	EventRolloutRecorded = "roll-out status recorded"
	EventRolloutRepeated = "roll-out order read in a later era of the store"
	EventRolloutOutdated = "roll-out order is one that was replaced"
	EventRolloutKept     = "roll-out status needs no change"

	// Quotas.
	EventQuotaDivided = "quotas divided"
	EventQuotaRoster  = "list of instances recorded"
	EventQuotaStore   = "list of instances not accessible"

	// The process.
	EventStarting = "starting"
	EventJoined   = "joined"
	EventStopping = "stopping"
	EventStopped  = "stopped"
	EventDropped  = "log lines dropped"
)
