package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"siskingw/object"
	"siskingw/telemetry"
)

// contextWindow is how long before the end of a call a state change may lie to be
// reported as a possible cause: announcements, leases and ejections last up to
// some seconds.
const contextWindow = 10 * time.Second

// Call is the explanation of one call, derived from the logs.
type Call struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`   // log lines of the call, ordered by time
	Context []Line `json:"context"` // preceding state changes of the instances involved, ordered by time
	Cause   string `json:"cause"`   // the likely cause, in sentences
}

// Call explains the call with the given id. If no line names the call, Lines is
// empty and Cause says so.
func (g *Log) Call(id string) Call {
	c := Call{ID: id, Lines: []Line{}, Context: []Line{}}
	for _, l := range g.lines {
		if l.Call == id {
			c.Lines = append(c.Lines, l)
		}
	}
	if len(c.Lines) == 0 {
		c.Cause = "No line names this call: it was answered at its first try (such calls are only counted), " +
			"it reached no instance whose log was read, or its line was left out by the bound on lines."
		return c
	}
	end := c.finalLine()
	c.Context = g.context(c.nodes(), end.Time)
	c.Cause = c.describe(end)
	return c
}

// finalLine returns the line with the outcome of the call: the last one of the
// caller's node if there is one, because that node decides which response the
// caller gets, and the last line of the call otherwise.
func (c Call) finalLine() Line {
	for _, l := range slices.Backward(c.Lines) {
		if l.Event == telemetry.EventCallEnded {
			return l
		}
	}
	return c.Lines[len(c.Lines)-1]
}

// nodes returns the instances that logged the call or were tried for it.
func (c Call) nodes() map[string]bool {
	nodes := make(map[string]bool)
	for _, l := range c.Lines {
		nodes[l.Node] = true
		for _, t := range attemptsOf(l) {
			nodes[t.node] = true
		}
	}
	return nodes
}

// context returns the state changes that the nodes logged about themselves and
// about each other within contextWindow before at, ordered by time. Of several
// changes by one node with the same topic and subject, only the latest is
// returned.
func (g *Log) context(nodes map[string]bool, at time.Time) []Line {
	latest := make(map[string]Line)
	for _, l := range g.lines {
		if l.Time.After(at) {
			break
		}
		subject, ok := subjectOf(l)
		if ok && nodes[l.Node] && (subject == "" || nodes[subject]) && at.Sub(l.Time) <= contextWindow {
			latest[strings.Join([]string{l.Node, topicOf(l.Event), subject}, " ")] = l
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Event, b.Event))
	})
}

// memberAlive is the logged state of a healthy member.
const memberAlive = "alive"

// subjectOf returns the node that a state change is about, or "" for the node
// that logged it. ok is false for lines that are not relevant state changes.
func subjectOf(l Line) (node string, ok bool) {
	switch l.Event {
	case telemetry.EventTargetJudged:
		return l.stringField("target"), true
	case telemetry.EventMemberChanged:
		return l.stringField("member"), l.stringField("state") != memberAlive
	}
	return "", topicOf(l.Event) != ""
}

// topicOf returns the topic of an event that changes a state, or "" for other
// events. A later event supersedes earlier ones with the same topic.
func topicOf(event string) string {
	switch event {
	case telemetry.EventTargetInUse, telemetry.EventTargetLost, telemetry.EventTargetFound,
		telemetry.EventTargetUnconfirmed:
		return "target"
	case telemetry.EventStoreLost, telemetry.EventStoreBack:
		return "store"
	case telemetry.EventStarting, telemetry.EventStopping, telemetry.EventStopped:
		return "process"
	case telemetry.EventTargetJudged, telemetry.EventMemberChanged, telemetry.EventVersion,
		telemetry.EventReload, telemetry.EventReloadFail:
		return event
	}
	return ""
}

// attempt is one attempt to send the call to an instance, as the caller's node
// logged it. ms is its duration in milliseconds.
type attempt struct {
	node, outcome, reason string
	ms                    float64
}

// attemptsOf returns the attempts that a line lists, or nil.
func attemptsOf(l Line) []attempt {
	list, _ := l.Fields["tries"].([]any)
	var attempts []attempt
	for _, v := range list {
		m, _ := v.(map[string]any)
		t := Line{Fields: m}
		attempts = append(attempts, attempt{node: t.stringField("node"), outcome: t.stringField("outcome"),
			reason: t.stringField("reason"), ms: t.numberField("ms")})
	}
	return attempts
}

// Query selects calls whose end was logged. Nodes don't log calls that succeed at
// the first attempt. A zero field doesn't restrict the selection.
type Query struct {
	From, To time.Time // when the call ended: From inclusive, To exclusive
	Route    string
	Cause    string // value of the log field "cause", or "answered"
}

func (q Query) matches(l Line) bool {
	return l.Event == telemetry.EventCallEnded && l.Call != "" &&
		(q.From.IsZero() || !l.Time.Before(q.From)) && (q.To.IsZero() || l.Time.Before(q.To)) &&
		(q.Route == "" || l.stringField("route") == q.Route) && (q.Cause == "" || causeOf(l) == q.Cause)
}

// Group counts the calls that ended with the same route, status and cause.
type Group struct {
	Route  string   `json:"route"`
	Status int      `json:"status"`
	Cause  string   `json:"cause"`
	Calls  int      `json:"calls"`
	IDs    []string `json:"ids"` // the first ones, at most 3
}

// maxGroupIDs is the number of call ids that a group lists.
const maxGroupIDs = 3

// Groups groups the calls that the query selects, ordered by descending count.
func (g *Log) Groups(q Query) []Group {
	type key struct {
		route, cause string
		status       int
	}
	groups := make(map[key]*Group)
	for _, l := range g.lines {
		if !q.matches(l) {
			continue
		}
		k := key{l.stringField("route"), causeOf(l), int(l.numberField("status"))}
		group := groups[k]
		if group == nil {
			group = &Group{Route: k.route, Status: k.status, Cause: k.cause}
			groups[k] = group
		}
		group.Calls++
		if len(group.IDs) < maxGroupIDs {
			group.IDs = append(group.IDs, l.Call)
		}
	}
	list := make([]Group, 0, len(groups))
	for _, gr := range groups {
		list = append(list, *gr)
	}
	slices.SortFunc(list, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Status, b.Status))
	})
	return list
}

// causeAnswered is reported for lines without a cause: the target responded.
const causeAnswered = "answered"

// causeOf returns the cause that a line states, or causeAnswered.
func causeOf(l Line) string {
	if c := l.stringField("cause"); c != "" {
		return c
	}
	return causeAnswered
}

// describe describes how the call ended and what likely caused it.
func (c Call) describe(end Line) string {
	parts := []string{c.describeOutcome(end)}
	if t := c.targetLine(); t != nil && t.Event == telemetry.EventCallRefused {
		parts = append(parts, fmt.Sprintf("The gate of %s had %.0f calls in flight and %.0f queued, with %.0f ms for one call; the call had %.0f ms left to its deadline.",
			t.Node, t.numberField("inFlight"), t.numberField("queued"), t.numberField("serviceMs"),
			t.numberField("deadlineLeftMs")))
	}
	if attempts := attemptsOf(end); len(attempts) > 1 {
		parts = append(parts, fmt.Sprintf("%d instances were tried.", len(attempts)))
	}
	for _, l := range c.Context {
		if s := describeStateChange(l, end.Time); s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, " ")
}

// describeOutcome describes the outcome of the call in one sentence.
func (c Call) describeOutcome(end Line) string {
	cause := causeOf(end)
	if cause == causeAnswered {
		status := int(end.numberField("status"))
		if status >= 500 {
			return fmt.Sprintf("The target ran the call and answered %d itself.", status)
		}
		return fmt.Sprintf("The call was answered with %d after %d tries.", status, max(len(attemptsOf(end)), 1))
	}
	meaning, ok := causeMeanings[cause]
	if !ok {
		meaning = "the reason is " + object.QuoteUnprintable(end.stringField("reason"))
	}
	if (cause == "answer_lost" || cause == "answer_cut") && end.numberField("deadlineLeftMs") <= 0 {
		meaning = "its target was still at work when its time was over"
	}
	if end.stringField("outcome") == "not-run" {
		return "The call was refused and has not run: " + meaning + "."
	}
	return "The call may have run, but has no answer: " + meaning + "."
}

// targetLine returns the last line that a target's node logged for the call, or
// nil.
func (c Call) targetLine() *Line {
	for i, l := range slices.Backward(c.Lines) {
		if l.Event == telemetry.EventCallRefused || l.Event == telemetry.EventCallLost {
			return &c.Lines[i]
		}
	}
	return nil
}

// describeStateChange describes a state change that may have affected a call
// that ended at the given time, or returns "" if it can't have done so.
func describeStateChange(l Line, at time.Time) string {
	age := fmt.Sprintf("%.1f s before", at.Sub(l.Time).Seconds())
	switch l.Event {
	case telemetry.EventTargetLost:
		return fmt.Sprintf("%s had no target since %s (%s).", l.Node, age, l.stringField("reason"))
	case telemetry.EventTargetUnconfirmed:
		return fmt.Sprintf("%s did not use its target %s: it is older than the process and its health check failed (%s).",
			l.Node, age, object.QuoteUnprintable(l.stringField("error")))
	case telemetry.EventStoreLost:
		return fmt.Sprintf("%s had lost the store %s.", l.Node, age)
	case telemetry.EventStarting:
		return fmt.Sprintf("The node of %s had started %s.", l.Node, age)
	case telemetry.EventStopping, telemetry.EventStopped:
		return fmt.Sprintf("The node of %s was told to stop %s.", l.Node, age)
	case telemetry.EventTargetJudged:
		if l.stringField("outcome") == "left out" {
			return fmt.Sprintf("%s left out the target of %s from %s on.",
				l.Node, object.QuoteUnprintable(l.stringField("target")), age)
		}
	}
	return ""
}

// causeMeanings maps a cause, as logged for a refused or failed call, to its
// description.
var causeMeanings = map[string]string{
	"bad_request":      "the caller's request is not acceptable",
	"body":             "the caller's body did not arrive in full",
	"caller_gone":      "the caller left before it was answered",
	"no_configuration": "the instance had no configuration yet",
	"no_route":         "no route of the version in force matches host and path",
	"unavailable":      "its route is unavailable in the version in force",
	"missing_key":      "the route needs an API key, and the call carried none",
	"unknown_key":      "the version in force knows no organisation with the API key that the call carried",
	"quota":            "its organisation had no credit left at this instance",
	"no_time":          "its stated deadline was over when it arrived",
	"no_endpoint":      "no target of the service was left to try",
	"all_full":         "every target was expected to answer too late",
	"stopping":         "the node of the caller's instance was stopping",
	"no_target":        "the chosen instance had no target at that moment",
	"other_service":    "the chosen instance has a target of another service now",
	"target":           "the target itself refused the call as not run",
	"unreachable":      "no connection to the chosen instance could be made",
	"unsent":           "the connection broke before anything was sent",
	"answer_lost":      "the connection ended without an answer",
	"answer_cut":       "the answer broke off on its way",
	"memory":           "the node had no memory for its body",
	"streams":          "too many calls whose bodies still arrived occupied the target",
	"key":              "the ledger of idempotency keys refused it",
	"node":             "another node refused it without a reason",
	"draining":         "the target was leaving",
	"queue_full":       "the queue of the target's node was full",
	"queue_long":       "the wait for a slot would have been longer than the queue allows",
	"deadline":         "it could not be answered before its deadline",
	"queue_timeout":    "it waited for a slot for as long as the queue allows",
	"displaced":        "more important work took its place in the queue",
	"late":             "it would have missed its target latency at a busy target",
	"late_no_chance":   "it was late already and other calls could still be in time",
	"link_busy":        "the responses ahead of its own would have kept the instance's link busy for too long",
	"parent":           "the target could not have made the calls that it needs: their services are full, or refuse more urgent work",
}
