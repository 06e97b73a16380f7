package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"siskingw/platform/standin"
)

const (
	// unfinishedClients is the number of clients that do not finish their bodies, at one
	// node at a time.
	unfinishedClients = 48
	unfinishedBytes   = 256 << 10
	// unfinishedPrefix begins the IDs of their requests.
	unfinishedPrefix = "unfinished-"
)

// sendUnfinished lets clients send bodies to a random instance that stop one byte short of
// their end, by the listener for callers or the one for other nodes, and stay open for d.
// The process must live and stay within the memory of its machine meanwhile.
func (j *injector) sendUnfinished(d time.Duration) {
	port := portOutbound
	if j.random.IntN(2) == 0 {
		port = portInbound
	}
	j.onInstance("unfinished bodies", false, func(in *instance) {
		var conns []net.Conn
		defer func() {
			for _, nc := range conns {
				_ = nc.Close()
			}
		}()
		for n := range unfinishedClients {
			nc, err := net.DialTimeout("tcp", hostPort(in.ip, port), time.Second)
			if err != nil {
				continue // refused
			}
			conns = append(conns, nc)
			_ = nc.SetWriteDeadline(time.Now().Add(d))
			go func() { _, _ = nc.Write(unfinishedRequest(n)) }() // the node may close the connection
		}
		time.Sleep(d)
		j.cluster.history.checkProcess(in)
	})
}

// unfinishedRequest returns a request without the last byte of its body, every second time
// in chunks.
func unfinishedRequest(n int) []byte {
	h := make(http.Header)
	standin.SetAttemptHeaders(h, fmt.Sprintf("%s%d-%d", unfinishedPrefix, time.Now().UnixNano(), n), bidTimeout)
	standin.SetKey(h, organisationKey)
	body := bytes.Repeat([]byte("x"), unfinishedBytes-1)
	if n%2 == 0 {
		h.Set("Content-Length", strconv.Itoa(unfinishedBytes))
	} else {
		h.Set("Transfer-Encoding", "chunked")
		body = fmt.Appendf(nil, "%x\r\n%s", unfinishedBytes, body)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /bids/%d HTTP/1.1\r\nHost: %s\r\n", n, host)
	_ = h.Write(&b) // a Buffer returns no errors
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// receiveUnfinished handles a request whose body has no end.
func (t *target) receiveUnfinished(id string, r *http.Request) {
	if n, err := io.Copy(io.Discard, r.Body); err == nil {
		t.history.addBroken(fmt.Sprintf("%s reached %s as a whole request of %d bytes", id, t.id, n))
	}
	panic(http.ErrAbortHandler)
}

// checkProcess records a node that has ended, or that took more memory than its machine has.
func (r *runHistory) checkProcess(in *instance) {
	if !in.node.Running() {
		r.addBroken(in.name + " has ended")
		return
	}
	if peak := peakMemoryMB(in.node.PID()); peak > memoryMB {
		r.addBroken(fmt.Sprintf("%s took %d MiB, its machine has %d", in.name, peak, memoryMB))
	}
}

// addBroken records that clients outside the limits broke something.
func (r *runHistory) addBroken(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, what)
}

// peakMemoryMB returns the peak of a process's resident memory in MiB, or 0 if it has ended.
func peakMemoryMB(pid int) int {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		if value, ok := strings.CutPrefix(s.Text(), "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}
