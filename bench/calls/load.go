package calls

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskingw/errdefs"
)

const (
	requestBodyBytes = 200 // size of the request body
	maxLatency       = 10 * time.Second
	callTimeout      = 5 * time.Second
	maxIdleConns     = 256 // connections of each path
	maxReasonBytes   = 1 << 10
)

// path is a chain of hops to the target under measurement, with its client
// connections and results.
type path struct {
	name      string
	addr      string // of the first hop
	request   []byte // encoded HTTP request
	idleConns chan *clientConn

	mu           sync.Mutex
	latency      *hdrhistogram.Histogram // in ns
	roundLatency *hdrhistogram.Histogram // the same, of the current round
	errors       atomic.Int64            // failed calls
	firstError   atomic.Pointer[error]   // of the first failed call
}

// clientConn is a client connection with its read buffer.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newPath(name, addr string) *path {
	p := &path{name: name, addr: addr, idleConns: make(chan *clientConn, maxIdleConns)}
	p.request = fmt.Appendf(nil, "POST /bids HTTP/1.1\r\nHost: %s\r\nUser-Agent: bench\r\nAccept: */*\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		measuredService, requestBodyBytes, make([]byte, requestBodyBytes))
	p.reset()
	return p
}

// reset discards the results.
func (p *path) reset() {
	p.latency = hdrhistogram.New(1000, maxLatency.Nanoseconds(), 3)
	p.roundLatency = hdrhistogram.New(1000, maxLatency.Nanoseconds(), 3)
	p.errors.Store(0)
	p.firstError.Store(nil)
}

// call makes one call and records its latency. The client writes and reads in one
// goroutine, to add as little latency as possible to each path.
func (p *path) call() {
	start, err := p.exchange()
	d := time.Since(start)
	if err != nil {
		p.errors.Add(1)
		p.firstError.CompareAndSwap(nil, &err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.latency.RecordValue(d.Nanoseconds()) // callTimeout is below maxLatency
	_ = p.roundLatency.RecordValue(d.Nanoseconds())
}

// exchange makes one call on an idle or new connection. start is the time after
// connecting.
func (p *path) exchange() (start time.Time, err error) {
	var c *clientConn
	select {
	case c = <-p.idleConns:
	default:
		nc, err := net.Dial("tcp", p.addr)
		if err != nil {
			return start, errdefs.PeerUnavailable.Wrap(err, "dial")
		}
		c = &clientConn{nc, bufio.NewReader(nc)}
	}
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	start = time.Now()
	if err := c.roundTrip(p.request); err != nil {
		c.Close()
		return start, err
	}
	select {
	case p.idleConns <- c:
	default:
		c.Close()
	}
	return start, nil
}

func (c *clientConn) roundTrip(request []byte) error {
	if _, err := c.Write(request); err != nil {
		return errdefs.OutcomeUnknown.Wrap(err, "write")
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return errdefs.OutcomeUnknown.Wrap(err, "read")
	}
	if resp.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes)) // the status alone is an error
		return errdefs.OutcomeUnknown.New("response has status %d: %s", resp.StatusCode, reason)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != responseBodyBytes {
		return errdefs.OutcomeUnknown.New("response has a body of %d bytes", n)
	}
	return nil
}

// openLoop starts calls on every path at the rate, in calls/s, independently of
// the completion of earlier calls. The calls of the paths are spaced evenly over
// the interval, in a new random order each time. It returns the number of calls
// that it made on each path.
func openLoop(paths []*path, rate float64, d time.Duration) int {
	interval := time.Duration(float64(time.Second) / rate)
	phase := interval / time.Duration(len(paths))
	var wg sync.WaitGroup
	begin := time.Now()
	n := int(d / interval)
	for i := range n {
		for j, k := range rand.Perm(len(paths)) {
			at := begin.Add(time.Duration(i)*interval + time.Duration(j)*phase)
			time.Sleep(time.Until(at))
			wg.Go(paths[k].call)
		}
	}
	wg.Wait()
	return n
}

// closedLoop keeps inFlight calls in flight for the duration d and returns the
// rate of successful calls per second.
func closedLoop(p *path, inFlight int, d time.Duration) float64 {
	var wg sync.WaitGroup
	begin := time.Now()
	for range inFlight {
		wg.Go(func() {
			for time.Since(begin) < d {
				p.call()
			}
		})
	}
	wg.Wait()
	return float64(p.latency.TotalCount()) / time.Since(begin).Seconds()
}
