package member

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// estimatedRecordBytes is the estimated size of a compressed record in a
	// small batch.
	estimatedRecordBytes = 90
	// maxPushRecords limits the records of one push, so that a large change
	// does not occupy an edge for longer than the push timeout.
	maxPushRecords = 512
)

// sendQueue holds, for each edge, the ids of the records to send. A record that
// changes again while it waits is sent once, with its latest content.
type sendQueue struct {
	view          View
	limiter       *rate.Limiter
	queued        map[edge]map[string]struct{}
	inFlight      map[edge]bool
	reservedBytes int // estimated bytes of the pushes in flight
}

func newSendQueue(v View, bytesPerSecond, burst int) *sendQueue {
	return &sendQueue{
		view: v, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		queued: make(map[edge]map[string]struct{}), inFlight: make(map[edge]bool),
	}
}

// add queues records for the given edges.
func (q *sendQueue) add(edges []edge, records []*Record) {
	for _, e := range edges {
		ids := q.queued[e]
		if ids == nil {
			ids = make(map[string]struct{}, len(records))
			q.queued[e] = ids
		}
		for _, r := range records {
			ids[r.ID] = struct{}{}
		}
	}
}

// pushBatch is the content of one push over one edge.
type pushBatch struct {
	edge    edge
	records []*Record
}

// nextBatches returns the pushes that the byte budget allows now. It skips an
// edge with a push in flight until finish is called for it.
func (q *sendQueue) nextBatches(now time.Time) []pushBatch {
	var batches []pushBatch
	for e, ids := range q.queued {
		if q.inFlight[e] {
			continue
		}
		allowed := min(maxPushRecords, (int(q.limiter.TokensAt(now))-q.reservedBytes)/estimatedRecordBytes)
		if allowed <= 0 {
			break
		}
		records := q.popMostUrgent(ids, allowed)
		if len(ids) == 0 {
			delete(q.queued, e)
		}
		if len(records) == 0 {
			continue
		}
		q.reservedBytes += len(records) * estimatedRecordBytes
		q.inFlight[e] = true
		batches = append(batches, pushBatch{e, records})
	}
	return batches
}

// popMostUrgent removes the n most urgent records from ids and returns them.
func (q *sendQueue) popMostUrgent(ids map[string]struct{}, n int) []*Record {
	records := make([]*Record, 0, len(ids))
	for id := range ids {
		if r := q.view.Lookup(id); r != nil {
			records = append(records, r)
		} else {
			delete(ids, id)
		}
	}
	slices.SortFunc(records, func(x, y *Record) int {
		return cmp.Or(cmp.Compare(urgency(x), urgency(y)), cmp.Compare(x.ID, y.ID))
	})
	records = records[:min(n, len(records))]
	for _, r := range records {
		delete(ids, r.ID)
	}
	return records
}

// finish marks the edge as free and charges the bytes actually sent to the
// budget.
func (q *sendQueue) finish(now time.Time, batch pushBatch, bytes int) {
	delete(q.inFlight, batch.edge)
	q.reservedBytes -= len(batch.records) * estimatedRecordBytes
	q.limiter.ReserveN(now, min(bytes, q.limiter.Burst()))
}

// hasSendable reports whether any edge without a push in flight has queued
// records.
func (q *sendQueue) hasSendable() bool {
	for e := range q.queued {
		if !q.inFlight[e] {
			return true
		}
	}
	return false
}

// anyUrgent reports whether any of the records must be sent without waiting for
// a full batch.
func anyUrgent(records []*Record) bool {
	return slices.ContainsFunc(records, func(r *Record) bool { return urgency(r) == 0 })
}

// urgency orders records for sending, lowest value first: a target that is
// leaving must receive no new work after 2 s, and a dead one fails calls until
// its death is known.
func urgency(r *Record) int {
	switch r.State {
	case Draining, Left:
		return 0
	case Dead:
		return 1
	case Suspect:
		return 2
	}
	return 3
}
