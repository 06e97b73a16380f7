package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskingw/platform/standin"
)

// A crowd is a number of clients that send bodies at the same time. One in
// finishEvery finishes its body, the others stop one byte or chunk short of its end
// and keep the connection open.
const (
	crowdSize   = 96
	finishEvery = 8
)

// Sizes of the bodies in bytes. All are legal: the limit is largestBody.
const (
	bufferedBody = 4 << 20 // the largest that a node buffers to be able to repeat a call
	streamedBody = 12 << 20
	tinyBody     = 1 << 20 // in chunks of one byte, each of six bytes on the wire
	largestBody  = 64 << 20
)

// body writes a body of size bytes; it leaves out the end unless finish is set.
type body struct {
	size    func(member int) int
	chunked bool
	write   func(w io.Writer, size int, finish bool) error
}

// sizes alternates between bodies that a node buffers and larger ones.
func sizes(member int) int {
	if member%4 == 3 {
		return streamedBody
	}
	return bufferedBody
}

func fixed(size int) func(int) int { return func(int) int { return size } }

// writeLargeChunks sends chunks of 256 KiB.
func writeLargeChunks(w io.Writer, size int, finish bool) error {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", 256<<10, bytes.Repeat([]byte("x"), 256<<10))
	return writeChunks(w, chunk, size/(256<<10), finish)
}

// writeTinyChunks sends chunks of one byte, in writes of 4096 chunks.
func writeTinyChunks(w io.Writer, size int, finish bool) error {
	return writeChunks(w, bytes.Repeat([]byte("1\r\nx\r\n"), 4096), size/4096, finish)
}

func writeChunks(w io.Writer, chunks []byte, times int, finish bool) error {
	for range times {
		if _, err := w.Write(chunks); err != nil {
			return err
		}
	}
	if !finish {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

// writeWhole sends the whole body at once.
func writeWhole(w io.Writer, size int, _ bool) error {
	_, err := w.Write(make([]byte, size))
	return err
}

// writePieces sends pieces of 16 KiB, the last of them one byte short.
func writePieces(w io.Writer, size int, finish bool) error {
	piece := make([]byte, 16<<10)
	if !finish {
		size--
	}
	for size > 0 {
		n, err := w.Write(piece[:min(size, len(piece))])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// crowd is a number of clients with open connections.
type crowd struct {
	mu      sync.Mutex
	conns   []net.Conn
	writers atomic.Int64 // clients that have not finished
	written atomic.Int64 // bytes
}

// countingWriter counts the bytes that the clients could send.
type countingWriter struct {
	net.Conn
	written *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.written.Add(int64(n))
	return n, err
}

// start starts the clients of a crowd against an address.
func start(t *testing.T, addr string, b body) *crowd {
	return startN(t, addr, crowdSize, func(w io.Writer, member int) error { return send(w, member, b) })
}

// startN starts n clients that send a request each.
func startN(t *testing.T, addr string, n int, send func(w io.Writer, member int) error) *crowd {
	c := &crowd{}
	t.Cleanup(c.close)
	for n := range n {
		c.writers.Add(1)
		go func() {
			defer c.writers.Add(-1)
			conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
			if err != nil {
				return // refused
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = send(countingWriter{conn, &c.written}, n) // the node may close the connection
		}()
	}
	return c
}

// send sends the request of one client.
func send(w io.Writer, member int, b body) error {
	size := b.size(member)
	h := make(http.Header)
	standin.SetAttemptHeaders(h, fmt.Sprintf("crowd-%d", member), 30*time.Second)
	if b.chunked {
		h.Set("Transfer-Encoding", "chunked")
	} else {
		h.Set("Content-Length", fmt.Sprint(size))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /scans/%d HTTP/1.1\r\nHost: %s\r\n", member, host)
	if err := h.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	if _, err := w.Write(head.Bytes()); err != nil {
		return err
	}
	return b.write(w, size, member%finishEvery == 0)
}

// wait returns when every client has sent what it wants or no client can send more,
// because the node does not read or has closed its connections.
func (c *crowd) wait(t *testing.T) {
	t.Helper()
	const sample, still, limit = 50 * time.Millisecond, 20, 60 * time.Second
	unchanged, last := 0, int64(-1)
	for end := time.Now().Add(limit); c.writers.Load() > 0 && unchanged < still; time.Sleep(sample) {
		if time.Now().After(end) {
			break // the clients are slow, and stay open all the same
		}
		if unchanged++; c.written.Load() != last {
			unchanged, last = 0, c.written.Load()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("the crowd sent %d MiB; %d of %d clients are still sending", c.written.Load()>>20, c.writers.Load(), len(c.conns))
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// checkCrowd guards against clients outside the limits that end or block a node. While the
// crowd stays open, both nodes live within their memory and descriptors, and an
// ordinary request is answered; after it has left, so is the largest legal upload.
func checkCrowd(t *testing.T, door func(*cluster) string, b body) {
	c := startCluster(t)
	usages := []*usage{watchUsage(t, c.callers), watchUsage(t, c.targets)}
	clients := start(t, door(c), b)
	clients.wait(t)
	for _, u := range usages {
		u.check(t, "with the crowd")
	}
	c.waitServed("with the crowd", tries*tryPause)
	clients.close()
	for _, chunked := range []bool{false, true} {
		c.retry("after the crowd", tries*tryPause, func() error {
			return c.call(http.MethodPost, "/scans/1", io.LimitReader(zeros{}, largestBody), largestBody, chunked)
		})
	}
	for _, u := range usages {
		u.check(t, "after the crowd")
	}
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func outbound(c *cluster) string { return c.callers.addr(portOutbound) }
func inbound(c *cluster) string  { return c.targets.addr(portInbound) }

var (
	largeChunks = body{size: sizes, chunked: true, write: writeLargeChunks}
	tinyChunks  = body{size: fixed(tinyBody), chunked: true, write: writeTinyChunks}
	whole       = body{size: sizes, write: writeWhole}
	pieces      = body{size: sizes, write: writePieces}
)

func TestLargeChunksOutbound(t *testing.T) { checkCrowd(t, outbound, largeChunks) }
func TestLargeChunksInbound(t *testing.T)  { checkCrowd(t, inbound, largeChunks) }
func TestTinyChunksOutbound(t *testing.T)  { checkCrowd(t, outbound, tinyChunks) }
func TestTinyChunksInbound(t *testing.T)   { checkCrowd(t, inbound, tinyChunks) }
func TestWholeBodiesOutbound(t *testing.T) { checkCrowd(t, outbound, whole) }
func TestWholeBodiesInbound(t *testing.T)  { checkCrowd(t, inbound, whole) }
func TestBodyPiecesOutbound(t *testing.T)  { checkCrowd(t, outbound, pieces) }
func TestBodyPiecesInbound(t *testing.T)   { checkCrowd(t, inbound, pieces) }

// Guards against limits on memory that the largest legal request meets: alone and in calm
// it is served at its first try.
func TestLargestLegalRequestInCalm(t *testing.T) {
	c := startCluster(t)
	usages := []*usage{watchUsage(t, c.callers), watchUsage(t, c.targets)}
	c.header = legalHeader()
	for _, chunked := range []bool{false, true} {
		if err := c.call(http.MethodPost, "/scans/1", io.LimitReader(zeros{}, largestBody), largestBody, chunked); err != nil {
			t.Errorf("chunked %v: %v", chunked, err)
		}
	}
	for _, u := range usages {
		u.check(t, "after the largest request")
	}
}

// legalHeader returns header fields that make a request's header almost as large as the
// configuration allows, in short fields, which take most memory.
func legalHeader() http.Header {
	const fields, limit = 700, 16 << 10
	h := make(http.Header)
	for n := range fields {
		h.Set(fmt.Sprintf("X-%d", n), "0123456789")
	}
	var b bytes.Buffer
	_ = h.Write(&b) // a Buffer returns no errors
	if b.Len() > limit-512 {
		panic("the header is not legal")
	}
	return h
}
