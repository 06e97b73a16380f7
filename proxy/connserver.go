package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/net/http/httpguts"

	"siskingw/budget"
	"siskingw/errdefs"
)

// ConnServer is the HTTP server of an Outbound or Inbound. It speaks HTTP/1.0
// and 1.1 without upgrades, parses requests with http.ReadRequest and runs the
// handler on the goroutine of the connection unless requests are pipelined.
//
// The server of net/http detects a closed connection with one more goroutine
// for each request. On mostly idle processors, waking a thread for it took a
// third of the CPU time of a call (see docs/measurements-calls.md). ConnServer
// watches all connections with one goroutine instead.
type ConnServer struct {
	handler http.Handler
	opts    ServerOptions

	mu        sync.Mutex
	hangups   *hangupWatcher
	listener  net.Listener
	conns     map[*serverConn]struct{}
	closing   bool
	allClosed chan struct{} // closed when closing is set and no connection is left; then nil
}

// NewConnServer returns a server that passes requests to handler.
func NewConnServer(handler http.Handler, opts ServerOptions) *ConnServer {
	return &ConnServer{
		handler: handler, opts: opts.withDefaults(),
		conns: make(map[*serverConn]struct{}), allClosed: make(chan struct{}),
	}
}

// limits returns the current limits on requests.
func (s *ConnServer) limits() ServerLimits {
	if s.opts.Limits != nil {
		return s.opts.Limits().withDefaults(s.opts)
	}
	return ServerLimits{}.withDefaults(s.opts)
}

// Serve accepts connections until Shutdown or Close is called, and then returns
// http.ErrServerClosed. It returns an Internal error when it cannot accept
// connections.
func (s *ConnServer) Serve(l net.Listener) error {
	h, err := newHangupWatcher()
	if err != nil {
		return err
	}
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		l.Close()
		h.close()
		return http.ErrServerClosed
	}
	s.listener, s.hangups = l, h
	s.mu.Unlock()
	for delay := minAcceptDelay; ; {
		nc, err := l.Accept()
		if err != nil && s.retryAccept(err) {
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		if err != nil {
			return s.acceptError(err)
		}
		delay = minAcceptDelay
		c := &serverConn{server: s, Conn: nc}
		if s.track(c) {
			go c.serve()
		} else {
			s.opts.Bodies.Budget.EvictStalled()
		}
	}
}

// Bounds of the exponential backoff after a failed accept.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// retryAccept logs a temporary accept error and reports whether err is one: the
// process may be out of file descriptors for a while, or a client may have
// aborted its connection.
func (s *ConnServer) retryAccept(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			s.opts.Log.Error(err, "accept failed, retrying")
			return true
		}
	}
	return false
}

func (s *ConnServer) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return http.ErrServerClosed
	}
	return errdefs.Internal.Wrap(err, "accept")
}

// track registers a new connection. If the server is closing, it closes the
// connection and returns false.
func (s *ConnServer) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		c.Close()
		return false
	}
	if !s.opts.Conns.add() && !s.makeRoom(c) {
		s.opts.Conns.remove()
		c.Close()
		return false
	}
	c.idleSince = time.Now()
	s.conns[c] = struct{}{}
	return true
}

// untrack removes a closed connection.
func (s *ConnServer) untrack(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, tracked := s.conns[c]; tracked { // not closed by makeRoom
		delete(s.conns, c)
		s.opts.Conns.remove()
	}
	s.signalAllClosed()
}

// signalAllClosed closes s.allClosed once the server is closing and no
// connection is left. The caller holds s.mu.
func (s *ConnServer) signalAllClosed() {
	if s.closing && len(s.conns) == 0 && s.allClosed != nil {
		close(s.allClosed)
		s.allClosed = nil
		if s.hangups != nil {
			s.hangups.close()
		}
	}
}

// Shutdown closes the listener and idle connections, and waits for the calls in
// flight. It returns a Timeout error when ctx is done first.
func (s *ConnServer) Shutdown(ctx context.Context) error {
	allClosed := s.stop(func(c *serverConn) bool { return !c.busy })
	if allClosed == nil {
		return nil
	}
	select {
	case <-allClosed:
		return nil
	case <-ctx.Done():
		return errdefs.Timeout.Wrap(ctx.Err(), "calls are still in flight")
	}
}

// Close closes the listener and all connections at once.
func (s *ConnServer) Close() error {
	s.stop(func(*serverConn) bool { return true })
	return nil
}

// stop closes the listener and the connections for which shouldClose is true.
// The returned channel is closed when no connection is left; it is nil if an
// earlier call has already closed it.
func (s *ConnServer) stop(shouldClose func(*serverConn) bool) (allClosed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	allClosed = s.allClosed
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		if shouldClose(c) {
			c.Close()
		}
	}
	s.signalAllClosed()
	return allClosed
}

// serverConn is a server-side connection from a caller or another node.
type serverConn struct {
	net.Conn
	server          *ConnServer
	busy            bool      // a request is being read or served; guarded by server.mu
	readingHeader   bool      // no request is served, and a header is being read; guarded by server.mu
	idleSince       time.Time // when it became idle or began to read a header; guarded by server.mu
	headerBytesLeft int       // bytes that may still be read of a request header; -1 in the body
	br              *bufio.Reader
	owner           string // IP address of the client
	w               responseWriter
	body            requestBody // of the current request
}

// Read implements io.Reader and enforces the limit on the header size.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.headerBytesLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headerBytesLeft == 0 {
		return 0, errdefs.Invalid.New("request header is too large")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerBytesLeft)])
	c.headerBytesLeft -= n
	return n, err
}

// setBusy marks the connection as busy or idle. It returns false when the
// server is closing.
func (c *serverConn) setBusy(busy bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.busy, c.readingHeader, c.idleSince = busy, busy, time.Now()
	return !c.server.closing
}

// headerRead states that the request header was read.
func (c *serverConn) headerRead() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readingHeader = false
}

// serve serves requests until the connection ends.
func (c *serverConn) serve() {
	defer c.server.untrack(c)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), connKey{}, c.Conn))
	defer cancel()
	c.br = bufio.NewReaderSize(c, connBufferBytes)
	c.w = responseWriter{conn: c, bw: bufio.NewWriterSize(c.Conn, connBufferBytes), header: make(http.Header)}
	if c.server.opts.MaxPipelined > 1 {
		c.servePipeline(ctx, cancel)
		return
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		remove, err := c.server.hangups.watch(sc, cancel)
		if err != nil {
			c.server.opts.Log.Error(err, "cannot watch connection for hangup, closing it", "remote", c.RemoteAddr().String())
			return
		}
		defer remove()
	}
	for c.serveOne(ctx) {
	}
}

// serveOne reads and serves one request. It reports whether the connection can
// be reused.
func (c *serverConn) serveOne(ctx context.Context) bool {
	limits := c.server.limits()
	c.headerBytesLeft = limits.MaxHeaderBytes
	if c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
		return false
	}
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	if !c.setBusy(true) {
		c.w.reject(http.StatusServiceUnavailable)
		c.lingerBeforeClose()
		return false
	}
	if buffered, _ := c.br.Peek(c.br.Buffered()); !bytes.Contains(buffered, headerEnd) {
		if c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
			return false
		}
	}
	r, err := http.ReadRequest(c.br)
	if status := c.rejectStatus(r, err); status != 0 {
		c.w.reject(status)
		c.lingerBeforeClose()
		return false
	}
	c.headerBytesLeft = -1
	c.headerRead()
	if c.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
		return false
	}
	reuse := c.serveRequest(r.WithContext(ctx))
	return c.setBusy(false) && reuse
}

// rejectStatus returns the status with which to reject a request, or 0 to
// accept it. It covers what http.ReadRequest leaves to its caller.
func (c *serverConn) rejectStatus(r *http.Request, err error) int {
	switch {
	case err != nil && c.headerBytesLeft == 0:
		return http.StatusRequestHeaderFieldsTooLarge
	case err != nil:
		return http.StatusBadRequest
	case r.ProtoMajor != 1:
		return http.StatusHTTPVersionNotSupported
	case !httpguts.ValidHostHeader(r.Host):
		return http.StatusBadRequest
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	if v := r.Header["Expect"]; len(v) > 0 && v[0] != "" && !strings.EqualFold(v[0], expectContinue[0]) {
		return http.StatusExpectationFailed
	}
	return 0
}

var headerEnd = []byte("\r\n\r\n")

// serveRequest runs the handler for a request that is not pipelined. It reports
// whether the connection can be reused.
func (c *serverConn) serveRequest(r *http.Request) (reuse bool) {
	c.w.hold = c.openHold()
	defer c.w.hold.Close()
	if !c.w.hold.Grow(headerBytes(r)) {
		c.w.reject(http.StatusServiceUnavailable)
		c.lingerBeforeClose()
		return false
	}
	return c.runHandler(&c.w, &c.body, r)
}

// runHandler runs the handler with the given writer and body, and recovers its
// panics. It reports whether the exchange was complete and the connection can
// be reused.
func (c *serverConn) runHandler(w *responseWriter, body *requestBody, r *http.Request) (reuse bool) {
	defer func() {
		if p := recover(); p != nil {
			reuse = false
			if p != http.ErrAbortHandler {
				c.server.opts.Log.Error(errdefs.Internal.New("%v", p), "panic while serving a call",
					"remote", c.RemoteAddr().String())
			}
		}
	}()
	*body = requestBody{w: w, body: &meteredBody{r.Body, w.hold}, eof: r.ContentLength == 0,
		sendContinue: r.Header.Get("Expect") != "" && r.ProtoMinor > 0}
	if b, ok := r.Body.(begunRequestBody); ok {
		body.begun = b.size
	}
	if _, ok := r.Body.(*bufferedBody); ok {
		body.eof = true
	} else {
		r.Body = body
	}
	w.reset(r)
	c.server.handler.ServeHTTP(w, r)
	if !w.finish() {
		return false
	}
	w.complete = true
	if !body.eof {
		c.lingerBeforeClose()
		return false
	}
	return !w.closeAfter && !r.Close
}

// openHold returns what counts the memory of a request; nil without a budget. A client
// that is evicted meets a connection that is not read or written any longer.
func (c *serverConn) openHold() *budget.Hold {
	if c.owner == "" {
		c.owner, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // empty for an address without a port
	}
	return c.server.opts.Bodies.Budget.Open(c.owner, func(d budget.Direction) {
		if d == budget.Send {
			_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
			return
		}
		_ = c.SetReadDeadline(time.Unix(1, 0))
	})
}

const (
	// callBytes is the memory counted for each request besides its header and body.
	callBytes = 2 << 10
	// headerFieldBytes is the memory counted for a header field besides its name and
	// value: its entries in the two headers of a call.
	headerFieldBytes = 200
)

// headerBytes returns the memory, in bytes, counted for a request without its body.
func headerBytes(r *http.Request) int {
	n := callBytes + 2*len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += headerFieldBytes + len(name) + len(v)
		}
	}
	return n
}

// lingerBeforeClose closes the sending side and discards what the peer still
// sends, so that the peer can read a response that was sent before the end of
// its request: closing a connection with unread bytes would reset it.
func (c *serverConn) lingerBeforeClose() {
	if tc, ok := c.Conn.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		buf := bodyBlocks.Get().(*bodyBlock)
		defer bodyBlocks.Put(buf)
		for {
			if _, err := c.Conn.Read(buf[:]); err != nil {
				return
			}
		}
	}
}
