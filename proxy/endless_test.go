package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/object"
)

// endlessPolicy ends every call of these tests after one second.
var endlessPolicy = &object.PolicySpec{TimeoutMs: 1000}

const (
	signedHeader = "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: c\r\n"
	// endlessSlack is how long after its deadline a call may end on a busy machine.
	endlessSlack = time.Second
	// endlessMemory bounds the growth of the heap, in bytes, during one call: a
	// quarter of what a node may use.
	endlessMemory = 32 << 20
)

// endlessBytes are bytes that a faulty target sends for as long as the connection
// is open: first once, then again without end.
var endlessBytes = []struct {
	name          string
	first, repeat string
}{
	{"no response", "", "\x00\xff garbage "},
	{"status line", "HTTP/1.1 200 ", "O"},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", "b"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"interim header", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
	{"responses to another call", "", "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nContent-Length: 2\r\n\r\nok"},
	{"response to another call", "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	{"chunked body", signedHeader + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	{"chunk extension", signedHeader + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
	{"chunk size", signedHeader + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailer line", signedHeader + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: ", "x"},
	{"trailer lines", signedHeader + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "T: x\r\n"},
	{"body without a length", signedHeader + "\r\n", "more"},
	{"body without a signature", "HTTP/1.1 200 OK\r\n\r\n", "more"},
}

// Guards against a faulty target whose bytes without end, sent at once or slowly,
// reach a caller as a success, are taken as proof that the call did not run, keep
// a call, its slot or its connection beyond the deadline, or fill the memory.
func TestEndlessBytesOfATarget(t *testing.T) {
	for _, pace := range []time.Duration{0, 50 * time.Millisecond} {
		for _, e := range endlessBytes {
			t.Run(fmt.Sprintf("%s every %v", e.name, pace), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				closed := make(chan struct{})
				var runs atomic.Int32
				rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
					if r.URL.Path == "/sound" {
						io.WriteString(nc, signedHeader+"Content-Length: 2\r\n\r\nok")
						return true
					}
					if runs.Add(1) > 1 {
						t.Errorf("the request ran again: %s %s, headers %v, from %s", r.Method, r.URL, r.Header, nc.RemoteAddr())
						return false
					}
					defer close(closed)
					sendEndlessly(nc, e.first, e.repeat, pace)
					return false
				})
				r := newCallIDRig(t, endlessPolicy, rt)
				started := time.Now()
				complete, status := r.outcomeOf(t, "/endless/"+strings.ReplaceAll(e.name, " ", "-")+pace.String())
				is.True(time.Since(started) < time.Second+endlessSlack)
				is.True(!complete || status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
				select {
				case <-closed:
				case <-time.After(endlessSlack):
					t.Error("the connection to the target stays open")
				}
				for end := time.Now().Add(endlessSlack); r.inFlight() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				}
				is.Equal(r.inFlight(), 0) // the slot is given back
				_, body := r.do(t, "POST", "/sound", "bid", "Call", "c")
				is.Equal(body, "ok")
			})
		}
	}
}

// inFlight returns the number of calls that hold a slot of a target.
func (r *rig) inFlight() (n int) {
	for _, g := range r.gates {
		n += g.Stats().InFlight
	}
	return n
}

// outcomeOf sends a call that cannot be repeated. It reports whether the caller got
// a complete response, and its status.
func (r *rig) outcomeOf(t *testing.T, path string) (complete bool, status int) {
	t.Helper()
	return r.outcomeOfBody(t, path, strings.NewReader("bid"))
}

// outcomeOfBody is outcomeOf with a request body.
func (r *rig) outcomeOfBody(t *testing.T, path string, body io.Reader) (complete bool, status int) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+r.addr+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Call", "c")
	resp, err := r.client.Do(req)
	if err != nil {
		return false, 0
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil, resp.StatusCode
}

// sendEndlessly writes first, and then repeat until the peer closes the
// connection: one piece at each pace, or as fast as the peer reads.
func sendEndlessly(nc net.Conn, first, repeat string, pace time.Duration) {
	if _, err := io.WriteString(nc, first); err != nil {
		return
	}
	if pace == 0 {
		repeat = strings.Repeat(repeat, 1+4096/len(repeat))
	}
	again := []byte(repeat) // converted once: the heap is measured
	for {
		if _, err := nc.Write(again); err != nil {
			return
		}
		time.Sleep(pace)
	}
}

// Guards against bytes without end after a complete response that are read as the
// response to the next call on the connection.
func TestEndlessBytesAfterAResponse(t *testing.T) {
	is := is.New(t)
	rt := newRawTarget(t, func(nc net.Conn, r *http.Request, n int32) bool {
		io.WriteString(nc, "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: "+r.Header.Get("Call")+"\r\nContent-Length: 2\r\n\r\nok")
		if n%2 == 1 {
			sendEndlessly(nc, "", "HTTP/1.1 200 OK\r\nSigned: 1\r\nCall: old\r\nContent-Length: 5\r\n\r\nother", time.Millisecond)
			return false
		}
		return true
	})
	r := newCallIDRig(t, endlessPolicy, rt)
	answered := 0
	for i := range 20 {
		resp, body := r.do(t, "POST", "/", "bid", "Call", fmt.Sprint("c", i))
		if resp.StatusCode == http.StatusBadGateway {
			// The call was sent before the first of the bytes arrived, and its target
			// never reads it: its outcome is unknown.
			is.Equal(resp.Header.Get(HeaderOutcome), OutcomeUnknown)
			is.True(strings.Contains(body, "without the one to this call"))
			continue
		}
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "ok")
		answered++
	}
	is.True(answered > 0)
}

// Guards against a target whose bytes without end grow the memory of the node.
func TestEndlessBytesAreNotKept(t *testing.T) {
	for _, e := range endlessBytes {
		r := newEndlessRig(t, e.first, e.repeat)
		checkHeapGrowth(t, e.name, func() { r.outcomeOf(t, "/endless") })
	}
}

// Guards against a target whose bytes without end, on as many calls as it has slots,
// grow the memory of the node with the platform's limit on buffered responses.
func TestEndlessBytesOnEverySlotAreNotKept(t *testing.T) {
	const calls, buffered = 13, 256 << 10
	for _, e := range endlessBytes {
		r := newEndlessRig(t, e.first, e.repeat)
		r.out.opts.Responses.BufferBytes = buffered
		for _, in := range r.inbounds {
			in.opts.Responses.BufferBytes = buffered
		}
		checkHeapGrowth(t, e.name, func() {
			var waiting sync.WaitGroup
			for range calls {
				waiting.Go(func() { r.outcomeOf(t, "/endless") })
			}
			waiting.Wait()
		})
	}
}

// newEndlessRig returns a rig in front of a target that sends bytes without end.
func newEndlessRig(t *testing.T, first, repeat string) *rig {
	rt := newRawTarget(t, func(nc net.Conn, _ *http.Request, _ int32) bool {
		sendEndlessly(nc, first, repeat, 0)
		return false
	})
	return newCallIDRig(t, &object.PolicySpec{TimeoutMs: 300}, rt)
}

// checkHeapGrowth runs f and checks that the heap grows by less than endlessMemory
// meanwhile.
func checkHeapGrowth(t *testing.T, name string, f func()) {
	t.Helper()
	runtime.GC()
	before := heapBytes()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	peak := before
	for done := false; !done; {
		select {
		case <-ended:
			done = true
		case <-time.After(10 * time.Millisecond):
			peak = max(peak, heapBytes())
		}
	}
	t.Logf("%s: %d KB", name, (peak-before)>>10)
	if peak-before > endlessMemory {
		t.Errorf("%s: the heap grew by %d bytes", name, peak-before)
	}
}

// heapBytes returns the bytes of the heap in use, garbage included.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
