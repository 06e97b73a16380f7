// Package explain reads the logs of several instances and says, for one call or
// for the calls that failed in a span of time, what each instance decided, on
// what inputs, and the likely cause.
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

// Line is one line of the log of an instance.
type Line struct {
	Time   time.Time      `json:"time"`
	Node   string         `json:"node"`
	Event  string         `json:"event"`
	Call   string         `json:"call,omitempty"`
	Fields map[string]any `json:"fields"` // all others
}

// number returns a numeric field, or 0.
func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// text returns a field that is a string, or "".
func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// maxLine bounds one line of a log; the longest lines, those of calls with many
// tries, have about 2 KB.
const maxLine = 1 << 20

// Log is what was read of the instances' logs.
type Log struct {
	lines   []Line
	Bad     int // lines that are no log lines
	Skipped int // lines that instances say they left out
}

// Read adds the lines of one file. A line may have other text before its JSON
// object, as collectors add it. Lines that cannot be read are counted. It
// returns an Invalid error when the reader fails.
func (g *Log) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	for {
		b, err := readLine(in)
		if len(bytes.TrimSpace(b)) > 0 {
			if l, ok := parse(b); ok {
				g.lines = append(g.lines, l)
				g.Skipped += int(l.number("skippedBefore"))
				if l.Event == telemetry.EventDropped {
					g.Skipped += int(l.number("lines"))
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

// readLine returns the next line; of a longer one than maxLine only the start.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := in.ReadSlice('\n')
		if room := maxLine - len(line); room > 0 {
			line = append(line, part[:min(len(part), room)]...)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// parse reads one line.
func parse(b []byte) (Line, bool) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(bytes.TrimSpace(b[i:]), &fields) != nil {
		return Line{}, false
	}
	l := Line{Fields: fields, Node: take(fields, "node"), Event: take(fields, "msg"), Call: take(fields, "call")}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	if l.Node == "" { // lines of the process itself carry no name, but a collector may
		if words := strings.Fields(string(b[:i])); len(words) > 0 {
			l.Node = words[len(words)-1]
		}
	}
	l.Time = at
	delete(fields, "level")
	return l, true
}

// take removes a field that is a string.
func take(fields map[string]any, name string) string {
	s, _ := fields[name].(string)
	delete(fields, name)
	return s
}
