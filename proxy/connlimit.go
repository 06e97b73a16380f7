package proxy

import (
	"sync/atomic"
	"time"
)

// ConnLimit bounds the open connections of clients, over all servers that share it: each
// costs a descriptor, and memory in this process and in the kernel. A nil *ConnLimit is
// no limit.
type ConnLimit struct {
	max     int64
	open    atomic.Int64
	closed  atomic.Int64
	refused atomic.Int64
	onLimit func(owner string)
}

// NewConnLimit returns a limit of open connections; 0 is no limit. onLimit is called with
// the address of each client that is refused. It must not block.
func NewConnLimit(open int, onLimit func(owner string)) *ConnLimit {
	if open <= 0 {
		return nil
	}
	return &ConnLimit{max: int64(open), onLimit: onLimit}
}

// Open returns the number of open connections.
func (l *ConnLimit) Open() int64 { return l.open.Load() }

// Closed returns the number of idle connections that were closed for another one.
func (l *ConnLimit) Closed() int64 { return l.closed.Load() }

// Refused returns the number of connections that were closed at once.
func (l *ConnLimit) Refused() int64 { return l.refused.Load() }

// add counts an accepted connection, and reports whether the limit allows it.
func (l *ConnLimit) add() bool { return l == nil || l.open.Add(1) <= l.max }

// remove stops counting a connection.
func (l *ConnLimit) remove() {
	if l != nil {
		l.open.Add(-1)
	}
}

// minIdleBeforeClose is how long a connection must have been idle before it is closed in
// favor of a new one: a client that has just connected is about to send.
const minIdleBeforeClose = 500 * time.Millisecond

// makeRoom makes room for a connection beyond the limit: it closes the connection that has
// been idle, or that has been sending a header, for longest. It reports whether the new
// one may stay. The caller holds s.mu.
func (s *ConnServer) makeRoom(c *serverConn) bool {
	var longest *serverConn
	for other := range s.conns {
		if (!other.busy || other.readingHeader) && (longest == nil || other.idleSince.Before(longest.idleSince)) {
			longest = other
		}
	}
	limit := s.opts.Conns
	if longest != nil && time.Since(longest.idleSince) >= minIdleBeforeClose {
		limit.closed.Add(1)
		delete(s.conns, longest)
		limit.remove()
		longest.Close()
		return true
	}
	limit.refused.Add(1)
	limit.onLimit(c.RemoteAddr().String())
	return false
}
