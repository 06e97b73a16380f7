package telemetry

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// skippedLines counts the lines that all rate-limited loggers of the process
// skipped.
var skippedLines atomic.Uint64

// ExportLog registers metrics for the number of log lines that were omitted by
// rate limits and because the reader of the log was too slow.
func ExportLog(w *AsyncWriter) {
	metrics.GetOrCreateGauge(`siskingw_log_lines_omitted{reason="rate"}`,
		func() float64 { return float64(skippedLines.Load()) })
	metrics.GetOrCreateGauge(`siskingw_log_lines_omitted{reason="slow_reader"}`,
		func() float64 { return float64(w.Dropped()) })
}
