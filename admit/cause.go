package admit

// causeOf maps each refusal to its name in metrics and logs.
var causeOf = map[error]string{
	errDraining:      "draining",
	errQueueFull:     "queue_full",
	errQueueTooLong:  "queue_long",
	errDeadline:      "deadline",
	errQueueTimeout:  "queue_timeout",
	errDisplaced:     "displaced",
	errCallerGone:    "caller_gone",
	errLate:          "late",
	errLateNoChance:  "late_no_chance",
	errParentRefused: "parent",
	errLinkBusy:      "link_busy",
}

// Cause returns the name, in metrics and logs, of a refusal by a gate, or "" for
// any other error.
func Cause(err error) string { return causeOf[err] }

// Causes returns every name that Cause can return, in no particular order.
func Causes() []string {
	names := make([]string, 0, len(causeOf))
	for _, name := range causeOf {
		names = append(names, name)
	}
	return names
}
