package telemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

// RateLimitedLogger is a rate-limited logger for one event. It counts the lines
// that it skips; the next line it writes has their number in the field
// skippedBefore.
type RateLimitedLogger struct {
	log   logr.Logger
	event string
	limit *rate.Limiter

	mu      sync.Mutex
	skipped int
}

// NewRateLimitedLogger returns a logger for an event that writes at most
// perSecond lines per second on average and burst lines at once.
func NewRateLimitedLogger(log logr.Logger, event string, perSecond float64, burst int) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, event: event, limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Log writes one line with the fields that fields returns. Above the rate limit it
// skips the line and does not call fields.
func (l *RateLimitedLogger) Log(fields func() []any) {
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
