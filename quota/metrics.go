package quota

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// serviceMetrics counts decisions and questions; it has no labels that depend on
// organisations or nodes.
type serviceMetrics struct {
	decisions                map[string]*metrics.Counter // by cause; "" for allowed calls
	asksAnswered, asksFailed *metrics.Counter
}

func newServiceMetrics(set *metrics.Set, p *Pool, members *members) *serviceMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	m := &serviceMetrics{decisions: make(map[string]*metrics.Counter)}
	for cause, label := range map[string]string{"": "allowed", CauseOver: "over", CauseNoCredit: "no_credit", CauseNoContact: "no_contact"} {
		m.decisions[cause] = set.NewCounter(fmt.Sprintf(`siskingw_quota_calls_total{result=%q}`, label))
	}
	m.asksAnswered = set.NewCounter(`siskingw_quota_asks_total{result="answered"}`)
	m.asksFailed = set.NewCounter(`siskingw_quota_asks_total{result="failed"}`)
	set.NewGauge(`siskingw_quota_instances`, func() float64 { return float64(members.instances(time.Now()).instances) })
	set.NewGauge(`siskingw_quota_pledged_fraction`, func() float64 { return p.Pledged(time.Now()) })
	return m
}

func (m *serviceMetrics) count(d Decision) {
	if c := m.decisions[d.Cause]; c != nil {
		c.Inc()
	}
}
