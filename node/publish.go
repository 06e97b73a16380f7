package node

import (
	"context"

	"golang.org/x/sync/errgroup"

	"siskingw/kernel"
	"siskingw/member"
	"siskingw/publish"
)

// publishService accepts operators' changes and deletes unused parts from the
// store.
type publishService struct {
	node      *Node
	acceptor  *publish.Acceptor // nil without a store and on the platform
	collector *publish.Collector
}

func (s *publishService) Name() string    { return namePublish }
func (s *publishService) Needs() []string { return []string{nameStore, nameSpread} }

func (s *publishService) Start(_ context.Context, k *kernel.Kernel) error {
	st, err := kernel.Lookup[*storeService](k, nameStore)
	if err != nil {
		return err
	}
	sp, err := kernel.Lookup[*spreadService](k, nameSpread)
	if err != nil {
		return err
	}
	if st.store == nil || s.node.settings.Platform != nil { // there operators write to the platform's store
		return nil
	}
	s.acceptor = publish.NewAcceptor(st.store, s.node.current,
		publish.Options{OnPublish: sp.spread.Offer, Log: s.node.log})
	s.collector = publish.NewCollector(st.store, publish.CollectorOptions{Due: s.isCollector, Log: s.node.log})
	return nil
}

// isCollector reports whether this node is the head (the first relay) of the
// store's region, which deletes unused parts.
func (s *publishService) isCollector() bool {
	head := member.RegionHead(s.node.dir, s.node.settings.Store.Region)
	return head != nil && head.ID == s.node.settings.ID
}

func (s *publishService) Run(ctx context.Context) error {
	if s.acceptor == nil {
		<-ctx.Done()
		return nil
	}
	var g errgroup.Group
	g.Go(func() error { return s.acceptor.Run(ctx) })
	g.Go(func() error { return s.collector.Run(ctx) })
	return g.Wait()
}

func (s *publishService) Stop(context.Context) error { return nil }
