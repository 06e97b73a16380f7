//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	healthPath = "/health"
	heartbeat  = 1500 * time.Millisecond
)

// endpoint is a stand-in of an application endpoint on the machine of a node.
type endpoint struct {
	id, service, zone string
	addr, control     string
	slots             int
	work              time.Duration
	born              time.Time
	record            *record
	listener          net.Listener
	client            *http.Client
	free              chan struct{}
	// stray returns additional bytes after a complete answer, nil for none. They are sent
	// late: when the next request has arrived on the connection.
	stray func() []byte

	mu    sync.Mutex
	seq   int
	conns map[net.Conn]struct{}
	quit  chan struct{}
}

// start begins to serve and to send heartbeats.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.listener, e.born = l, time.Now()
	e.free = make(chan struct{}, e.slots)
	e.conns, e.quit = make(map[net.Conn]struct{}), make(chan struct{})
	e.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = struct{}{}
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	go func() {
		for tick := time.NewTicker(heartbeat); ; {
			_ = e.beat() // the next one makes up for it
			select {
			case <-tick.C:
			case <-e.quit:
				tick.Stop()
				return
			}
		}
	}()
	return nil
}

func (e *endpoint) stop() {
	close(e.quit)
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// beat sends a heartbeat with every field of the pages.
func (e *endpoint) beat() error {
	e.mu.Lock()
	e.seq++
	body := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "capacity": e.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": e.seq, "born": e.born.UnixMilli()}
	e.mu.Unlock()
	return e.send(e.id, body)
}

// send sends a heartbeat to the node of this machine.
func (e *endpoint) send(id string, body map[string]any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/endpoints/"+id, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: status %d", resp.StatusCode)
	}
	return nil
}

// serve answers the requests of one connection, one at a time.
func (e *endpoint) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var late []byte // additional bytes after the previous answer
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(c, r, body, late) {
			return
		}
		if late = nil; e.stray != nil && r.URL.Path != healthPath {
			late = e.stray()
		}
	}
}

func (e *endpoint) load() string {
	return fmt.Sprintf("Server-Load: %d,0,%d\r\n", len(e.free), e.slots)
}

func (e *endpoint) answer(c net.Conn, r *http.Request, body, late []byte) bool {
	id := r.Header.Get("Attempt-Id")
	if r.URL.Path == healthPath {
		return write(c, "HTTP/1.1 200 OK\r\nInstance-Id: "+e.id+"\r\n"+e.load()+"Content-Length: 0\r\n\r\n")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		e.record.add("endpoint %s (%s) rejects %s: 421, it expects %s", e.id, e.service, id, want)
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+id+"\r\nInstance-Id: "+e.id+
			"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	select {
	case e.free <- struct{}{}:
	default:
		return write(c, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: "+id+"\r\nNot-Executed: 1\r\n"+e.load()+"Content-Length: 0\r\n\r\n")
	}
	defer func() { <-e.free }()
	e.record.run(id, e.id, e.service, r.Method+" "+r.RequestURI)
	if late != nil {
		e.record.add("endpoint %s sends %d additional bytes after its last answer, while it runs %s", e.id, len(late), id)
		if !write(c, string(late)) {
			return false
		}
	}
	time.Sleep(e.work)
	out := e.id + " " + id + " " + strconv.Itoa(len(body)) + "\n"
	return write(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nServer-Seal: "+seal(e.id, id)+"\r\n"+e.load()+
		"Content-Length: "+strconv.Itoa(len(out))+"\r\n\r\n"+out)
}

// seal is the signature of an endpoint under the answer to a request.
func seal(endpoint, id string) string { return "seal." + endpoint + "." + id }

func write(c net.Conn, s string) bool {
	_, err := io.WriteString(c, s)
	return err == nil
}
