package node

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"siskingw/telemetry"
)

// storeEra is the latest era of the platform's store that this node has read.
type storeEra struct {
	mu      sync.Mutex
	era     int64 // 0 if the store has stated none
	since   time.Time
	changes int // eras that began while this process ran
	changed []func()
}

// onChange registers f, which is called when a later era than the first has begun.
func (e *storeEra) onChange(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = append(e.changed, f)
}

// observe returns the function that records eras and logs each that is not the first.
func (e *storeEra) observe(log logr.Logger) func(era int64) {
	return func(era int64) {
		e.mu.Lock()
		last := e.era
		e.era, e.since = era, time.Now()
		if last != 0 {
			e.changes++
		}
		changed := e.changed
		e.mu.Unlock()
		if last == 0 {
			return
		}
		log.Info(telemetry.EventStoreEra, "era", era, "last", last)
		for _, f := range changed {
			f()
		}
	}
}

// get returns the era, 0 for none, and when it was read first.
func (e *storeEra) get() (era int64, since *time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era == 0 {
		return 0, nil
	}
	at := e.since
	return e.era, &at
}

// export exports the era, 0 for none, the number of eras that began while the process ran,
// and the time since the last of them was read first.
func (e *storeEra) export(set *metrics.Set) {
	read := func(f func() float64) func() float64 {
		return func() float64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return f()
		}
	}
	set.NewGauge("siskingw_store_era", read(func() float64 { return float64(e.era) }))
	set.NewGauge("siskingw_store_era_changes", read(func() float64 { return float64(e.changes) }))
	set.NewGauge("siskingw_store_era_age_seconds", read(func() float64 {
		if e.era == 0 {
			return 0
		}
		return time.Since(e.since).Seconds()
	}))
}
