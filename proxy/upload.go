package proxy

import (
	"io"
	"net/http"
	"time"

	"siskingw/errdefs"
)

const (
	// continueTimeout is how long to wait for the next hop's 100 Continue. After
	// it the body is sent anyway, because a server may not support the Expect
	// header (RFC 9110, section 10.1.1).
	continueTimeout = time.Second
	// uploadFinishTimeout is how long to wait for the end of the upload once the
	// response has arrived: the next hop can respond to the last byte before
	// the sending goroutine returns.
	uploadFinishTimeout = 5 * time.Millisecond
	// lingerTimeout is how long the rest of an unwanted request body is read and
	// discarded, so that the caller can read the refusal before the connection
	// is closed.
	lingerTimeout = 500 * time.Millisecond
)

// upload sends a request with a streamed or large body from a separate
// goroutine, so that an early response can be read while the body is still
// being sent. Either the whole body is sent, or the connection to the next hop
// is closed before the end of the body.
type upload struct {
	c         *call
	conn      *conn
	rc        *http.ResponseController
	continued chan struct{} // closed when 100 Continue has arrived
	canceled  chan struct{} // closed by cancel
	done      chan struct{} // closed when the goroutine has ended

	src           io.Reader // the body
	buffered      bool      // the body is in memory and can be sent again
	awaitContinue bool      // wait for 100 Continue first; used by the goroutine only
	extendedAt    time.Time // when the deadlines were last extended
	bytesRead     int64     // bytes of the body
	eof           bool
	readErr       error // error of reading the caller's body before cancel
	sendErr       error // error of sending the request; valid after done is closed
}

// startUpload sends the request c.outReq on the connection.
func startUpload(c *call, cn *conn, expect bool) *upload {
	u := &upload{
		c: c, conn: cn, rc: http.NewResponseController(c.w),
		continued: make(chan struct{}), canceled: make(chan struct{}), done: make(chan struct{}),
		src: c.r.Body, buffered: c.body.buffered, awaitContinue: expect,
	}
	if u.buffered {
		u.src = c.body.src
	}
	_ = u.rc.EnableFullDuplex() // fails only on httptest.ResponseRecorder
	c.outReq.Body = u
	go u.run()
	return u
}

func (u *upload) run() {
	defer close(u.done)
	if u.sendErr = u.c.outReq.Write(u.conn.bw); u.sendErr == nil {
		u.sendErr = u.conn.bw.Flush()
	}
	if u.readErr != nil {
		u.conn.abort() // neither side must wait: the next hop for the rest, this node for a response
	}
}

// Read reads the caller's body, after 100 Continue if that is awaited.
func (u *upload) Read(p []byte) (int, error) {
	if err := u.waitContinue(); err != nil {
		return 0, err
	}
	if u.buffered {
		return u.src.Read(p)
	}
	u.c.body.consumed.Store(true)
	if now := time.Now(); now.Sub(u.extendedAt) > deadlineExtendInterval {
		u.extendedAt = now
		_ = u.rc.SetReadDeadline(now.Add(stallTimeout))
		_ = u.conn.SetWriteDeadline(earlier(u.c.deadline, now.Add(stallTimeout)))
	}
	n, err := u.src.Read(p)
	u.bytesRead += int64(n)
	if limit := u.c.maxBodyBytes; limit > 0 && u.bytesRead > limit {
		err = errdefs.Invalid.New("the body is larger than %d bytes", limit)
	}
	switch {
	case err == io.EOF:
		if !u.eof {
			u.eof = true
			_ = u.rc.SetReadDeadline(time.Time{})
		}
	case err != nil && !u.isCanceled():
		u.readErr = err
	}
	return n, err
}

// isCanceled reports whether the node has given up the upload. The deadline that cancel
// sets on the caller's connection then ends reading its body.
func (u *upload) isCanceled() bool {
	select {
	case <-u.canceled:
		return true
	default:
		return false
	}
}

// Close does nothing: the server closes the caller's body.
func (u *upload) Close() error { return nil }

// waitContinue blocks until the body may be sent. It returns a Stopped error
// when the upload is canceled.
func (u *upload) waitContinue() error {
	if u.isCanceled() {
		return errdefs.Stopped.New("upload canceled")
	}
	if !u.awaitContinue {
		return nil
	}
	t := time.NewTimer(continueTimeout)
	defer t.Stop()
	select {
	case <-u.canceled:
		return errdefs.Stopped.New("upload canceled")
	case <-u.continued:
	case <-t.C:
	}
	u.awaitContinue = false
	return nil
}

// finished reports whether the whole request was sent, waiting up to
// uploadFinishTimeout for the goroutine to return.
func (u *upload) finished() bool {
	select {
	case <-u.done:
		return u.sendErr == nil
	default:
	}
	t := time.NewTimer(uploadFinishTimeout)
	defer t.Stop()
	select {
	case <-u.done:
		return u.sendErr == nil
	case <-t.C:
		return false
	}
}

// cancel aborts the upload and waits for its goroutine. The caller's connection
// can be reused only if no byte of the body was read. Further calls do nothing. It must
// not be called concurrently.
func (u *upload) cancel() {
	if u.isCanceled() {
		return
	}
	close(u.canceled)
	u.conn.abort()
	tick := time.NewTicker(uploadFinishTimeout)
	defer tick.Stop()
	for {
		select {
		case <-u.done:
			return
		case <-tick.C:
		}
		if u.c.body.consumed.Load() {
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
