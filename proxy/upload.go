package proxy

import (
	"io"
	"net/http"
	"time"

	"siskingw/faults"
)

const (
	// continueWait is how long a streamed body waits for the next hop's
	// 100 Continue. A hop that does not know the header gets the body then
	// (RFC 9110, section 10.1.1).
	continueWait = time.Second
	// uploadGrace is how long an answer waits for the end of the upload. The
	// next hop can answer the last byte before the sending goroutine returns.
	uploadGrace = 5 * time.Millisecond
	// drainWait bounds the reading of an unwanted body, so that the caller
	// can read the refusal before the connection is closed.
	drainWait = 500 * time.Millisecond
)

// upload sends a streamed request from a goroutine of its own, so that an
// early answer is read while the body is still moving. The body arrives in
// full or the next hop's connection is closed before its end.
type upload struct {
	c       *call
	conn    *conn
	rc      *http.ResponseController
	proceed chan struct{} // closed when the body may be sent
	stopped chan struct{} // closed when the body is not wanted any more
	done    chan struct{} // closed when the goroutine has ended

	src     io.Reader // the body
	held    bool      // the body is in memory and can be sent again
	waiting bool      // for proceed; used by the goroutine only
	armed   time.Time
	read    int64
	eof     bool
	source  error // failure to read the caller's body
	err     error // first failure; valid after done
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
	_ = u.rc.EnableFullDuplex() // fails only on a recorder in tests
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
		u.conn.abort() // the next hop must not wait for the rest, nor we for an answer
	}
}

// Read reads the caller's body for the next hop, once it may be sent.
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

// wait blocks until the body may be sent.
func (u *upload) wait() error {
	select {
	case <-u.stopped:
		return faults.Stopped.New("the body is not wanted")
	default:
	}
	if !u.waiting {
		return nil
	}
	t := time.NewTimer(continueWait)
	defer t.Stop()
	select {
	case <-u.stopped:
		return faults.Stopped.New("the body is not wanted")
	case <-u.proceed:
	case <-t.C:
	}
	u.waiting = false
	return nil
}

// ended reports whether the whole request was sent, waiting up to uploadGrace.
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

// cancel ends the upload and waits for its goroutine. The caller's connection
// stays usable only when no byte of the body was read.
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
			// Repeated, because the goroutine may extend the deadline once more.
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
