package proxy

import (
	"net"
	"sync"
)

// LimitListener returns a listener that closes connections beyond limit open ones at once;
// 0 is no limit. Its connections count until they are closed. It is for servers that are
// not a ConnServer, which chooses the connection to close.
func LimitListener(l net.Listener, limit *ConnLimit) net.Listener {
	if limit == nil {
		return l
	}
	return &limitListener{l, limit}
}

type limitListener struct {
	net.Listener
	limit *ConnLimit
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limit.add() {
			return &limitedConn{Conn: nc, limit: l.limit}, nil
		}
		l.limit.remove()
		l.limit.refused.Add(1)
		l.limit.onLimit(nc.RemoteAddr().String())
		_ = nc.Close() // refused
	}
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	limit *ConnLimit
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(c.limit.remove)
	return c.Conn.Close()
}
