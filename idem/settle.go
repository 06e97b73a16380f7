package idem

// Finish records that the target answered k in full. The answer is held for
// repeats if it is at most MaxAnswerBytes and memory allows; the ledger
// remembers in any case that the key ran.
//
//siskingw:step record
func (l *Ledger) Finish(k Key, a *Answer) {
	var held string
	if a != nil && len(a.Body) <= MaxAnswerBytes {
		held = a.encode()
	}
	l.settle(k, func(e *entry) {
		e.state = finished
		n := len(held) + answerBytes
		answers := l.opts.MaxBytes / 100 * answerShare
		if held == "" || len(held) > MaxAnswerBytes || l.answerBytes+n > answers || l.bytes+n > l.opts.MaxBytes {
			return
		}
		e.answer = held
		l.bytes += n
		l.answerBytes += n
	})
}

// Lost records that k may have run; every repeat is unknown.
func (l *Ledger) Lost(k Key) {
	l.settle(k, func(e *entry) { e.state = lost })
}

// NotRun records that k certainly did not run, and closes it: the caller is
// told so and may do the work under a new key, and an earlier attempt with k
// that was held up on its way must not run after that.
func (l *Ledger) NotRun(k Key) {
	l.settle(k, func(e *entry) { e.state = closed })
}

// Withdraw forgets that k was tried; a repeat may run. It is for the first
// attempt only, when no other one can be on its way.
func (l *Ledger) Withdraw(k Key) {
	l.settle(k, func(e *entry) {
		if !e.expired {
			l.expiry.remove(e)
		}
		l.forget(e)
	})
}

// settle applies f to a running key and wakes those that wait for it.
// Keys that are not running are left alone.
func (l *Ledger) settle(k Key, f func(*entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[k.Nonce]
	if !ok || l.key(e) != k || e.state != running {
		return
	}
	f(e)
	if e.expired && l.entries[k.Nonce] == e {
		l.forget(e)
	}
	if e.settled != nil {
		close(e.settled)
		e.settled = nil
	}
}

// add records a key. The ledger is locked.
func (l *Ledger) add(e *entry) {
	l.entries[e.nonce] = e
	l.bytes += e.size()
	l.expiry.add(e)
}

// forget removes an entry that is not filed for expiry. The ledger is locked.
func (l *Ledger) forget(e *entry) {
	delete(l.entries, e.nonce)
	l.bytes -= e.size()
	if e.answer != "" {
		l.answerBytes -= len(e.answer) + answerBytes
	}
}

// Stats describes the memory of a ledger.
type Stats struct {
	Keys        int
	Bytes       int // counted bytes of keys and answers, at most Options.MaxBytes
	AnswerBytes int // part of Bytes held by answers
}

// Stats returns the current sizes.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Keys: len(l.entries), Bytes: l.bytes, AnswerBytes: l.answerBytes}
}
