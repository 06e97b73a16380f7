package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"siskingw/admit"
	"siskingw/errdefs"
	"siskingw/kernel"
	"siskingw/member"
	"siskingw/object"
	"siskingw/platform"
	"siskingw/proxy"
	"siskingw/snapshot"
	"siskingw/targets"
	"siskingw/telemetry"
)

const (
	// maxMissedHeartbeats is the number of announcement intervals without an
	// announcement after which a target counts as gone; announcements may be some
	// seconds late.
	maxMissedHeartbeats = 4
	// queuePerSlot limits the calls that wait for the target, per slot. Calls that
	// would miss their target latency are refused long before the limit is
	// reached.
	queuePerSlot = 4
)

// targetService tracks the target of this instance by its announcements.
type targetService struct {
	node *Node
	httpListener
	registry *targets.Registry
	backend  atomic.Pointer[localBackend]
	member   *memberService
	// invalidLog limits the lines about announcements that name no target: a
	// faulty writer may repeat them at any rate.
	invalidLog    rate.Sometimes
	confirmations targetConfirmations
}

// invalidLogInterval is the minimum time between two lines about invalid
// announcements.
const invalidLogInterval = 10 * time.Second

// localBackend is the backend for one process of the target, that is, for one
// start as package targets calls it.
type localBackend struct {
	proxy.Backend
	target targets.Target
}

func newTargetService(n *Node) *targetService {
	s := &targetService{
		node: n, registry: targets.NewRegistry(maxMissedHeartbeats * n.settings.Platform.Heartbeat()),
		invalidLog:    rate.Sometimes{Interval: invalidLogInterval},
		confirmations: newTargetConfirmations(),
	}
	s.registry.OnChange(s.onTargetChange)
	s.registry.RequireConfirmation(time.Now().Add(-shortestLife))
	return s
}

func (s *targetService) Name() string    { return nameTarget }
func (s *targetService) Needs() []string { return []string{nameMember} }

func (s *targetService) Start(_ context.Context, k *kernel.Kernel) error {
	var err error
	if s.member, err = kernel.Lookup[*memberService](k, nameMember); err != nil {
		return err
	}
	s.node.current.OnAdvance(func(*snapshot.Snapshot) { s.confirmations.request() }) // its health check may be known now
	s.node.dir.OnChange(s.onMemberChange)
	return s.listenLimited(s.node, nameTarget, s.node.settings.Platform.Control,
		proxy.NewServer(platform.NewControl(s, s.logInvalid), proxy.ServerOptions{}))
}

// Run serves announcements and expires targets that have stopped announcing
// themselves.
func (s *targetService) Run(ctx context.Context) error {
	go s.confirmTargets(ctx)
	go func() {
		tick := time.NewTicker(s.node.settings.Platform.Heartbeat() / 2)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-tick.C:
				s.registry.Expire(now)
			}
		}
	}()
	return s.httpListener.Run(ctx)
}

func (s *targetService) Stop(ctx context.Context) error { return s.shutdown(ctx) }

// Announce implements platform.TargetSink. A stale announcement is acknowledged
// without an effect: a newer one has been recorded. An announcement for an unknown
// service is refused with an Invalid error, so that it cannot replace the target.
func (s *targetService) Announce(a targets.Announcement) error {
	if !s.knowsService(a.Service) {
		return errdefs.Invalid.New("announcement of %q: service %q is not in the configuration", a.ID, a.Service)
	}
	now := time.Now()
	left := s.node.dir.Self().TargetDeparture
	a.Leaving = a.Leaving || left.Covers(a.ID, a.Started.UnixMilli())
	err := s.registry.Announce(a, now)
	if errorx.IsOfType(err, errdefs.Stale) {
		return nil
	}
	if err == nil && a.Leaving {
		s.keepDeparture(a.ID, a.Started)
	} else if err == nil && s.registry.Candidate(now) != nil {
		s.confirmations.request()
	}
	return err
}

// knowsService reports whether the configuration in force or the settings name a
// service. Without a configuration every service counts as known.
func (s *targetService) knowsService(service string) bool {
	snap := s.node.current.Load()
	return snap == nil || service == s.node.liveSettings.Load().Platform.Service ||
		snap.Get(object.Key{Kind: object.KindService, Name: service}) != nil
}

// logInvalid logs an announcement that names no target to use.
func (s *targetService) logInvalid(err error) {
	s.invalidLog.Do(func() { s.node.log.Info(telemetry.EventTargetInvalid, "error", err.Error()) })
}

// Leave implements platform.TargetSink.
func (s *targetService) Leave(id string, started time.Time) error {
	now := time.Now()
	foreign := s.registry.Heard() && !s.registry.Knows(id) // not the target of this instance
	s.registry.Leave(id, started, now)
	if foreign {
		return nil
	}
	if started.IsZero() {
		started = now
	}
	s.keepDeparture(id, started)
	return nil
}

// onTargetChange replaces the current backend when the target changes, and
// announces the target's service and slots in the membership record. t is nil
// when no target may receive calls; loss tells why the previous one may not.
func (s *targetService) onTargetChange(t *targets.Target, loss targets.Loss) {
	old := s.backend.Load()
	if t == nil {
		s.backend.Store(nil)
		fields := []any{"reason", loss.Reason, "silentMs", loss.Silent.Milliseconds()}
		if loss.Target != nil {
			fields = append(fields, "target", loss.Target.ID, "service", loss.Target.Service)
		}
		s.node.log.Info(telemetry.EventTargetLost, fields...)
	} else if old == nil || !old.sameProcess(t) {
		s.backend.Store(&localBackend{
			Backend: proxy.Backend{Addr: t.Address, Instance: t.ID, Service: t.Service,
				Gate: admit.New(admit.Options{Slots: t.Slots, QueueLength: queuePerSlot * t.Slots})},
			target: *t,
		})
		s.node.log.Info(telemetry.EventTargetInUse,
			"target", t.ID, "service", t.Service, "address", t.Address, "slots", t.Slots,
			"version", t.Version, "versionStatedMs", s.versionStatedMs(t), "warmUpMs", max(time.Until(t.WarmupEnd).Milliseconds(), 0))
	} else if old.target.Version != t.Version {
		// A target that was found by its health check has announced its version.
		next := *old
		next.target = *t
		s.backend.Store(&next)
		old = nil // its gate is still in use
	} else {
		return
	}
	if old != nil {
		old.Gate.Drain()
	}
	s.node.dir.UpdateSelf(func(r *member.Record) {
		r.Service, r.Slots, r.TargetVersion = "", 0, ""
		if t != nil {
			r.Service, r.Slots, r.TargetVersion = t.Service, uint32(t.Slots), t.Version
			s.stateVersion(r, t)
		}
	})
}

// stateVersion puts what a target states about its version into the membership record.
// What an earlier process has heard of the same target stands until it states a version.
func (s *targetService) stateVersion(r *member.Record, t *targets.Target) {
	if s.node.settings.Platform.CanaryShare > 0 && (t.Version != "" || statesOther(r, t)) {
		r.StateVersion(t.ID, t.Service, t.Version, time.Now())
	}
}

// statesOther reports whether a record states the version of another target than t. One
// of an earlier build names no target.
func statesOther(r *member.Record, t *targets.Target) bool {
	v := r.StatedVersion
	return v != nil && v.Target != "" && (v.Target != t.ID || v.Service != t.Service)
}

// adoptVersion is called when the record may hold a version that an earlier process has
// heard. It drops one of another target.
func (s *targetService) adoptVersion() {
	b := s.backend.Load()
	if b != nil && s.node.settings.Platform.CanaryShare > 0 && statesOther(s.node.dir.Self(), &b.target) {
		s.node.dir.UpdateSelf(func(r *member.Record) { s.stateVersion(r, &b.target) })
	}
}

// versionStatedMs returns when the target stated its version, ms since 1970; 0 if this
// process does not know it from an earlier one.
func (s *targetService) versionStatedMs(t *targets.Target) int64 {
	if v := s.node.dir.Self().StatedVersion; v != nil && v.Target == t.ID && v.Service == t.Service && v.Version == t.Version {
		return v.StatedMs
	}
	return 0
}

// sameProcess reports whether t is the process that the backend was created
// for. The start time of a target that was found by its health check is
// unknown, and then only the ID and the slots are compared.
func (b *localBackend) sameProcess(t *targets.Target) bool {
	return b.target.ID == t.ID && b.target.Slots == t.Slots &&
		(b.target.Started.IsZero() || b.target.Started.Equal(t.Started))
}

// currentBackend returns the backend that receives calls, or nil.
func (s *targetService) currentBackend() *proxy.Backend {
	if b := s.backend.Load(); b != nil {
		return &b.Backend
	}
	return nil
}

// onWrongTarget drops the target of a backend at whose address another target
// answers.
func (s *targetService) onWrongTarget(b *proxy.Backend) {
	if current := s.backend.Load(); current != nil && &current.Backend == b {
		s.registry.RecordGone(&current.target, time.Now())
	}
}

// callerLimits returns the limits on caller connections of the configuration in
// force; a zero limit is not set by the configuration.
func (n *Node) callerLimits() proxy.ServerLimits {
	snap := n.current.Load()
	if snap == nil {
		return proxy.ServerLimits{}
	}
	l := platform.CallersListener(snap)
	if l == nil {
		return proxy.ServerLimits{}
	}
	return proxy.ServerLimits{
		HeaderTimeout:  time.Duration(l.HeaderTimeoutMs) * time.Millisecond,
		IdleTimeout:    time.Duration(l.IdleTimeoutMs) * time.Millisecond * idleTimeoutPercent / 100,
		MaxHeaderBytes: l.MaxHeaderBytes,
	}
}

// nodeHeaderBytes is the size in bytes by which the header of a call between nodes may
// exceed that of its caller: the Siskingw- headers with the longest names.
const nodeHeaderBytes = 16 << 10

// nodeLimits returns the limits on connections of other nodes: a header that is within
// the limit on callers is accepted between nodes as well.
func (n *Node) nodeLimits() proxy.ServerLimits {
	return proxy.ServerLimits{MaxHeaderBytes: max(n.callerLimits().MaxHeaderBytes, proxy.DefaultMaxHeaderBytes) + nodeHeaderBytes}
}

// idleTimeoutPercent is the idle timeout of caller connections as a percentage
// of the time for which callers may leave them idle. It is above 100 so that no
// request is sent on a connection that is being closed.
const idleTimeoutPercent = 125
