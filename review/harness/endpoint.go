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

// slots is the capacity of an endpoint, as at the site pbice-mesh.
const slots = 13

// run is one request that an endpoint ran.
type run struct {
	at               time.Time
	id, method, path string
	caller           string
}

// endpoint is an endpoint that announces itself to the node beside it.
type endpoint struct {
	rig     *rig
	node    *node
	id      string
	born    time.Time
	server  *http.Server
	client  *http.Client
	running atomic.Int64
	work    time.Duration
	// answer, if set, writes the answer of a request that has run. The default
	// is a short body.
	answer func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	seq     int
	leaving bool
	runs    []run
	stop    context.CancelFunc
}

// startEndpoint starts the endpoint of a node and its heartbeats.
func (r *rig) startEndpoint(n *node, id string, work time.Duration) (*endpoint, error) {
	l, err := net.Listen("tcp", n.app())
	if err != nil {
		return nil, err
	}
	e := &endpoint{rig: r, node: n, id: id, born: time.Now(), work: work,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.beat(ctx)
	return e, nil
}

// beat sends heartbeats until ctx ends.
func (e *endpoint) beat(ctx context.Context) {
	for {
		e.send(http.MethodPut, e.heartbeat())
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// heartbeat returns the next heartbeat.
func (e *endpoint) heartbeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	b, _ := json.Marshal(map[string]any{
		"service": e.node.service, "address": e.node.app(), "zone": "balmorhea", "version": "v1", "capacity": slots,
		"state": "ready", "warmup_left_ms": 0, "seq": e.seq, "born": e.born.UnixMilli(),
	})
	return b
}

// send calls the control address of the node and returns the status, or 0.
func (e *endpoint) send(method string, body []byte) int {
	req, err := http.NewRequest(method, "http://"+e.node.control()+"/endpoints/"+e.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// ran returns the requests that the endpoint ran.
func (e *endpoint) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// ServeHTTP answers health checks and runs requests.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", min(e.running.Load(), slots), slots))
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", e.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	now := run{at: time.Now(), id: id, method: r.Method, path: r.RequestURI, caller: r.Header.Get("Caller-Service")}
	e.mu.Lock()
	e.runs = append(e.runs, now)
	e.mu.Unlock()
	e.rig.note("endpoint %s of %s runs %s %s id %s, body of %d bytes", e.id, e.node.service, r.Method, r.RequestURI, id, len(body))
	time.Sleep(e.work)
	h.Set("Server-Seal", e.id+"."+id)
	if e.answer != nil {
		e.answer(w, r)
		return
	}
	text := "the bytes of " + e.id + " for " + id + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, text)
}
