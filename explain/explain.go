package explain

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"siskingw/telemetry"
)

// contextTime is how long before a call a change of belief may lie that explains
// it: announcements, leases and ejections last up to some seconds.
const contextTime = 10 * time.Second

// Call is what the logs tell of one call.
type Call struct {
	ID      string `json:"id"`
	Lines   []Line `json:"lines"`   // decisions about it, in the order of time
	Context []Line `json:"context"` // what the instances that took part had come to believe
	Cause   string `json:"cause"`   // the likely cause, a sentence
}

// Call explains one call.
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
	end := c.end()
	c.Context = g.context(c.nodes(), end.Time)
	c.Cause = c.sentence(end)
	return c
}

// end returns the line with the outcome: that of the caller's node if there is
// one, since it decides what the caller gets.
func (c Call) end() Line {
	for _, l := range slices.Backward(c.Lines) {
		if l.Event == telemetry.EventCallEnded {
			return l
		}
	}
	return c.Lines[len(c.Lines)-1]
}

// nodes returns the instances that took part.
func (c Call) nodes() map[string]bool {
	nodes := make(map[string]bool)
	for _, l := range c.Lines {
		nodes[l.Node] = true
		for _, t := range triesOf(l) {
			nodes[t.node] = true
		}
	}
	return nodes
}

// context returns the latest change of each belief of the nodes, and of others'
// beliefs of them, in contextTime before at, in the order of time.
func (g *Log) context(nodes map[string]bool, at time.Time) []Line {
	latest := make(map[string]Line)
	for _, l := range g.lines {
		if l.Time.After(at) {
			break
		}
		subject, ok := subjectOf(l)
		if ok && nodes[l.Node] && (subject == "" || nodes[subject]) && at.Sub(l.Time) <= contextTime {
			latest[strings.Join([]string{l.Node, topicOf(l.Event), subject}, " ")] = l
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Event, b.Event))
	})
}

// memberAlive is the state of a member of which nothing bad is known.
const memberAlive = "alive"

// subjectOf returns the node that a change of belief is about, "" for the node
// itself. ok is false for other lines.
func subjectOf(l Line) (node string, ok bool) {
	switch l.Event {
	case telemetry.EventTargetJudged:
		return l.text("target"), true
	case telemetry.EventMemberChanged:
		return l.text("member"), l.text("state") != memberAlive
	}
	return "", topicOf(l.Event) != ""
}

// topicOf groups the events of which only the latest counts.
func topicOf(event string) string {
	switch event {
	case telemetry.EventTargetInUse, telemetry.EventTargetLost, telemetry.EventTargetFound:
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

// attempt is one try that the caller's node logged.
type attempt struct {
	node, outcome, reason string
	ms                    float64
}

func triesOf(l Line) []attempt {
	list, _ := l.Fields["tries"].([]any)
	var tries []attempt
	for _, v := range list {
		m, _ := v.(map[string]any)
		t := Line{Fields: m}
		tries = append(tries, attempt{node: t.text("node"), outcome: t.text("outcome"), reason: t.text("reason"), ms: t.number("ms")})
	}
	return tries
}

// Query selects calls that did not simply succeed. Zero fields select all.
type Query struct {
	From, To time.Time
	Route    string
	Cause    string // a cause as log lines state it
}

func (q Query) selects(l Line) bool {
	return l.Event == telemetry.EventCallEnded && l.Call != "" &&
		(q.From.IsZero() || !l.Time.Before(q.From)) && (q.To.IsZero() || l.Time.Before(q.To)) &&
		(q.Route == "" || l.text("route") == q.Route) && (q.Cause == "" || causeOf(l) == q.Cause)
}

// Group is the calls that ended alike.
type Group struct {
	Route  string   `json:"route"`
	Status int      `json:"status"`
	Cause  string   `json:"cause"`
	Calls  int      `json:"calls"`
	IDs    []string `json:"ids"` // the first ones, at most groupIDs
}

// groupIDs bounds the ids that a group lists.
const groupIDs = 3

// Groups counts the calls that the query selects, the largest group first.
func (g *Log) Groups(q Query) []Group {
	type key struct {
		route, cause string
		status       int
	}
	groups := make(map[key]*Group)
	for _, l := range g.lines {
		if !q.selects(l) {
			continue
		}
		k := key{l.text("route"), causeOf(l), int(l.number("status"))}
		gr := groups[k]
		if gr == nil {
			gr = &Group{Route: k.route, Status: k.status, Cause: k.cause}
			groups[k] = gr
		}
		gr.Calls++
		if len(gr.IDs) < groupIDs {
			gr.IDs = append(gr.IDs, l.Call)
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

// causeAnswered stands for calls that their target answered.
const causeAnswered = "answered"

// causeOf returns the cause that a line states.
func causeOf(l Line) string {
	if c := l.text("cause"); c != "" {
		return c
	}
	return causeAnswered
}

// sentence states the likely cause of how the call ended.
func (c Call) sentence(end Line) string {
	parts := []string{c.outcome(end)}
	if t := c.targetLine(); t != nil && t.Event == telemetry.EventCallRefused {
		parts = append(parts, fmt.Sprintf("The gate of %s had %.0f calls in flight and %.0f queued, with %.0f ms for one call; the call had %.0f ms left to its deadline.",
			t.Node, t.number("inFlight"), t.number("queued"), t.number("serviceMs"), t.number("deadlineLeftMs")))
	}
	if tries := triesOf(end); len(tries) > 1 {
		parts = append(parts, fmt.Sprintf("%d instances were tried.", len(tries)))
	}
	for _, l := range c.Context {
		if s := influence(l, end.Time); s != "" {
			parts = append(parts, s)
		}
	}
	return strings.Join(parts, " ")
}

// outcome describes the end of the call.
func (c Call) outcome(end Line) string {
	cause := causeOf(end)
	if cause == causeAnswered {
		status := int(end.number("status"))
		if status >= 500 {
			return fmt.Sprintf("The target ran the call and answered %d itself.", status)
		}
		return fmt.Sprintf("The call was answered with %d after %d tries.", status, max(len(triesOf(end)), 1))
	}
	what, ok := meanings[cause]
	if !ok {
		what = "the reason is " + quote(end.text("reason"))
	}
	if (cause == "answer_lost" || cause == "answer_cut") && end.number("deadlineLeftMs") <= 0 {
		what = "its target was still at work when its time was over"
	}
	if end.text("outcome") == "not-run" {
		return "The call was refused and has not run: " + what + "."
	}
	return "The call may have run, but has no answer: " + what + "."
}

// targetLine returns the last line of the target's node, or nil.
func (c Call) targetLine() *Line {
	for i, l := range slices.Backward(c.Lines) {
		if l.Event == telemetry.EventCallRefused || l.Event == telemetry.EventCallLost {
			return &c.Lines[i]
		}
	}
	return nil
}

// influence states what a change of belief may have to do with a call that ended
// at the given time; "" for nothing.
func influence(l Line, at time.Time) string {
	age := fmt.Sprintf("%.1f s before", at.Sub(l.Time).Seconds())
	switch l.Event {
	case telemetry.EventTargetLost:
		return fmt.Sprintf("%s had no target since %s (%s).", l.Node, age, l.text("reason"))
	case telemetry.EventStoreLost:
		return fmt.Sprintf("%s had lost the store %s.", l.Node, age)
	case telemetry.EventStarting:
		return fmt.Sprintf("The node of %s had started %s.", l.Node, age)
	case telemetry.EventStopping, telemetry.EventStopped:
		return fmt.Sprintf("The node of %s was told to stop %s.", l.Node, age)
	case telemetry.EventTargetJudged:
		if l.text("outcome") == "left out" {
			return fmt.Sprintf("%s left out the target of %s from %s on.", l.Node, quote(l.text("target")), age)
		}
	}
	return ""
}

// meanings says in words what the causes of refusals and losses are.
var meanings = map[string]string{
	"bad_request":      "the caller's request is not acceptable",
	"body":             "the caller's body did not arrive in full",
	"caller_gone":      "the caller left before it was answered",
	"no_configuration": "the instance had no configuration yet",
	"no_route":         "no route of the version in force matches host and path",
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
}
