package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskingw/errdefs"
	"siskingw/publish"
	"siskingw/snapshot"
	"siskingw/store/etcd"
)

// publishTimeout limits the time from the acceptance of a change to the node's
// first offer of it.
const publishTimeout = 5 * time.Second

// publisher writes versions to the store without pushing them to any node, as a
// node that crashes between the two does. The measured node must therefore read
// them from the store.
type publisher struct {
	client   *etcd.Client
	acceptor *publish.Acceptor
	accepted snapshot.Current // latest version of the acceptor
	stub     *memberStub
	cancel   context.CancelFunc
}

// newPublisher publishes the objects of first and puts them in force on the
// member stub.
func newPublisher(ctx context.Context, endpoint string, first *snapshot.Snapshot,
	stub *memberStub) (*publisher, error) {
	client, err := etcd.New(etcd.Options{Endpoint: endpoint})
	if err != nil {
		return nil, err
	}
	p := &publisher{client: client, stub: stub}
	p.acceptor = publish.NewAcceptor(client, &p.accepted, publish.Options{
		OnPublish: func(next *snapshot.Snapshot, _ *snapshot.Delta) { _ = p.accepted.Advance(next) },
	})
	run, cancel := context.WithCancel(ctx)
	p.cancel = cancel
	go func() { _ = p.acceptor.Run(run) }()
	req := publish.Request{OperationID: "load", Author: "operator"}
	for _, o := range first.Objects() {
		req.Changes = append(req.Changes, publish.Change{Object: o})
	}
	for attempt := 0; ; attempt++ {
		const maxTries = 50 // while the store starts
		if _, err = p.acceptor.Apply(ctx, req); err == nil || attempt == maxTries {
			break
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	stub.current = new(snapshot.Current)
	return p, stub.current.Advance(p.accepted.Load())
}

func (p *publisher) close() {
	p.cancel()
	_ = p.client.Close()
}

// publish changes one route and returns the time from the acceptance until the
// node offered the version to its tree children. It fails with Timeout after
// publishTimeout.
func (p *publisher) publish(ctx context.Context, services int) (time.Duration, error) {
	version := p.accepted.Version() + 1
	_, err := p.acceptor.Apply(ctx, publish.Request{OperationID: fmt.Sprintf("change-%d", version), Author: "operator",
		Since: version - 1, Changes: []publish.Change{{Object: routeObject(int(version)%services, version)}}})
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	for p.stub.offeredVersion.Load() < version {
		if time.Since(begin) > publishTimeout {
			return 0, errdefs.Timeout.New("version %d is not in force on the node after %s", version, publishTimeout)
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
	took := time.Since(begin)
	return took, p.stub.current.Advance(p.accepted.Load())
}

// storeCounts counts the calls that the store served. Watching is the number of
// open watches.
type storeCounts struct {
	Reads, Writes, Watching int64
}

// readStoreCounts reads the counts of the store stub. They are zero when the run
// has no store.
func (b *bench) readStoreCounts(ctx context.Context) (storeCounts, error) {
	var counts storeCounts
	if b.store == nil {
		return counts, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.storeControl()+"/counts", nil)
	if err != nil {
		return counts, errdefs.Internal.Wrap(err, "store counts")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counts, errdefs.StoreUnavailable.Wrap(err, "store counts")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return counts, errdefs.Corrupt.Wrap(err, "store counts")
	}
	return counts, nil
}
