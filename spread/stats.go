package spread

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"siskingw/errdefs"
)

// stats counts the activities of a node. All counters are totals.
type stats struct {
	set         *metrics.Set
	offers      *metrics.Counter // offers sent
	have        *metrics.Counter // offers received for a version that is in force already
	applied     *metrics.Counter // offers received and put in force
	missed      *metrics.Counter // offers that failed, were refused or were not answered in time
	pulls       *metrics.Counter // fetches started for missing versions
	snapshots   *metrics.Counter // snapshots fetched
	busy        *metrics.Counter // transfers refused because of the limit
	compares    *metrics.Counter // version comparisons sent
	storeReads  *metrics.Counter // versions loaded from the store
	storeErrors *metrics.Counter // store calls that failed
	takeovers   *metrics.Counter // takeovers of another node's work
}

func newStats(set *metrics.Set) stats {
	c := func(name string) *metrics.Counter {
		return set.GetOrCreateCounter("siskingw_spread_" + name + "_total")
	}
	return stats{
		set: set, offers: c("offers"), have: c("offers_have"), applied: c("offers_applied"), missed: c("offers_missed"),
		pulls: c("pulls"), snapshots: c("snapshots_fetched"), busy: c("busy"), compares: c("compares"),
		storeReads: c("store_reads"), storeErrors: c("store_errors"), takeovers: c("takeovers"),
	}
}

// countRefused counts a version that was not put in force, by cause.
func (s *stats) countRefused(err error) {
	s.set.GetOrCreateCounter(`siskingw_spread_refused_total{cause="` + cause(err) + `"}`).Inc()
}

// cause returns the name of the error's type.
func cause(err error) string {
	if e := errorx.Cast(err); e != nil {
		name := e.Type().FullName()
		return name[strings.LastIndexByte(name, '.')+1:]
	}
	return "unknown"
}

// isStale reports whether err says that a version is not newer.
func isStale(err error) bool { return errorx.IsOfType(err, errdefs.Stale) }
