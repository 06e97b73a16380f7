package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/faults"
)

// maxInterimAnswers bounds the 1xx answers to one request.
const maxInterimAnswers = 8

// exchange is one request and its answer on a pooled connection.
type exchange struct {
	pool       *Pool
	expect     bool // a streamed body waits for 100 Continue
	conn       *conn
	resp       *http.Response
	upload     *upload     // nil unless the body is streamed
	stop       func() bool // ends the watch for cancellation; false when it was too late
	callerGone bool        // the caller's connection failed
	prefix     []byte      // part of the answer's body that was read already
}

// start sends the request and reads the header of the answer. A refusal ends
// the exchange; otherwise the caller must end it with finish.
func (x *exchange) start(ctx context.Context, c *call, addr string) *refusal {
	if err := ctx.Err(); err != nil {
		f := notRun("the caller is gone", err)
		f.callerFault = true
		return f
	}
	cn, err := x.pool.get(ctx, addr, c.deadline)
	if err != nil {
		f := notRun("the next hop does not take the call", err)
		f.unreachable = errorx.IsOfType(err, faults.PeerUnavailable)
		return f
	}
	x.conn = cn
	if err := cn.begin(c.deadline); err != nil {
		x.pool.discard(cn)
		return notRun("the next hop does not take the call", err)
	}
	if c.body.streamed {
		x.stop = context.AfterFunc(ctx, cn.abort)
	}
	if err := x.send(c); err != nil {
		return x.fail("the request was not sent in full", err)
	}
	if x.stop == nil {
		// The next hop works meanwhile; a buffered request is sent without waiting.
		x.stop = context.AfterFunc(ctx, cn.abort)
	}
	sentAt := time.Now()
	resp, err := x.receive(c)
	c.waited += time.Since(sentAt)
	if err != nil {
		return x.fail("no answer", err)
	}
	x.resp, c.status = resp, resp.StatusCode
	return nil
}

// fail ends the exchange without an answer.
func (x *exchange) fail(reason string, err error) *refusal {
	u, cn := x.upload, x.conn
	if u != nil {
		u.cancel()
		x.upload = nil
	}
	sent := cn.sent
	x.finish(false)
	if u != nil && u.source != nil {
		reason, err = "the body did not arrive in full", u.source
	}
	f := unknown(reason, err)
	if sent == 0 {
		f = notRun(reason, err)
	}
	f.callerFault = u != nil && u.source != nil
	return f
}

// send writes the whole request, or starts the upload that does.
//
//siskingw:step send
func (x *exchange) send(c *call) error {
	if c.body.streamed {
		if x.expect {
			c.header["Expect"] = expectContinue
		}
		x.upload = startUpload(c, x.conn, x.expect)
		return nil
	}
	if err := c.out.Write(x.conn.bw); err != nil {
		return err
	}
	return x.conn.bw.Flush()
}

// receive reads answers until a final one.
func (x *exchange) receive(c *call) (*http.Response, error) {
	for range maxInterimAnswers {
		x.conn.headLeft = maxAnswerHeaderBytes
		resp, err := http.ReadResponse(x.conn.br, &c.out)
		x.conn.headLeft = -1
		if err != nil {
			return nil, err
		}
		switch code := resp.StatusCode; {
		case code == http.StatusContinue:
			x.proceed()
		case code == http.StatusSwitchingProtocols || code < http.StatusContinue:
			return nil, faults.OutcomeUnknown.New("answer with status %d", code)
		case code < http.StatusOK:
			c.interim(resp)
		default:
			return resp, checkFraming(c.r.Method, resp)
		}
	}
	return nil, faults.OutcomeUnknown.New("more than %d interim answers", maxInterimAnswers)
}

// proceed lets a streamed body move that waits for 100 Continue.
func (x *exchange) proceed() {
	if x.expect && x.upload != nil {
		x.expect = false
		close(x.upload.proceed)
	}
}

// checkFraming refuses an answer whose end only the end of the connection
// marks: a cut answer would look complete.
func checkFraming(method string, resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead ||
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return nil
	}
	return faults.OutcomeUnknown.New("answer with neither a length nor chunked encoding")
}

// complete reports whether nothing of the request is left to send.
func (x *exchange) complete() bool { return x.upload == nil || x.upload.ended() }

// finish ends the exchange. The connection is used again only when the
// exchange was complete in both directions and nothing was left over.
func (x *exchange) finish(complete bool) {
	if x.conn == nil {
		return
	}
	if x.upload != nil && !x.complete() {
		complete = false
		x.upload.cancel()
		x.upload = nil
	}
	watched := x.stop == nil || x.stop()
	if complete && watched && !x.resp.Close && x.conn.br.Buffered() == 0 {
		x.pool.put(x.conn)
	} else {
		x.pool.discard(x.conn)
	}
	x.conn = nil
}

// isTimeout reports whether err is a deadline that passed.
func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
