package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/errdefs"
)

// pipeline serves the pipelined requests of one connection concurrently and
// sends the responses in request order. The goroutine of the connection reads
// ahead, and so also detects that the caller disconnects while calls are in
// flight.
type pipeline struct {
	conn   *serverConn
	ctx    context.Context
	cancel context.CancelFunc // cancels the calls in flight
	slots  chan struct{}      // semaphore: one element for each request in flight

	mu        sync.Mutex
	inFlight  int
	closing   bool // the connection is closed after a response
	passedOn  int  // number of the last request that a handler got, from 1
	streaming int  // number of the request whose response is sent before it is complete; 0 for none
}

// servePipeline serves requests until the connection is closed.
func (c *serverConn) servePipeline(ctx context.Context, cancel context.CancelFunc) {
	p := &pipeline{conn: c, ctx: ctx, cancel: cancel, slots: make(chan struct{}, c.server.opts.MaxPipelined)}
	previousDone := make(chan struct{})
	close(previousDone)
	for number := 1; ; number++ {
		responseDone, more := p.readOne(number, previousDone)
		if !more {
			break
		}
		previousDone = responseDone
	}
	p.cancel()
	for range cap(p.slots) {
		p.slots <- struct{}{} // wait for the handlers: each holds a slot until it has ended
	}
}

// readOne reads the request with the number and starts to serve it. previousDone is closed
// when the previous response has been sent, responseDone when the response to
// this request has. more is false when no further request can be read.
func (p *pipeline) readOne(number int, previousDone chan struct{}) (responseDone chan struct{}, more bool) {
	c := p.conn
	limits := c.server.limits()
	c.headerBytesLeft = limits.MaxHeaderBytes
	p.setIdleDeadline(limits.IdleTimeout)
	if _, err := c.br.Peek(1); err != nil {
		return nil, false
	}
	p.slots <- struct{}{}
	if !p.beginRequest() {
		<-p.slots
		<-previousDone
		if !p.isClosing() {
			c.w.reject(http.StatusServiceUnavailable)
			c.lingerBeforeClose()
		}
		return nil, false
	}
	if buffered, _ := c.br.Peek(c.br.Buffered()); !bytes.Contains(buffered, headerEnd) {
		_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // fails only on a closed connection
	}
	r, err := http.ReadRequest(c.br)
	if status := c.rejectStatus(r, err); status != 0 {
		<-previousDone
		c.w.reject(status)
		c.lingerBeforeClose()
		p.endRequest(limits.IdleTimeout)
		return nil, false
	}
	c.headerBytesLeft = -1
	c.headerRead()
	hold := c.openHold()
	if !hold.Grow(headerBytes(r)) {
		hold.Close()
		<-previousDone
		c.w.reject(http.StatusServiceUnavailable)
		c.lingerBeforeClose()
		p.endRequest(limits.IdleTimeout)
		return nil, false
	}
	w := &responseWriter{conn: c, bw: c.w.bw, header: make(http.Header), previousDone: previousDone, hold: hold,
		pipeline: p, number: number}
	if err := p.bufferBody(w, r); err != nil {
		hold.Close()
		p.rejectSlowBody(err, previousDone)
		p.endRequest(limits.IdleTimeout)
		return nil, false
	}
	r = r.WithContext(p.ctx)
	done := make(chan struct{})
	if r.Body != http.NoBody {
		if _, ok := r.Body.(*bufferedBody); !ok { // the next request can be read only after this body
			<-previousDone
			if !p.passOn(number, previousDone) {
				p.dropRequest(w, r)
				return nil, false
			}
			p.serve(w, r, done)
			return done, !p.isClosing()
		}
	}
	_ = c.SetReadDeadline(time.Time{})
	if !p.passOn(number, previousDone) {
		p.dropRequest(w, r)
		return nil, false
	}
	go p.serve(w, r, done)
	return done, true
}

// passOn blocks while the previous response is sent before it is complete: when it
// breaks off, the connection is closed, and a request that was passed on would get no
// response. It returns false when the connection is closed.
func (p *pipeline) passOn(number int, previousDone <-chan struct{}) bool {
	p.mu.Lock()
	streaming := p.streaming != 0
	p.passedOn = number
	p.mu.Unlock()
	if streaming {
		<-previousDone
	}
	return !p.isClosing()
}

// dropRequest forgets a request that was not passed on and gets no response.
func (p *pipeline) dropRequest(w *responseWriter, r *http.Request) {
	if read, ok := r.Body.(*bufferedBody); ok {
		read.content.release()
	}
	w.hold.Close()
	p.endRequest(p.conn.server.limits().IdleTimeout)
}

// beginStream reports whether the response with the number may be sent before it is
// complete, which is so while no later request has been passed on. From then on none
// is until the response has ended. With force, it may in any case.
func (p *pipeline) beginStream(number int, force bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passedOn > number && !force {
		return false
	}
	p.streaming = max(p.streaming, number)
	return true
}

// endStream records that the response with the number has ended.
func (p *pipeline) endStream(number int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streaming == number {
		p.streaming = 0
	}
}

// bufferedBody is a request body that the server has buffered.
type bufferedBody struct {
	bufferReader
	content bodyBuffer
}

// begunRequestBody is a request body of which the server has buffered a part.
type begunRequestBody struct {
	io.ReadCloser
	size int // bytes of the part
}

// bufferBody buffers the request body if the options allow it and there is memory for
// it, and leaves another one to be streamed. It returns an error when the body could not
// be read.
func (p *pipeline) bufferBody(w *responseWriter, r *http.Request) error {
	limit := p.conn.server.opts.Bodies.MaxBuffered
	switch {
	case r.Body == http.NoBody || r.ContentLength == 0:
		r.Body = http.NoBody
		return nil
	case r.ContentLength > limit || r.ContentLength < 0 && !p.conn.server.opts.Bodies.BufferUnsized:
		return nil
	case r.Header.Get("Expect") != "":
		return nil // 100 Continue must be sent in order, by the handler's first read
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(stallTimeout)) // fails only on a closed connection
	b := &bufferedBody{content: bodyBuffer{hold: w.hold}}
	complete, err := b.content.readFrom(&meteredBody{r.Body, w.hold}, int(limit))
	if err != nil {
		b.content.release()
		return err
	}
	if !complete {
		r.Body = begunRequestBody{begunBody(&b.content, r.Body), b.content.size}
		return nil
	}
	b.buffer = &b.content
	r.Body, r.ContentLength, r.TransferEncoding = b, int64(b.content.size), nil
	return nil
}

// rejectSlowBody answers a request whose body did not arrive in time, after the
// responses to earlier requests. A client that has closed its connection gets no answer.
func (p *pipeline) rejectSlowBody(err error, previousDone <-chan struct{}) {
	if !isTimeout(err) && !errorx.IsOfType(err, errdefs.Timeout) {
		return
	}
	<-previousDone
	if !p.isClosing() {
		p.conn.w.reject(http.StatusRequestTimeout)
		p.conn.lingerBeforeClose()
	}
}

// serve runs the handler, and closes the connection after the response if it
// cannot be reused.
func (p *pipeline) serve(w *responseWriter, r *http.Request, done chan struct{}) {
	c := p.conn
	_ = c.SetWriteDeadline(time.Now().Add(stallTimeout)) // fails only on a closed connection
	body := r.Body
	reuse := c.runHandler(w, new(requestBody), r)
	if read, ok := body.(*bufferedBody); ok {
		read.content.release()
	}
	w.hold.Close()
	if !reuse {
		p.mu.Lock()
		p.closing = true
		p.mu.Unlock()
		p.cancel()
		w.waitForPrevious() // earlier responses must be sent in full
		c.closeAfterResponse(w)
	}
	p.endStream(w.number)
	p.endRequest(c.server.limits().IdleTimeout)
	close(done)
}

// setIdleDeadline sets the read deadline: idle from now while no request is in
// flight, otherwise none.
func (p *pipeline) setIdleDeadline(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	deadline := time.Time{}
	if p.inFlight == 0 {
		deadline = time.Now().Add(idle)
	}
	_ = p.conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// beginRequest counts a request as in flight. It returns false when the server
// or the connection is closing.
func (p *pipeline) beginRequest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight++
	if p.inFlight == 1 && !p.conn.setBusy(true) || p.closing {
		p.inFlight--
		return false
	}
	return true
}

// endRequest counts a request as finished and releases its slot. After the last
// one in flight, the connection is closed if it stays idle for longer than idle.
func (p *pipeline) endRequest(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	<-p.slots
	p.inFlight--
	if p.inFlight > 0 {
		return
	}
	if !p.conn.setBusy(false) {
		_ = p.conn.SetReadDeadline(time.Now()) // the server is closing: unblock the reader
		return
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(idle))
}

func (p *pipeline) isClosing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

// closeAfterResponse closes the connection after its last response.
func (c *serverConn) closeAfterResponse(w *responseWriter) {
	if w.complete {
		c.lingerBeforeClose()
	}
	c.Close()
}
