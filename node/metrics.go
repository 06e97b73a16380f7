package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"siskingw/peer"
)

// exportTraffic adds the control bytes by link class to the metrics.
func exportTraffic(set *metrics.Set, t *peer.Traffic) {
	for _, c := range []peer.LinkClass{peer.SameDomain, peer.SameRegion, peer.CrossRegion} {
		set.NewGauge(fmt.Sprintf(`siskingw_control_sent_bytes{link=%q}`, c), func() float64 { return float64(t.Sent(c)) })
		set.NewGauge(fmt.Sprintf(`siskingw_control_received_bytes{link=%q}`, c), func() float64 { return float64(t.Received(c)) })
	}
}
