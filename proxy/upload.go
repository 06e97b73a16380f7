package proxy

import (
	"io"
	"net/http"
	"time"

	"siskingw/faults"
)

const (
	// continueWait is how long to wait for the next hop's 100 Continue. After
	// it the body is sent anyway, because a server may not support the Expect
	// header (RFC 9110, section 10.1.1).
	continueWait = time.Second
	// uploadGrace is how long to wait for the end of the upload once the
	// response has arrived: the next hop can respond to the last byte before
	// the sending goroutine returns.
	uploadGrace = 5 * time.Millisecond
	// drainWait is how long the rest of an unwanted request body is read and
	// discarded, so that the caller can read the refusal before the connection
	// is closed.
	drainWait = 500 * time.Millisecond
)

// upload sends a request with a streamed or large body from a separate
// goroutine, so that an early response can be read while the body is still being
// sent. Either the whole body is sent, or the connection to the next hop is
// closed before the end of the body.
type upload struct {
	c       *call
	conn    *conn
	rc      *http.ResponseController
	proceed chan struct{} // closed when 100 Continue has arrived
	stopped chan struct{} // closed when the upload is canceled
	done    chan struct{} // closed when the goroutine has ended

	src     io.Reader // the body
	held    bool      // the body is in memory and can be sent again
	waiting bool      // for 100 Continue; used by the goroutine only
	armed   time.Time // when the deadlines were last extended
	read    int64     // bytes of the body
	eof     bool
	source  error // error of reading the caller's body
	err     error // error of sending the request; valid after done is closed
}

// startUpload sends the request c.out on the connection.
func startUpload(c *call, cn *conn, expect bool) *upload {
	u := &upload{
		c: c, conn: cn, rc: http.NewResponseController(c.w),
		proceed: make(chan struct{}), stopped: make(chan struct{}), done: make(chan struct{}),
		src: c.r.Body, held: c.body.buffered, waiting: expect,
	}
	if u.held {
		u.src = c.body.reader
	}
	_ = u.rc.EnableFullDuplex() // fails only on httptest.ResponseRecorder
	c.out.Body = u
	go u.run()
	return u
}

func (u *upload) run() {
	defer close(u.done)
	if u.err = u.c.out.Write(u.conn.bw); u.err == nil {
		u.err = u.conn.bw.Flush()
	}
	if u.source != nil {
		u.conn.abort() // neither side must wait: the next hop for the rest, this node for a response
	}
}

// Read reads the caller's body, after 100 Continue if that is awaited.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.wait(); err != nil {
		return 0, err
	}
	if u.held {
		return u.src.Read(p)
	}
	u.c.body.touched.Store(true)
	if now := time.Now(); now.Sub(u.armed) > rearmInterval {
		u.armed = now
		_ = u.rc.SetReadDeadline(now.Add(stallTimeout))
		_ = u.conn.SetWriteDeadline(earlier(u.c.deadline, now.Add(stallTimeout)))
	}
	n, err := u.src.Read(p)
	u.read += int64(n)
	if limit := u.c.maxBody; limit > 0 && u.read > limit {
		err = faults.Invalid.New("the body is larger than %d bytes", limit)
	}
	switch {
	case err == io.EOF:
		if !u.eof {
			u.eof = true
			_ = u.rc.SetReadDeadline(time.Time{})
		}
	case err != nil:
		u.source = err
	}
	return n, err
}

// Close does nothing: the server closes the caller's body.
func (u *upload) Close() error { return nil }

// wait blocks until the body may be sent. It returns a Stopped error when the
// upload is canceled.
func (u *upload) wait() error {
	select {
	case <-u.stopped:
		return faults.Stopped.New("upload canceled")
	default:
	}
	if !u.waiting {
		return nil
	}
	t := time.NewTimer(continueWait)
	defer t.Stop()
	select {
	case <-u.stopped:
		return faults.Stopped.New("upload canceled")
	case <-u.proceed:
	case <-t.C:
	}
	u.waiting = false
	return nil
}

// ended reports whether the whole request was sent, waiting up to uploadGrace
// for the goroutine to return.
func (u *upload) ended() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	t := time.NewTimer(uploadGrace)
	defer t.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-t.C:
		return false
	}
}

// cancel aborts the upload and waits for its goroutine. The caller's connection
// can be reused only if no byte of the body was read.
func (u *upload) cancel() {
	close(u.stopped)
	u.conn.abort()
	tick := time.NewTicker(uploadGrace)
	defer tick.Stop()
	for {
		select {
		case <-u.done:
			return
		case <-tick.C:
		}
		if u.c.body.touched.Load() {
			// Set again on each tick, because the goroutine may extend the
			// deadline once more.
			_ = u.rc.SetReadDeadline(time.Now())
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
