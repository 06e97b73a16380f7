package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"siskingw/platform/standin"
)

// largeAnswer is the size in bytes of the answer to requests below /lots/large.
const largeAnswer = 8 << 20

// related checks a crowd of n clients that send what request returns, do not read and
// stay open. The bounds are those of checkCrowd.
func related(t *testing.T, door func(*cluster) string, n int, request func(member int) io.Reader) {
	relatedSend(t, door, n, func(w io.Writer, member int) error {
		_, err := io.Copy(onlyWriter{w}, request(member))
		return err
	})
}

// relatedSend is related for clients that send with a function.
func relatedSend(t *testing.T, door func(*cluster) string, n int, send func(w io.Writer, member int) error) {
	c := startCluster(t)
	usages := []*usage{watchUsage(t, c.callers), watchUsage(t, c.targets)}
	clients := startN(t, door(c), n, send)
	clients.wait(t)
	for _, u := range usages {
		u.check(t, "with the crowd")
	}
	c.waitServed("with the crowd", tries*tryPause)
	clients.close()
	for _, u := range usages {
		u.check(t, "after the crowd")
	}
}

// onlyWriter hides the other methods of a connection from io.Copy.
type onlyWriter struct{ io.Writer }

// Guards against answers that clients do not read and that fill the memory, the slots of
// the target or the descriptors.
func TestUnreadAnswers(t *testing.T) {
	related(t, outbound, crowdSize, func(member int) io.Reader {
		return strings.NewReader(requestHead("GET", fmt.Sprintf("/lots/large/%d", member)) + "\r\n")
	})
}

// Guards against pipelined requests whose answers are not read.
func TestUnreadPipelines(t *testing.T) {
	related(t, outbound, crowdSize, func(member int) io.Reader {
		var b bytes.Buffer
		for range 16 {
			fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", requestHead("POST", fmt.Sprintf("/bids/%d", member)), 256<<10)
			b.Write(make([]byte, 256<<10))
		}
		return &b
	})
}

// Guards against connections without a request that use up the descriptors.
func TestSilentConnections(t *testing.T) {
	related(t, outbound, 4*crowdSize, func(int) io.Reader { return strings.NewReader("") })
}

// Guards against headers that arrive slowly, on more connections than there are
// descriptors.
func TestDrippingHeaders(t *testing.T) {
	related(t, outbound, 4*crowdSize, func(int) io.Reader {
		return &drip{left: strings.Repeat("X-Field: value\r\n", 8)}
	})
}

// drip returns a header piece by piece and does not end it.
type drip struct{ left string }

// Read implements io.Reader.
func (d *drip) Read(p []byte) (int, error) {
	const piece, pause = 16, 250 * time.Millisecond
	if d.left == "" {
		return 0, io.EOF
	}
	time.Sleep(pause)
	n := copy(p, d.left[:min(piece, len(d.left))])
	d.left = d.left[n:]
	return n, nil
}

// requestHead returns the beginning of a request header.
func requestHead(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, host,
		standin.AttemptHeaders(fmt.Sprintf("crowd-%d", time.Now().UnixNano()), 30*time.Second))
}

// writeLargeAnswer answers with largeAnswer bytes.
func writeLargeAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", fmt.Sprint(largeAnswer))
	_, _ = io.Copy(w, io.LimitReader(zeros{}, largeAnswer)) // the node may have disconnected
}
