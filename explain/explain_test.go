package explain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample is the log of three instances. Call c1 is refused by node-b, whose gate
// is busy, and then by node-c, which has no target.
const sample = `
  0.1 node-a {"time":"2026-01-02T10:00:00Z","level":"INFO","msg":"version in force","node":"node-a","version":7}
  0.2 node-c {"time":"2026-01-02T10:00:01Z","level":"INFO","msg":"target lost","node":"node-c","reason":"silent","silentMs":6000}
not a log line
{"time":"2026-01-02T10:00:02Z","level":"INFO","msg":"call refused at its target","node":"node-b","call":"c1","route":"r","cause":"late","inFlight":9,"queued":5,"serviceMs":183,"deadlineLeftMs":1498}
{"time":"2026-01-02T10:00:02.5Z","level":"INFO","msg":"call ended","node":"node-a","call":"c1","route":"r","status":503,"outcome":"not-run","cause":"no_target","deadlineLeftMs":900,"tries":[{"node":"node-b","ms":1,"outcome":"not-run","reason":"late"},{"node":"node-c","ms":2,"outcome":"not-run","reason":"no target"}],"skippedBefore":4}
{"time":"2026-01-02T10:00:03Z","level":"INFO","msg":"call ended","node":"node-a","call":"c2","route":"r","status":504,"outcome":"unknown","cause":"answer_lost","deadlineLeftMs":0}
{"time":"2026-01-02T10:00:04Z","level":"INFO","msg":"call ended","node":"node-a","call":"c3","route":"s","status":500,"outcome":"answered"}
{"time":"2026-01-02T10:00:05Z","level":"INFO","msg":"target lost","node":"node-b","reason":"leaving"}
{"time":"2026-01-02T10:00:05Z","level":"WARN","msg":"log lines dropped","lines":3}
{"time":"yesterday","msg":"call ended","call":"c9"}
`

func read(t *testing.T, text string) *Log {
	t.Helper()
	g := new(Log)
	is.New(t).NoErr(g.Read(strings.NewReader(text)))
	return g
}

// Guards against an explanation that omits the inputs of the gate or the state
// change that caused the refusal, or that names a later state change as the cause.
func TestCallIsExplainedFromSeveralInstances(t *testing.T) {
	is := is.New(t)
	c := read(t, sample).Call("c1")
	is.Equal(len(c.Lines), 2)
	is.Equal(len(c.Context), 2) // the version of node-a and the lost target of node-c
	is.True(strings.Contains(c.Cause, "has not run"))
	is.True(strings.Contains(c.Cause, "had no target at that moment"))
	is.True(strings.Contains(c.Cause, "9 calls in flight and 5 queued"))
	is.True(strings.Contains(c.Cause, "node-c had no target since 1.5 s before (silent)"))
	is.True(!strings.Contains(c.Cause, "leaving"))
}

// Guards against a call that may have run being explained as refused, and against
// an expired deadline being explained as a connection failure.
func TestCauseDistinguishesOutcomes(t *testing.T) {
	is := is.New(t)
	g := read(t, sample)
	is.True(strings.Contains(g.Call("c2").Cause, "may have run"))
	is.True(strings.Contains(g.Call("c2").Cause, "its time was over"))
	is.True(strings.Contains(g.Call("c3").Cause, "answered 500 itself"))
	is.True(strings.Contains(g.Call("c8").Cause, "No line names this call"))
}

// Guards against damaged lines that make reading fail, and against damaged or
// omitted lines that are not counted.
func TestMissingAndDamagedLinesAreCounted(t *testing.T) {
	is := is.New(t)
	g := read(t, sample)
	is.Equal(g.Bad, 2)
	is.Equal(g.Skipped, 7)
	is.NoErr(g.Read(strings.NewReader(strings.Repeat("x", 3*maxLineBytes) + "\n" + sample)))
	is.Equal(g.Bad, 5)
	is.Equal(len(g.Call("c3").Lines), 2)
}

// Guards against groups that mix causes, and against a time range that selects
// calls outside of it.
func TestGroupsCountByRouteAndCause(t *testing.T) {
	is := is.New(t)
	g := read(t, sample)
	is.Equal(len(g.Groups(Query{})), 3)
	at := time.Date(2026, 1, 2, 10, 0, 3, 0, time.UTC)
	span := g.Groups(Query{From: at, To: at.Add(time.Second)})
	is.Equal(len(span), 1)
	is.Equal(span[0], Group{Route: "r", Status: 504, Cause: "answer_lost", Calls: 1, IDs: []string{"c2"}})
	is.Equal(len(g.Groups(Query{Cause: "no_target", Route: "r"})), 1)
}

// Guards against logged values that inject lines or control sequences into the
// output.
func TestValuesCannotInjectLines(t *testing.T) {
	is := is.New(t)
	g := read(t, `{"time":"2026-01-02T10:00:02Z","msg":"call ended","node":"n\nn","call":"c","reason":"x\nThe call was fine.","cause":"odd\u001b[2J"}`)
	for _, row := range g.Call("c").Rows() {
		is.True(!strings.ContainsAny(strings.Join(row, ""), "\n\x1b"))
	}
	is.True(!strings.ContainsAny(g.Call("c").Cause, "\n\x1b"))
	for _, row := range GroupRows(g.Groups(Query{})) {
		is.True(!strings.ContainsAny(strings.Join(row, ""), "\n\x1b"))
	}
}

// Guards against input that makes reading or rendering panic.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"msg":"call ended","time":"2026-01-02T10:00:02Z","call":"c","tries":[1,{"node":3}],"skippedBefore":"x"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		g := new(Log)
		if g.Read(strings.NewReader(string(b))) != nil {
			return
		}
		for _, l := range g.lines {
			c := g.Call(l.Call)
			c.Rows()
		}
		GroupRows(g.Groups(Query{}))
	})
}

// Guards against an explanation that blames a missing target without telling that
// the node did not use it yet after a restart.
func TestUnconfirmedTargetIsExplained(t *testing.T) {
	is := is.New(t)
	c := read(t, strings.Replace(sample, `"msg":"target lost","node":"node-c","reason":"silent"`,
		`"msg":"target not confirmed by its health check","node":"node-c","error":"status 503"`, 1)).Call("c1")
	is.True(strings.Contains(c.Cause, `node-c did not use its target 1.5 s before`))
	is.True(strings.Contains(c.Cause, "status 503"))
}
