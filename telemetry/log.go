// Package telemetry provides logging, the HTTP handlers of metrics and health
// checks, and tracing.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes JSON lines to w. It writes messages up to
// the given verbosity level; level 0 has the most important ones.
func NewLogger(w io.Writer, verbosity int) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h)
}
