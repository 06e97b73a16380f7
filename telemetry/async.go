package telemetry

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines bounds the log lines that wait to be written. With lines of
	// about 300 bytes they take 300 KB.
	asyncLines = 1024
	// asyncBuffer is the size from which waiting lines are written together.
	asyncBuffer = 16 << 10
	// flushTimeout bounds the wait for the last lines at the end of a process.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes log lines from a goroutine of its own, so that a slow or
// stuck reader never blocks the code that logs. When its queue is full it drops
// new lines, counts them, and says so in a line once there is room.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64 // lines dropped so far
	stop    chan struct{} // closed by Close
	done    chan struct{} // closed when the goroutine has ended
	once    sync.Once
}

// NewAsyncWriter returns a writer in front of w. Close ends it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, asyncLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
		a.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (a *AsyncWriter) Dropped() uint64 { return a.total.Load() }

// Close writes what is queued, for flushTimeout at most. Later lines are lost.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	out := bufio.NewWriterSize(a.w, asyncBuffer)
	for {
		select {
		case line := <-a.lines:
			a.write(out, line)
		case <-a.stop:
			for len(a.lines) > 0 {
				a.write(out, <-a.lines)
			}
			return
		}
	}
}

// write writes one line, and all that is buffered when no other line waits.
func (a *AsyncWriter) write(out *bufio.Writer, line []byte) {
	_, _ = out.Write(line) // there is nowhere to report a log that cannot be written
	if n := a.dropped.Swap(0); n > 0 {
		a.writeDropped(out, n)
	}
	if len(a.lines) == 0 {
		_ = out.Flush()
	}
}

// writeDropped says how many lines are missing.
func (a *AsyncWriter) writeDropped(out io.Writer, n uint64) {
	line, err := json.Marshal(struct {
		Time  time.Time `json:"time"`
		Level string    `json:"level"`
		Msg   string    `json:"msg"`
		Lines uint64    `json:"lines"`
	}{time.Now(), "WARN", EventDropped, n})
	if err == nil {
		_, _ = out.Write(append(line, '\n'))
	}
}
