package proxy

import (
	"strconv"
	"strings"
	"time"

	"siskingw/object"
)

// work is what a route asks for its calls. The target's node gets it from the
// caller's node, because versions in force may differ between the two.
type work struct {
	class    string    // name of the route
	service  string    // announced name of the service that the call is for; empty for any
	priority int       // 0 is the most important
	target   time.Time // an answer until then has its full value; zero without a target latency
	repeat   bool      // the call may run more than once
	late     bool      // the call is wanted although it will probably miss its target
	caller   string    // service on whose instance the call began
}

// maxWorkFields is the number of fields of a HeaderWork value.
const maxWorkFields = 6

const (
	flagRepeat = "r"
	flagLate   = "l"
)

// format returns the HeaderWork value: priority, ms from now to the target
// time (empty for none), flags, class, service and caller.
func (w *work) format() string {
	target := ""
	if !w.target.IsZero() {
		target = formatMs(time.Until(w.target))
	}
	flags := ""
	if w.repeat {
		flags += flagRepeat
	}
	if w.late {
		flags += flagLate
	}
	return strings.Join([]string{strconv.Itoa(w.priority), target, flags, w.class, w.service, w.caller}, ";")
}

// parseWork reads a HeaderWork value that arrives now. What it cannot read has
// the zero value: the call then counts as the least demanding of its kind.
func parseWork(v string, now time.Time, kind object.WorkKind) work {
	w := work{priority: defaultPriority(kind)}
	fields := strings.SplitN(v, ";", maxWorkFields)
	if len(fields) != maxWorkFields {
		return w
	}
	if p, err := strconv.Atoi(fields[0]); err == nil && p >= 0 {
		w.priority = p
	}
	if d, err := ParseDeadline(fields[1]); err == nil {
		w.target = now.Add(d)
	}
	w.repeat = strings.Contains(fields[2], flagRepeat)
	w.late = strings.Contains(fields[2], flagLate)
	w.class, w.service, w.caller = fields[3], fields[4], fields[5]
	return w
}

// defaultPriority returns the priority of a kind of work.
func defaultPriority(kind object.WorkKind) int {
	switch kind {
	case object.WorkBid:
		return 0
	case object.WorkUpload:
		return 1
	}
	return 2
}

// workOf returns what the route and its policy ask for the call.
func (c *call) workOf(route string, p *object.PolicySpec) work {
	w := work{class: route, priority: defaultPriority(c.kind), repeat: idempotent(c, p)}
	if p == nil {
		return w
	}
	if p.Priority != nil {
		w.priority = *p.Priority
	}
	if p.TargetLatencyMs > 0 {
		w.target = c.start.Add(time.Duration(p.TargetLatencyMs) * time.Millisecond)
	}
	return w
}
