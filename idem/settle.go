package idem

import "strings"

// Finish records that the target answered k in full. The answer is held for
// repeats if it is at most MaxAnswerBytes and memory allows; the ledger
// remembers in any case that the key ran.
func (l *Ledger) Finish(k Key, a *Answer) {
	var held []byte
	if a != nil && len(a.Body) <= MaxAnswerBytes {
		held = a.encode()
	}
	l.settle(k, func(e *entry) {
		e.state = finished
		n := cap(held)
		answers := l.opts.MaxBytes / 100 * answerShare
		if n > MaxAnswerBytes || l.answerBytes+n > answers || l.bytes+n > l.opts.MaxBytes {
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

// NotRun records that k certainly did not run; a repeat may run.
func (l *Ledger) NotRun(k Key) {
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
	e, ok := l.entries[k]
	if !ok || e.state != running {
		return
	}
	f(e)
	if e.expired && l.entries[k] == e {
		l.forget(e)
	}
	if e.settled != nil {
		close(e.settled)
		e.settled = nil
	}
}

// add records a key. The ledger is locked.
func (l *Ledger) add(e *entry) {
	if e.key.Owner == l.owner {
		e.key.Owner = l.owner // shares the string instead of keeping the whole header value
	} else {
		e.key.Owner = strings.Clone(e.key.Owner)
	}
	l.entries[e.key] = e
	l.bytes += e.size()
	l.expiry.add(e)
}

// forget removes an entry that is not filed for expiry. The ledger is locked.
func (l *Ledger) forget(e *entry) {
	delete(l.entries, e.key)
	l.bytes -= e.size() + cap(e.answer)
	l.answerBytes -= cap(e.answer)
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
