package targetstub

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// request sends a request with the id and the header pairs. It returns status 0 if
// it gets no response and -1 if the response body is incomplete.
func request(t *testing.T, method, url, id, body string, header ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(HeaderRequestID, id)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return -1, string(b)
	}
	return resp.StatusCode, string(b)
}

// Guards against a ledger that misses completed requests or counts refused ones as
// started.
func TestLedgerRecordsCompletedAndRefused(t *testing.T) {
	is := is.New(t)
	s := New(Behavior{Slots: 1, BodyBytes: 100})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	status, body := request(t, "POST", srv.URL+"/bids", "q1", "lot 7")
	is.Equal(status, http.StatusOK)
	is.Equal(body, Body("q1", 100))
	status, _ = request(t, "PATCH", srv.URL+PathBehavior, "", `{"draining":true}`)
	is.Equal(status, http.StatusOK)
	status, _ = request(t, "POST", srv.URL+"/bids", "q2", "lot 7")
	is.Equal(status, http.StatusServiceUnavailable)
	e, _ := s.Entry("q1")
	is.Equal(e, Entry{Received: 1, Started: 1, Finished: 1, BodyBytes: 5})
	e, _ = s.Entry("q2")
	is.Equal(e, Entry{Received: 1, Failed: 1})
	status, _ = request(t, "PATCH", srv.URL+PathBehavior, "", `{"slots":0}`)
	is.Equal(status, http.StatusBadRequest)
	_, body = request(t, "GET", srv.URL+PathLedger, "", "")
	is.True(strings.Contains(body, `"q2"`))
}

// Guards against a stub that processes more requests at once than it has slots, or
// that continues after the deadline.
func TestSlotsAndDeadlines(t *testing.T) {
	is := is.New(t)
	s := New(Behavior{Slots: 2, WorkMs: 30, BodyBytes: 1})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	start := time.Now()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { request(t, "GET", srv.URL+"/lots", fmt.Sprint(i), "") })
	}
	wg.Wait()
	is.True(time.Since(start) >= 90*time.Millisecond) // three rounds of two
	s.Set(func(b *Behavior) { b.WorkMs = 10_000 })
	status, _ := request(t, "GET", srv.URL+"/lots", "late", "", HeaderDeadline, "20")
	is.Equal(status, http.StatusGatewayTimeout)
	e, _ := s.Entry("late")
	is.Equal(e.Canceled, 1)
	s.Set(func(b *Behavior) { b.Shed, b.Slots, b.WorkMs = true, 1, 100 })
	codes := make(chan int, 2)
	for range 2 {
		go func() { code, _ := request(t, "GET", srv.URL+"/lots", "shed", ""); codes <- code }()
	}
	is.Equal(<-codes+<-codes, http.StatusOK+http.StatusServiceUnavailable)
}

// Guards against health and load endpoints that ignore the configured lag or false
// value, and against an aborted response that looks complete.
func TestFalseReportsAndAbortedResponses(t *testing.T) {
	is := is.New(t)
	s := New(Behavior{Slots: 1, BodyBytes: 1000})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	falseLoad := 0.25
	s.Set(func(b *Behavior) { b.Draining, b.FalseHealth, b.FalseLoad = true, "up", &falseLoad })
	status, _ := request(t, "GET", srv.URL+PathHealth, "", "")
	is.Equal(status, http.StatusOK)
	_, load := request(t, "GET", srv.URL+PathLoad, "", "")
	is.Equal(load, "0.25")
	s.Set(func(b *Behavior) { b.FalseHealth, b.HealthLagMs = "", 60_000 })
	status, _ = request(t, "GET", srv.URL+PathHealth, "", "")
	is.Equal(status, http.StatusOK) // the state before draining
	s.Set(func(b *Behavior) { b.HealthLagMs = 0 })
	status, _ = request(t, "GET", srv.URL+PathHealth, "", "")
	is.Equal(status, http.StatusServiceUnavailable)
	s.Set(func(b *Behavior) { b.Draining, b.CutPercent = false, 100 })
	status, body := request(t, "GET", srv.URL+"/lots", "cut", "")
	is.Equal(status, -1)
	is.Equal(len(body), 500)
}

// Guards against a connection limit that is not enforced, and against closed
// connections that still count.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := New(Behavior{Slots: 1, Connections: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- s.Serve(ctx, l) }()
	first, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	is.True(closedImmediately(l.Addr().String()))
	first.Close()
	for closedImmediately(l.Addr().String()) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.NoErr(<-served)
}

// closedImmediately reports whether a new connection is closed at once.
func closedImmediately(addr string) bool {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return true
	}
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	ne, ok := err.(net.Error)
	return !ok || !ne.Timeout()
}
