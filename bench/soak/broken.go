package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"siskingw/platform/standin"
)

// brokenResponses are responses that no caller must get. %s is the attempt's signature
// headers.
var brokenResponses = []string{
	"HTTP/1.1 000 Zero\r\n%sContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 600 Odd\r\n%sContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%sTransfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\n%sX: 1\r\n\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\n%sContent-Length: 2",
	"HTTP/1.1 200 OK\r\n%sTransfer-Enc",
}

// respondBroken sends a broken response and ends or resets the connection.
func (t *target) respondBroken(w http.ResponseWriter, id string, n int64) {
	t.sendRaw(w, id, brokenResponses[n%int64(len(brokenResponses))], n%2 == 0)
}

// sendRaw sends a response in place of the server's, and ends or resets the connection.
// %s in the response stands for the signature headers.
func (t *target) sendRaw(w http.ResponseWriter, id, response string, reset bool) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	_, _ = nc.Write([]byte(strings.Replace(response, "%s", t.signature(id), 1))) // the node may have closed the connection
	if reset {
		time.Sleep(rand.N(maxResetDelay))
		_ = nc.(*repeatingConn).Conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
	}
}

const (
	// cutUploadPrefix begins the IDs of uploads whose responses are cut off.
	cutUploadPrefix = "cut-upload-"
	// cutUploadBytes is more than the buffers of the connections to a target hold, so
	// that the upload is still being written when the response begins.
	cutUploadBytes = 8 << 20
	maxResetDelay  = 5 * time.Millisecond
)

// sendCutUploads uploads to a random instance for d. Targets respond to each upload at
// once, without a length, and reset the connection. No caller must get a complete
// response.
func (j *injector) sendCutUploads(d time.Duration) {
	j.onInstance("cut uploads", false, func(in *instance) {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: bidTimeout}
		body := bytes.Repeat([]byte("u"), cutUploadBytes)
		for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("%s%d-%d", cutUploadPrefix, time.Now().UnixNano(), n)
			src := io.Reader(bytes.NewReader(body))
			if n%2 == 1 {
				src = io.MultiReader(src) // sent in chunks
			}
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
				"http://"+hostPort(in.ip, portOutbound)+"/bids/"+id, src)
			if err != nil {
				panic(err) // the URL is built from valid parts
			}
			req.Host = host
			standin.SetAttemptHeaders(req.Header, id, bidTimeout)
			standin.SetKey(req.Header, organisationKey)
			resp, err := client.Do(req)
			if err != nil {
				continue // the node may be down
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				j.cluster.history.addTruncated(fmt.Sprintf("%s got a truncated response as a complete one", id))
			}
		}
	})
}

// respondToCutUpload begins a response before the body of the request has arrived, and
// resets the connection.
func (t *target) respondToCutUpload(w http.ResponseWriter, id string) {
	t.sendRaw(w, id, "HTTP/1.1 200 OK\r\n%s\r\nthe beginning", true)
}

// addTruncated records a truncated response that a caller took for a complete one.
func (r *runHistory) addTruncated(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truncated = append(r.truncated, what)
}
