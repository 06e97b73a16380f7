package telemetry

// Events of the log: the message of each line that says what a node decided
// about a call or came to believe. Operators' tools select lines by them, so
// they are stated once, here. docs/OPERATIONS.md lists them with their fields.
const (
	// Decisions about one call, with its id in the field "call".
	EventCallEnded   = "call ended"                 // at the caller's node
	EventCallRefused = "call refused at its target" // by the target's node, before it ran
	EventCallLost    = "call failed at its target"  // the target's answer is lost or not usable

	// What a node believes of its own target, other nodes and their targets.
	EventTargetInUse   = "target in use"
	EventTargetLost    = "target lost"
	EventTargetFound   = "target found by its health check"
	EventTargetJudged  = "target judged"
	EventMemberChanged = "member changed"

	// Configuration and the store.
	EventVersion    = "version in force"
	EventStoreLost  = "store is lost"
	EventStoreBack  = "store is back"
	EventReload     = "settings reloaded"
	EventReloadFail = "settings not reloaded, the old ones stay"

	// The process.
	EventStarting = "starting"
	EventJoined   = "joined"
	EventStopping = "stopping"
	EventStopped  = "stopped"
	EventDropped  = "log lines dropped"
)
