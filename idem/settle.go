package idem

// RecordResponse records that k ran and got the complete response r. The response
// is stored for retries if its size is at most MaxResponseBytes and memory allows;
// that the key ran is recorded in any case. r may be nil.
//
//siskingw:step record
func (l *Ledger) RecordResponse(k Key, r *Response) {
	var encoded string
	if r != nil && len(r.Body) <= MaxResponseBytes {
		encoded = r.encode()
	}
	l.settle(k, func(e *entry) {
		e.state = stateFinished
		n := len(encoded) + responseOverheadBytes
		responsesLimit := l.opts.MaxBytes / 100 * responseSharePercent
		if encoded == "" || len(encoded) > MaxResponseBytes || l.responseBytes+n > responsesLimit || l.bytes+n > l.opts.MaxBytes {
			return
		}
		e.response = encoded
		l.bytes += n
		l.responseBytes += n
	})
}

// RecordUnknown records that k may have run: every retry gets Unknown.
func (l *Ledger) RecordUnknown(k Key) {
	l.settle(k, func(e *entry) { e.state = stateUnknown })
}

// RecordNotRun records that k certainly did not run; every retry gets Closed.
// The caller learns that it did not run and may send the call again under a new
// key; a delayed earlier attempt with k must not run after that.
func (l *Ledger) RecordNotRun(k Key) {
	l.settle(k, func(e *entry) { e.state = stateClosed })
}

// Withdraw removes k, so that a retry may run. It is valid only for the first
// attempt, when no other one can be in transit.
func (l *Ledger) Withdraw(k Key) {
	l.settle(k, func(e *entry) {
		if !e.expired {
			l.expiry.remove(e)
		}
		l.remove(e)
	})
}

// settle applies f to the entry of a running key and wakes the requests that wait
// for it. It does nothing for a key that is not running.
func (l *Ledger) settle(k Key, f func(*entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[k.Nonce]
	if !ok || l.key(e) != k || e.state != stateRunning {
		return
	}
	f(e)
	if e.expired && l.entries[k.Nonce] == e {
		l.remove(e)
	}
	if e.settled != nil {
		close(e.settled)
		e.settled = nil
	}
}

// add records a key. l.mu must be held.
func (l *Ledger) add(e *entry) {
	l.entries[e.nonce] = e
	l.bytes += e.size()
	l.expiry.add(e)
}

// remove removes an entry that is not in the expiry list. l.mu must be held.
func (l *Ledger) remove(e *entry) {
	delete(l.entries, e.nonce)
	l.bytes -= e.size()
	if e.response != "" {
		l.responseBytes -= len(e.response) + responseOverheadBytes
	}
}

// Stats is the memory use of a ledger.
type Stats struct {
	Keys          int
	Bytes         int // counted bytes of keys and responses, at most Options.MaxBytes
	ResponseBytes int // part of Bytes used by responses
}

// Stats returns the current memory use.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Keys: len(l.entries), Bytes: l.bytes, ResponseBytes: l.responseBytes}
}
