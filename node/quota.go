package node

import (
	"context"
	"time"

	"siskingw/kernel"
	"siskingw/member"
	"siskingw/quota"
	"siskingw/settings"
)

// quotaService keeps the quotas of organisations.
type quotaService struct {
	node    *Node
	service *quota.Service
	spread  *spreadService
}

func (s *quotaService) Name() string    { return nameQuota }
func (s *quotaService) Needs() []string { return []string{namePeer, nameStore, nameMember, nameSpread} }

func (s *quotaService) Start(_ context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peerService](k, namePeer)
	if err != nil {
		return err
	}
	st, err := kernel.Lookup[*storeService](k, nameStore)
	if err != nil {
		return err
	}
	if s.spread, err = kernel.Lookup[*spreadService](k, nameSpread); err != nil {
		return err
	}
	var roster *quota.RosterStore
	if p := s.node.settings.Platform; st.store != nil && (p == nil || p.QuotaWindowS > 0) {
		roster = &quota.RosterStore{Store: st.store}
	}
	s.service = quota.NewService(quota.Options{
		Connect: peers.pool.Conn, View: s.node.dir, Current: s.node.current, Organisations: &s.node.organisations,
		Bounds: quotaBounds(s.node.settings.Platform), Metrics: s.node.metrics, Log: s.node.log,
		Roster: roster, Reader: s.reader, State: s.stateInstances,
	})
	if roster != nil {
		st.onHead.Store(&headHook{s.service.ReadRoster})
	}
	s.service.Register(peers.server)
	return nil
}

func (s *quotaService) Run(ctx context.Context) error { return s.service.Run(ctx) }

// reader reports whether this node watches the store, and how many nodes precede it.
func (s *quotaService) reader() (index int, ok bool) { return s.spread.spread.Reader() }

// stateInstances puts the number of instances that share the quotas into the node's
// record.
func (s *quotaService) stateInstances(n int) {
	s.node.dir.UpdateSelf(func(r *member.Record) { r.QuotaInstances = uint32(n) })
}

// Stop gives up the credit that other nodes have pledged to this one.
func (s *quotaService) Stop(context.Context) error {
	if s.service != nil {
		s.service.Close()
	}
	return nil
}

// quotaBounds returns the tolerance of quotas that the settings state; the zero
// value selects the default. p may be nil.
func quotaBounds(p *settings.Platform) quota.Bounds {
	if p == nil || p.QuotaWindowS <= 0 {
		return quota.Bounds{}
	}
	return quota.Bounds{Window: time.Duration(p.QuotaWindowS * float64(time.Second)), Over: p.QuotaOver, Slack: float64(p.QuotaSlack)}
}
