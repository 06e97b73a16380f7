package explain

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskingw/object"
)

const clockFormat = "15:04:05.000"

// Rows returns the lines and the context of the call as rows of a table, ordered
// by time of day. The first row is the header.
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

// row returns the line as a row of the table of a call.
func (l Line) row() []string {
	return []string{l.Time.UTC().Format(clockFormat), object.QuoteUnprintable(l.Node), object.QuoteUnprintable(l.Event), l.details()}
}

// details returns the fields as "name=value" and the attempts as "try(...)".
func (l Line) details() string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == "tries" {
			continue
		}
		words = append(words, object.QuoteUnprintable(name)+"="+formatValue(l.Fields[name]))
	}
	for _, t := range attemptsOf(l) {
		words = append(words, fmt.Sprintf("try(%s %s %s %s)", object.QuoteUnprintable(t.node),
			time.Duration(t.ms)*time.Millisecond, object.QuoteUnprintable(t.outcome), object.QuoteUnprintable(t.reason)))
	}
	return strings.Join(words, " ")
}

// formatValue formats the value of a field.
func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		return object.QuoteUnprintable(v)
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return "?" // unreachable: values decoded from JSON can be encoded again
	}
	return string(b)
}

// GroupRows returns groups as rows of a table. The first row is the header.
func GroupRows(groups []Group) [][]string {
	rows := [][]string{{"CALLS", "ROUTE", "STATUS", "CAUSE", "MEANING", "FOR EXAMPLE"}}
	for _, g := range groups {
		meaning := causeMeanings[g.Cause]
		if g.Cause == causeAnswered {
			meaning = "answered by a target, after a retry or with a status of its own"
		}
		rows = append(rows, []string{strconv.Itoa(g.Calls), object.QuoteUnprintable(g.Route), strconv.Itoa(g.Status),
			object.QuoteUnprintable(g.Cause), meaning, object.QuoteUnprintable(strings.Join(g.IDs, " "))})
	}
	return rows
}
