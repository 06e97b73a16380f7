package capacity

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskingw/errdefs"
	"siskingw/member"
	"siskingw/peer"
	"siskingw/peer/peerpb"
)

const (
	// keptConnections is the number of members with which a connection of a
	// heartbeat stays open: one new one each second, each closed after 30 s.
	keptConnections = 30
	callTimeout     = 5 * time.Second
	reportEvery     = 2 * time.Second
)

// driver calls the node as the other members do.
type driver struct {
	st      *standIn
	id      string // of the node
	addr    string // peer address of the node
	role    Role
	traffic peer.Traffic // of the connections that others open to the node
	steady  map[peer.Place]*peer.Pool
	number  atomic.Uint64 // of the last report
	pushed  int           // records in the last push
	mu      sync.Mutex
	failed  error // first failed call
}

func newDriver(st *standIn, id, addr string, role Role) *driver {
	return &driver{st: st, id: id, addr: addr, role: role, steady: make(map[peer.Place]*peer.Pool)}
}

// pool returns the connection that members of a place keep open to the node.
func (d *driver) pool(p peer.Place) *peer.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.steady[p] == nil {
		d.steady[p] = peer.NewPool(p, &d.traffic, peer.Options{})
	}
	return d.steady[p]
}

// run sends what a node with the role receives while nothing changes.
func (d *driver) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.every(ctx, time.Second, d.heartbeats(d.ownMember)) })
	if d.isRelay() {
		wg.Go(func() { d.every(ctx, time.Second, d.heartbeats(d.otherRelay)) })
	}
	if d.role != Leaf {
		wg.Go(func() { d.every(ctx, reportEvery, d.reports) })
	}
	if d.role == RegionHead || d.role == Rank0 {
		wg.Go(func() { d.every(ctx, reportEvery, d.exchanges) })
	}
	if d.role == RegionHead {
		wg.Go(func() { d.every(ctx, reportEvery, d.comparisons) })
	}
	wg.Wait()
	for _, p := range d.steady {
		p.Close()
	}
}

func (d *driver) isRelay() bool { return d.role == Relay || d.role == Rank0 || d.role == RegionHead }

// every calls f periodically and keeps the first error.
func (d *driver) every(ctx context.Context, period time.Duration, f func(context.Context) error) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(call)
		cancel()
		d.mu.Lock()
		if err != nil && ctx.Err() == nil && d.failed == nil {
			d.failed = err
		}
		d.mu.Unlock()
	}
}

// err returns the first failed call.
func (d *driver) err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed
}

// node returns the record of the measured node as the stand-in holds it.
func (d *driver) node() (*member.Record, error) {
	if r := d.st.dir.Lookup(d.id); r != nil {
		return r, nil
	}
	return nil, errdefs.NotFound.New("node %s has not joined", d.id)
}

// ownMember returns a random member of the node's failure domain.
func (d *driver) ownMember(self *member.Record) *member.Record {
	for {
		ranked := d.st.dir.Ranked(self.FailureDomain)
		if r := ranked[rand.IntN(len(ranked))]; r.ID != self.ID {
			return r
		}
	}
}

// otherRelay returns a relay of another failure domain.
func (d *driver) otherRelay(self *member.Record) *member.Record {
	domains := d.st.dir.FailureDomains()
	for {
		if o := domains[rand.IntN(len(domains))]; o.Name != self.FailureDomain {
			return member.Relays(d.st.dir, o.Name)[0]
		}
	}
}

// heartbeats pings the node from another member each time, on a connection of
// its own that stays open until keptConnections others were used.
func (d *driver) heartbeats(from func(*member.Record) *member.Record) func(context.Context) error {
	var kept []*peer.Pool
	return func(ctx context.Context) error {
		self, err := d.node()
		if err != nil {
			return err
		}
		m := from(self)
		p := peer.NewPool(m.Place(), &d.traffic, peer.Options{})
		if kept = append(kept, p); len(kept) > keptConnections {
			kept[0].Close()
			kept = kept[1:]
		}
		cc, err := p.Conn(d.addr, self.Place())
		if err != nil {
			return err
		}
		_, err = peerpb.NewMembershipClient(cc).Ping(ctx, &peerpb.PingRequest{From: keyOf(m), Summary: d.st.summary(), About: keyOf(self)})
		return err
	}
}

// reports sends the status report of each tree child.
func (d *driver) reports(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	ranked := d.st.dir.Ranked(self.FailureDomain)
	cc, err := d.pool(self.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return err
	}
	for _, c := range member.Children(d.st.dir, d.id) {
		version := d.st.cur.Version()
		msg := &peerpb.StatusReport{FromId: c.ID, FromIncarnation: c.Incarnation, Number: d.number.Add(1),
			MinVersion: version, MaxVersion: version}
		addSubtree(msg, ranked, member.Position(d.st.dir, c.ID))
		msg.AtMax = msg.Count
		if _, err := peerpb.NewStatusClient(cc).Report(ctx, msg); err != nil {
			return err
		}
	}
	return nil
}

// addSubtree adds the nodes from a tree position downwards to a report.
func addSubtree(msg *peerpb.StatusReport, ranked []*member.Record, p int) {
	if p < 0 || p >= len(ranked) {
		return
	}
	msg.Count++
	msg.Xor ^= ranked[p].IncarnationHash()
	for c := range member.Fanout {
		addSubtree(msg, ranked, member.Fanout*p+1+c)
	}
}

// exchanges sends the summaries that ranks 0 send to this one: the head of the
// region gets them from the other regions' heads and from its own region, any
// other rank 0 from the head.
func (d *driver) exchanges(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	var senders []*member.Record
	if h := member.RegionHead(d.st.dir, self.Region); d.role == Rank0 && h != nil {
		senders = append(senders, h)
	}
	for _, region := range member.Regions(d.st.dir) {
		if h := member.RegionHead(d.st.dir, region); h != nil && h.ID != d.id && d.role == RegionHead {
			senders = append(senders, h)
		}
	}
	for _, o := range d.st.dir.FailureDomains() {
		if o.Region == self.Region && o.Name != self.FailureDomain && d.role == RegionHead {
			senders = append(senders, d.st.dir.Ranked(o.Name)[0])
		}
	}
	for _, s := range senders {
		cc, err := d.pool(s.Place()).Conn(d.addr, self.Place())
		if err != nil {
			return err
		}
		if _, err := peerpb.NewStatusClient(cc).Exchange(ctx, d.st.fleetSummary(s, self.Region)); err != nil {
			return err
		}
	}
	return nil
}

// comparisons sends the version comparisons that a region's head receives:
// from each other relay of its region and from the head of each other region.
func (d *driver) comparisons(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	senders := member.RegionRelays(d.st.dir, self.Region)
	for _, region := range member.Regions(d.st.dir) {
		if h := member.RegionHead(d.st.dir, region); h != nil && region != self.Region {
			senders = append(senders, h)
		}
	}
	sum := d.st.summary()
	for _, s := range senders {
		if s.ID == d.id {
			continue
		}
		cc, err := d.pool(s.Place()).Conn(d.addr, self.Place())
		if err != nil {
			return err
		}
		r := &peerpb.HeadRequest{Sender: s.ID, Version: sum.Version, Digest: sum.SnapshotDigest, StoreAgeMs: 1}
		if _, err := peerpb.NewSpreadClient(cc).Head(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// parentOf returns who pushes to the node: its tree parent, or for a rank 0
// the head of its region or of another one.
func (d *driver) parentOf(self *member.Record) *member.Record {
	if p := member.Parent(d.st.dir, d.id); p != nil {
		return p
	}
	if h := member.RegionHead(d.st.dir, self.Region); h != nil && h.ID != d.id {
		return h
	}
	for _, region := range member.Regions(d.st.dir) {
		if region != self.Region {
			return member.RegionHead(d.st.dir, region)
		}
	}
	return self
}

// offer puts one changed route in force on the node and returns how long the
// node took to answer. The tree children confirm at once.
func (d *driver) offer(ctx context.Context, services int) (time.Duration, error) {
	self, err := d.node()
	if err != nil {
		return 0, err
	}
	data, err := d.st.newVersion(services)
	if err != nil {
		return 0, err
	}
	parent := d.parentOf(self)
	cc, err := d.pool(parent.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return 0, err
	}
	r := &peerpb.OfferRequest{Sender: parent.ID, Version: d.st.cur.Version(), Deltas: [][]byte{data}, OriginRegion: parent.Region}
	if parent.Region != self.Region {
		r.OriginRegion = ""
	}
	begin := time.Now()
	reply, err := peerpb.NewSpreadClient(cc).Offer(ctx, r)
	took := time.Since(begin)
	if err != nil {
		return 0, err
	}
	if reply.Status != peerpb.OfferReply_APPLIED {
		return 0, errdefs.Internal.New("version %d was not applied: %s", r.Version, reply.Status)
	}
	if d.role != Leaf {
		return took, d.reports(ctx)
	}
	return took, nil
}

// churn restarts one random member and pushes its record to the node.
func (d *driver) churn(ctx context.Context, records []member.Record) error {
	return d.push(ctx, []*member.Record{&records[rand.IntN(len(records))]})
}

// push restarts members and pushes their records to the node in one batch.
func (d *driver) push(ctx context.Context, members []*member.Record) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	changed := make([]*member.Record, len(members))
	for i, r := range members {
		changed[i] = d.st.restart(r)
	}
	d.pushed = len(changed)
	parent := d.parentOf(self)
	cc, err := d.pool(parent.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return err
	}
	direction := peerpb.PushDirection_PUSH_DOWN
	switch {
	case parent.Region != self.Region:
		direction = peerpb.PushDirection_PUSH_BETWEEN_REGIONS
	case parent.FailureDomain != self.FailureDomain:
		direction = peerpb.PushDirection_PUSH_IN_REGION
	}
	_, err = peerpb.NewMembershipClient(cc).PushMembers(ctx, &peerpb.PushMembersRequest{
		Direction: direction, FromDomain: parent.FailureDomain, Records: batchOf(changed),
	})
	return err
}
