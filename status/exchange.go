package status

import (
	"context"
	"sync"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer/peerpb"
)

// exchangeLoop exchanges summaries with other rank-0 nodes while this node has
// rank 0: each failure domain exchanges them with its region head, and the
// region heads with each other.
func (t *Tracker) exchangeLoop(ctx context.Context) {
	t.runPeriodically(ctx, t.exchangeDue, func(ctx context.Context) {
		if t.updateOwnSummary() {
			t.exchange(ctx)
		}
	})
}

// exchange calls all partners concurrently and waits for them.
func (t *Tracker) exchange(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range t.partners() {
		wg.Go(func() {
			if err := t.exchangeWith(ctx, p); err != nil {
				t.opts.Log.V(1).Info("exchange of summaries failed", "peer", p.ID, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

// partners returns the nodes with which this rank-0 node exchanges summaries:
// the region head, or, on the region head itself, the heads of the other
// regions and the rank-0 nodes of its own region.
func (t *Tracker) partners() []*member.Record {
	self := t.view.Self()
	head := member.RegionHead(t.view, self.Region)
	if head == nil || head.ID != self.ID {
		if head == nil {
			return nil
		}
		return []*member.Record{head}
	}
	var partners []*member.Record
	for _, region := range member.Regions(t.view) {
		if other := member.RegionHead(t.view, region); other != nil && region != self.Region {
			partners = append(partners, other)
		}
	}
	for _, d := range t.view.FailureDomains() {
		if ranked := t.view.Ranked(d.Name); d.Region == self.Region && d.Name != self.FailureDomain && len(ranked) > 0 {
			partners = append(partners, ranked[0])
		}
	}
	return partners
}

// exchangeWith exchanges summaries with one node. It returns the error of
// Options.Connect, or a PeerUnavailable error when the call fails.
func (t *Tracker) exchangeWith(ctx context.Context, to *member.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := t.client(to)
	if err != nil {
		return err
	}
	reply, err := client.Exchange(ctx, t.summariesFor(to.FailureDomain, to.Region))
	if err != nil {
		return errdefs.PeerUnavailable.Wrap(err, "exchange with %q at %s", to.ID, to.PeerAddr)
	}
	t.recordSummaries(reply)
	return nil
}

// summariesFor returns the summaries to send to the rank-0 node of the given
// failure domain: to another region those of the own region; within the region
// the region head sends all but the receiver's own, and the other nodes send
// that of their own failure domain.
func (t *Tracker) summariesFor(failureDomain, region string) *peerpb.FleetSummary {
	self := t.view.Self()
	isHead := member.IsRegionHead(t.view, self.ID)
	include := func(d Domain) bool {
		switch {
		case region != self.Region:
			return d.Region == self.Region
		case isHead:
			return d.Name != failureDomain
		}
		return d.Name == self.FailureDomain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return &peerpb.FleetSummary{
		Domains: t.summaries.toProto(t.clock.Now(), include), FromDomain: self.FailureDomain, FromRegion: self.Region,
	}
}

// recordSummaries records received summaries and triggers an exchange when one
// of them is of a new failure domain or reports other versions.
func (t *Tracker) recordSummaries(msg *peerpb.FleetSummary) {
	own := t.view.Self().FailureDomain
	rankZero := member.Position(t.view, t.view.Self().ID) == 0
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, p := range msg.Domains {
		// Rank 0 derives the summary of its own failure domain from reports. One
		// that is received comes from a former rank 0 and may be outdated.
		if p.FailureDomain == own && rankZero {
			continue
		}
		if t.summaries.update(domainFromProto(now, p)) {
			signal(t.exchangeDue)
		}
	}
}

// Exchange records the summaries of another rank-0 node and returns the
// summaries for it. It implements peerpb.StatusServer and returns no error.
func (t *Tracker) Exchange(_ context.Context, msg *peerpb.FleetSummary) (*peerpb.FleetSummary, error) {
	t.updateOwnSummary()
	t.recordSummaries(msg)
	return t.summariesFor(msg.FromDomain, msg.FromRegion), nil
}

// Fleet returns every summary that this node holds. It implements
// peerpb.StatusServer and returns no error.
func (t *Tracker) Fleet(context.Context, *peerpb.FleetRequest) (*peerpb.FleetSummary, error) {
	t.updateOwnSummary()
	t.mu.Lock()
	defer t.mu.Unlock()
	return &peerpb.FleetSummary{Domains: t.summaries.toProto(t.clock.Now(), func(Domain) bool { return true })}, nil
}

// Summary returns the status of every failure domain. A node that does not have
// rank 0 queries the relays of its failure domain in order of rank until one of
// them returns summaries. When none does, every failure domain that has live
// members is reported as Unreachable. ctx limits the wait in addition to
// callTimeout, 1 s, for each relay.
//
//siskingw:step read-back
func (t *Tracker) Summary(ctx context.Context) Fleet {
	expiry := summaryExpiryIntervals * t.opts.Interval
	if t.updateOwnSummary() {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.summaries.fleet(t.clock.Now(), t.view, expiry)
	}
	received := summaryTable{domains: make(map[string]Domain)}
	for _, r := range member.Relays(t.view, t.view.Self().FailureDomain) {
		msg, err := t.queryFleet(ctx, r)
		if err != nil {
			t.opts.Log.V(1).Info("relay did not answer", "peer", r.ID, "error", err.Error())
			continue
		}
		now := t.clock.Now()
		for _, p := range msg.Domains {
			received.update(domainFromProto(now, p))
		}
		if len(received.domains) > 0 {
			break
		}
	}
	return received.fleet(t.clock.Now(), t.view, expiry)
}

// queryFleet returns the summaries that a relay holds. It returns the error of
// Options.Connect, or a PeerUnavailable error when the call fails.
func (t *Tracker) queryFleet(ctx context.Context, r *member.Record) (*peerpb.FleetSummary, error) {
	if r.ID == t.view.Self().ID {
		return t.Fleet(ctx, nil)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client, err := t.client(r)
	if err != nil {
		return nil, err
	}
	msg, err := client.Fleet(ctx, &peerpb.FleetRequest{})
	if err != nil {
		return nil, errdefs.PeerUnavailable.Wrap(err, "status query to %q at %s", r.ID, r.PeerAddr)
	}
	return msg, nil
}
