package node

import (
	"siskingw/budget"
	"siskingw/peer"
	"siskingw/proxy"
	"siskingw/telemetry"
)

// Rate limit of the log lines about clients that are refused or closed, in lines per
// second and lines at once. The metrics count all of them.
const (
	maxClientLinesPerSecond = 1
	maxClientLineBurst      = 10
)

// clientLimits bounds what the clients of a node can make it hold, over both listeners
// that take calls.
type clientLimits struct {
	budget *budget.Budget
	conns  *proxy.ConnLimit
	// otherConns returns a new limit for a listener that takes no calls.
	otherConns func() *proxy.ConnLimit
}

// newClientLimits creates the limits from the settings, with their metrics and log lines.
func newClientLimits(n *Node) *clientLimits {
	l := &n.settings.Limits
	limits := &clientLimits{budget: budget.New(budget.Limits{
		Bytes: int64(l.CallMemoryMB) << 20, MinRate: int64(l.MinBodyRate), StallTime: l.BodyStall(),
		MaxStalled: l.StalledBodies, MaxStalledPerOwner: l.StalledBodiesPerClient,
	})}
	stalled := telemetry.NewRateLimitedLogger(n.log, telemetry.EventClientStalled, maxClientLinesPerSecond, maxClientLineBurst)
	limits.budget.OnEvict(func(owner string, held int64) {
		stalled.Log(func() []any {
			return []any{"client", owner, "heldBytes", held, "usedBytes", limits.budget.Used(), "limitBytes", limits.budget.Limit()}
		})
	})
	refused := telemetry.NewRateLimitedLogger(n.log, telemetry.EventConnectionRefused, maxClientLinesPerSecond, maxClientLineBurst)
	connLimit := func(open int) *proxy.ConnLimit {
		return proxy.NewConnLimit(open, func(owner string) {
			refused.Log(func() []any { return []any{"client", owner, "limit", open} })
		})
	}
	limits.conns = connLimit(l.Connections)
	limits.otherConns = func() *proxy.ConnLimit { return connLimit(l.OtherConnections) }
	limits.export(n)
	return limits
}

// export exports the metrics of the limits.
func (l *clientLimits) export(n *Node) {
	count := func(name string, f func() int64) { n.metrics.NewGauge(name, func() float64 { return float64(f()) }) }
	count("siskingw_call_memory_bytes", l.budget.Used)
	count("siskingw_call_memory_limit_bytes", l.budget.Limit)
	count("siskingw_call_memory_denied_total", l.budget.Denied)
	count("siskingw_stalled_clients_total", l.budget.Evicted)
	if l.conns != nil {
		count("siskingw_client_connections", l.conns.Open)
		count("siskingw_client_connections_refused_total", l.conns.Refused)
		count("siskingw_client_connections_closed_total", l.conns.Closed)
	}
}

// newPeerGuard creates the limits of the listener between nodes, with their metrics and log
// line.
func (l *clientLimits) newPeerGuard(n *Node) *peer.Guard {
	limits := &n.settings.Limits
	closed := telemetry.NewRateLimitedLogger(n.log, telemetry.EventPeerClosed, maxClientLinesPerSecond, maxClientLineBurst)
	guard := peer.NewGuard(peer.Limits{Connections: limits.PeerConnections, Bytes: int64(limits.PeerMemoryMB) << 20,
		OnClose: func(addr string) {
			closed.Log(func() []any {
				return []any{"client", addr, "limit", limits.PeerConnections, "limitBytes", int64(limits.PeerMemoryMB) << 20}
			})
		}})
	count := func(name string, f func() int64) { n.metrics.NewGauge(name, func() float64 { return float64(f()) }) }
	count("siskingw_peer_connections", guard.Connections)
	count("siskingw_peer_connections_refused_total", guard.Refused)
	count("siskingw_peer_connections_closed_total", guard.Closed)
	count("siskingw_peer_memory_bytes", guard.Held)
	return guard
}

// bodies returns the options for the request bodies of calls.
func (n *Node) bodies() proxy.BodyOptions {
	o := proxy.BodyOptions{Budget: n.clients.budget}
	if n.settings.Platform != nil {
		o.MaxBuffered, o.BufferUnsized = platformBufferedBytes, true
		o.StreamSlotPercent = n.settings.Limits.StreamSlotPercent
	}
	return o
}
