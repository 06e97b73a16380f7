package member

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	// recordBytes is the estimated size of a compressed record in a small
	// batch.
	recordBytes = 90
	// pushRecords limits the records of one push, so that a large change does
	// not occupy an edge for longer than the push timeout.
	pushRecords = 512
)

// outbox holds, for each edge, the ids of the records to send. A record that
// changes again while it waits is sent once, with its latest content.
type outbox struct {
	view    View
	limiter *rate.Limiter
	pending map[lane]map[string]struct{}
	busy    map[lane]bool
	planned int // estimated bytes of the pushes in flight
}

func newOutbox(v View, bytesPerSecond, burst int) *outbox {
	return &outbox{
		view: v, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		pending: make(map[lane]map[string]struct{}), busy: make(map[lane]bool),
	}
}

// add queues records for the given edges.
func (b *outbox) add(lanes []lane, records []*Record) {
	for _, l := range lanes {
		ids := b.pending[l]
		if ids == nil {
			ids = make(map[string]struct{}, len(records))
			b.pending[l] = ids
		}
		for _, r := range records {
			ids[r.ID] = struct{}{}
		}
	}
}

// parcel is the content of one push over one edge.
type parcel struct {
	lane    lane
	records []*Record
}

// take returns the pushes that the byte budget allows now. It skips an edge
// with a push in flight until done is called for it.
func (b *outbox) take(now time.Time) []parcel {
	var parcels []parcel
	for l, ids := range b.pending {
		if b.busy[l] {
			continue
		}
		allowed := min(pushRecords, (int(b.limiter.TokensAt(now))-b.planned)/recordBytes)
		if allowed <= 0 {
			break
		}
		records := b.first(ids, allowed)
		if len(ids) == 0 {
			delete(b.pending, l)
		}
		if len(records) == 0 {
			continue
		}
		b.planned += len(records) * recordBytes
		b.busy[l] = true
		parcels = append(parcels, parcel{l, records})
	}
	return parcels
}

// first removes the n most urgent records from ids and returns them.
func (b *outbox) first(ids map[string]struct{}, n int) []*Record {
	records := make([]*Record, 0, len(ids))
	for id := range ids {
		if r := b.view.Lookup(id); r != nil {
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

// done marks the edge as free and charges the bytes actually sent to the
// budget.
func (b *outbox) done(now time.Time, p parcel, bytes int) {
	delete(b.busy, p.lane)
	b.planned -= len(p.records) * recordBytes
	b.limiter.ReserveN(now, min(bytes, b.limiter.Burst()))
}

// waiting reports whether any edge without a push in flight has queued records.
func (b *outbox) waiting() bool {
	for l := range b.pending {
		if !b.busy[l] {
			return true
		}
	}
	return false
}

// urgent reports whether any of the records must be sent without waiting for a
// full batch.
func urgent(records []*Record) bool {
	return slices.ContainsFunc(records, func(r *Record) bool { return urgency(r) == 0 })
}

// urgency orders records for sending, lowest value first: a target that
// is leaving must receive no new work after 2 s, and a dead one fails calls
// until its death is known.
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
