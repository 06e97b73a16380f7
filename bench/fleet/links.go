package fleet

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"siskingw/errdefs"
)

// storePlace is the place of the store in cuts.
const storePlace = "store"

// cutPoll is how often a held connection looks whether its link is healed.
const cutPoll = 10 * time.Millisecond

// Links forwards the connections between processes and can cut the links
// between two places, which are failure domains, instances or the store. A cut
// link holds its bytes back, as a network that drops packets does, and delivers
// them after it is healed. Links can also be slow, and lose connections.
type Links struct {
	mu     sync.Mutex
	places map[string]string // place by the first octets of an address, the longest match counts
	cuts   map[[2]string]bool
	delays map[[2]string]time.Duration
	open   map[*link]bool
	closed chan struct{}
	lis    []net.Listener
}

// link is one forwarded connection.
type link struct {
	from, to string
	ends     [2]net.Conn
}

// NewLinks returns links without places.
func NewLinks() *Links {
	return &Links{
		places: make(map[string]string), cuts: make(map[[2]string]bool),
		delays: make(map[[2]string]time.Duration), open: make(map[*link]bool),
		closed: make(chan struct{}),
	}
}

// Place names the place of the addresses that begin with the given octets.
func (l *Links) Place(octets, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places[octets] = name
}

// Delay makes what is sent from one place to another wait; 0 ends that.
func (l *Links) Delay(from, to string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays[[2]string{from, to}] = d
}

// Reset resets every open connection of a place.
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

// Cut holds back what is sent from one place to another, one way.
func (l *Links) Cut(from, to string) { l.set(from, to, true) }

// Heal ends a cut.
func (l *Links) Heal(from, to string) { l.set(from, to, false) }

// Isolate cuts a place off from every other one, both ways; Rejoin ends it.
func (l *Links) Isolate(place string) { l.isolate(place, true) }

// Rejoin ends Isolate.
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

// placeOf returns the place of an address by its first three octets.
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

// Forward listens on addr and forwards to the process at target in place to.
func (l *Links) Forward(addr, target, to string) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return errdefs.Internal.Wrap(err, "relay")
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

// relay forwards one connection until either side closes it.
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

// reset closes c so that its peer sees a reset, as from a port without listener.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// pump copies from src to dst while the link is not cut.
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

// wait delays what is sent.
func (l *Links) wait(from, to string) {
	l.mu.Lock()
	d := l.delays[[2]string{from, to}]
	l.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitHealed waits until the link is not cut; false when the relay is closed.
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

// Close ends every listener.
func (l *Links) Close() {
	close(l.closed)
	for _, lis := range l.lis {
		_ = lis.Close()
	}
}
