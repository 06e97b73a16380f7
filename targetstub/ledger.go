package targetstub

import (
	"maps"
	"sync"
)

// Entry counts the events of the requests with one id.
type Entry struct {
	Received  int   `json:"received"`  // reached the handler
	Started   int   `json:"started"`   // took a slot
	Finished  int   `json:"finished"`  // completed and answered with 200, also if the response was then cut off
	Canceled  int   `json:"canceled"`  // ended by the caller or the deadline
	Failed    int   `json:"failed"`    // answered with an error status
	BodyBytes int64 `json:"bodyBytes"` // total size of the complete request bodies
	CutBodies int   `json:"cutBodies"` // incomplete request bodies
}

// maxEntries is the maximum number of ids in the ledger. Requests with further ids
// are counted only in the total.
const maxEntries = 1 << 20

// ledger records requests by id.
type ledger struct {
	mu      sync.Mutex
	entries map[string]*Entry
	total   Entry
}

// record applies f to the entry of id and to the total.
func (l *ledger) record(id string, f func(*Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.total)
	if id == "" {
		return
	}
	e := l.entries[id]
	if e == nil {
		if len(l.entries) >= maxEntries {
			return
		}
		e = &Entry{}
		l.entries[id] = e
	}
	f(e)
}

// get returns a copy of the entry of id.
func (l *ledger) get(id string) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// all returns copies of the total and of every entry.
func (l *ledger) all() (Entry, map[string]Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string]Entry, len(l.entries))
	for id, e := range maps.All(l.entries) {
		m[id] = *e
	}
	return l.total, m
}

// reset removes all entries and clears the total.
func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.total = make(map[string]*Entry), Entry{}
}
