package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"siskingw/faults"
)

// backgroundBody is the size from which a body in memory is sent by a goroutine
// of its own: a target may answer, and read on later, before it has taken a
// body that does not fit into the buffers of the connection.
const backgroundBody = 16 << 10

// askFirstBody is the size from which a node waits for the target's node to ask
// for a body in memory: a refusal then costs a round trip instead of the body.
const askFirstBody = 64 << 10

// maxInterimAnswers bounds the 1xx answers to one request.
const maxInterimAnswers = 8

// exchange is one request and its answer on a pooled connection.
type exchange struct {
	pool       *Pool
	ctx        context.Context // ends when the caller leaves or the node stops
	expect     bool            // a streamed body waits for 100 Continue
	conn       *conn
	resp       *http.Response
	upload     *upload                      // nil unless the body is streamed
	stop       func() bool                  // ends the watch for cancellation; false when it was too late
	callerGone bool                         // the caller's connection failed
	prefix     []byte                       // part of the answer's body that was read already
	whole      bool                         // prefix is the whole body
	judge      func(*http.Response) verdict // reads what a target's answer states; nil between nodes
	openEnded  bool                         // an answer may end with its connection
}

// verdict is what becomes of an answer.
type verdict int

const (
	verdictTake verdict = iota // it answers the call
	verdictSkip                // it answers another call; the right one follows
	verdictLost                // it is no answer, and none can follow
)

// start sends the request and reads the header of the answer. A refusal ends
// the exchange; otherwise the caller must end it with finish.
func (x *exchange) start(ctx context.Context, c *call, addr string) *refusal {
	x.ctx = ctx
	if err := ctx.Err(); err != nil {
		f := notRun(causeCallerGone, "the caller is gone", err)
		f.callerFault = true
		return f
	}
	cn, err := x.pool.get(ctx, addr, c.deadline)
	if err != nil {
		f := notRun(causeUnreachable, "the next hop does not take the call", err)
		f.unreachable = errorx.IsOfType(err, faults.PeerUnavailable)
		return f
	}
	x.conn = cn
	if err := cn.begin(c.deadline); err != nil {
		x.pool.discard(cn)
		return notRun(causeUnsent, "the next hop does not take the call", err)
	}
	if c.body.streamed {
		x.stop = context.AfterFunc(ctx, cn.abort)
	}
	if err := x.send(c); err != nil {
		return x.fail(causeLost, "the request was not sent in full", err)
	}
	if x.stop == nil {
		// The next hop works meanwhile; a buffered request is sent without waiting.
		x.stop = context.AfterFunc(ctx, cn.abort)
	}
	sentAt := time.Now()
	resp, err := x.receive(c)
	c.waited += time.Since(sentAt)
	if err != nil {
		return x.fail(causeLost, "no answer", err)
	}
	x.resp, c.status = resp, resp.StatusCode
	return nil
}

// fail ends the exchange without an answer.
func (x *exchange) fail(why cause, reason string, err error) *refusal {
	u, cn := x.upload, x.conn
	if u != nil {
		u.cancel()
		x.upload = nil
	}
	sent := cn.sent
	x.finish(false)
	silent := errors.Is(err, syscall.ETIMEDOUT)
	if silent {
		x.pool.Forget(cn.addr) // the other connections to it are as silent
	}
	if u != nil && u.source != nil {
		reason, err, why = "the body did not arrive in full", u.source, causeBody
	}
	if x.ctx != nil && x.ctx.Err() != nil { // the connection was closed on this side
		why, reason, err = causeCallerGone, "the caller left before it was answered", nil
		if errorx.IsOfType(context.Cause(x.ctx), faults.Stopped) {
			why, reason = causeStopping, "the node ends its calls before it is killed"
		}
	}
	f := unknown(why, reason, err)
	if sent == 0 {
		f = notRun(causeUnsent, reason, err)
	}
	f.callerFault = u != nil && u.source != nil
	f.unreachable = silent && !f.callerFault
	return f
}

// send writes the whole request, or starts the upload that does.
//
//siskingw:step send
func (x *exchange) send(c *call) error {
	if len(c.body.buf) > backgroundBody && c.body.buffered {
		x.expect = x.expect && len(c.body.buf) > askFirstBody
		if x.expect {
			c.header["Expect"] = expectContinue
		}
		x.upload = startUpload(c, x.conn, x.expect)
		return nil
	}
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
			if !x.openEnded {
				if err := checkFraming(c.r.Method, resp); err != nil {
					return nil, err
				}
			}
			if x.judge == nil {
				return resp, nil
			}
			switch x.judge(resp) {
			case verdictTake:
				return resp, nil
			case verdictLost:
				return nil, faults.OutcomeUnknown.New("status %d is no answer of the target", code)
			}
			if err := skipBody(resp); err != nil {
				return nil, err
			}
		}
	}
	return nil, faults.OutcomeUnknown.New("more than %d answers without the one to this call", maxInterimAnswers)
}

// maxSkippedBody bounds the body of an answer to another call.
const maxSkippedBody = 256 << 10

// skipBody reads the body of an answer that belongs to another call.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1))
	if err == nil && (n > maxSkippedBody || resp.Close) {
		err = faults.OutcomeUnknown.New("an answer to another call ends the connection")
	}
	return err
}

// AnswerOptions says which answers are held until they are complete.
type AnswerOptions struct {
	// HoldBytes is the size up to which an answer's body is read before the
	// caller gets its first byte. One that breaks off within it does not reach
	// the caller, and the call may be sent again. Default 0 holds none.
	HoldBytes int
}

// hold reads the answer's body up to the limit. A refusal ends the exchange.
func (x *exchange) hold(c *call, limit int) *refusal {
	if limit == 0 || c.r.Method == http.MethodHead || x.resp.Body == http.NoBody {
		return nil
	}
	size := int64(bytes.MinRead)
	if n := x.resp.ContentLength; n > 0 {
		size += min(n, int64(limit))
	}
	buf := bytes.NewBuffer(make([]byte, 0, size))
	_, err := buf.ReadFrom(io.LimitReader(x.resp.Body, int64(limit)+1))
	if err != nil {
		return x.fail(causeCut, "the answer broke off", err)
	}
	x.prefix = buf.Bytes()
	x.whole = len(x.prefix) <= limit
	return nil
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
