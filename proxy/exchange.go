package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"siskingw/faults"
)

// maxInterimAnswers bounds the 1xx answers to one request.
const maxInterimAnswers = 8

// exchange is one request and its answer on a pooled connection.
type exchange struct {
	pool *Pool
	conn *conn
	resp *http.Response
	stop func() bool // ends the watch for cancellation; false when it was too late
}

// start sends the request and reads the header of the answer. A refusal ends
// the exchange; otherwise the caller must end it with finish.
func (x *exchange) start(ctx context.Context, c *call, addr string) *refusal {
	cn, err := x.pool.get(ctx, addr, c.deadline)
	if err != nil {
		return notRun("the next hop does not take the call", err)
	}
	x.conn = cn
	if err := cn.begin(c.deadline); err != nil {
		x.pool.discard(cn)
		return notRun("the next hop does not take the call", err)
	}
	x.stop = context.AfterFunc(ctx, cn.abort)
	if err := x.send(c); err != nil {
		sent := cn.sent
		x.finish(false)
		if sent == 0 {
			return notRun("no byte of the request was sent", err)
		}
		return unknown("the request was not sent in full", err)
	}
	sentAt := time.Now()
	resp, err := x.receive(c)
	c.waited += time.Since(sentAt)
	if err != nil {
		x.finish(false)
		return unknown("no answer", err)
	}
	x.resp = resp
	return nil
}

// send writes the whole request.
func (x *exchange) send(c *call) error {
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
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, faults.OutcomeUnknown.New("more than %d interim answers", maxInterimAnswers)
}

// finish ends the exchange. The connection is used again only when the
// exchange was complete in both directions and nothing was left over.
func (x *exchange) finish(complete bool) {
	if x.conn == nil {
		return
	}
	watched := x.stop()
	if complete && watched && !x.resp.Close && x.conn.br.Buffered() == 0 {
		x.pool.put(x.conn)
	} else {
		x.pool.discard(x.conn)
	}
	x.conn = nil
}

var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// relayBody copies the answer's body to the caller. It returns nil only when
// the body was complete and the caller took all of it.
func (x *exchange) relayBody(w http.ResponseWriter) error {
	if x.resp.Body == http.NoBody || x.resp.ContentLength == 0 {
		return nil
	}
	buf := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := x.resp.Body.Read(buf[:])
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// isTimeout reports whether err is a deadline that passed.
func isTimeout(err error) bool {
	if err == nil {
		return false
	}
	var ne net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &ne) && ne.Timeout()
}
