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
	// maxQueuedLines is the capacity of the queue. A full queue takes 300 KB with
	// lines of about 300 bytes.
	maxQueuedLines = 1024
	// writeBufferBytes is the size of the buffer that batches queued lines into one
	// write.
	writeBufferBytes = 16 << 10
	// flushTimeout limits the time that Close waits for queued lines.
	flushTimeout = 200 * time.Millisecond
)

// AsyncWriter writes log lines in a separate goroutine, so that a slow or blocked
// reader of the log never blocks the code that logs. When its queue is full, it
// drops new lines and counts them. It logs their number as soon as it can write
// again.
type AsyncWriter struct {
	w          io.Writer
	lines      chan []byte
	unreported atomic.Uint64 // lines dropped since the last EventDropped line
	dropped    atomic.Uint64 // lines dropped in total
	stop       chan struct{} // closed by Close
	done       chan struct{} // closed when the goroutine has ended
	closeOnce  sync.Once
}

// NewAsyncWriter returns a writer to w. Its goroutine runs until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.unreported.Add(1)
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the total number of dropped lines.
func (a *AsyncWriter) Dropped() uint64 { return a.dropped.Load() }

// Close stops the writer after it has written the queued lines. It waits for that
// no longer than flushTimeout. Lines written after Close are lost.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	out := bufio.NewWriterSize(a.w, writeBufferBytes)
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

// write adds one line to the buffer and flushes the buffer when the queue is
// empty.
func (a *AsyncWriter) write(out *bufio.Writer, line []byte) {
	_, _ = out.Write(line) // an error of the log itself cannot be logged
	if n := a.unreported.Swap(0); n > 0 {
		a.writeDropped(out, n)
	}
	if len(a.lines) == 0 {
		_ = out.Flush()
	}
}

// writeDropped writes a log line with the number of dropped lines.
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
