package explain

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

const clockFormat = "15:04:05.000"

// Rows returns the call as rows of a table; the first one is its head.
func (c Call) Rows() [][]string {
	rows := [][]string{{"TIME", "INSTANCE", "EVENT", "INPUTS AND OUTCOME"}}
	for _, l := range c.Context {
		rows = append(rows, l.row())
	}
	for _, l := range c.Lines {
		rows = append(rows, l.row())
	}
	slices.SortStableFunc(rows[1:], func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return rows
}

func (l Line) row() []string {
	return []string{l.Time.UTC().Format(clockFormat), quote(l.Node), quote(l.Event), l.details()}
}

// details returns the fields as words "name=value".
func (l Line) details() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "tries" {
			continue
		}
		words = append(words, quote(name)+"="+value(l.Fields[name]))
	}
	for _, t := range triesOf(l) {
		words = append(words, fmt.Sprintf("try(%s %s %s %s)", quote(t.node), time.Duration(t.ms)*time.Millisecond, quote(t.outcome), quote(t.reason)))
	}
	return strings.Join(words, " ")
}

func value(v any) string {
	switch v := v.(type) {
	case string:
		return quote(v)
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return "?" // values come from JSON, which always encodes again
	}
	return string(b)
}

// quote returns s as it is when it is one printable word or sentence, and quoted
// otherwise, so that a value cannot look like a line of the output.
func quote(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) >= 0 {
		return strconv.Quote(s)
	}
	return s
}

// GroupRows returns groups as rows of a table; the first one is its head.
func GroupRows(groups []Group) [][]string {
	rows := [][]string{{"CALLS", "ROUTE", "STATUS", "CAUSE", "MEANING", "FOR EXAMPLE"}}
	for _, g := range groups {
		meaning := meanings[g.Cause]
		if g.Cause == causeAnswered {
			meaning = "answered by a target, after a retry or with a status of its own"
		}
		rows = append(rows, []string{strconv.Itoa(g.Calls), quote(g.Route), strconv.Itoa(g.Status), quote(g.Cause), meaning, quote(strings.Join(g.IDs, " "))})
	}
	return rows
}
