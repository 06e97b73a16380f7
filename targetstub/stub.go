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

// Stub simulates one target.
type Stub struct {
	ledger    ledger
	startTime time.Time

	mu           sync.Mutex
	behavior     Behavior
	inFlight     int             // requests that hold a slot
	waiting      []chan struct{} // requests that wait for a slot, oldest first
	openConns    int
	refusedConns int // connections closed because of the limit
	history      []sample
}

// sample is the state at one time, stored so that the health and load endpoints
// can report outdated state.
type sample struct {
	at       time.Time
	load     float64
	draining bool
}

// New returns a stub with the given behavior.
func New(b Behavior) *Stub {
	return &Stub{behavior: b, startTime: time.Now(), ledger: ledger{entries: make(map[string]*Entry)}}
}

// Set calls change to modify the behavior. It takes effect immediately, also for
// waiting requests.
func (s *Stub) Set(change func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behavior)
	s.recordSample()
	s.grantSlots()
}

// Behavior returns the current behavior.
func (s *Stub) Behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

// Entry returns the counts for a request id, and false if the id is unknown.
func (s *Stub) Entry(id string) (Entry, bool) { return s.ledger.get(id) }

// Entries returns the counts over all requests and those for each request id.
func (s *Stub) Entries() (Entry, map[string]Entry) { return s.ledger.all() }

// acquire takes a slot, waiting for one unless the stub sheds load. It returns a
// Busy error if the request is shed and a Timeout error if ctx ends first.
func (s *Stub) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight < s.behavior.Slots && len(s.waiting) == 0 {
		s.inFlight++
		s.recordSample()
		s.mu.Unlock()
		return nil
	}
	if s.behavior.Shed {
		s.mu.Unlock()
		return errdefs.Busy.New("no slot is free")
	}
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.recordSample()
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.abandon(granted)
		return errdefs.Timeout.Wrap(ctx.Err(), "no slot became free")
	}
}

// abandon removes a waiting request from the queue, or releases its slot if it has
// been granted one in the meantime.
func (s *Stub) abandon(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.inFlight--
	s.grantSlots()
}

// release frees a slot.
func (s *Stub) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.grantSlots()
	s.recordSample()
}

// grantSlots grants free slots to waiting requests, oldest first. The caller must
// hold s.mu.
func (s *Stub) grantSlots() {
	for s.inFlight < s.behavior.Slots && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.inFlight++
	}
}

// workTime returns the time that a request spends in its slot, with jitter and the
// cold start factor.
func (s *Stub) workTime() time.Duration {
	b := s.Behavior()
	ms := b.WorkMs + b.JitterMs*rand.Float64()
	age := float64(time.Since(s.startTime)) / float64(time.Millisecond)
	if age < b.ColdStartMs {
		ms *= 1 + (max(b.ColdFactor, 1)-1)*(1-age/b.ColdStartMs)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Serve serves requests on l until ctx ends and then waits up to shutdownTimeout
// for those in flight. It returns a Timeout error if some are still in flight then,
// and an Internal error if serving fails.
func (s *Stub) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(&limitedListener{Listener: l, stub: s}) }()
	select {
	case err := <-failed:
		return errdefs.Internal.Wrap(err, "target stub stopped")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		srv.Close()
		return errdefs.Timeout.Wrap(err, "requests were still in flight")
	}
	return nil
}

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 10 * time.Second
)

// limitedListener closes new connections beyond the stub's limit.
type limitedListener struct {
	net.Listener
	stub *Stub
}

// Accept returns the next connection that is within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.stub.admitConn() {
			return &countedConn{Conn: c, stub: l.stub}, nil
		}
		c.Close()
	}
}

// admitConn reports whether a new connection is within the limit, and counts it as
// open or as refused.
func (s *Stub) admitConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := s.behavior.Connections; limit > 0 && s.openConns >= limit {
		s.refusedConns++
		return false
	}
	s.openConns++
	return true
}

// countedConn is a connection that counts against the limit until it is closed.
type countedConn struct {
	net.Conn
	stub *Stub
	once sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.stub.mu.Lock()
		c.stub.openConns--
		c.stub.mu.Unlock()
	})
	return c.Conn.Close()
}
