package targetstub

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"siskingw/errdefs"
)

// Stub is one stand-in target.
type Stub struct {
	ledger ledger
	start  time.Time

	mu       sync.Mutex
	behavior Behavior
	inFlight int             // requests that hold a slot
	waiting  []chan struct{} // requests that wait for a slot, oldest first
	conns    int
	refused  int // connections closed because of the limit
	history  []sample
}

// sample is the state at one time, kept for the endpoints that lag.
type sample struct {
	at       time.Time
	load     float64
	draining bool
}

// New returns a stand-in with the given behavior.
func New(b Behavior) *Stub {
	return &Stub{behavior: b, start: time.Now(), ledger: ledger{entries: make(map[string]*Entry)}}
}

// Set changes the behavior.
func (s *Stub) Set(change func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behavior)
	s.sample()
	s.wake()
}

// Behavior returns the present behavior.
func (s *Stub) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// Entry returns what happened to the request with the given id.
func (s *Stub) Entry(id string) (Entry, bool) { return s.ledger.get(id) }

// Entries returns the totals and what happened to every request id.
func (s *Stub) Entries() (Entry, map[string]Entry) { return s.ledger.all() }

// acquire takes a slot, waiting for one unless the stand-in sheds load. It
// returns a Busy error when the request is shed and a Timeout error when ctx ends.
func (s *Stub) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight < s.behavior.Slots && len(s.waiting) == 0 {
		s.inFlight++
		s.sample()
		s.mu.Unlock()
		return nil
	}
	if s.behavior.Shed {
		s.mu.Unlock()
		return errdefs.Busy.New("no slot is free")
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.sample()
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		s.abandon(turn)
		return errdefs.Timeout.Wrap(ctx.Err(), "no slot became free")
	}
}

// abandon gives up a turn, or the slot if the turn has come.
func (s *Stub) abandon(turn chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.inFlight--
	s.wake()
}

// release gives a slot back.
func (s *Stub) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.wake()
	s.sample()
}

// wake gives free slots to waiting requests. The stand-in is locked.
func (s *Stub) wake() {
	for s.inFlight < s.behavior.Slots && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.inFlight++
	}
}

// workTime returns the time that a request spends in its slot.
func (s *Stub) workTime() time.Duration {
	b := s.Behavior()
	ms := b.WorkMs + b.JitterMs*rand.Float64()
	age := float64(time.Since(s.start)) / float64(time.Millisecond)
	if age < b.ColdStartMs {
		ms *= 1 + (max(b.ColdFactor, 1)-1)*(1-age/b.ColdStartMs)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Serve answers requests on l until ctx ends and then waits for those in flight,
// at most shutdownTime.
func (s *Stub) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(&limited{Listener: l, stub: s}) }()
	select {
	case err := <-failed:
		return errdefs.Internal.Wrap(err, "target stand-in stopped")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		srv.Close()
		return errdefs.Timeout.Wrap(err, "requests were still in flight")
	}
	return nil
}

const (
	headerTimeout = 10 * time.Second
	shutdownTime  = 10 * time.Second
)

// limited closes connections beyond the limit.
type limited struct {
	net.Listener
	stub *Stub
}

// Accept returns the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.stub.connected() {
			return &counted{Conn: c, stub: l.stub}, nil
		}
		c.Close()
	}
}

// connected counts a new connection and reports whether it is within the limit.
func (s *Stub) connected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.behavior.Connections; limit > 0 && s.conns >= limit {
		s.refused++
		return false
	}
	s.conns++
	return true
}

// counted is a connection that counts towards the limit until it is closed.
type counted struct {
	net.Conn
	stub *Stub
	once sync.Once
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(func() {
		c.stub.mu.Lock()
		c.stub.conns--
		c.stub.mu.Unlock()
	})
	return c.Conn.Close()
}
