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

	"siskingw/faults"
)

// ConnServer serves calls to an Outbound or Inbound. It reads with
// http.ReadRequest and answers on the goroutine of the connection. The server
// of net/http starts a goroutine for each request that watches the connection;
// with mostly idle processors, waking a thread for it was a third of the CPU
// time of a call (see docs/measurements-calls.md). Here one goroutine watches
// all connections. It speaks HTTP/1.0 and 1.1 without upgrades.
type ConnServer struct {
	handler http.Handler
	opts    ServerOptions

	mu       sync.Mutex
	hangups  *hangups
	listener net.Listener
	conns    map[*serverConn]struct{}
	closing  bool
	empty    chan struct{} // closed when the last connection ends after closing
}

// NewConnServer returns a server for calls.
func NewConnServer(handler http.Handler, opts ServerOptions) *ConnServer {
	return &ConnServer{
		handler: handler, opts: opts.withDefaults(),
		conns: make(map[*serverConn]struct{}), empty: make(chan struct{}),
	}
}

// limits returns the limits on callers that hold now.
func (s *ConnServer) limits() ServerLimits {
	if s.opts.Limits != nil {
		return s.opts.Limits().or(s.opts)
	}
	return ServerLimits{}.or(s.opts)
}

// Serve accepts connections until Shutdown or Close, and then returns
// http.ErrServerClosed.
func (s *ConnServer) Serve(l net.Listener) error {
	h, err := newHangups()
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
		if err != nil && s.acceptAgain(err) {
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		if err != nil {
			return s.acceptFailed(err)
		}
		delay = minAcceptDelay
		c := &serverConn{server: s, Conn: nc}
		if s.track(c) {
			go c.serve()
		}
	}
}

// Waiting times after a failed accept.
const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// acceptAgain reports whether accepting can succeed later: the process may be
// out of file descriptors for a while, or a caller may have given up.
func (s *ConnServer) acceptAgain(err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			s.opts.Log.Error(err, "accept failed, trying again")
			return true
		}
	}
	return false
}

func (s *ConnServer) acceptFailed(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return http.ErrServerClosed
	}
	return faults.Internal.Wrap(err, "accept")
}

// track adds a connection; it closes it and reports false while closing.
func (s *ConnServer) track(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		c.Close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// untrack removes a connection that has ended.
func (s *ConnServer) untrack(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkEmpty()
}

// checkEmpty reports the end of the last connection. The server is locked.
func (s *ConnServer) checkEmpty() {
	if s.closing && len(s.conns) == 0 && s.empty != nil {
		close(s.empty)
		s.empty = nil
		if s.hangups != nil {
			s.hangups.close()
		}
	}
}

// Shutdown stops accepting, closes idle connections and waits for the calls in
// flight. It returns a Timeout error when ctx ends first.
func (s *ConnServer) Shutdown(ctx context.Context) error {
	empty := s.stop(func(c *serverConn) bool { return !c.busy })
	if empty == nil {
		return nil
	}
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return faults.Timeout.Wrap(ctx.Err(), "calls are still in flight")
	}
}

// Close closes the listener and all connections at once.
func (s *ConnServer) Close() error {
	s.stop(func(*serverConn) bool { return true })
	return nil
}

// stop closes the listener and the connections for which f is true.
func (s *ConnServer) stop(f func(*serverConn) bool) (empty <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	empty = s.empty
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		if f(c) {
			c.Close()
		}
	}
	s.checkEmpty()
	return empty
}

// serverConn is a connection from a caller or from another node.
type serverConn struct {
	net.Conn
	server *ConnServer
	busy   bool // a request is being read or served; guarded by the server's lock
	left   int  // bytes that may still be read of a request's header; -1 in the body
	br     *bufio.Reader
	w      answerWriter
	body   serverBody // of the current request
}

// Read bounds the bytes of a request's header.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.left < 0 {
		return c.Conn.Read(p)
	}
	if c.left == 0 {
		return 0, faults.Invalid.New("the request's header is too large")
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// setBusy marks the connection; it reports false when the server is closing.
func (c *serverConn) setBusy(busy bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.busy = busy
	return !c.server.closing
}

// serve serves requests until the connection ends.
func (c *serverConn) serve() {
	defer c.server.untrack(c)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), connKey{}, c.Conn))
	defer cancel()
	c.br = bufio.NewReaderSize(c, connBufferBytes)
	c.w = answerWriter{conn: c, bw: bufio.NewWriterSize(c.Conn, connBufferBytes), header: make(http.Header)}
	if c.server.opts.Pipeline > 1 {
		c.servePipeline(ctx, cancel)
		return
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		remove, err := c.server.hangups.add(sc, cancel)
		if err != nil {
			c.server.opts.Log.Error(err, "connection refused", "remote", c.RemoteAddr().String())
			return
		}
		defer remove()
	}
	for c.serveOne(ctx) {
	}
}

// serveOne reads and serves one request. It reports whether the connection can
// be used for another.
func (c *serverConn) serveOne(ctx context.Context) bool {
	limits := c.server.limits()
	c.left = limits.MaxHeaderBytes
	if c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) != nil {
		return false
	}
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	if !c.setBusy(true) {
		c.w.refuse(http.StatusServiceUnavailable)
		c.linger()
		return false
	}
	if buffered, _ := c.br.Peek(c.br.Buffered()); !bytes.Contains(buffered, headerEnd) {
		if c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) != nil {
			return false
		}
	}
	r, err := http.ReadRequest(c.br)
	if status := c.check(r, err); status != 0 {
		c.w.refuse(status)
		c.linger()
		return false
	}
	c.left = -1
	if c.SetWriteDeadline(time.Now().Add(stallTimeout)) != nil {
		return false
	}
	reuse := c.handle(r.WithContext(ctx))
	return c.setBusy(false) && reuse
}

// check returns the status to refuse a request with, or 0. It covers what
// http.ReadRequest leaves to its caller.
func (c *serverConn) check(r *http.Request, err error) int {
	switch {
	case err != nil && c.left == 0:
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

// handle runs the handler. It reports whether the exchange was complete.
func (c *serverConn) handle(r *http.Request) (reuse bool) {
	return c.run(&c.w, &c.body, r)
}

// run runs the handler with a writer and a body for this request. It reports
// whether the exchange was complete and the connection can be used again.
func (c *serverConn) run(w *answerWriter, body *serverBody, r *http.Request) (reuse bool) {
	defer func() {
		if p := recover(); p != nil {
			reuse = false
			if p != http.ErrAbortHandler {
				c.server.opts.Log.Error(faults.Internal.New("%v", p), "panic while serving a call", "remote", c.RemoteAddr().String())
			}
		}
	}()
	*body = serverBody{w: w, body: r.Body, eof: r.ContentLength == 0, expect: r.Header.Get("Expect") != "" && r.ProtoMinor > 0}
	if _, ok := r.Body.(*bufferedBody); ok {
		body.eof = true
	} else {
		r.Body = body
	}
	w.begin(r)
	c.server.handler.ServeHTTP(w, r)
	if !w.finish() {
		return false
	}
	w.complete = true
	if !body.eof {
		c.linger()
		return false
	}
	return !w.close && !r.Close
}

// linger lets the peer read an answer that came before the end of its request:
// closing with unread bytes would reset the connection.
func (c *serverConn) linger() {
	if tc, ok := c.Conn.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(drainWait))
		buf := copyBuffers.Get().(*copyBuffer)
		defer copyBuffers.Put(buf)
		for {
			if _, err := c.Conn.Read(buf[:]); err != nil {
				return
			}
		}
	}
}
