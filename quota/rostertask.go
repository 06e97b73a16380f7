package quota

import (
	"context"
	"sync"
	"time"

	"siskingw/telemetry"
)

const (
	// rosterTick is the interval at which a node looks whether the roster has to be
	// written.
	rosterTick = time.Second
	// rosterTimeout limits one call to the store.
	rosterTimeout = 1500 * time.Millisecond
	// stateTime is how long a process that has read the roster states the number of
	// instances although it does not watch the store: when a whole fleet starts, few
	// nodes read the store, and all must know the number.
	stateTime = 10 * time.Second
)

// rosterTask is the state of the task that keeps the roster.
type rosterTask struct {
	mu      sync.Mutex
	writer  rosterWriter
	stated  int
	divided division // as last logged
}

// ReadRoster reads the roster. A node calls it together with each read of the
// configuration from the store, so that what it knows is as old as that.
func (s *Service) ReadRoster(ctx context.Context) {
	if s.opts.Roster == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	r, at, err := s.opts.Roster.Read(ctx)
	now := time.Now()
	s.roster.mu.Lock()
	defer s.roster.mu.Unlock()
	if err != nil {
		s.roster.writer.failed(now)
		s.opts.Log.Info(telemetry.EventQuotaStore, "operation", "read", "error", err.Error())
		return
	}
	s.members.adopt(r, s.roster.writer.read(r, at, now), now)
	s.wakeUp()
}

// keepRoster writes the roster while this node is the first of those that watch the store,
// until ctx ends.
func (s *Service) keepRoster(ctx context.Context) {
	tick := time.NewTicker(rosterTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if index, reader := s.opts.Reader(); reader && index == 0 && s.limited.Load() {
			s.updateRoster(ctx)
		}
	}
}

// updateRoster makes the next step towards a roster that lists the instances that this
// node knows.
func (s *Service) updateRoster(ctx context.Context) {
	now := time.Now()
	current := s.members.roster(now)
	s.roster.mu.Lock()
	action, last := s.roster.writer.next(current, now), s.roster.writer.written
	s.roster.mu.Unlock()
	switch action {
	case rosterRead:
		s.ReadRoster(ctx)
	case rosterWrite:
		ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
		defer cancel()
		at, err := s.opts.Roster.Write(ctx, current, last)
		s.roster.mu.Lock()
		defer s.roster.mu.Unlock()
		s.roster.writer.wrote(current, at, err, time.Now())
		if err != nil {
			s.opts.Log.Info(telemetry.EventQuotaStore, "operation", "write", "error", err.Error())
			return
		}
		s.opts.Log.Info(telemetry.EventQuotaRoster, "live", len(current.Live), "gone", len(current.Gone), "position", at)
	}
}

// stateInstances states the number of instances that this node counts, if it reads the
// store. s.roster.mu must be held.
func (s *Service) stateInstances(d division, now time.Time) {
	_, reader := s.opts.Reader()
	n := 0
	if s.members.hasRead() && (reader || now.Sub(s.members.started) < stateTime) {
		n = d.live + d.gone
	}
	if n != s.roster.stated {
		s.roster.stated = n
		s.opts.State(n)
	}
}

// divide returns the number of instances among which the quotas are divided. It logs and
// states it when it changes.
func (s *Service) divide(now time.Time) int {
	d := s.members.instances(now)
	s.roster.mu.Lock()
	changed := d != s.roster.divided
	s.roster.divided = d
	if s.opts.Roster != nil {
		s.stateInstances(d, now)
	}
	s.roster.mu.Unlock()
	if changed {
		s.opts.Log.Info(telemetry.EventQuotaDivided, "instances", d.instances, "live", d.live, "gone", d.gone, "stated", d.stated)
	}
	return d.instances
}
