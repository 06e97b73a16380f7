package node

import (
	"context"
	"net/http"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/object"
	"siskingw/platform"
	"siskingw/targets"
	"siskingw/telemetry"
)

const (
	// shortestLife is how long a target runs at least before it leaves. A target
	// that started within that time before this process, as when a whole instance
	// starts, cannot have left to an earlier one.
	shortestLife = 2 * time.Second
	// answerWait is how long a starting node waits for the records of another node,
	// which may hold a departure, before it checks its target without them. A
	// departure that arrives later still ends the use of the target.
	answerWait = 500 * time.Millisecond
	// healthAttempts, healthPause and healthTimeout limit the health checks after
	// one request. The target's next announcement requests further ones.
	healthAttempts = 3
	healthPause    = 200 * time.Millisecond
	healthTimeout  = 300 * time.Millisecond
)

// targetConfirmations are the requests to check the target of this instance.
type targetConfirmations struct {
	requested chan struct{}
	departure chan struct{} // signals that a departure may have been given back
	version   chan struct{} // signals that a version may have been given back
	client    *http.Client
}

func newTargetConfirmations() targetConfirmations {
	return targetConfirmations{
		requested: make(chan struct{}, 1), departure: make(chan struct{}, 1),
		version: make(chan struct{}, 1),
		client:  platform.NewHealthClient(healthTimeout),
	}
}

// request requests a check of a candidate. It never blocks.
func (c *targetConfirmations) request() { wake(c.requested) }

// wake sends a signal unless one is pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// confirmTargets checks the target of this instance when this process has started
// and when a target from before its start announces itself. An earlier process may
// have acknowledged that target's departure. The other nodes know that, unless
// they have lost it as well; and a target that leaves fails its health check.
func (s *targetService) confirmTargets(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.member.service.Answered():
	case <-time.After(answerWait):
	}
	s.adoptDeparture()
	retry := time.NewTimer(0)
	for attempts := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-s.confirmations.departure:
			s.adoptDeparture()
			continue
		case <-s.confirmations.version:
			s.adoptVersion()
			continue
		case <-s.confirmations.requested:
			attempts = 0
		case <-retry.C:
		}
		if attempts++; !s.checkTarget(ctx) && attempts < healthAttempts {
			retry.Reset(healthPause)
		}
	}
}

// checkTarget runs a health check of the candidate or, if no target has announced
// itself yet, of the one that the settings name. It reports whether no further check
// is needed.
func (s *targetService) checkTarget(ctx context.Context) bool {
	p := s.node.liveSettings.Load().Platform
	service, addr := p.Service, p.TargetAddress
	candidate := s.registry.Candidate(time.Now())
	switch {
	case candidate != nil:
		service, addr = candidate.Service, candidate.Address
	case s.registry.Heard():
		return true
	}
	path := s.healthPath(service)
	if path == "" || addr == "" {
		return false
	}
	t, err := platform.FindTarget(ctx, s.confirmations.client, addr, path)
	switch {
	case err != nil:
	case candidate == nil && t.Slots == 0:
		err = errdefs.Unhealthy.New("target %q does not state its slots", t.ID)
	case candidate != nil && t.ID != candidate.ID:
		err = errdefs.Unhealthy.New("target %q responds instead of %q", t.ID, candidate.ID)
	}
	if err != nil {
		s.logUnconfirmed(candidate, err)
		return false
	}
	s.adoptDeparture()
	now := time.Now()
	if candidate != nil {
		s.registry.Confirm(t.ID, now)
		return true
	}
	t.Service = service
	if v := s.node.dir.Self().StatedVersion; v != nil && v.Target == t.ID && v.Service == service {
		t.Version = v.Version // until the target announces itself
	}
	if err := s.registry.AddProbed(t, now); err == nil {
		s.node.log.Info(telemetry.EventTargetFound, "target", t.ID, "slots", t.Slots)
	}
	return true
}

// logUnconfirmed logs that the health check did not confirm the candidate, which
// may be nil.
func (s *targetService) logUnconfirmed(candidate *targets.Target, err error) {
	if candidate == nil {
		s.node.log.V(1).Info("target not found", "error", err.Error())
		return
	}
	s.node.log.Info(telemetry.EventTargetUnconfirmed, "target", candidate.ID, "service", candidate.Service,
		"startedMs", candidate.Started.UnixMilli(), "error", err.Error())
}

// maxTargetIDBytes bounds the ID of a target, in bytes, whose departure the
// membership record of this node holds: the record goes to every node.
const maxTargetIDBytes = 256

// keepDeparture hands the departure of a target to other nodes before it is
// acknowledged: a later process of this node gets it back from them.
func (s *targetService) keepDeparture(id string, started time.Time) {
	if len(id) > maxTargetIDBytes || !s.node.dir.RecordTargetDeparture(id, started.UnixMilli()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	s.member.service.AnnounceTargetDeparture(ctx)
}

// onMemberChange requests the adoption of a departure that another node has given
// back.
func (s *targetService) onMemberChange(changed []*member.Record) {
	for _, r := range changed {
		if r.ID != s.node.settings.ID {
			continue
		}
		if r.TargetDeparture != nil {
			wake(s.confirmations.departure)
		}
		if r.StatedVersion != nil && r.TargetVersion == "" {
			wake(s.confirmations.version)
		}
	}
}

// adoptDeparture takes over the departure in this node's record.
func (s *targetService) adoptDeparture() {
	if t := s.node.dir.Self().TargetDeparture; t != nil {
		s.registry.AddDeparture(t.Target, time.UnixMilli(t.StartedMs), time.Now())
	}
}

// healthPath returns the path of the health check of a service, or "" when the
// configuration in force defines none.
func (s *targetService) healthPath(service string) string {
	snap := s.node.current.Load()
	if snap == nil {
		return ""
	}
	o := snap.Get(object.Key{Kind: object.KindService, Name: service})
	if o == nil {
		return ""
	}
	return o.Service.HealthPath
}
