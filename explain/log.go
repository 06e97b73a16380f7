// Package explain reads the logs of several instances and reports, for one call
// or for the calls that failed in a period, what each instance decided, the inputs
// of the decision and the likely cause.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"siskingw/errdefs"
	"siskingw/telemetry"
)

// Line is one parsed line of an instance's log.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  string         `json:"event"`
	Call   string         `json:"call,omitempty"`
	Fields map[string]any `json:"fields"` // all other fields except "level"
}

// numberField returns the value of a numeric field, or 0 if there is none.
func (l Line) numberField(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// stringField returns the value of a string field, or "" if there is none.
func (l Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// maxLineBytes is the maximum length of a log line. The longest lines that nodes
// write, those of calls with many attempts, have about 2 KB.
const maxLineBytes = 1 << 20

// Log holds the lines read from the logs of several instances, ordered by time.
type Log struct {
	lines   []Line
	Bad     int // non-empty lines that could not be parsed
	Skipped int // lines that the instances report as omitted
}

// Read adds the lines of one file. A line may have text before its JSON object,
// such as the prefix that a log collector adds. Lines that cannot be parsed are
// counted in Bad. It returns an Invalid error when the reader fails.
func (g *Log) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		b, err := readLine(in)
		if len(bytes.TrimSpace(b)) > 0 {
			if l, ok := parseLine(b); ok {
				g.lines = append(g.lines, l)
				g.Skipped += int(l.numberField("skippedBefore"))
				if l.Event == telemetry.EventDropped {
					g.Skipped += int(l.numberField("lines"))
				}
			} else {
				g.Bad++
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return errdefs.Invalid.Wrap(err, "log cannot be read")
		}
	}
	slices.SortStableFunc(g.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return nil
}

// readLine returns the next line, truncated to maxLineBytes.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if room := maxLineBytes - len(line); room > 0 {
			line = append(line, part[:min(len(part), room)]...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// parseLine decodes one line. It reports false unless the line holds a JSON object
// with a valid time and a message.
func parseLine(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(bytes.TrimSpace(b[i:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Node: removeString(fields, "node"),
		Event: removeString(fields, "msg"), Call: removeString(fields, "call")}
	at, err := time.Parse(time.RFC3339Nano, removeString(fields, "time"))
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	if l.Node == "" { // lines of the process itself name no node; use the last word of the collector's prefix
		if words := strings.Fields(string(b[:i])); len(words) > 0 {
			l.Node = words[len(words)-1]
		}
	}
	l.Time = at
	delete(fields, "level")
	return l, true
}

// removeString removes a field and returns its value, or "" if it is not a string.
func removeString(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}
