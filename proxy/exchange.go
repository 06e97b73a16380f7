package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/net/http/httpguts"

	"siskingw/errdefs"
)

// backgroundBodyBytes is the size above which a buffered body is sent by a
// separate goroutine: a body that does not fit into the socket buffers could
// otherwise block the exchange with a target that responds before it has read
// the whole body.
const backgroundBodyBytes = 16 << 10

// expectContinueBytes is the size above which a buffered body is sent with
// Expect: 100-continue between nodes: a refusal by the target's node then costs
// a round trip instead of the transfer of the body.
const expectContinueBytes = 64 << 10

// maxResponsesPerRequest bounds the responses that are read for one request,
// including interim (1xx) responses and those to other calls.
const maxResponsesPerRequest = 8

// Range of the valid status codes (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// exchange is one request and its response on a pooled connection.
type exchange struct {
	pool           *Pool
	ctx            context.Context // done when the caller disconnects or the node stops
	awaitContinue  bool            // the body is sent only after 100 Continue
	conn           *conn
	resp           *http.Response
	upload         *upload                            // nil unless a separate goroutine sends the request
	stopWatch      func() bool                        // stops watching ctx; false when ctx has already closed conn
	callerGone     bool                               // writing to the caller's connection failed
	bodyPrefix     bodyBuffer                         // part of the response body that was read already
	bodyComplete   bool                               // bodyPrefix is the whole response body
	classify       func(*http.Response) responseClass // classifies the response of a target; nil between nodes
	closeDelimited bool                               // a response may be delimited by closing the connection
}

// responseClass is the class of a response by the call that it belongs to.
type responseClass int

const (
	responseToCall        responseClass = iota // it is the response to this call
	responseToOtherCall                        // it belongs to another call: discard it and read the next one
	responseNotFromTarget                      // it does not come from the target: the call's response is lost
)

// start sends the request and reads the response header. If it returns a
// refusal, the exchange has ended; otherwise it must be ended with finish.
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
		f.unreachable = errorx.IsOfType(err, errdefs.PeerUnavailable)
		return f
	}
	x.conn = cn
	if err := cn.beginExchange(c.deadline); err != nil {
		x.pool.discard(cn)
		return notRun(causeUnsent, "the next hop does not take the call", err)
	}
	if c.body.streamed {
		x.stopWatch = context.AfterFunc(ctx, cn.abort)
	}
	if err := x.send(c); err != nil {
		return x.fail(causeAnswerLost, "the request was not sent in full", err)
	}
	if x.stopWatch == nil {
		// A buffered request is sent without blocking, so the watch is set up
		// while the next hop processes the request.
		x.stopWatch = context.AfterFunc(ctx, cn.abort)
	}
	sentAt := time.Now()
	resp, err := x.readResponse(c)
	c.upstreamWait += time.Since(sentAt)
	if err != nil {
		return x.fail(causeAnswerLost, "no answer", err)
	}
	x.resp, c.status = resp, resp.StatusCode
	return nil
}

// fail ends the exchange without a response and returns the refusal for the
// caller.
func (x *exchange) fail(why cause, reason string, err error) *refusal {
	u, cn := x.upload, x.conn
	if u != nil {
		u.cancel()
		x.upload = nil
	}
	sent := cn.sentBytes
	x.finish(false)
	silent := errors.Is(err, syscall.ETIMEDOUT)
	if silent {
		x.pool.CloseIdle(cn.addr) // its other connections get no acknowledgements either
	}
	if u != nil && u.readErr != nil {
		reason, err, why = "the body did not arrive in full", u.readErr, causeBody
	}
	if x.ctx != nil && x.ctx.Err() != nil { // this node closed the connection
		why, reason, err = causeCallerGone, "the caller left before it was answered", nil
		if errorx.IsOfType(context.Cause(x.ctx), errdefs.Stopped) {
			why, reason = causeStopping, "the node ends its calls before it is killed"
		}
	}
	f := mayHaveRun(why, reason, err)
	if sent == 0 {
		f = notRun(causeUnsent, reason, err)
	}
	f.callerFault = u != nil && u.readErr != nil
	f.unreachable = silent && !f.callerFault
	return f
}

// send writes the whole request, or starts an upload that does.
//
//siskingw:step send
func (x *exchange) send(c *call) error {
	if size := c.body.bufferedBytes(); size > backgroundBodyBytes {
		x.awaitContinue = x.awaitContinue && size > expectContinueBytes
		if x.awaitContinue {
			c.outHeader["Expect"] = expectContinue
		}
		x.upload = startUpload(c, x.conn, x.awaitContinue)
		return nil
	}
	if c.body.streamed {
		if x.awaitContinue {
			c.outHeader["Expect"] = expectContinue
		}
		x.upload = startUpload(c, x.conn, x.awaitContinue)
		return nil
	}
	if err := c.outReq.Write(x.conn.bw); err != nil {
		return err
	}
	return x.conn.bw.Flush()
}

// readResponse reads responses until the final one to this call. It returns an
// OutcomeUnknown error for responses that break the protocol.
func (x *exchange) readResponse(c *call) (*http.Response, error) {
	for range maxResponsesPerRequest {
		resp, err := x.conn.readHeader(&c.outReq)
		if err != nil {
			return nil, err
		}
		switch code := resp.StatusCode; {
		case resp.ProtoMajor != 1 || code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols:
			return nil, errdefs.OutcomeUnknown.New("answer of %s with status %d", resp.Proto, code)
		case code == http.StatusContinue:
			x.startBody()
		case code < http.StatusOK:
			c.forwardInterim(resp)
		default:
			if endsWithConnection(c.r.Method, resp) {
				if !x.closeDelimited {
					return nil, errdefs.OutcomeUnknown.New("answer with neither a length nor chunked encoding")
				}
				resp.Body = &closeDelimitedBody{resp.Body, x}
			}
			if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
				resp.Body = &chunkedBody{resp.Body, resp}
			}
			if x.classify == nil {
				return resp, nil
			}
			switch x.classify(resp) {
			case responseToCall:
				return resp, nil
			case responseNotFromTarget:
				return nil, errdefs.OutcomeUnknown.New("status %d is no answer of the target", code)
			}
			if err := discardBody(resp); err != nil {
				return nil, err
			}
		}
	}
	return nil, errdefs.OutcomeUnknown.New("more than %d answers without the one to this call", maxResponsesPerRequest)
}

// maxSkippedBodyBytes bounds the body, in bytes, of a response to another call.
const maxSkippedBodyBytes = 256 << 10

// discardBody discards the body of a response to another call. It returns an
// OutcomeUnknown error when no further response can be read.
func discardBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err == nil && (n > maxSkippedBodyBytes || resp.Close) {
		err = errdefs.OutcomeUnknown.New("an answer to another call ends the connection")
	}
	return err
}

// ResponseOptions selects the responses that are buffered until they are
// complete.
type ResponseOptions struct {
	// BufferBytes is the size in bytes up to which a response body is buffered
	// before the first byte is forwarded to the caller. A response that is cut
	// off within it does not reach the caller, and the call may be retried.
	// Default 0: responses are not buffered.
	BufferBytes int
}

// maxHeldBytes is the size up to which a response is held while requests behind it on
// a pipelined connection have been passed on. A longer one is streamed, and when it
// breaks off, those requests get no response.
const maxHeldBytes = 4 << 20

// bufferResponse buffers the response body up to limit bytes, or as far as there is
// memory for it. It goes on up to maxHeldBytes while requests behind it on a pipelined
// connection have been passed on: they get a response also if this one breaks off. If
// it returns a refusal, the exchange has ended.
func (x *exchange) bufferResponse(c *call, limit int) *refusal {
	if c.r.Method == http.MethodHead || x.resp.Body == http.NoBody || limit == 0 && mayStream(c.w, false) {
		return nil
	}
	x.bodyPrefix.hold = holdOf(c.w)
	complete, err := x.bodyPrefix.readFrom(x.resp.Body, limit)
	for err == nil && !complete && !mayStream(c.w, x.bodyPrefix.size >= maxHeldBytes) {
		before := x.bodyPrefix.size
		limit = min(before+len(bodyBlock{}), maxHeldBytes)
		if complete, err = x.bodyPrefix.readFrom(x.resp.Body, limit); err == nil && !complete && x.bodyPrefix.size == before {
			mayStream(c.w, true) // there is no memory for more
			break
		}
	}
	if err != nil {
		x.bodyPrefix.release()
		return x.fail(causeAnswerCut, "the answer broke off", err)
	}
	x.bodyComplete = complete
	return nil
}

// responseBytes returns the size of the response body as far as it is known.
func (x *exchange) responseBytes() int64 {
	return max(x.resp.ContentLength, int64(x.bodyPrefix.size))
}

// startBody starts the transfer of a body that waits for 100 Continue.
func (x *exchange) startBody() {
	if x.awaitContinue && x.upload != nil {
		x.awaitContinue = false
		close(x.upload.continued)
	}
}

// endsWithConnection reports whether the body of the response is delimited only by
// closing the connection.
func endsWithConnection(method string, resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead &&
		resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

// closeDelimitedBody is a response body that is delimited only by closing the
// connection.
type closeDelimitedBody struct {
	io.ReadCloser
	x *exchange
}

// Read implements io.Reader. It returns an OutcomeUnknown error instead of io.EOF when
// the connection broke: the response may be truncated.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := b.x.sendFailure(); failure != nil {
		err = errdefs.OutcomeUnknown.Wrap(failure, "the connection broke during the answer")
	}
	return n, err
}

// chunkedBody is the body of a response with chunked encoding.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. It returns an OutcomeUnknown error instead of io.EOF when
// the trailer has a malformed field name, which net/http accepts.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.resp.Trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			err = errdefs.OutcomeUnknown.New("the trailer of the answer has a field %q", name)
		}
	}
	return n, err
}

// sendFailure returns the error of the connection that sending the request met, or nil.
// It cancels an upload that is not finished, which could still meet one.
func (x *exchange) sendFailure() error {
	if x.upload == nil || x.upload.finished() {
		return nil
	}
	x.upload.cancel()
	return x.conn.sendFailure()
}

// requestSent reports whether the whole request was sent.
func (x *exchange) requestSent() bool { return x.upload == nil || x.upload.finished() }

// finish ends the exchange. The connection returns to the pool only when
// request and response were complete and no further bytes have arrived;
// otherwise it is closed.
func (x *exchange) finish(complete bool) {
	if x.conn == nil {
		return
	}
	if x.upload != nil && !x.requestSent() {
		complete = false
		x.upload.cancel()
		x.upload = nil
	}
	notCanceled := x.stopWatch == nil || x.stopWatch()
	if complete && notCanceled && !x.resp.Close && x.conn.br.Buffered() == 0 {
		x.pool.put(x.conn)
	} else {
		x.pool.discard(x.conn)
	}
	x.conn = nil
}

// isTimeout reports whether err says that a deadline has passed.
func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
