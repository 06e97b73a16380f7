package proxy

import (
	"strconv"
	"strings"
	"time"

	"siskingw/admit"
)

// gateState is what the target's node tells the caller's node with each answer
// and refusal.
type gateState struct {
	report  admit.Report
	handled time.Duration // time that the call spent at the target's node
}

// maxGateFields is the number of fields of a HeaderGate value.
const maxGateFields = 3

// format returns the HeaderGate value: calls in flight and queued, expected
// service time and handling time, both in microseconds.
func (g gateState) format() string {
	return strconv.Itoa(g.report.Calls) + ";" + strconv.FormatInt(g.report.Service.Microseconds(), 10) +
		";" + strconv.FormatInt(g.handled.Microseconds(), 10)
}

// parseGateState reads a HeaderGate value; the zero state stands for one that is
// not well formed.
func parseGateState(v string) gateState {
	fields := strings.SplitN(v, ";", maxGateFields)
	if len(fields) != maxGateFields {
		return gateState{}
	}
	var n [maxGateFields]int64
	for i, f := range fields {
		var err error
		if n[i], err = strconv.ParseInt(f, 10, 64); err != nil || n[i] < 0 {
			return gateState{}
		}
	}
	return gateState{
		report:  admit.Report{Calls: int(n[0]), Service: time.Duration(n[1]) * time.Microsecond},
		handled: time.Duration(n[2]) * time.Microsecond,
	}
}
