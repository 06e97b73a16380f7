package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"

	"siskingw/admit"
	"siskingw/balance"
	"siskingw/errdefs"
	"siskingw/idem"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/platform"
	"siskingw/proxy"
)

// inboundDrainLinger is how long the inbound listener refuses new calls as not
// run after the drain was announced; the announcement reaches every node within
// 2 s.
const inboundDrainLinger = 2 * time.Second

// unackedTimeout is the time after which unacknowledged data means that the
// instance is down or partitioned. It allows two retransmissions of a lost
// packet on the links with the highest latency, 0.24 and 0.72 s after it was
// sent.
const unackedTimeout = 800 * time.Millisecond

// platformDrainLinger replaces inboundDrainLinger on the platform, where the
// grace period before SIGKILL is short and other nodes also learn of the drain
// from responses.
const platformDrainLinger = 300 * time.Millisecond

// httpServer is implemented by http.Server and proxy.ConnServer.
type httpServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// httpListener is an HTTP server with its listener, embedded by services.
type httpListener struct {
	server   httpServer
	listener net.Listener
}

// listen opens the listener. It returns an Invalid error when the address
// cannot be used.
func (s *httpListener) listen(what, addr string, server httpServer) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errdefs.Invalid.Wrap(err, "open the %s listener", what)
	}
	s.listener, s.server = lis, server
	return nil
}

// listenLimited is listen for a listener that takes no calls. It limits the open
// connections, each of which costs a descriptor.
func (s *httpListener) listenLimited(n *Node, what, addr string, server httpServer) error {
	if err := s.listen(what, addr, server); err != nil {
		return err
	}
	s.listener = proxy.LimitListener(s.listener, n.clients.otherConns())
	return nil
}

// Run serves until the server is shut down and ctx has ended. It closes the
// server when ctx ends.
func (s *httpListener) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errdefs.Internal.Wrap(err, "serve on listener %s", s.listener.Addr())
	}
	<-ctx.Done() // returning earlier would stop the other services
	return nil
}

// shutdown closes the listener and waits for the requests in flight. It does
// nothing when Start has not opened the listener.
func (s *httpListener) shutdown(ctx context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Shutdown(ctx)
}

// outboundService serves the calls of the callers on this instance.
type outboundService struct {
	node *Node
	httpListener
}

func (s *outboundService) Name() string    { return nameOutbound }
func (s *outboundService) Needs() []string { return []string{nameSpread, nameQuota} }

func (s *outboundService) Start(_ context.Context, k *kernel.Kernel) error {
	quotas, err := kernel.Lookup[*quotaService](k, nameQuota)
	if err != nil {
		return err
	}
	var local *proxy.Inbound
	if s.node.settings.Target != nil || s.node.settings.Platform != nil {
		in, err := kernel.Lookup[*inboundService](k, nameInbound)
		if err != nil {
			return err
		}
		local = in.handler()
	}
	opts := proxy.OutboundOptions{
		Current:  s.node.current,
		Balancer: balance.New(s.node.dir, balance.Options{OnEject: s.node.stateLog.logEjection}),
		View:     s.node.dir,
		Pool: proxy.NewPool(proxy.PoolOptions{LocalAddr: s.node.localAddr(), UnackedTimeout: unackedTimeout,
			MaxOpen: s.node.settings.Limits.DialedConnections, OnFull: s.node.clients.budget.EvictStalled}),
		Bodies:        s.node.bodies(),
		Local:         local,
		OnDraining:    s.onDraining,
		Metrics:       s.node.proxyMetrics(),
		Tracer:        s.node.tracer(),
		DecisionLog:   s.node.callDecisionLog(),
		Quota:         quotas.service,
		RelayNews:     s.node.settings.Balance.RelayNews,
		Organisations: &s.node.organisations,
	}
	server := proxy.ServerOptions{Log: s.node.log, Bodies: opts.Bodies, Conns: s.node.clients.conns}
	if s.node.settings.Platform != nil {
		opts.HeaderFormat, opts.NoKeys = platform.HeaderFormat{}, true
		opts.Caller = func() string { return s.node.liveSettings.Load().Platform.Service }
		opts.Responses = platformResponses
		if s.node.rollouts != nil {
			opts.Rollouts = s.node.rollouts.traffic
		}
		opts.Retries = proxy.RetryOptions{BudgetPercent: 15, BudgetCapacity: 4, FreeRetries: 3}
		server.MaxPipelined, server.Limits = maxPipelined, s.node.callerLimits
	}
	s.node.outbound = proxy.NewOutbound(opts)
	return s.listen(nameOutbound, s.node.settings.Listen.Outbound, proxy.NewConnServer(s.node.outbound, server))
}

// On the platform, request and response bodies of the usual sizes are buffered
// completely, so that a call can be retried when its transfer is interrupted.
var platformResponses = proxy.ResponseOptions{BufferBytes: 256 << 10}

// platformBufferedBytes is the size up to which request bodies are buffered on the
// platform while there is memory for them.
const platformBufferedBytes = 4 << 20

const (
	bytesPerMbit = 1e6 / 8
	// bodyShareOfLink is the share of the link's rate, 0 to 1, that is available
	// to the bodies of calls.
	bodyShareOfLink = 0.8
	// responseShareOfLink is the share of the link's rate, 0 to 1, that large
	// responses may take; the rest is for headers, retransmissions and control.
	responseShareOfLink = 0.9
)

// maxPipelined is the maximum number of pipelined requests of one caller
// connection that are served concurrently.
const maxPipelined = 16

// onDraining marks the node of a target as draining when its response says so,
// before its membership record arrives.
func (s *outboundService) onDraining(r *member.Record) {
	if r.State != member.Alive {
		return
	}
	draining := *r
	draining.State = member.Draining
	s.node.dir.Merge([]member.Record{draining})
}

func (s *outboundService) Stop(ctx context.Context) error { return s.shutdown(ctx) }

// inboundService forwards calls from other nodes to the target of this
// instance.
type inboundService struct {
	node *Node
	httpListener
	inbound *proxy.Inbound
	ledger  *idem.Ledger
	member  *memberService
}

func (s *inboundService) Name() string    { return nameInbound }
func (s *inboundService) Needs() []string { return []string{nameMember, nameOutbound} }

// handler returns the handler, which the first call creates. The outbound
// service also uses it, for calls whose target is on this instance.
func (s *inboundService) handler() *proxy.Inbound {
	if s.inbound != nil {
		return s.inbound
	}
	if s.node.settings.Platform != nil {
		s.inbound = s.platformHandler()
		s.node.inbound = s.inbound
		return s.inbound
	}
	t := s.node.settings.Target
	self := s.node.dir.Self()
	s.ledger = idem.NewLedger(self.ID, self.Incarnation, idem.Options{})
	s.node.dir.OnChange(func([]*member.Record) { s.ledger.AddIncarnation(s.node.dir.Self().Incarnation) })
	s.inbound = proxy.NewInbound(proxy.InboundOptions{
		Target: t.Address,
		Gate: admit.New(admit.Options{
			Slots: t.Slots, Connections: t.Connections, QueueLength: t.QueueLength,
			QueueTimeout: time.Duration(t.QueueMs) * time.Millisecond,
		}),
		Ledger:      s.ledger,
		Bodies:      s.node.bodies(),
		EvenLoad:    s.evenLoad(),
		DecisionLog: s.node.callDecisionLog(),
		Metrics:     s.node.proxyMetrics(),
		Tracer:      s.node.tracer(),
	})
	return s.inbound
}

// evenLoad returns the state that the handler keeps for an even load, or nil if the
// settings do not ask for it.
func (s *inboundService) evenLoad() *proxy.EvenLoad {
	b := s.node.settings.Balance
	if !b.RelayNews {
		return nil
	}
	return proxy.NewEvenLoad(func() string { return s.node.dir.Self().ID }, float64(b.HandOnPercent)/100)
}

// platformHandler creates the handler for a target that announces itself.
func (s *inboundService) platformHandler() *proxy.Inbound {
	parents := new(admit.Parents)
	sender := admit.NewSender(s.node.settings.Platform.LinkMbps*responseShareOfLink*bytesPerMbit, nil)
	exportAdmission(s.node.metrics, parents, sender)
	return proxy.NewInbound(proxy.InboundOptions{
		OnAnswer:     s.node.onAnswer(),
		Backend:      s.node.target.currentBackend,
		Metrics:      s.node.proxyMetrics(),
		Tracer:       s.node.tracer(),
		DecisionLog:  s.node.callDecisionLog(),
		HeaderFormat: platform.HeaderFormat{},
		EvenLoad:     s.evenLoad(),
		Responses:    platformResponses, Bodies: s.node.bodies(), CloseDelimited: true,
		OnWrongTarget: s.node.target.onWrongTarget, NoKeys: true,
		Nested:  new(admit.NestedRoutes),
		Parents: parents,
		Sender:  sender,
		Link:    admit.NewLink(s.node.settings.Platform.LinkMbps * bodyShareOfLink * bytesPerMbit),
	})
}

func (s *inboundService) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.member, err = kernel.Lookup[*memberService](k, nameMember); err != nil {
		return err
	}
	server := proxy.ServerOptions{Log: s.node.log, Bodies: s.node.bodies(), Conns: s.node.clients.conns}
	if s.node.settings.Platform != nil {
		server.Limits = s.node.nodeLimits
	}
	return s.listen(nameInbound, s.node.settings.Listen.Inbound, proxy.NewConnServer(s.handler(), server))
}

// Stop refuses new calls, announces the drain and waits for the calls in
// flight.
func (s *inboundService) Stop(ctx context.Context) error {
	if s.server == nil {
		return nil // Start failed
	}
	s.inbound.Drain()
	if s.ledger != nil {
		s.ledger.Drain(s.successor)
	}
	announceCtx, announced := s.node.announceContext(ctx)
	s.member.service.Drain(announceCtx)
	announced()
	drainCtx, cancel := context.WithTimeout(ctx, s.node.settings.Stop.DrainTimeout())
	defer cancel()
	linger := inboundDrainLinger
	if s.node.settings.Platform != nil {
		linger = platformDrainLinger
	}
	return s.inbound.Stop(drainCtx, s.server, linger)
}

// successor returns the node that takes over an idempotency key whose call this
// draining node has not run, or nil when the service has no other live target.
// The node is selected by the hash of the key, which distributes the keys.
func (s *inboundService) successor(k idem.Key) *member.Record {
	self := s.node.dir.Self()
	var live []*member.Record
	for _, r := range s.node.dir.Endpoints(self.Service) {
		if r.State == member.Alive && r.ID != self.ID {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[member.RankHash(k.String())%uint64(len(live))]
}

// proxyMetrics returns the metrics of the proxy, shared by both listeners.
func (n *Node) proxyMetrics() *proxy.Metrics {
	if n.callMetrics == nil {
		n.callMetrics = proxy.NewMetrics(n.metrics)
	}
	return n.callMetrics
}

// callDecisionLog returns the log of decisions about calls, shared by both
// listeners.
func (n *Node) callDecisionLog() *proxy.DecisionLog {
	if n.decisionLog == nil {
		n.decisionLog = proxy.NewDecisionLog(n.log)
	}
	return n.decisionLog
}

// tracer returns the tracer of the proxy, or nil when tracing is disabled.
func (n *Node) tracer() *proxy.Tracer {
	if n.settings.Trace.SampleRatio == 0 {
		return nil
	}
	return proxy.NewTracer(otel.GetTracerProvider())
}
