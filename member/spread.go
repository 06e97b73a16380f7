package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"siskingw/faults"
	"siskingw/peer/peerpb"
)

const (
	pushTimeout = time.Second
	// paceInterval is the interval at which the dissemination loop retries
	// while the byte budget is exhausted.
	paceInterval = 250 * time.Millisecond
)

// pushRequest is the content of one push.
type pushRequest struct {
	lane    lane
	records []*Record
	acting  bool
	notes   []*peerpb.DomainNote
	noted   bool
}

// spreadLoop pushes changed records over the edges of the overlay, batched for
// BatchDelay and paced to the byte budget.
func (s *Service) spreadLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(s.opts.BatchDelay):
		case <-s.hurry:
			if !s.sleep(ctx, min(urgentDelay, s.opts.BatchDelay)) {
				return
			}
		}
		s.sendPending(ctx)
	}
}

// sendPending starts the pushes that the budget allows.
func (s *Service) sendPending(ctx context.Context) {
	s.mu.Lock()
	parcels := s.outbox.take(s.clock.Now())
	waiting := s.outbox.waiting()
	s.mu.Unlock()
	for _, p := range parcels {
		go s.deliver(ctx, p)
	}
	if waiting { // for budget
		go func() {
			if s.sleep(ctx, paceInterval) {
				signal(s.wake)
			}
		}()
	}
}

// deliver sends a batch to the first candidate of its edge that accepts it.
func (s *Service) deliver(ctx context.Context, p parcel) {
	sent := 0
	delivered := false
	for i, to := range p.lane.candidates(s.dir) {
		req := pushRequest{lane: p.lane, records: p.records, acting: p.lane.acting(i)}
		n, err := s.push(ctx, to, req)
		sent += n
		if err == nil {
			delivered = true
			break
		}
		s.opts.Log.V(1).Info("push failed", "peer", to.ID, "error", err.Error())
	}
	s.mu.Lock()
	s.outbox.done(s.clock.Now(), p, sent)
	if !delivered {
		s.outbox.add(fallback(s.dir, p.lane), p.records)
	}
	again := s.outbox.waiting()
	s.mu.Unlock()
	if again {
		signal(s.wake)
	}
}

// push sends records to one node and returns the size of the message in bytes,
// also when the call fails. It returns a PeerUnavailable error when the node does
// not accept the records.
func (s *Service) push(ctx context.Context, to *Record, req pushRequest) (int, error) {
	client, err := s.client(to)
	if err != nil {
		return 0, err
	}
	batch, err := codec{s.clock.Now()}.encode(req.records)
	if err != nil {
		return 0, err
	}
	msg := &peerpb.PushMembersRequest{
		Direction: req.lane.direction(), Records: batch, Acting: req.acting,
		FromDomain: s.dir.Self().FailureDomain, Unreachable: req.notes, Notes: req.noted,
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := client.PushMembers(ctx, msg); err != nil {
		return proto.Size(msg), faults.PeerUnavailable.Wrap(err, "push to %q at %s", to.ID, to.PeerAddr)
	}
	return proto.Size(msg), nil
}

// PushMembers merges the received records and forwards those that changed. It
// returns a Corrupt error for a damaged batch.
func (s *Service) PushMembers(ctx context.Context, req *peerpb.PushMembersRequest) (*peerpb.PushMembersReply, error) {
	records, err := codec{s.clock.Now()}.decode(req.Records)
	if err != nil {
		return nil, err
	}
	s.apply(records, origin{direction: req.Direction, acting: req.Acting, domain: req.FromDomain})
	if req.Notes && req.Direction == peerpb.PushDirection_PUSH_DOWN {
		s.takeNotes(req.Unreachable)
	}
	return &peerpb.PushMembersReply{}, nil
}
