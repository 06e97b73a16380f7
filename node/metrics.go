package node

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskingw/admit"
	"siskingw/buildinfo"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/platform"
	"siskingw/proxy"
	"siskingw/snapshot"
	"siskingw/telemetry"
)

// metricsService serves the metrics on a separate address.
type metricsService struct {
	node *Node
	httpListener
}

func (s *metricsService) Name() string    { return nameMetrics }
func (s *metricsService) Needs() []string { return nil }

func (s *metricsService) Start(context.Context, *kernel.Kernel) error {
	mux := http.NewServeMux()
	telemetry.MountMetrics(mux)
	return s.listenLimited(s.node, nameMetrics, s.node.settings.Listen.Metrics, proxy.NewServer(mux, proxy.ServerOptions{}))
}

func (s *metricsService) Stop(ctx context.Context) error { return s.shutdown(ctx) }

// exportBuild exports the build of this process as labels of a gauge that is always 1.
func exportBuild(set *metrics.Set) {
	b := buildinfo.Get()
	set.NewGauge(fmt.Sprintf("siskingw_build_info{revision=%q,build=%q,go=%q,platform=%q}", b.Revision, b.ID, b.Go, b.Platform),
		func() float64 { return 1 })
}

// exportTraffic exports the bytes exchanged with other nodes by link class.
func exportTraffic(set *metrics.Set, t *peer.Traffic) {
	for _, c := range []peer.LinkClass{peer.SameDomain, peer.SameRegion, peer.CrossRegion} {
		set.NewGauge(fmt.Sprintf(`siskingw_control_sent_bytes{link=%q}`, c), func() float64 { return float64(t.Sent(c)) })
		set.NewGauge(fmt.Sprintf(`siskingw_control_received_bytes{link=%q}`, c), func() float64 { return float64(t.Received(c)) })
	}
}

// exportState exports the age of the version in force, -1 before the first one, the
// number of its routes that are unavailable, and the number of known members in each
// state.
func exportState(n *Node) {
	var since atomic.Int64 // ns since 1970; 0 before the first version
	var unavailable atomic.Int64
	n.current.OnAdvance(func(next *snapshot.Snapshot) {
		since.Store(time.Now().UnixNano())
		unavailable.Store(int64(len(next.Unavailable())))
	})
	n.metrics.NewGauge("siskingw_unavailable_routes", func() float64 { return float64(unavailable.Load()) })
	n.metrics.NewGauge("siskingw_version_age_seconds", func() float64 {
		if at := since.Load(); at > 0 {
			return time.Since(time.Unix(0, at)).Seconds()
		}
		return -1
	})
	for _, state := range []member.State{member.Alive, member.Suspect, member.Draining, member.Dead, member.Left} {
		n.metrics.NewGauge(fmt.Sprintf(`siskingw_members{state=%q}`, state), func() float64 {
			return float64(countMembers(n.dir, state))
		})
	}
}

// exportAdmission exports the share of the target's new calls that is refused for
// want of room for the calls that they lead to, by priority, and the time until the
// link has sent the responses of the calls admitted so far.
func exportAdmission(set *metrics.Set, parents *admit.Parents, sender *admit.Sender) {
	for p := range admit.Priorities {
		set.NewGauge(fmt.Sprintf(`siskingw_parents_refused_share{priority="%d"}`, p), func() float64 { return parents.Limited(p) })
	}
	set.NewGauge("siskingw_link_backlog_seconds", func() float64 { return sender.Backlog().Seconds() })
}

// countMembers returns the number of known members in the state.
func countMembers(dir *member.Directory, state member.State) int {
	count := 0
	for _, r := range dir.All() {
		if r.State == state {
			count++
		}
	}
	return count
}

// storeCalls returns a function that records calls to the platform's store:
// their number by result and the duration of those that succeeded.
func storeCalls(set *metrics.Set) func(operation string, err error, took time.Duration) {
	type counters struct {
		done, failed *metrics.Counter
		took         *metrics.Histogram
	}
	byOperation := make(map[string]counters)
	for _, op := range platform.Operations() {
		byOperation[op] = counters{
			done:   set.NewCounter(fmt.Sprintf(`siskingw_store_calls_total{call=%q,result="done"}`, op)),
			failed: set.NewCounter(fmt.Sprintf(`siskingw_store_calls_total{call=%q,result="failed"}`, op)),
			took:   set.NewHistogram(fmt.Sprintf(`siskingw_store_call_seconds{call=%q}`, op)),
		}
	}
	return func(operation string, err error, took time.Duration) {
		c := byOperation[operation]
		if err != nil {
			c.failed.Inc()
			return
		}
		c.done.Inc()
		c.took.Update(took.Seconds())
	}
}
