//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath   = "/health"
	heartbeat    = 1500 * time.Millisecond
	endpointWork = 20 * time.Millisecond
	slots        = 9
	drainTime    = 2500 * time.Millisecond
)

// endpoint is a stand-in of an application endpoint beside a node.
type endpoint struct {
	id, service, version string
	addr, control        string
	born                 time.Time
	bad                  bool // its answers are failures
	badAbove             int  // runs a second above which its answers are failures; 0 for none
	rec                  *record

	onRun   func(id string, failed bool) // called at the start of each run; may be nil
	server  *http.Server
	client  *http.Client
	stop    chan struct{}
	running atomic.Int64
	runs    atomic.Int64

	mu      sync.Mutex
	recent  []time.Time // runs of the last rateWindow
	seq     int
	leaving bool
	ended   bool
}

func startEndpoint(e *endpoint) (*endpoint, error) {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return nil, err
	}
	e.born = time.Now()
	e.client = &http.Client{Timeout: time.Second}
	e.stop = make(chan struct{})
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }() // ends with end
	go e.beat()
	return e, nil
}

// beat sends a heartbeat at intervals until the endpoint ends.
func (e *endpoint) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		e.announce()
		select {
		case <-tick.C:
		case <-e.stop:
			return
		}
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (e *endpoint) announce() bool {
	e.mu.Lock()
	e.seq++
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	body := map[string]any{"service": e.service, "address": e.addr, "zone": "z", "version": e.version, "capacity": slots,
		"state": state, "warmup_left_ms": 0, "seq": e.seq, "born": e.born.UnixMilli()}
	e.mu.Unlock()
	return e.send(http.MethodPut, body)
}

func (e *endpoint) send(method string, body any) bool {
	b, err := json.Marshal(body)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.control+"/endpoints/"+e.id, bytes.NewReader(b))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// drain reports the endpoint as draining, serves on for a while, and ends.
func (e *endpoint) drain() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for range 10 {
		if e.announce() {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	e.send(http.MethodDelete, map[string]any{"born": e.born.UnixMilli()})
	e.end()
}

// end ends the endpoint at once.
func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ended {
		e.ended = true
		close(e.stop)
		_ = e.server.Close()
	}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", e.id)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), slots))
	if r.URL.Path == healthPath {
		e.mu.Lock()
		leaving := e.leaving
		e.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	h.Set("Server-Seal", e.id+"."+id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || e.running.Add(1) > slots {
		if id != "" {
			e.running.Add(-1)
		}
		h.Set("Not-Executed", "1")
		w.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusServiceUnavailable}[id == ""])
		return
	}
	defer e.running.Add(-1)
	e.runs.Add(1)
	failed := e.bad || e.badAbove > 0 && e.rate(time.Now()) > e.badAbove
	e.rec.log(e.id, "%s %s runs %s", e.service, e.version, id)
	if e.onRun != nil {
		e.onRun(id, failed)
	}
	select {
	case <-time.After(endpointWork):
	case <-r.Context().Done():
	}
	text := e.service + " " + e.version + " " + id + " " + strconv.Itoa(len(body))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, text) // the client may have gone
}

// rateWindow is the time over which the load of an endpoint is measured.
const rateWindow = 500 * time.Millisecond

// rate counts a run and returns the runs a second.
func (e *endpoint) rate(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.recent) > 0 && now.Sub(e.recent[0]) > rateWindow {
		e.recent = e.recent[1:]
	}
	e.recent = append(e.recent, now)
	return len(e.recent) * int(time.Second/rateWindow)
}
