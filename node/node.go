// Package node assembles the services of a node and runs them.
package node

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"siskingw/buildinfo"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/organisation"
	"siskingw/peer"
	"siskingw/proxy"
	"siskingw/settings"
	"siskingw/snapshot"
	"siskingw/telemetry"
)

// stopMargin is the time that a graceful stop may take beyond the drain
// timeout, for announcing the departure and closing connections.
const stopMargin = 10 * time.Second

// Node is one siskingw process.
type Node struct {
	settings     *settings.Settings                // as loaded at process start
	liveSettings atomic.Pointer[settings.Settings] // as last loaded
	log          logr.Logger
	metrics      *metrics.Set
	current      *snapshot.Current
	dir          *member.Directory
	kernel       *kernel.Kernel

	clients       *clientLimits
	callMetrics   *proxy.Metrics
	decisionLog   *proxy.DecisionLog
	stateLog      *stateLog
	storeEra      storeEra
	target        *targetService     // on the platform only
	rollouts      *rolloutService    // nil without roll-outs
	organisations organisation.Cache // shared: building a set reads all objects
	outbound      *proxy.Outbound
	inbound       *proxy.Inbound
}

// New returns a node that is not yet started.
func New(s *settings.Settings, log logr.Logger) (*Node, error) {
	n := &Node{
		settings: s,
		log:      log.WithValues("node", s.ID),
		metrics:  metrics.NewSet(),
		current:  new(snapshot.Current),
		dir:      member.NewDirectory(selfRecord(s), member.DirectoryOptions{}),
		kernel:   kernel.New(log),
	}
	n.liveSettings.Store(s)
	n.stateLog = newStateLog(n.log)
	n.dir.OnChange(n.stateLog.logMembers)
	exportState(n)
	exportBuild(n.metrics)
	n.storeEra.export(n.metrics)
	n.clients = newClientLimits(n)
	metrics.RegisterSet(n.metrics)
	for _, svc := range n.services() {
		if err := n.kernel.Register(svc); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// services returns every service of the node. The kernel stops them in reverse
// dependency order: the inbound listener drains first and the peer listener
// closes last.
func (n *Node) services() []kernel.Service {
	list := []kernel.Service{
		&peerService{node: n},
		&storeService{node: n},
		&memberService{node: n},
		&spreadService{node: n},
		&publishService{node: n},
		&statusService{node: n},
		&adminService{node: n},
		&quotaService{node: n},
		&outboundService{node: n},
	}
	if n.settings.Listen.Metrics != "" {
		list = append(list, &metricsService{node: n})
	}
	if n.settings.Target != nil {
		list = append(list, &inboundService{node: n})
	}
	if n.settings.Platform != nil {
		n.target = newTargetService(n)
		if n.settings.Platform.CanaryShare > 0 {
			n.rollouts = newRolloutService(n)
			list = append(list, n.rollouts)
		}
		list = append(list, n.target, &inboundService{node: n}, &readyService{node: n})
	}
	return list
}

// Run runs the node until ctx ends, a service returns or a signal arrives on
// stop, and then stops it gracefully. A second signal cuts the graceful stop
// short.
func (n *Node) Run(ctx context.Context, stop <-chan os.Signal) error {
	defer metrics.UnregisterSet(n.metrics, true)
	stopTracing, err := telemetry.StartTraces(ctx, telemetry.TraceOptions{
		SampleRatio: n.settings.Trace.SampleRatio, Endpoint: n.settings.Trace.Endpoint, NodeID: n.settings.ID,
	})
	if err != nil {
		return err
	}
	build := buildinfo.Get()
	n.log.Info(telemetry.EventStarting, "failureDomain", n.settings.FailureDomain, "incarnation", n.dir.Self().Incarnation,
		"revision", build.Revision, "build", build.ID, "go", build.Go, "platform", build.Platform)
	err = n.kernel.Run(ctx, stop, n.stopTimeout())
	flushCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = stopTracing(flushCtx)
	n.log.Info(telemetry.EventStopped)
	return err
}

// stopTimeout returns the time limit of the graceful stop.
func (n *Node) stopTimeout() time.Duration {
	if p := n.settings.Platform; p != nil {
		return newStopSchedule(p.Grace()).end
	}
	return n.settings.Stop.DrainTimeout() + stopMargin
}

// place returns the location of this node.
func (n *Node) place() peer.Place {
	return peer.Place{Region: n.settings.Region, FailureDomain: n.settings.FailureDomain}
}

// localAddr returns the local address for outgoing connections, or nil to let
// the system choose.
func (n *Node) localAddr() net.Addr {
	if n.settings.DialFrom == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(n.settings.DialFrom)}
}

// selfRecord returns the initial membership record of this process.
func selfRecord(s *settings.Settings) member.Record {
	r := member.Record{
		ID: s.ID, Incarnation: member.NewIncarnation(time.Now()), State: member.Alive,
		Region: s.Region, FailureDomain: s.FailureDomain,
		PeerAddr: s.Advertise.Peer, InboundAddr: s.Advertise.Inbound,
	}
	if s.Target != nil {
		r.Service, r.Slots = s.Target.Service, uint32(s.Target.Slots)
	}
	return r
}
