package load

import (
	"fmt"
	"io"
	"strings"
)

// table writes rows as a Markdown table.
type table struct {
	out io.Writer
}

// newTable writes the title and the header of a table.
func newTable(out io.Writer, title string, columns ...string) *table {
	fmt.Fprintf(out, "\n%s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	return &table{out: out}
}

// row writes one row, with floats rounded to one decimal.
func (t *table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		if f, ok := c.(float64); ok {
			text[i] = fmt.Sprintf("%.1f", f)
			continue
		}
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintf(t.out, "| %s |\n", strings.Join(text, " | "))
}

// goodputColumns are the headers of the cells from goodputCells.
var goodputColumns = []string{
	"offered/s", "good/s", "refused/s", "late/s", "failed/s", "not started/s",
	"bid good %", "upload good %", "page good %", "p50 ms", "p99 ms", "refusal p99 ms",
}

// goodputCells returns the results of one run in the order of goodputColumns.
func goodputCells(r *Result) []any {
	offered := 0
	for _, n := range r.Offered {
		offered += n
	}
	cells := []any{
		float64(offered) / r.Duration.Seconds(), r.Rate(Good), r.Rate(Refused), r.Rate(Late), r.Rate(Failed),
		float64(r.Dropped) / r.Duration.Seconds(),
	}
	for k := range kinds {
		cells = append(cells, r.percent(k, Good))
	}
	return append(cells, r.latencyMs(50), r.latencyMs(99), float64(r.refusalLatency.ValueAtQuantile(99))/1000)
}
