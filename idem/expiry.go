package idem

import "time"

const msPerSecond = 1000

// expiryList groups entries by the second of their issue time.
type expiryList struct {
	buckets map[int64]*entry // by second since 1970: head of a linked list of entries
	oldest  int64            // no bucket exists for an earlier second
}

// add puts e into the bucket of its issue time.
func (x *expiryList) add(e *entry) {
	if x.buckets == nil {
		x.buckets = make(map[int64]*entry)
	}
	second := e.issuedMs / msPerSecond
	if len(x.buckets) == 0 || second < x.oldest {
		x.oldest = second
	}
	if head := x.buckets[second]; head != nil {
		e.older, head.newer = head, e
	}
	x.buckets[second] = e
}

// remove removes e from its bucket.
func (x *expiryList) remove(e *entry) {
	second := e.issuedMs / msPerSecond
	if e.older != nil {
		e.older.newer = e.newer
	}
	switch {
	case e.newer != nil:
		e.newer.older = e.older
	case e.older != nil:
		x.buckets[second] = e.older
	default:
		delete(x.buckets, second)
	}
	e.older, e.newer = nil, nil
}

// popExpired removes the buckets of all seconds that ended at or before cutoffMs,
// in ms since 1970, and calls f with each of their entries.
func (x *expiryList) popExpired(cutoffMs int64, f func(*entry)) {
	for len(x.buckets) > 0 && (x.oldest+1)*msPerSecond <= cutoffMs {
		e := x.buckets[x.oldest]
		delete(x.buckets, x.oldest)
		x.oldest++
		for e != nil {
			older := e.older
			e.older, e.newer = nil, nil
			f(e)
			e = older
		}
	}
}

// expire removes the keys that are no longer accepted. Running keys stay until they
// are settled, so that the requests that wait for them are released.
func (l *Ledger) expire(now time.Time) {
	l.expiry.popExpired(now.Add(-keyLifetime).UnixMilli(), func(e *entry) {
		e.expired = true
		if e.state != stateRunning {
			l.remove(e)
		}
	})
}
