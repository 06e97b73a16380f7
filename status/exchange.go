package status

import (
	"context"
	"sync"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer/peerpb"
)

// exchangeLoop passes summaries between ranks 0: each failure domain's to the
// region's head, between the heads, and from a head to its region.
func (t *Tracker) exchangeLoop(ctx context.Context) {
	t.repeat(ctx, t.share, func(ctx context.Context) {
		if t.renew() {
			t.exchange(ctx)
		}
	})
}

// exchange calls every partner at the same time.
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

// partners returns the nodes with which this rank 0 exchanges summaries.
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
	t.takeSummaries(reply)
	return nil
}

// summariesFor returns what another rank 0 needs: the own region's summaries
// for another region; within the region, the head passes all others on.
func (t *Tracker) summariesFor(failureDomain, region string) *peerpb.FleetSummary {
	self := t.view.Self()
	head := member.IsRegionHead(t.view, self.ID)
	keep := func(d Domain) bool {
		switch {
		case region != self.Region:
			return d.Region == self.Region
		case head:
			return d.Name != failureDomain
		}
		return d.Name == self.FailureDomain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return &peerpb.FleetSummary{
		Domains: t.board.encode(t.clock.Now(), keep), FromDomain: self.FailureDomain, FromRegion: self.Region,
	}
}

// takeSummaries notes received summaries and passes news on.
func (t *Tracker) takeSummaries(msg *peerpb.FleetSummary) {
	own := t.view.Self().FailureDomain
	rankZero := member.Position(t.view, t.view.Self().ID) == 0
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, p := range msg.Domains {
		// Rank 0 knows its own failure domain best; a former rank 0 may still
		// send what it knew.
		if p.FailureDomain == own && rankZero {
			continue
		}
		if t.board.take(decode(now, p)) {
			signal(t.share)
		}
	}
}

// Exchange takes a rank 0's summaries and returns those that it needs.
func (t *Tracker) Exchange(_ context.Context, msg *peerpb.FleetSummary) (*peerpb.FleetSummary, error) {
	t.renew()
	t.takeSummaries(msg)
	return t.summariesFor(msg.FromDomain, msg.FromRegion), nil
}

// Fleet returns every summary that this node holds.
func (t *Tracker) Fleet(context.Context, *peerpb.FleetRequest) (*peerpb.FleetSummary, error) {
	t.renew()
	t.mu.Lock()
	defer t.mu.Unlock()
	return &peerpb.FleetSummary{Domains: t.board.encode(t.clock.Now(), func(Domain) bool { return true })}, nil
}

// Summary returns the status of every failure domain. A node that is not rank
// 0 asks its failure domain's relays in order; when none answers, no failure
// domain can be asked. ctx bounds the wait.
//
//siskingw:step read-back
func (t *Tracker) Summary(ctx context.Context) Fleet {
	expiry := fleetExpiryIntervals * t.opts.Interval
	if t.renew() {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.board.fleet(t.clock.Now(), t.view, expiry)
	}
	answer := board{domains: make(map[string]Domain)}
	for _, r := range member.Relays(t.view, t.view.Self().FailureDomain) {
		msg, err := t.ask(ctx, r)
		if err != nil {
			t.opts.Log.V(1).Info("relay did not answer", "peer", r.ID, "error", err.Error())
			continue
		}
		now := t.clock.Now()
		for _, p := range msg.Domains {
			answer.take(decode(now, p))
		}
		if len(answer.domains) > 0 {
			break
		}
	}
	return answer.fleet(t.clock.Now(), t.view, expiry)
}

func (t *Tracker) ask(ctx context.Context, r *member.Record) (*peerpb.FleetSummary, error) {
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
