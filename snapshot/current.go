package snapshot

import (
	"sync"
	"sync/atomic"

	"siskingw/errdefs"
)

// Current holds the snapshot in force on a node, that is, the configuration that
// the node currently applies. Readers load it without a lock and may use the
// loaded snapshot for as long as they need it.
type Current struct {
	mu        sync.Mutex // serializes Advance
	snap      atomic.Pointer[Snapshot]
	listeners []func(*Snapshot)
}

// Load returns the snapshot in force, or nil before the first one is put in
// force.
func (c *Current) Load() *Snapshot { return c.snap.Load() }

// Version returns the version in force, or 0 before the first one is put in
// force.
func (c *Current) Version() uint64 {
	if s := c.snap.Load(); s != nil {
		return s.version
	}
	return 0
}

// OnAdvance registers f to be called after each Advance, in order of version. f
// runs while the mutex is held, so it must return quickly and must not call
// Advance or OnAdvance. It must be registered before the first Advance.
func (c *Current) OnAdvance(f func(*Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, f)
}

// Advance puts next in force. It changes nothing and returns a Stale error
// unless next has a higher version than the snapshot in force, or a Corrupt
// error when next was not built by a constructor of this package. The calling
// code counts and logs the error.
//
//siskingw:step put-in-force
func (c *Current) Advance(next *Snapshot) error {
	if err := next.checkFinalized(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if inForce := c.snap.Load(); inForce != nil && next.version <= inForce.version {
		return errdefs.Stale.New("version %d is in force, version %d is not newer", inForce.version, next.version)
	}
	c.snap.Store(next)
	for _, f := range c.listeners {
		f(next)
	}
	return nil
}
