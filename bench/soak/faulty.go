package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"siskingw/platform/standin"
)

// endlessResponses are the first bytes of a response and what a target then
// repeats until its caller closes the connection. %s is the attempt's signature
// headers.
var endlessResponses = [][2]string{
	{"", "\x00\xff"},
	{"HTTP/1.1 200 OK\r\nA: ", "b"},
	{"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n"},
	{"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "T: x\r\n"},
}

// endlessPause slows a target that sends bytes without end, so that it does not
// take the processor of the machine.
const endlessPause = time.Millisecond

// respondEndlessly sends bytes without end after the request ran.
func (t *target) respondEndlessly(w http.ResponseWriter, id string, n int64) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	kind := endlessResponses[n%int64(len(endlessResponses))]
	first := strings.Replace(kind[0], "%s", t.signature(id), 1)
	for piece := first; ; piece = kind[1] {
		if _, err := nc.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// signature returns the header lines with which the target signs a response.
func (t *target) signature(id string) string {
	signed := http.Header{}
	standin.SignResponse(signed, t.id, id)
	var lines strings.Builder
	_ = signed.Write(&lines) // a strings.Builder does not fail
	return lines.String()
}

// repeatingListener accepts connections on which, while on is set, some responses
// are sent a second time.
type repeatingListener struct {
	net.Listener
	on *atomic.Bool
}

func (l repeatingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{Conn: nc, on: l.on}, nil
}

type repeatingConn struct {
	net.Conn
	on     *atomic.Bool
	writes atomic.Int64
}

// repeatPeriod is the number of responses of which one is sent again, after up to
// maxRepeatDelay.
const (
	repeatPeriod   = 4
	maxRepeatDelay = 20 * time.Millisecond
)

func (c *repeatingConn) Write(p []byte) (int, error) {
	if c.on.Load() && c.writes.Add(1)%repeatPeriod == 0 {
		again := append([]byte(nil), p...)
		time.AfterFunc(rand.N(maxRepeatDelay), func() { _, _ = c.Conn.Write(again) }) // the caller may have closed
	}
	return c.Conn.Write(p)
}

// oddAnnouncements are announcements of another writer that name no target. %s is
// the service, %d the current time in ms.
var oddAnnouncements = []string{
	`{"service":"%s","address":"127.0.0.1:9","capacity":9223372036854775807,"state":"ready","seq":1,"born":%d}`,
	`{"service":"%s","address":"127.0.0.1:70000","capacity":4,"state":"ready","seq":1,"born":%d}`,
	`{"service":"%s","address":"127.0.0.1:9","capacity":4,"state":"ready","seq":18446744073709551615,"born":%d}`,
	`{"service":"%s-unknown","address":"127.0.0.1:9","capacity":4,"state":"ready","seq":1,"born":%d}`,
	`{"service":"%s","address":"127.0.0.1:9","capacity":4,"state":"ready","warmup_left_ms":1e300,"seq":1,"born":%d}`,
	`{"service":"%s","deep":` + strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000) + `,"born":%d}`,
	"\xff\xfe%s%d",
}

// announceOddly sends odd announcements to a node for d, under the id of its target
// and under another one. They are no fault that excuses the node.
func (j *injector) announceOddly(d time.Duration) {
	const gap = 50 * time.Millisecond
	in := j.cluster.instances[j.random.IntN(len(j.cluster.instances))]
	client := &http.Client{Timeout: time.Second}
	j.wg.Go(func() {
		for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
			in.mu.Lock()
			id := in.target.id
			in.mu.Unlock()
			if n%2 == 1 {
				id = "i-odd"
			}
			body := fmt.Sprintf(oddAnnouncements[n%len(oddAnnouncements)], service, time.Now().UnixMilli())
			req := httptest.NewRequest(http.MethodPut, "http://"+hostPort(in.ip, portControl)+"/endpoints/"+id, strings.NewReader(body))
			req.RequestURI = ""
			if resp, err := client.Do(req); err == nil { // the node may be down
				_ = resp.Body.Close()
			}
			time.Sleep(gap)
		}
	})
}
