package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"siskingw/member"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
	"siskingw/spread"
)

// Push and pull get the same budget: each node sends at most gossipMessages
// for each change, which pull spreads evenly over the time between changes.
const (
	gossipMessages = 10
	gossipFanout   = 4 // pushes that leave at once
	gossipStep     = 25 * time.Millisecond
	// nearShare of gossip messages, in tenths, stay in the failure domain.
	nearShare = 8
)

// strategy is one way of spreading versions.
type strategy struct {
	name      string
	view      func(f *fleet, n *node) member.View
	configure func(n *node, o *spread.Options)
	run       func(ctx context.Context, n *node) // starts what the node does besides
	offer     bool                               // the acceptor offers the version to its node
	idle      bool                               // the nodes exchange messages without changes
}

// strategies returns the ways that are compared; every is the time between changes.
func strategies(every time.Duration) []strategy {
	off := func(_ *node, o *spread.Options) { o.CompareInterval = -1 }
	idle := func(context.Context, *node) {}
	return []strategy{
		{name: "a: all watch the store", view: loneView, configure: off, run: runWatch},
		{name: "b: tree only", view: fullView, configure: off, run: idle, offer: true},
		{name: "c: push gossip", view: loneView, configure: off, run: runPush, offer: true},
		{name: "d: pull anti-entropy", view: loneView, configure: off, offer: true,
			run: func(ctx context.Context, n *node) { go pull(ctx, n, every/gossipMessages) }},
		product(),
	}
}

// product is the way that the product works: the tree with anti-entropy and
// store readers.
func product() strategy {
	return strategy{name: "e: tree and anti-entropy", view: fullView, offer: true, idle: true,
		configure: func(n *node, o *spread.Options) { o.Source = n.fleet.versions.at(n.place()) },
		run:       func(ctx context.Context, n *node) { go heartbeats(ctx, n) }}
}

// heartbeats exchanges summaries with one node of the failure domain a second,
// as the membership does.
func heartbeats(ctx context.Context, n *node) {
	pause(ctx, rand.N(heartbeat))
	for pause(ctx, heartbeat) {
		if p := n.randomPeer(true); p != nil {
			_ = n.spread.Compare(ctx, peerOf(p))
		}
	}
}

// runWatch makes the node follow the head of the store by itself.
func runWatch(ctx context.Context, n *node) {
	src, cur := n.fleet.versions.at(n.place()), n.cur
	go func() {
		h, err := src.Head(ctx)
		if err != nil {
			return
		}
		for e := range src.Watch(ctx, h.Revision) {
			if e.Err != nil {
				return
			}
			if next, err := src.Load(ctx, e.Head, cur.Load()); err == nil {
				_ = cur.Advance(next)
			}
		}
	}()
}

// runPush makes the node push each version that it gets to random nodes.
func runPush(ctx context.Context, n *node) {
	trans := n.trans
	n.onAdvance = func(s *snapshot.Snapshot) {
		go push(ctx, n, trans, &peerpb.OfferRequest{Sender: n.rec.ID, Version: s.Version(), Deltas: [][]byte{n.fleet.versions.delta}})
	}
}

func push(ctx context.Context, n *node, trans spread.Transport, r *peerpb.OfferRequest) {
	for i := range gossipMessages {
		if i >= gossipFanout && !pause(ctx, gossipStep) {
			return
		}
		if p := n.randomPeer(rand.IntN(10) < nearShare); p != nil {
			go func() { _, _ = trans.Offer(ctx, peerOf(p), r) }()
		}
	}
}

// pull asks random nodes for their version and fetches what is missing.
func pull(ctx context.Context, n *node, every time.Duration) {
	trans := n.trans
	pause(ctx, rand.N(every))
	for pause(ctx, every) {
		p := n.randomPeer(rand.IntN(10) < nearShare)
		if p == nil {
			continue
		}
		reply, err := trans.Head(ctx, peerOf(p), &peerpb.HeadRequest{Sender: n.rec.ID, Version: n.cur.Version()})
		if s := n.cur.Load(); err == nil && reply.Version > s.Version() {
			fetch(ctx, n, trans, p, s)
		}
	}
}

func fetch(ctx context.Context, n *node, trans spread.Transport, from *node, s *snapshot.Snapshot) {
	d := s.Digest()
	reply, err := trans.FetchDeltas(ctx, peerOf(from), &peerpb.FetchDeltasRequest{Version: s.Version(), Digest: d[:]})
	if err == nil && len(reply.Deltas) > 0 {
		n.spread.HandleOffer(&peerpb.OfferRequest{Sender: from.rec.ID, Version: reply.Version, Deltas: reply.Deltas})
	}
}
