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

// publishTimeout bounds one change, from acceptance to the node's first offer.
const publishTimeout = 5 * time.Second

// source publishes versions to the store as another node would that dies
// before it pushes them, so that the measured node must read the store.
type source struct {
	client   *etcd.Client
	acceptor *publish.Acceptor
	accepted snapshot.Current // version at the acceptor
	st       *standIn
	cancel   context.CancelFunc
}

// newSource publishes the objects of first and puts them in force on the stand-in.
func newSource(ctx context.Context, endpoint string, first *snapshot.Snapshot, st *standIn) (*source, error) {
	client, err := etcd.New(etcd.Options{Endpoint: endpoint})
	if err != nil {
		return nil, err
	}
	s := &source{client: client, st: st}
	s.acceptor = publish.NewAcceptor(client, &s.accepted, publish.Options{
		OnPublish: func(next *snapshot.Snapshot, _ *snapshot.Delta) { _ = s.accepted.Advance(next) },
	})
	run, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	go func() { _ = s.acceptor.Run(run) }()
	req := publish.Request{OperationID: "load", Author: "operator"}
	for _, o := range first.Objects() {
		req.Changes = append(req.Changes, publish.Change{Object: o})
	}
	for try := 0; ; try++ {
		const tries = 50 // while the store starts
		if _, err = s.acceptor.Apply(ctx, req); err == nil || try == tries {
			break
		}
		if err := wait(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	st.cur = new(snapshot.Current)
	return s, st.cur.Advance(s.accepted.Load())
}

func (s *source) close() {
	s.cancel()
	_ = s.client.Close()
}

// publish changes one route and returns how long it took from the acceptance
// until the node offered the version to its tree children.
func (s *source) publish(ctx context.Context, services int) (time.Duration, error) {
	version := s.accepted.Version() + 1
	_, err := s.acceptor.Apply(ctx, publish.Request{OperationID: fmt.Sprintf("change-%d", version), Author: "operator", Since: version - 1,
		Changes: []publish.Change{{Object: routeObject(int(version)%services, version)}}})
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	for s.st.offers.Load() < version {
		if time.Since(begin) > publishTimeout {
			return 0, errdefs.Timeout.New("version %d is not in force on the node after %s", version, publishTimeout)
		}
		if err := wait(ctx, time.Millisecond); err != nil {
			return 0, err
		}
	}
	took := time.Since(begin)
	return took, s.st.cur.Advance(s.accepted.Load())
}

// storeCounts are the calls that the store served.
type storeCounts struct {
	Reads, Writes, Watching int64
}

// storeCounts reads the counts of the store stand-in, if there is one.
func (b *bench) storeCounts(ctx context.Context) (storeCounts, error) {
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
