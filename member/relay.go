package member

import (
	"context"
	"math/rand/v2"
	"time"

	"siskingw/peer/peerpb"
)

const (
	// domainSampleSize is the number of members pinged in addition to the
	// relays before a failure domain counts as unreachable.
	domainSampleSize = 5
	// deadProbeTicks is the number of heartbeats between a relay's pings of
	// members declared dead. Through these pings the halves of a failure domain
	// find each other after a partition.
	deadProbeTicks = 5
	// noteIntervalTicks is the number of heartbeats between repeated domain
	// notes.
	noteIntervalTicks = 5
	// noteTTLTicks is the number of heartbeats after which a note that rank 0
	// does not repeat expires.
	noteTTLTicks = 3 * noteIntervalTicks
)

// noteTimes holds the times of the domain notes, by which rank 0 tells its
// failure domain which other failure domains are unreachable.
type noteTimes struct {
	renewed  time.Time // time of the last note received, or of the last tick as a relay
	reported time.Time // when this node as rank 0 last reported an unreachable domain or a change
}

// relayLoop performs the duties of relays: heartbeats to other failure domains,
// pings of members declared dead, and notes about unreachable failure domains.
func (s *Service) relayLoop(ctx context.Context) {
	if !s.sleep(ctx, s.jitter(s.opts.Heartbeat)) {
		return
	}
	ticker := s.clock.NewTicker(s.opts.Heartbeat)
	defer ticker.Stop()
	ticksAsRank0 := 0 // consecutive ticks at rank 0
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		rank := Position(s.dir, s.dir.Self().ID)
		if rank != 0 {
			ticksAsRank0 = 0
		}
		if rank < 0 || rank >= RelayCount {
			s.expireNotes()
			continue
		}
		s.renewNotes()
		changed := s.probeDomain(ctx, n, rank)
		if n%deadProbeTicks == rank {
			s.pingDeadMember(ctx)
		}
		if rank == 0 {
			ticksAsRank0++
			// A new rank 0 replaces the notes of its predecessor once it has
			// probed every failure domain itself.
			changed = changed || ticksAsRank0 == len(s.dir.FailureDomains())
			s.broadcastNotes(ctx, changed, n%noteIntervalTicks == 0)
		}
	}
}

// probeDomain sends a heartbeat to the next failure domain in round-robin
// order. When the relay of the same rank there does not answer, it pings the
// other relays and a sample of members. It reports whether the reachability
// changed.
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

// nextDomain returns the other failure domain with live members that is next in
// round-robin order at tick n.
func nextDomain(v View, n int) (DomainInfo, bool) {
	var otherDomains []DomainInfo
	for _, d := range v.FailureDomains() {
		if d.Name != v.Self().FailureDomain && d.Live > 0 {
			otherDomains = append(otherDomains, d)
		}
	}
	if len(otherDomains) == 0 {
		return DomainInfo{}, false
	}
	return otherDomains[n%len(otherDomains)], true
}

// domainSample returns the relays of a failure domain, starting with the one of
// the given rank, followed by domainSampleSize random other members.
func domainSample(v View, failureDomain string, rank int) []*Record {
	ranked := v.Ranked(failureDomain)
	relays := ranked[:min(RelayCount, len(ranked))]
	var sample []*Record
	for i := range relays {
		sample = append(sample, relays[(rank+i)%len(relays)])
	}
	rest := ranked[len(relays):]
	for _, i := range rand.Perm(len(rest))[:min(domainSampleSize, len(rest))] {
		sample = append(sample, rest[i])
	}
	return sample
}

// anyAnswers pings members concurrently and reports whether any of them
// answers.
func (s *Service) anyAnswers(ctx context.Context, members []*Record) bool {
	probeCtx, cancel := context.WithTimeout(ctx, s.opts.ProbeTimeout)
	defer cancel()
	results := make(chan bool, len(members))
	for _, m := range members {
		go func() {
			reply, err := s.ping(probeCtx, m)
			results <- err == nil
			if err == nil {
				s.handlePingReply(ctx, reply)
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

// pingDeadMember pings a random member of the local failure domain that was
// declared dead. If the member is alive, its reply refutes that.
func (s *Service) pingDeadMember(ctx context.Context) {
	self := s.dir.Self()
	var dead []*Record
	for _, r := range s.dir.tombstoneRecords() {
		if r.State == Dead && r.FailureDomain == self.FailureDomain {
			dead = append(dead, r)
		}
	}
	if len(dead) > 0 {
		i := rand.IntN(len(dead))
		s.anyAnswers(ctx, dead[i:i+1])
	}
}

// tombstoneRecords returns a copy of the list of tombstones.
func (d *Directory) tombstoneRecords() []*Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Record(nil), d.tombstones...)
}

// broadcastNotes sends the unreachable failure domains that rank 0 knows down
// the tree: at once on a change, periodically while there are any, and for
// noteTTLTicks after the last one. Without these later repeats, a node that
// missed the end of an outage would treat the domain as unreachable until the
// note expires.
func (s *Service) broadcastNotes(ctx context.Context, changed, repeat bool) {
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
		s.noteTimes.reported = s.clock.Now()
	}
	recent := s.clock.Now().Sub(s.noteTimes.reported) <= noteTTLTicks*s.opts.Heartbeat
	s.mu.Unlock()
	if recent {
		s.forwardNotes(ctx, list)
	}
}

func (s *Service) forwardNotes(ctx context.Context, list []*peerpb.DomainNote) {
	for _, c := range Children(s.dir, s.dir.Self().ID) {
		go func() {
			_, err := s.push(ctx, c, pushRequest{edge: edge{edgeDown, c.ID}, domainNotes: list, hasNotes: true})
			if err != nil {
				s.opts.Log.V(1).Info("peer did not accept domain notes", "peer", c.ID, "error", err.Error())
			}
		}()
	}
}

// applyNotes applies the reachability that rank 0 reports and forwards the
// notes down the tree. Relays do not apply them, because they probe other
// failure domains themselves.
func (s *Service) applyNotes(list []*peerpb.DomainNote) {
	self := s.dir.Self()
	s.forwardNotes(context.Background(), list)
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
	s.renewNotes()
}

// renewNotes keeps the reported reachability for another noteTTLTicks.
func (s *Service) renewNotes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteTimes.renewed = s.clock.Now()
}

// expireNotes resets reachability that rank 0 no longer repeats.
func (s *Service) expireNotes() {
	now := s.clock.Now()
	s.mu.Lock()
	old := now.Sub(s.noteTimes.renewed) > noteTTLTicks*s.opts.Heartbeat
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
