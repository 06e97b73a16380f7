package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a stopped reader of the log that blocks the code that logs, and
// against dropped lines that are not reported.
func TestStoppedReaderDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	a := NewAsyncWriter(w)
	log := NewLogger(a, 0)
	began := time.Now()
	const lines = 3 * maxQueuedLines
	for range lines {
		log.Info(strings.Repeat("x", 300))
	}
	is.True(time.Since(began) < time.Second)
	is.True(a.Dropped() > maxQueuedLines)
	got := make(chan string)
	go func() {
		b, _ := io.ReadAll(r)
		got <- string(b)
	}()
	for len(a.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	log.Info("after")
	a.Close()
	w.Close()
	is.True(strings.Contains(<-got, "log lines dropped"))
}

// Guards against a panic when a call in flight logs after Close during shutdown.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
	a := NewAsyncWriter(io.Discard)
	log := NewLogger(a, 0)
	a.Close()
	log.Info("late")
	a.Close()
}

// Guards against queued lines that are lost when the process exits.
func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	a := NewAsyncWriter(&b)
	log := NewLogger(a, 0)
	for range 100 {
		log.Info("line")
	}
	a.Close()
	is.Equal(strings.Count(b.String(), `"msg":"line"`), 100)
}
