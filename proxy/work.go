package proxy

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"time"

	"siskingw/object"
)

// work holds the call attributes that follow from the route. The caller's node
// sends them to the target's node, because the two may have different
// configuration versions in force.
type work struct {
	class        string    // name of the route; on the target's node its classLabel
	service      string    // announced name of the called service; empty for any
	priority     int       // 0 is the highest
	targetTime   time.Time // start of the call plus the target latency; zero if the policy sets none
	idempotent   bool      // the call is idempotent
	allowLate    bool      // admit the call even if it will probably miss its target latency
	mayHandOn    bool      // the target's node may hand the call on, see Inbound.handOn
	caller       string    // name of the calling service
	organisation string    // organisation on whose behalf the call is made; empty for none
	weight       float64   // share of the organisation relative to others, see admit.Work
	nested       bool      // made by a target while it runs another call
	elsewhere    bool      // sent to another target if this one refuses it, see admit.Work
}

// workFieldCount is the number of fields in a HeaderWork value. The last one may
// itself contain the separator.
const workFieldCount = 6

// Flags in a HeaderWork value.
const (
	flagIdempotent = "r"
	flagAllowLate  = "l"
	flagNested     = "n"
	flagElsewhere  = "e"
)

// format returns the HeaderWork value, separated by semicolons: priority, time
// from now to the target time in ms (empty for none), flags, class, service and
// caller. The names are escaped, see formatName.
func (w *work) format() string {
	targetMs := ""
	if !w.targetTime.IsZero() {
		targetMs = formatMs(time.Until(w.targetTime))
	}
	flags := ""
	if w.idempotent {
		flags += flagIdempotent
	}
	if w.allowLate {
		flags += flagAllowLate
	}
	if w.nested {
		flags += flagNested
	}
	if w.elsewhere {
		flags += flagElsewhere
	}
	if w.mayHandOn {
		flags += flagHandOn
	}
	return strings.Join([]string{strconv.Itoa(w.priority), targetMs, flags,
		formatName(classLabel(w.class)), formatName(w.service), formatName(w.caller)}, ";")
}

// formatName escapes a name for the headers between nodes: a name may hold any
// character, also separators and those that no header can carry.
func formatName(name string) string { return url.PathEscape(name) }

// parseName returns the name that formatName escaped. A value that is no escaped
// name, as of a node that does not escape names, is the name itself.
func parseName(v string) string {
	if name, err := url.PathUnescape(v); err == nil {
		return name
	}
	return v
}

// maxClassBytes is the maximum length in bytes of a class that is sent to another
// node. Every call carries its class, and the size of a header is limited.
const maxClassBytes = 128

// classLabel returns the class under which the target's node measures calls of the
// route: its name, or a digest of a longer one.
func classLabel(route string) string {
	if len(route) <= maxClassBytes {
		return route
	}
	sum := sha256.Sum256([]byte(route))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// parseWork parses a HeaderWork value received at now. Fields that cannot be
// parsed keep the defaults of the kind: its priority and no target latency.
func parseWork(v string, now time.Time, kind object.WorkKind) work {
	w := work{priority: defaultPriority(kind)}
	fields := strings.SplitN(v, ";", workFieldCount)
	if len(fields) != workFieldCount {
		return w
	}
	if p, err := strconv.Atoi(fields[0]); err == nil && p >= 0 {
		w.priority = p
	}
	if d, err := ParseDeadline(fields[1]); err == nil {
		w.targetTime = now.Add(d)
	}
	w.idempotent = strings.Contains(fields[2], flagIdempotent)
	w.allowLate = strings.Contains(fields[2], flagAllowLate)
	w.nested = strings.Contains(fields[2], flagNested)
	w.elsewhere = strings.Contains(fields[2], flagElsewhere)
	w.mayHandOn = strings.Contains(fields[2], flagHandOn)
	w.class, w.service, w.caller = parseName(fields[3]), parseName(fields[4]), parseName(fields[5])
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

// newWork returns the attributes of the call under a route and its policy. p may be
// nil.
func (c *call) newWork(route string, p *object.PolicySpec) work {
	w := work{class: route, priority: defaultPriority(c.kind), idempotent: idempotent(c, p)}
	if p == nil {
		return w
	}
	if p.Priority != nil {
		w.priority = *p.Priority
	}
	if p.TargetLatencyMs > 0 {
		w.targetTime = c.start.Add(time.Duration(p.TargetLatencyMs) * time.Millisecond)
	}
	return w
}
