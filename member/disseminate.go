package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
)

const (
	pushTimeout = time.Second
	// budgetRetryInterval is the interval at which the dissemination loop
	// retries while the byte budget is exhausted.
	budgetRetryInterval = 250 * time.Millisecond
)

// pushRequest is the content of one push.
type pushRequest struct {
	edge        edge
	records     []*Record
	acting      bool // the receiver acts in place of the edge's first candidate
	domainNotes []*peerpb.DomainNote
	hasNotes    bool
}

// disseminateLoop pushes changed records over the edges of the overlay, batched
// for BatchDelay and paced to the byte budget.
func (s *Service) disseminateLoop(ctx context.Context) {
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
		case <-s.wakeUrgent:
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
	batches := s.sendQueue.nextBatches(s.clock.Now())
	waiting := s.sendQueue.hasSendable()
	s.mu.Unlock()
	for _, batch := range batches {
		go s.deliver(ctx, batch)
	}
	if waiting { // for the byte budget
		go func() {
			if s.sleep(ctx, budgetRetryInterval) {
				signal(s.wake)
			}
		}()
	}
}

// deliver sends a batch to the first candidate of its edge that accepts it. If
// none does, it queues the records for the fallback edges.
func (s *Service) deliver(ctx context.Context, batch pushBatch) {
	sent := 0
	delivered := false
	for i, to := range batch.edge.candidates(s.dir) {
		req := pushRequest{edge: batch.edge, records: batch.records, acting: batch.edge.acting(i)}
		n, err := s.push(ctx, to, req)
		sent += n
		if err == nil {
			delivered = true
			break
		}
		s.opts.Log.V(1).Info("push failed", "peer", to.ID, "error", err.Error())
	}
	s.mu.Lock()
	s.sendQueue.finish(s.clock.Now(), batch, sent)
	if !delivered {
		s.sendQueue.add(fallbackEdges(s.dir, batch.edge), batch.records)
	}
	moreToSend := s.sendQueue.hasSendable()
	s.mu.Unlock()
	if moreToSend {
		signal(s.wake)
	}
}

// push sends records to one node and returns the size of the message in bytes,
// also when the call fails. It returns a PeerUnavailable error when the node
// does not accept the records.
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
		Direction: req.edge.direction(), Records: batch, Acting: req.acting,
		FromDomain: s.dir.Self().FailureDomain, Unreachable: req.domainNotes, Notes: req.hasNotes,
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	if _, err := client.PushMembers(ctx, msg); err != nil {
		return proto.Size(msg), errdefs.PeerUnavailable.Wrap(err, "push to %q at %s", to.ID, to.PeerAddr)
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
		s.applyNotes(req.Unreachable)
	}
	return &peerpb.PushMembersReply{}, nil
}
