//go:build review

package main

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// otherWriter plays a heartbeat of another writer on a machine, which lacks fields: it
// names the address of a program that is no endpoint and answers 404.
func otherWriter(dir string, rec *record, trouble bool) (bool, error) {
	g, err := newRig(dir, rec, "floor", "floor", "floor")
	if err != nil {
		return false, err
	}
	defer g.stop()
	g.publish(1, []route{{"bids", "/bids/", "non_idempotent", "floor"}}, "floor")
	if err := g.startAll(); err != nil {
		return false, err
	}
	m := g.machines[2]
	l, err := net.Listen("tcp", m.ip+":0")
	if err != nil {
		return false, err
	}
	agent := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec.add("the other program gets %s: %s %s", r.Header.Get("Attempt-Id"), r.Method, r.RequestURI)
		http.NotFound(w, r)
	})}
	go func() { _ = agent.Serve(l) }()
	defer agent.Close()
	stop := make(chan struct{})
	wait := g.load(4, 40*time.Millisecond, http.MethodPost, "/bids/1", 300, stop)
	time.Sleep(2 * time.Second)
	if trouble {
		err := m.endpoint.send("agent-1", map[string]any{"service": "floor", "address": l.Addr().String(), "capacity": 9,
			"state": "ready", "seq": 1, "born": time.Now().UnixMilli()})
		rec.say("another writer sends one heartbeat without zone, version and warmup_left_ms to %s: error %v", m.name, err)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	answers := wait()
	served, denied := 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK:
			served++
		case a.status >= 300 && a.status < 500 && a.seal == "" && !promise(a.status):
			denied++
			rec.add("DENIED: %s, a proper request, got %d %q", a.id, a.status, a.body)
		}
	}
	rec.say("%d requests, %d served, %d ended with an unsealed 3xx or 4xx", len(answers), served, denied)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return float64(denied) > 5+float64(len(answers))/500, nil
}

// promise reports whether a status promises that the request has not run and never will.
func promise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
