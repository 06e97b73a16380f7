package proxy

import (
	"strconv"
	"strings"
	"time"

	"siskingw/object"
)

// work holds the call attributes that follow from the route. The caller's node
// sends them to the target's node, because the two may have different
// configuration versions in force.
type work struct {
	class    string    // name of the route
	service  string    // announced name of the called service; empty for any
	priority int       // 0 is the highest
	target   time.Time // start of the call plus the target latency; zero if the policy sets none
	repeat   bool      // the call is idempotent
	late     bool      // admit the call even if it will probably miss its target latency
	caller   string    // name of the calling service
}

// maxWorkFields is the number of fields in a HeaderWork value. The last one may
// itself contain the separator.
const maxWorkFields = 6

const (
	flagRepeat = "r"
	flagLate   = "l"
)

// format returns the HeaderWork value, separated by semicolons: priority, time
// from now to the target time in ms (empty for none), flags, class, service and
// caller.
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

// parseWork parses a HeaderWork value received at now. Fields that cannot be
// parsed keep the defaults of the kind: its priority and no target latency.
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

// defaultPriority returns the priority of a kind of work if the policy sets none;
// 0 is the highest.
func defaultPriority(kind object.WorkKind) int {
	switch kind {
	case object.WorkBid:
		return 0
	case object.WorkUpload:
		return 1
	}
	return 2
}

// workOf returns the attributes of the call under a route and its policy. p may be
// nil.
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
