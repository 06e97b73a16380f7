package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"siskingw/admit"
)

// gateState is the state of the target's admission gate and inbound link. The
// target's node sends it to the caller's node with every response and refusal.
type gateState struct {
	report           admit.Report
	classServiceTime time.Duration // expected service time of the call's class; 0 if unknown
	handlingTime     time.Duration // time that the call has spent in the target's node
	link             admit.LinkReport
	sendBacklog      time.Duration // until the link has sent the responses of the calls admitted so far
}

// gateFieldCount is the number of fields in a HeaderGate value.
const gateFieldCount = 2*admit.Priorities + 7

// format returns the HeaderGate value, separated by semicolons: for each priority
// the number of calls ahead of a new one; the expected service time of all calls,
// that of the call's class and the time spent in the node, each in microseconds;
// the bytes still to arrive over the link, the link's rate in bytes per second and
// its backlog of responses in microseconds; the slowness of the target's machine in
// percent; for each priority the share of new work that was refused, in thousandths.
func (g gateState) format() string {
	var b []byte
	for _, n := range g.report.CallsAhead {
		b = append(strconv.AppendInt(b, int64(n), 10), ';')
	}
	b = append(strconv.AppendInt(b, g.report.ServiceTime.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.classServiceTime.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.handlingTime.Microseconds(), 10), ';')
	b = append(strconv.AppendInt(b, g.link.PendingBytes, 10), ';')
	b = append(strconv.AppendInt(b, int64(g.link.Rate), 10), ';')
	b = append(strconv.AppendInt(b, g.sendBacklog.Microseconds(), 10), ';')
	b = strconv.AppendInt(b, int64(math.Round(100*g.report.Slowness)), 10)
	for _, share := range g.report.RefusedShare {
		b = strconv.AppendInt(append(b, ';'), int64(1000*share), 10)
	}
	return string(b)
}

// parseGateState parses a HeaderGate value. It returns the zero value for a
// malformed one.
func parseGateState(v string) gateState {
	fields := strings.Split(v, ";")
	if len(fields) != gateFieldCount {
		return gateState{}
	}
	var n [gateFieldCount]int64
	for i, f := range fields {
		var err error
		if n[i], err = strconv.ParseInt(f, 10, 64); err != nil || n[i] < 0 {
			return gateState{}
		}
	}
	g := gateState{
		report:           admit.Report{ServiceTime: time.Duration(n[admit.Priorities]) * time.Microsecond, Slowness: float64(n[admit.Priorities+6]) / 100},
		classServiceTime: time.Duration(n[admit.Priorities+1]) * time.Microsecond,
		handlingTime:     time.Duration(n[admit.Priorities+2]) * time.Microsecond,
		link:             admit.LinkReport{PendingBytes: n[admit.Priorities+3], Rate: float64(n[admit.Priorities+4])},
		sendBacklog:      time.Duration(n[admit.Priorities+5]) * time.Microsecond,
	}
	for i := range g.report.CallsAhead {
		g.report.CallsAhead[i] = int(n[i])
		g.report.RefusedShare[i] = float64(min(n[admit.Priorities+7+i], 1000)) / 1000
	}
	return g
}
