package admit

// causeOf names the refusals, for metrics and logs.
var causeOf = map[error]string{
	errDraining:  "draining",
	errQueueFull: "queue_full",
	errTooLong:   "queue_long",
	errDeadline:  "deadline",
	errTimeout:   "queue_timeout",
	errDisplaced: "displaced",
	errCanceled:  "caller_gone",
	errLate:      "late",
	errNoChance:  "late_no_chance",
}

// Cause returns the name of the reason for which a gate refused, or "" for an
// error that is not of a gate.
func Cause(err error) string { return causeOf[err] }

// Causes returns every name that Cause may return.
func Causes() []string {
	names := make([]string, 0, len(causeOf))
	for _, name := range causeOf {
		names = append(names, name)
	}
	return names
}
