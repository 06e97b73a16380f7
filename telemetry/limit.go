package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// Limited writes the log lines of one kind of event at a bounded rate and counts
// the others. The next line says how many were left out.
type Limited struct {
	log   logr.Logger
	event string
	limit *rate.Limiter

	mu      sync.Mutex
	skipped int
}

// NewLimited returns a logger for an event. perSecond and burst bound its lines.
func NewLimited(log logr.Logger, event string, perSecond float64, burst int) *Limited {
	return &Limited{log: log, event: event, limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Log writes one line with the fields that fields returns, unless there were too
// many.
func (l *Limited) Log(fields func() []any) {
	l.mu.Lock()
	if !l.limit.AllowN(time.Now(), 1) {
		l.skipped++
		skippedLines.Add(1)
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.skipped = 0
	l.mu.Unlock()
	f := fields()
	if skipped > 0 {
		f = append(f, "skippedBefore", skipped)
	}
	l.log.Info(l.event, f...)
}
