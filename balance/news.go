package balance

import (
	"siskingw/evenload"
)

// Learn records news about the targets of an announced service that another
// instance of the own failure domain passed on. News about unknown targets, and
// news that is older than what is known, is ignored.
func (b *Balancer) Learn(announce string, items []evenload.Item) {
	if len(items) == 0 {
		return
	}
	now := b.now()
	t := b.service(announce, now).currentTable(b, now)
	for _, e := range t.ownDomain(b) {
		id := e.record.Load().ID
		for _, it := range items {
			if it.ID == id {
				e.learn(it, now)
			}
		}
	}
}

// learn records an item about the endpoint.
func (e *endpoint) learn(it evenload.Item, now int64) {
	old := e.gateState.Load()
	if old != nil && now-int64(it.Age) <= old.At {
		return
	}
	s := &gateState{News: *it.News(now, e.inFlight.Load()), relayed: true}
	if old != nil {
		s.link, s.linkedAt, s.sendBacklog, s.slowness = old.link, old.linkedAt, old.sendBacklog, old.slowness
	}
	e.gateState.CompareAndSwap(old, s)
}

// Newest returns the newest items about the targets of an announced service in the
// own failure domain, except about the given instance.
func (b *Balancer) Newest(announce, except string) []evenload.Item {
	now := b.now()
	var items []evenload.Item
	for _, e := range b.service(announce, now).currentTable(b, now).ownDomain(b) {
		if n := e.news(); n.Fresh(now) {
			if id := e.record.Load().ID; id != except {
				items = append(items, n.Item(id, now))
			}
		}
	}
	return evenload.Newest(items)
}

// ownDomain returns the alive endpoints in the node's own failure domain.
func (t *table) ownDomain(b *Balancer) []*endpoint {
	if len(t.near) == 0 || t.near[0].endpoints[0].record.Load().FailureDomain != b.view.Self().FailureDomain {
		return nil
	}
	return t.near[0].endpoints
}
