package fleet

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"siskingw/errdefs"
)

// storePlace is the name of the store's place.
const storePlace = "store"

// cutPollInterval is the interval at which a blocked connection checks whether
// its link is healed.
const cutPollInterval = 10 * time.Millisecond

// Links emulates the network between processes: it relays their TCP connections
// and injects faults into the links between two places. A place is a failure
// domain, an instance or the store, and a link has one direction. A cut link
// holds bytes back, like a network that drops packets, and delivers them once
// it is healed. Links can also add a delay and reset connections. It is safe for
// concurrent use, except for Forward and Close.
type Links struct {
	mu        sync.Mutex
	places    map[string]string // by the first octets of an address; the longest match applies
	cuts      map[[2]string]bool
	delays    map[[2]string]time.Duration
	openConns map[*relayedConn]bool
	closed    chan struct{}
	listeners []net.Listener
}

// relayedConn is one relayed connection.
type relayedConn struct {
	from, to string
	ends     [2]net.Conn
}

// NewLinks returns Links without places, cuts or delays.
func NewLinks() *Links {
	return &Links{
		places: make(map[string]string), cuts: make(map[[2]string]bool),
		delays: make(map[[2]string]time.Duration), openConns: make(map[*relayedConn]bool),
		closed: make(chan struct{}),
	}
}

// Place assigns the addresses that begin with the given octets to a place.
func (l *Links) Place(octets, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places[octets] = name
}

// Delay delays each chunk of bytes from one place to another by d; 0 removes the
// delay.
func (l *Links) Delay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[[2]string{from, to}] = d
}

// Reset resets every open connection to or from a place.
func (l *Links) Reset(place string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.openConns {
		if conn.from == place || conn.to == place {
			for _, c := range conn.ends {
				setResetOnClose(c)
				_ = c.Close()
			}
		}
	}
}

// Cut holds back bytes from one place to another. The opposite direction is not
// affected.
func (l *Links) Cut(from, to string) { l.setCut(from, to, true) }

// Heal removes a cut; bytes that were held back are delivered.
func (l *Links) Heal(from, to string) { l.setCut(from, to, false) }

// Isolate cuts the links between a place and every other one in both directions.
func (l *Links) Isolate(place string) { l.setIsolated(place, true) }

// Rejoin heals the links between a place and every other one.
func (l *Links) Rejoin(place string) { l.setIsolated(place, false) }

func (l *Links) setCut(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]string{from, to}] = cut
}

func (l *Links) setIsolated(place string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	others := []string{storePlace}
	for _, p := range l.places {
		others = append(others, p)
	}
	for _, other := range others {
		if other != place {
			l.cuts[[2]string{place, other}] = cut
			l.cuts[[2]string{other, place}] = cut
		}
	}
}

// isCut reports whether bytes from one place to another are held back.
func (l *Links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[[2]string{from, to}]
}

// placeOf returns the place of an address, or "" if there is none. It first looks
// up the whole IP address and then ever shorter prefixes of its octets.
func (l *Links) placeOf(addr net.Addr) string {
	host, _, _ := net.SplitHostPort(addr.String())
	l.mu.Lock()
	defer l.mu.Unlock()
	for end := len(host); end > 0; end = strings.LastIndexByte(host[:end], '.') {
		if p, ok := l.places[host[:end]]; ok {
			return p
		}
	}
	return ""
}

// Forward listens on addr and relays connections to upstreamAddr, which is in
// place to. The place of a client is that of its IP address.
func (l *Links) Forward(addr, upstreamAddr, to string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errdefs.Internal.Wrap(err, "relay")
	}
	l.listeners = append(l.listeners, lis)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.relayConn(c, upstreamAddr, to)
		}
	}()
	return nil
}

// relayConn forwards one connection until both sides have closed it or one fails.
func (l *Links) relayConn(client net.Conn, upstreamAddr, to string) {
	defer func() { _ = client.Close() }()
	from := l.placeOf(client.RemoteAddr())
	if !l.waitUntilHealed(from, to) {
		return
	}
	upstream, err := net.Dial("tcp", upstreamAddr)
	if err != nil {
		setResetOnClose(client)
		return
	}
	defer func() { _ = upstream.Close() }()
	conn := &relayedConn{from: from, to: to, ends: [2]net.Conn{client, upstream}}
	l.mu.Lock()
	l.openConns[conn] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.openConns, conn)
	}()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyBytes(upstream, client, from, to) })
	wg.Go(func() { l.copyBytes(client, upstream, to, from) })
	wg.Wait()
}

// setResetOnClose makes Close send a TCP reset, as if the port had no listener.
func setResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// copyBytes copies from src to dst, with the delay of the link and while it is
// not cut.
func (l *Links) copyBytes(dst, src net.Conn, from, to string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l.applyDelay(from, to)
		if !l.waitUntilHealed(from, to) {
			break
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	setResetOnClose(dst)
	_ = dst.Close()
	_ = src.Close()
}

// applyDelay sleeps for the delay of the link.
func (l *Links) applyDelay(from, to string) {
	l.mu.Lock()
	d := l.delays[[2]string{from, to}]
	l.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitUntilHealed waits until the link is not cut. It returns false if Close is
// called first.
func (l *Links) waitUntilHealed(from, to string) bool {
	for l.isCut(from, to) {
		select {
		case <-time.After(cutPollInterval):
		case <-l.closed:
			return false
		}
	}
	return true
}

// Close closes every listener and ends the connections that wait for a cut link.
func (l *Links) Close() {
	close(l.closed)
	for _, lis := range l.listeners {
		_ = lis.Close()
	}
}
