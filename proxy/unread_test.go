package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/balance"
	"siskingw/object"
)

// unreadTime is how long the callers of these tests do not read. The targets answer
// within milliseconds, so that no estimate may come near it on a busy machine either.
const unreadTime = 2 * time.Second

// unreadCalls is the number of such callers. Each call changes the moving averages by a
// tenth of its time.
const unreadCalls = 4

// Guards against time in which a caller does not read its answer that counts as service
// time of the target, or as time on the network: calls of all others are then refused,
// because every target looks slow. It must count neither while the call lasts nor after it.
func TestUnreadAnswerIsNoServiceTime(t *testing.T) {
	for name, size := range map[string]int{
		"streamed": 32 << 20, // more than the sockets on the way hold
		"buffered": 24 << 20, // as a whole, at the caller's node
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rt := newRawTarget(t, func(nc net.Conn, r *http.Request, _ int32) bool {
				if r.URL.Path != "/large" {
					_, err := io.WriteString(nc, okAnswer)
					return err == nil
				}
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
				_, err := nc.Write(make([]byte, size))
				return err == nil
			})
			r := newRig(t, &object.PolicySpec{TargetLatencyMs: 500}, rt.addr)
			if name == "buffered" {
				r.out.opts.Responses.BufferBytes = size + 1
			}
			resp, _ := r.do(t, "GET", "/", "") // so that the class of the call has a service time
			is.Equal(resp.StatusCode, 200)
			var conns []net.Conn
			for range unreadCalls {
				nc, err := net.Dial("tcp", r.addr)
				is.NoErr(err)
				defer nc.Close()
				io.WriteString(nc, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
				conns = append(conns, nc)
			}
			time.Sleep(unreadTime)
			r.checkFast(t, "with the unread answers")
			for _, nc := range conns {
				answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
				is.NoErr(err)
				read, err := io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				is.Equal(read, int64(size))
			}
			for end := time.Now().Add(endlessSlack); r.inFlight() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			resp, _ = r.do(t, "GET", "/", "") // brings the state of the gate to the caller's node
			is.Equal(resp.StatusCode, 200)
			r.checkFast(t, "after them")
		})
	}
}

// checkFast checks that the only target looks fast, to its own node and to that of the
// callers.
func (r *rig) checkFast(t *testing.T, when string) {
	t.Helper()
	const limit = unreadTime / 8
	if got := r.gates[0].Report().ServiceTime; got > limit {
		t.Errorf("%s: service time of all calls: %v", when, got)
	}
	if got := r.gates[0].ClassServiceTime("all"); got > limit {
		t.Errorf("%s: service time of the class: %v", when, got)
	}
	picked, err := r.out.opts.Balancer.PickFor(&object.EndpointSetSpec{Announce: "floor"}, nil, nil,
		balance.Demand{TargetLeft: 2 * limit, DeadlineLeft: time.Second, Class: "all"})
	if err != nil {
		t.Fatal(err)
	}
	defer picked.Done(balance.Report{})
	if picked.Late > 0.5 {
		t.Errorf("%s: a call is late with a probability of %.2f", when, picked.Late)
	}
}
