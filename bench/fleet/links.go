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

// cutPoll is the interval at which a blocked connection checks whether its link
// is healed.
const cutPoll = 10 * time.Millisecond

// Links emulates the network between processes: it relays their TCP connections
// and injects faults into the links between two places. A place is a failure
// domain, an instance or the store, and a link has one direction. A cut link
// holds bytes back, like a network that drops packets, and delivers them once
// it is healed. Links can also add a delay and reset connections. It is safe for
// concurrent use, except for Forward and Close.
type Links struct {
	mu     sync.Mutex
	places map[string]string // by the first octets of an address; the longest match applies
	cuts   map[[2]string]bool
	delays map[[2]string]time.Duration
	open   map[*link]bool
	closed chan struct{}
	lis    []net.Listener
}

// link is one relayed connection.
type link struct {
	from, to string
	ends     [2]net.Conn
}

// NewLinks returns Links without places, cuts or delays.
func NewLinks() *Links {
	return &Links{
		places: make(map[string]string), cuts: make(map[[2]string]bool),
		delays: make(map[[2]string]time.Duration), open: make(map[*link]bool),
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
	for k := range l.open {
		if k.from == place || k.to == place {
			for _, c := range k.ends {
				reset(c)
				_ = c.Close()
			}
		}
	}
}

// Cut holds back bytes from one place to another. The opposite direction is not
// affected.
func (l *Links) Cut(from, to string) { l.set(from, to, true) }

// Heal removes a cut; bytes that were held back are delivered.
func (l *Links) Heal(from, to string) { l.set(from, to, false) }

// Isolate cuts the links between a place and every other one in both directions.
func (l *Links) Isolate(place string) { l.isolate(place, true) }

// Rejoin heals the links between a place and every other one.
func (l *Links) Rejoin(place string) { l.isolate(place, false) }

func (l *Links) set(from, to string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[[2]string{from, to}] = cut
}

func (l *Links) isolate(place string, cut bool) {
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

// Forward listens on addr and relays connections to the address target, which
// is in place to. The source's place is that of its IP address.
func (l *Links) Forward(addr, target, to string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errdefs.Internal.Wrap(err, "listen for relay")
	}
	l.lis = append(l.lis, lis)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go l.relay(c, target, to)
		}
	}()
	return nil
}

// relay forwards one connection until both sides have closed it or one fails.
func (l *Links) relay(c net.Conn, target, to string) {
	defer func() { _ = c.Close() }()
	from := l.placeOf(c.RemoteAddr())
	if !l.waitHealed(from, to) {
		return
	}
	s, err := net.Dial("tcp", target)
	if err != nil {
		reset(c)
		return
	}
	defer func() { _ = s.Close() }()
	k := &link{from: from, to: to, ends: [2]net.Conn{c, s}}
	l.mu.Lock()
	l.open[k] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, k)
	}()
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(s, c, from, to) })
	wg.Go(func() { l.pump(c, s, to, from) })
	wg.Wait()
}

// reset makes Close send a TCP reset, as from a port without a listener.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// pump copies from src to dst, with the delay of the link and while it is not
// cut.
func (l *Links) pump(dst, src net.Conn, from, to string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l.wait(from, to)
		if !l.waitHealed(from, to) {
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
	reset(dst)
	_ = dst.Close()
	_ = src.Close()
}

// wait sleeps for the delay of the link.
func (l *Links) wait(from, to string) {
	l.mu.Lock()
	d := l.delays[[2]string{from, to}]
	l.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitHealed waits until the link is not cut. It returns false if Close is called
// first.
func (l *Links) waitHealed(from, to string) bool {
	for l.isCut(from, to) {
		select {
		case <-time.After(cutPoll):
		case <-l.closed:
			return false
		}
	}
	return true
}

// Close closes every listener and ends the connections that wait for a cut link.
func (l *Links) Close() {
	close(l.closed)
	for _, lis := range l.lis {
		_ = lis.Close()
	}
}
