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

// restartBatches is the number of pushes in which the restart of a whole
// failure domain arrives. Senders may send up to 512 KiB at once.
const restartBatches = 10

// event is one thing that happens to the node. It returns how long a
// configuration change took to be in force, or 0.
type event func(context.Context) (time.Duration, error)

// untimed returns an event without a time.
func untimed(f func(context.Context) error) event {
	return func(ctx context.Context) (time.Duration, error) { return 0, f(ctx) }
}

// changes returns the event of a configuration change.
func (b *bench) changes() event {
	switch {
	case b.opts.Accept:
		return b.apply
	case b.opts.Read:
		return func(ctx context.Context) (time.Duration, error) { return b.source.publish(ctx, b.opts.Services) }
	}
	return func(ctx context.Context) (time.Duration, error) { return b.driver.offer(ctx, b.opts.Services) }
}

// phases runs every phase.
func (b *bench) phases(ctx context.Context) error {
	churn := untimed(func(ctx context.Context) error { return b.driver.churn(ctx, b.records) })
	for _, p := range []struct {
		name   string
		length time.Duration
		period time.Duration
		event  event
		skip   bool
	}{
		{"idle", b.opts.Idle, 0, nil, false},
		{"changes 1/s", b.opts.Busy, time.Second, b.changes(), b.opts.Services == 0},
		{"churn 1/s", b.opts.Busy, time.Second, churn, false},
		{"churn 10/s", b.opts.Busy, time.Second / 10, churn, false},
		{"domain restart", b.opts.Busy, b.opts.Busy / restartBatches, b.domainRestart(), false},
		{"heartbeats 10/s", b.opts.Busy, time.Second / 10, untimed(b.driver.heartbeats(b.driver.ownMember)), false},
		{"joins 1/s", b.opts.Busy, time.Second, untimed(b.driver.join), false},
		{"snapshots 1/s", b.opts.Busy, time.Second, untimed(b.driver.fetch), b.opts.Services == 0},
		{"calls out 190/s", b.opts.Busy, callPeriod, untimed(b.callOut), !b.canCall()},
		{"calls in 190/s", b.opts.Busy, callPeriod, untimed(b.callIn), !b.canCall()},
		{"storm", b.opts.Busy, time.Second / 4, untimed(b.driver.storm), b.opts.Services == 0},
	} {
		if p.skip {
			continue
		}
		if err := b.phase(ctx, p.name, p.length, p.period, p.event); err != nil {
			return err
		}
	}
	return nil
}

// domainRestart returns an event that pushes a part of the records of a failure
// domain that has restarted.
func (b *bench) domainRestart() event {
	_, domain := place(domainCount - 1)
	members := b.st.dir.Ranked(domain)
	n := (len(members) + restartBatches - 1) / restartBatches
	return untimed(func(ctx context.Context) error {
		batch := members[:min(n, len(members))]
		members = members[len(batch):]
		return b.driver.push(ctx, batch)
	})
}

// storm starts as many joins and snapshot transfers at a time as a node serves.
func (d *driver) storm(ctx context.Context) error {
	const served = 4
	var g errgroup.Group
	for range served {
		g.Go(func() error { return d.join(ctx) })
		g.Go(func() error { return d.fetch(ctx) })
	}
	return g.Wait()
}

// dialAsMember opens a connection to the node as a member of its failure
// domain that has just started. release closes it.
func (d *driver) dialAsMember() (m *member.Record, cc grpc.ClientConnInterface, release func(), err error) {
	self, err := d.node()
	if err != nil {
		return nil, nil, nil, err
	}
	m = d.ownMember(self)
	p := peer.NewPool(m.Place(), &d.traffic, peer.Options{})
	if cc, err = p.Conn(d.addr, self.Place()); err != nil {
		p.Close()
		return nil, nil, nil, err
	}
	return m, cc, p.Close, nil
}

// join asks the node for every record, as a starting member of its failure
// domain does.
func (d *driver) join(ctx context.Context) error {
	m, cc, release, err := d.dialAsMember()
	if err != nil {
		return err
	}
	defer release()
	stream, err := peerpb.NewMembershipClient(cc).Join(ctx, &peerpb.JoinRequest{Record: recordOf(m)})
	if err != nil {
		return err
	}
	return drain(stream.Recv)
}

// fetch asks the node for its snapshot, as a starting node does.
func (d *driver) fetch(ctx context.Context) error {
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
	return drain(stream.Recv)
}

// drain receives until the end of a stream.
func drain[T any](recv func() (T, error)) error {
	for {
		if _, err := recv(); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}
