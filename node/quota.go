package node

import (
	"context"
	"time"

	"siskingw/kernel"
	"siskingw/quota"
	"siskingw/settings"
)

// quotaService keeps the quotas of organisations.
type quotaService struct {
	node    *Node
	service *quota.Service
}

func (s *quotaService) Name() string    { return nameQuota }
func (s *quotaService) Needs() []string { return []string{namePeer, nameMember} }

func (s *quotaService) Start(_ context.Context, k *kernel.Kernel) error {
	peers, err := kernel.Lookup[*peerService](k, namePeer)
	if err != nil {
		return err
	}
	s.service = quota.NewService(quota.Options{
		Connect: peers.pool.Conn, View: s.node.dir, Current: s.node.current, Organisations: &s.node.organisations,
		Bounds: quotaBounds(s.node.settings.Platform), Metrics: s.node.metrics,
	})
	s.service.Register(peers.server)
	return nil
}

func (s *quotaService) Run(ctx context.Context) error { return s.service.Run(ctx) }

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
