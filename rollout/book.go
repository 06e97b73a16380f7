package rollout

import (
	"sync"
	"sync/atomic"
)

// Book holds the directive in force of each service. It is safe for concurrent
// use; reading takes no lock.
type Book struct {
	mu         sync.Mutex // serializes writers
	directives atomic.Pointer[map[string]Directive]
}

// NewBook returns an empty book.
func NewBook() *Book {
	b := new(Book)
	b.directives.Store(&map[string]Directive{})
	return b
}

// Learn records a directive and reports whether it replaced the one in force.
func (b *Book) Learn(d Directive) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.directives.Load()
	if known, ok := old[d.Service]; ok && !d.Supersedes(known) {
		return false
	}
	next := make(map[string]Directive, len(old)+1)
	for k, v := range old {
		next[k] = v
	}
	next[d.Service] = d
	b.directives.Store(&next)
	return true
}

// Get returns the directive of a service; ok is false if there is none.
func (b *Book) Get(service string) (d Directive, ok bool) {
	d, ok = (*b.directives.Load())[service]
	return d, ok
}

// All returns the directives by service. The map must not be changed.
func (b *Book) All() map[string]Directive { return *b.directives.Load() }
