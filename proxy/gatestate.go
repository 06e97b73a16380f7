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
	class   time.Duration // expected service time of the call's class; 0 when not known
	handled time.Duration // time that the call spent at the target's node
	link    admit.LinkReport
}

// gateFields is the number of fields of a HeaderGate value.
const gateFields = admit.Priorities + 5

// format returns the HeaderGate value: the calls that a new one of each priority
// finds, and in microseconds the expected service times of all calls and of the
// call's class and the handling time, then the bytes that are to arrive over the
// link and its rate in bytes a second.
func (g gateState) format() string {
	var b []byte
	for _, n := range g.report.Calls {
		b = append(strconv.AppendInt(b, int64(n), 10), ';')
	}
	b = append(strconv.AppendInt(b, g.report.Service.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.class.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.handled.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.link.Pending, 10), ';')
	return string(strconv.AppendInt(b, int64(g.link.Rate), 10))
}

// parseGateState reads a HeaderGate value; the zero state stands for one that is
// not well formed.
func parseGateState(v string) gateState {
	fields := strings.Split(v, ";")
	if len(fields) != gateFields {
		return gateState{}
	}
	var n [gateFields]int64
	for i, f := range fields {
		var err error
		if n[i], err = strconv.ParseInt(f, 10, 64); err != nil || n[i] < 0 {
			return gateState{}
		}
	}
	g := gateState{
		report:  admit.Report{Service: time.Duration(n[gateFields-5]) * time.Microsecond},
		class:   time.Duration(n[gateFields-4]) * time.Microsecond,
		handled: time.Duration(n[gateFields-3]) * time.Microsecond,
		link:    admit.LinkReport{Pending: n[gateFields-2], Rate: float64(n[gateFields-1])},
	}
	for i := range g.report.Calls {
		g.report.Calls[i] = int(n[i])
	}
	return g
}
