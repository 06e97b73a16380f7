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
	// maxHeartbeatConnections is the number of heartbeat connections that stay
	// open: one is opened each second and closed after 30 s.
	maxHeartbeatConnections = 30
	callTimeout             = 5 * time.Second
	reportInterval          = 2 * time.Second
)

// driver calls the measured node as the other members of the fleet do.
type driver struct {
	stub          *memberStub
	id            string // ID of the node
	addr          string // peer address of the node
	role          Role
	traffic       peer.Traffic // on connections that others open to the node
	pools         map[peer.Place]*peer.Pool
	reportNumber  atomic.Uint64 // number of the last status report
	pushedRecords int           // number of records in the last push
	mu            sync.Mutex
	firstErr      error // of the first call that failed
}

func newDriver(stub *memberStub, id, addr string, role Role) *driver {
	return &driver{stub: stub, id: id, addr: addr, role: role, pools: make(map[peer.Place]*peer.Pool)}
}

// pool returns the pool whose connection members of a place keep open to the node.
func (d *driver) pool(p peer.Place) *peer.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools[p] == nil {
		d.pools[p] = peer.NewPool(p, &d.traffic, peer.Options{})
	}
	return d.pools[p]
}

// run sends the periodic calls that a node with the role receives while neither
// the configuration nor the membership changes.
func (d *driver) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.runEvery(ctx, time.Second, d.heartbeats(d.randomDomainMember)) })
	if d.isRelay() {
		wg.Go(func() { d.runEvery(ctx, time.Second, d.heartbeats(d.randomRemoteRelay)) })
	}
	if d.role != Leaf {
		wg.Go(func() { d.runEvery(ctx, reportInterval, d.sendReports) })
	}
	if d.role == RegionHead || d.role == Rank0 {
		wg.Go(func() { d.runEvery(ctx, reportInterval, d.sendExchanges) })
	}
	if d.role == RegionHead {
		wg.Go(func() { d.runEvery(ctx, reportInterval, d.sendComparisons) })
	}
	wg.Wait()
	for _, p := range d.pools {
		p.Close()
	}
}

func (d *driver) isRelay() bool { return d.role == Relay || d.role == Rank0 || d.role == RegionHead }

// runEvery calls f once per period until ctx ends and records the first error.
func (d *driver) runEvery(ctx context.Context, period time.Duration, f func(context.Context) error) {
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
		if err != nil && ctx.Err() == nil && d.firstErr == nil {
			d.firstErr = err
		}
		d.mu.Unlock()
	}
}

// err returns the error of the first failed call.
func (d *driver) err() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.firstErr
}

// node returns the record of the measured node in the stub's directory. It fails
// with NotFound before the node has joined.
func (d *driver) node() (*member.Record, error) {
	if r := d.stub.dir.Lookup(d.id); r != nil {
		return r, nil
	}
	return nil, errdefs.NotFound.New("node %s has not joined", d.id)
}

// randomDomainMember returns a random other member of the node's failure domain.
func (d *driver) randomDomainMember(self *member.Record) *member.Record {
	for {
		ranked := d.stub.dir.Ranked(self.FailureDomain)
		if r := ranked[rand.IntN(len(ranked))]; r.ID != self.ID {
			return r
		}
	}
}

// randomRemoteRelay returns the first relay of a random other failure domain.
func (d *driver) randomRemoteRelay(self *member.Record) *member.Record {
	domains := d.stub.dir.FailureDomains()
	for {
		if o := domains[rand.IntN(len(domains))]; o.Name != self.FailureDomain {
			return member.Relays(d.stub.dir, o.Name)[0]
		}
	}
}

// heartbeats returns a function that pings the node as the member that
// chooseSender returns. Each ping uses a new connection, which stays open until
// maxHeartbeatConnections newer ones were opened.
func (d *driver) heartbeats(chooseSender func(*member.Record) *member.Record) func(context.Context) error {
	var pools []*peer.Pool
	return func(ctx context.Context) error {
		self, err := d.node()
		if err != nil {
			return err
		}
		m := chooseSender(self)
		p := peer.NewPool(m.Place(), &d.traffic, peer.Options{})
		if pools = append(pools, p); len(pools) > maxHeartbeatConnections {
			pools[0].Close()
			pools = pools[1:]
		}
		cc, err := p.Conn(d.addr, self.Place())
		if err != nil {
			return err
		}
		_, err = peerpb.NewMembershipClient(cc).Ping(ctx,
			&peerpb.PingRequest{From: memberKey(m), Summary: d.stub.summary(), About: memberKey(self)})
		return err
	}
}

// sendReports sends the status report of each of the node's tree children.
func (d *driver) sendReports(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	ranked := d.stub.dir.Ranked(self.FailureDomain)
	cc, err := d.pool(self.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return err
	}
	for _, c := range member.Children(d.stub.dir, d.id) {
		version := d.stub.current.Version()
		msg := &peerpb.StatusReport{FromId: c.ID, FromIncarnation: c.Incarnation, Number: d.reportNumber.Add(1),
			MinVersion: version, MaxVersion: version}
		addSubtree(msg, ranked, member.Position(d.stub.dir, c.ID))
		msg.AtMax = msg.Count
		if _, err := peerpb.NewStatusClient(cc).Report(ctx, msg); err != nil {
			return err
		}
	}
	return nil
}

// addSubtree adds the node at tree position p and its descendants to a report.
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

// sendExchanges sends the summaries that the node receives from other nodes of
// rank 0: a region head receives them from the other region heads and from the
// ranks 0 of its own region, any other rank 0 from its region head.
func (d *driver) sendExchanges(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	var senders []*member.Record
	if h := member.RegionHead(d.stub.dir, self.Region); d.role == Rank0 && h != nil {
		senders = append(senders, h)
	}
	for _, region := range member.Regions(d.stub.dir) {
		if h := member.RegionHead(d.stub.dir, region); h != nil && h.ID != d.id && d.role == RegionHead {
			senders = append(senders, h)
		}
	}
	for _, o := range d.stub.dir.FailureDomains() {
		if o.Region == self.Region && o.Name != self.FailureDomain && d.role == RegionHead {
			senders = append(senders, d.stub.dir.Ranked(o.Name)[0])
		}
	}
	for _, s := range senders {
		cc, err := d.pool(s.Place()).Conn(d.addr, self.Place())
		if err != nil {
			return err
		}
		if _, err := peerpb.NewStatusClient(cc).Exchange(ctx, d.stub.fleetSummary(s, self.Region)); err != nil {
			return err
		}
	}
	return nil
}

// sendComparisons sends the version comparisons that a region head receives:
// from each other relay of its region and from each other region head.
func (d *driver) sendComparisons(ctx context.Context) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	senders := member.RegionRelays(d.stub.dir, self.Region)
	for _, region := range member.Regions(d.stub.dir) {
		if h := member.RegionHead(d.stub.dir, region); h != nil && region != self.Region {
			senders = append(senders, h)
		}
	}
	sum := d.stub.summary()
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

// pushSender returns the member that pushes to the node: its tree parent, or for
// a rank 0 its region head, or for a region head the head of another region.
func (d *driver) pushSender(self *member.Record) *member.Record {
	if p := member.Parent(d.stub.dir, d.id); p != nil {
		return p
	}
	if h := member.RegionHead(d.stub.dir, self.Region); h != nil && h.ID != d.id {
		return h
	}
	for _, region := range member.Regions(d.stub.dir) {
		if region != self.Region {
			return member.RegionHead(d.stub.dir, region)
		}
	}
	return self
}

// offer puts one changed route in force on the node and returns the time until
// the node responded. The node's tree children confirm immediately.
func (d *driver) offer(ctx context.Context, services int) (time.Duration, error) {
	self, err := d.node()
	if err != nil {
		return 0, err
	}
	data, err := d.stub.newVersion(services)
	if err != nil {
		return 0, err
	}
	sender := d.pushSender(self)
	cc, err := d.pool(sender.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return 0, err
	}
	r := &peerpb.OfferRequest{Sender: sender.ID, Version: d.stub.current.Version(), Deltas: [][]byte{data},
		OriginRegion: sender.Region}
	if sender.Region != self.Region {
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
		return took, d.sendReports(ctx)
	}
	return took, nil
}

// restartRandomMember restarts one random member and pushes its record to the
// node.
func (d *driver) restartRandomMember(ctx context.Context, records []member.Record) error {
	return d.pushRestarts(ctx, []*member.Record{&records[rand.IntN(len(records))]})
}

// pushRestarts restarts members and pushes their new records to the node in one
// batch.
func (d *driver) pushRestarts(ctx context.Context, members []*member.Record) error {
	self, err := d.node()
	if err != nil {
		return err
	}
	changed := make([]*member.Record, len(members))
	for i, r := range members {
		changed[i] = d.stub.restartMember(r)
	}
	d.pushedRecords = len(changed)
	sender := d.pushSender(self)
	cc, err := d.pool(sender.Place()).Conn(d.addr, self.Place())
	if err != nil {
		return err
	}
	direction := peerpb.PushDirection_PUSH_DOWN
	switch {
	case sender.Region != self.Region:
		direction = peerpb.PushDirection_PUSH_BETWEEN_REGIONS
	case sender.FailureDomain != self.FailureDomain:
		direction = peerpb.PushDirection_PUSH_IN_REGION
	}
	_, err = peerpb.NewMembershipClient(cc).PushMembers(ctx, &peerpb.PushMembersRequest{
		Direction: direction, FromDomain: sender.FailureDomain, Records: encodeBatch(changed),
	})
	return err
}
