package telemetry

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// skippedLines counts the lines that Limited loggers left out.
var skippedLines atomic.Uint64

// ExportLog adds to the metrics of the process how many log lines were left
// out: by rate limits, and because the reader of the log was too slow.
func ExportLog(w *AsyncWriter) {
	metrics.GetOrCreateGauge(`siskingw_log_lines_omitted{reason="rate"}`, func() float64 { return float64(skippedLines.Load()) })
	metrics.GetOrCreateGauge(`siskingw_log_lines_omitted{reason="slow_reader"}`, func() float64 { return float64(w.Dropped()) })
}
