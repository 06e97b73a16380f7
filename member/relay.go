package member

import (
	"context"
	"math/rand/v2"
	"time"

	"siskingw/peer/peerpb"
)

const (
	// sampleCount is the number of members asked besides the relays before a
	// whole failure domain counts as unreachable.
	sampleCount = 5
	// deadProbeTicks is the number of heartbeats between a relay's pings of a
	// member that was called dead, which is how halves of a failure domain find
	// each other after a partition.
	deadProbeTicks = 5
	// noteTicks is the number of heartbeats between repeated notes.
	noteTicks = 5
	// noteTTLTicks is how long a note of rank 0 holds without being repeated.
	noteTTLTicks = 3 * noteTicks
)

// notes is what a node that is no relay heard about other failure domains.
type notes struct {
	at     time.Time // of the last note, or of the last time as a relay
	listed time.Time // when this node as rank 0 last stated or cleared one
}

// relayLoop runs the duties of relays: heartbeats to other failure domains,
// pings of members called dead, and notes about what cannot be reached.
func (s *Service) relayLoop(ctx context.Context) {
	if !s.sleep(ctx, s.jitter(s.opts.Heartbeat)) {
		return
	}
	ticker := s.clock.NewTicker(s.opts.Heartbeat)
	defer ticker.Stop()
	first := 0 // consecutive ticks at rank 0
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		rank := Position(s.dir, s.dir.Self().ID)
		if rank != 0 {
			first = 0
		}
		if rank < 0 || rank >= RelayCount {
			s.expireNotes()
			continue
		}
		s.holdNotes()
		changed := s.probeDomain(ctx, n, rank)
		if n%deadProbeTicks == rank {
			s.probeDead(ctx)
		}
		if rank == 0 {
			first++
			// A new rank 0 replaces the notes of the former one after it has
			// probed every failure domain itself.
			changed = changed || first == len(s.dir.FailureDomains())
			s.sendNotes(ctx, changed, n%noteTicks == 0)
		}
	}
}

// probeDomain sends one heartbeat to the next failure domain in turn. When its
// relay of the same rank does not answer, the other relays and a sample of
// members are asked. It reports whether reachability changed.
func (s *Service) probeDomain(ctx context.Context, n, rank int) bool {
	info, ok := nextDomain(s.dir, n)
	if !ok {
		return false
	}
	asked := domainSample(s.dir, info.Name, rank)
	if info.Unreachable && len(asked) > 2 { // one relay and one random member
		asked = []*Record{asked[0], asked[1+rand.IntN(len(asked)-1)]}
	}
	answered := s.anyAnswers(ctx, asked[:1]) || s.anyAnswers(ctx, asked[1:])
	if answered {
		return s.dir.SetUnreachable(info.Name, false, s.clock.Now())
	}
	return s.dir.SetUnreachable(info.Name, true, time.UnixMilli(info.SinceMs))
}

// nextDomain returns the n-th other failure domain in turn that has members.
func nextDomain(v View, n int) (DomainInfo, bool) {
	var others []DomainInfo
	for _, d := range v.FailureDomains() {
		if d.Name != v.Self().FailureDomain && d.Live > 0 {
			others = append(others, d)
		}
	}
	if len(others) == 0 {
		return DomainInfo{}, false
	}
	return others[n%len(others)], true
}

// domainSample returns the relays of a failure domain, beginning with the one
// of the given rank, and sampleCount other members.
func domainSample(v View, failureDomain string, rank int) []*Record {
	ranked := v.Ranked(failureDomain)
	relays := ranked[:min(RelayCount, len(ranked))]
	var sample []*Record
	for i := range relays {
		sample = append(sample, relays[(rank+i)%len(relays)])
	}
	rest := ranked[len(relays):]
	for _, i := range rand.Perm(len(rest))[:min(sampleCount, len(rest))] {
		sample = append(sample, rest[i])
	}
	return sample
}

// anyAnswers pings members at the same time and reports whether one answers.
func (s *Service) anyAnswers(ctx context.Context, members []*Record) bool {
	probeCtx, cancel := context.WithTimeout(ctx, s.opts.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			reply, err := s.ping(probeCtx, m)
			results <- err == nil
			if err == nil {
				s.takeReply(ctx, reply)
			}
		}()
	}
	for range members {
		if <-results {
			return true
		}
	}
	return false
}

// probeDead pings a random member of the own failure domain that was called
// dead. A live one refutes that in its reply.
func (s *Service) probeDead(ctx context.Context) {
	self := s.dir.Self()
	var dead []*Record
	for _, r := range s.dir.departed() {
		if r.State == Dead && r.FailureDomain == self.FailureDomain {
			dead = append(dead, r)
		}
	}
	if len(dead) > 0 {
		i := rand.IntN(len(dead))
		s.anyAnswers(ctx, dead[i:i+1])
	}
}

// departed returns the tombstones.
func (d *Directory) departed() []*Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Record(nil), d.tombstones...)
}

// sendNotes tells the tree which failure domains rank 0 cannot reach: at once
// when that changed, repeatedly while there are any, and for a while after the
// last one: a node that missed the end of an outage would otherwise hold it
// until the note expires.
func (s *Service) sendNotes(ctx context.Context, changed, repeat bool) {
	if !changed && !repeat {
		return
	}
	var list []*peerpb.DomainNote
	now := s.clock.Now().UnixMilli()
	for _, d := range s.dir.FailureDomains() {
		if d.Unreachable {
			list = append(list, &peerpb.DomainNote{FailureDomain: d.Name, SilentS: uint32(max(0, now-d.SinceMs) / 1000)})
		}
	}
	s.mu.Lock()
	if len(list) > 0 || changed {
		s.notes.listed = s.clock.Now()
	}
	recent := s.clock.Now().Sub(s.notes.listed) <= noteTTLTicks*s.opts.Heartbeat
	s.mu.Unlock()
	if recent {
		s.passNotes(ctx, list)
	}
}

func (s *Service) passNotes(ctx context.Context, list []*peerpb.DomainNote) {
	for _, c := range Children(s.dir, s.dir.Self().ID) {
		go func() {
			_, err := s.push(ctx, c, pushRequest{lane: lane{laneDown, c.ID}, notes: list, noted: true})
			if err != nil {
				s.opts.Log.V(1).Info("notes were not taken", "peer", c.ID, "error", err.Error())
			}
		}()
	}
}

// takeNotes marks failure domains as rank 0 sees them and passes the notes on.
// Relays find out for themselves.
func (s *Service) takeNotes(list []*peerpb.DomainNote) {
	self := s.dir.Self()
	s.passNotes(context.Background(), list)
	if IsRelay(s.dir, self.ID) {
		return
	}
	now := s.clock.Now()
	silent := make(map[string]time.Time)
	for _, n := range list {
		silent[n.FailureDomain] = now.Add(-time.Duration(n.SilentS) * time.Second)
	}
	for _, d := range s.dir.FailureDomains() {
		since, unreachable := silent[d.Name]
		if !unreachable {
			since = now
		}
		if d.Name != self.FailureDomain {
			s.dir.SetUnreachable(d.Name, unreachable, since)
		}
	}
	s.holdNotes()
}

// holdNotes keeps what is marked for another noteTTLTicks.
func (s *Service) holdNotes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes.at = s.clock.Now()
}

// expireNotes clears what rank 0 has stopped to repeat.
func (s *Service) expireNotes() {
	now := s.clock.Now()
	s.mu.Lock()
	old := now.Sub(s.notes.at) > noteTTLTicks*s.opts.Heartbeat
	s.mu.Unlock()
	if !old {
		return
	}
	for _, d := range s.dir.FailureDomains() {
		if d.Unreachable {
			s.dir.SetUnreachable(d.Name, false, now)
		}
	}
}
