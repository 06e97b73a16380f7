package capacity

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"siskingw/member"
	"siskingw/peer"
	"siskingw/peer/peerpb"
)

// restartBatches is the number of pushes that carry the records of a restarted
// failure domain. Senders may send up to 512 KiB at once.
const restartBatches = 10

// event performs one call or change on the node. It returns the time until a
// configuration change was in force, or 0 for other events.
type event func(context.Context) (time.Duration, error)

// untimed returns an event that calls f and reports no time.
func untimed(f func(context.Context) error) event {
	return func(ctx context.Context) (time.Duration, error) { return 0, f(ctx) }
}

// changeEvent returns the event that makes one configuration change.
func (b *bench) changeEvent() event {
	switch {
	case b.opts.Accept:
		return b.applyChange
	case b.opts.Read:
		return func(ctx context.Context) (time.Duration, error) { return b.publisher.publish(ctx, b.opts.Services) }
	}
	return func(ctx context.Context) (time.Duration, error) { return b.driver.offer(ctx, b.opts.Services) }
}

// runPhases runs every phase in turn.
func (b *bench) runPhases(ctx context.Context) error {
	churn := untimed(func(ctx context.Context) error { return b.driver.restartRandomMember(ctx, b.records) })
	for _, p := range []struct {
		name   string
		length time.Duration
		period time.Duration
		event  event
		skip   bool
	}{
		{"idle", b.opts.Idle, 0, nil, false},
		{"changes 1/s", b.opts.Busy, time.Second, b.changeEvent(), b.opts.Services == 0},
		{"churn 1/s", b.opts.Busy, time.Second, churn, false},
		{"churn 10/s", b.opts.Busy, time.Second / 10, churn, false},
		{"domain restart", b.opts.Busy, b.opts.Busy / restartBatches, b.domainRestart(), false},
		{"heartbeats 10/s", b.opts.Busy, time.Second / 10, untimed(b.driver.heartbeats(b.driver.randomDomainMember)), false},
		{"joins 1/s", b.opts.Busy, time.Second, untimed(b.driver.join), false},
		{"snapshots 1/s", b.opts.Busy, time.Second, untimed(b.driver.fetchSnapshot), b.opts.Services == 0},
		{"calls out 190/s", b.opts.Busy, callPeriod, untimed(b.callOut), !b.hasCalledServices()},
		{"calls in 190/s", b.opts.Busy, callPeriod, untimed(b.callIn), !b.hasCalledServices()},
		{"storm", b.opts.Busy, time.Second / 4, untimed(b.driver.joinAndFetch), b.opts.Services == 0},
	} {
		if p.skip {
			continue
		}
		if err := b.runPhase(ctx, p.name, p.length, p.period, p.event); err != nil {
			return err
		}
	}
	return nil
}

// domainRestart returns an event that pushes the next batch of the records of a
// restarted failure domain.
func (b *bench) domainRestart() event {
	_, domain := place(domainCount - 1)
	members := b.stub.dir.Ranked(domain)
	n := (len(members) + restartBatches - 1) / restartBatches
	return untimed(func(ctx context.Context) error {
		batch := members[:min(n, len(members))]
		members = members[len(batch):]
		return b.driver.pushRestarts(ctx, batch)
	})
}

// joinAndFetch starts as many concurrent joins and snapshot transfers as a node
// serves.
func (d *driver) joinAndFetch(ctx context.Context) error {
	const concurrency = 4
	var g errgroup.Group
	for range concurrency {
		g.Go(func() error { return d.join(ctx) })
		g.Go(func() error { return d.fetchSnapshot(ctx) })
	}
	return g.Wait()
}

// dialAsMember opens a new connection to the node as a random member of its
// failure domain. release closes the connection.
func (d *driver) dialAsMember() (m *member.Record, cc grpc.ClientConnInterface, release func(), err error) {
	self, err := d.node()
	if err != nil {
		return nil, nil, nil, err
	}
	m = d.randomDomainMember(self)
	p := peer.NewPool(m.Place(), &d.traffic, peer.Options{})
	if cc, err = p.Conn(d.addr, self.Place()); err != nil {
		p.Close()
		return nil, nil, nil, err
	}
	return m, cc, p.Close, nil
}

// join requests all records from the node, as a starting member of its failure
// domain does.
func (d *driver) join(ctx context.Context) error {
	m, cc, release, err := d.dialAsMember()
	if err != nil {
		return err
	}
	defer release()
	stream, err := peerpb.NewMembershipClient(cc).Join(ctx, &peerpb.JoinRequest{Record: memberRecord(m)})
	if err != nil {
		return err
	}
	return receiveAll(stream.Recv)
}

// fetchSnapshot requests the node's snapshot, as a starting node does.
func (d *driver) fetchSnapshot(ctx context.Context) error {
	m, cc, release, err := d.dialAsMember()
	if err != nil {
		return err
	}
	defer release()
	caller := &peerpb.Source{Id: m.ID, Addr: m.PeerAddr, Region: m.Region, FailureDomain: m.FailureDomain}
	stream, err := peerpb.NewSpreadClient(cc).FetchSnapshot(ctx, &peerpb.FetchSnapshotRequest{Caller: caller})
	if err != nil {
		return err
	}
	return receiveAll(stream.Recv)
}

// receiveAll receives and discards messages until the end of a stream.
func receiveAll[T any](recv func() (T, error)) error {
	for {
		if _, err := recv(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}
