// Package telemetry provides the logger, the metrics page, health checks and
// traces of a process.
package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes JSON lines to w. Messages up to the
// given verbosity are written; 0 writes only the important ones.
func NewLogger(w io.Writer, verbosity int) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h)
}
