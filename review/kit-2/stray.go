//go:build review

package main

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	strayShare    = 0.03 // of the answers of a faulty endpoint
	strayFor      = 5 * time.Second
	strayText     = "these bytes belong to no request"
	calmBefore    = 2 * time.Second
	strayMachines = 1 // of 3: a share of 0.33
)

// strayAnswer plays endpoints that send additional bytes after some of their answers:
// the error page of an HTTP server, which arrives where the next answer is expected.
func strayAnswer(dir string, rec *record, trouble bool) (bool, error) {
	g, err := newRig(dir, rec, "floor", "floor", "floor")
	if err != nil {
		return false, err
	}
	defer g.stop()
	var on atomic.Bool
	for _, m := range g.machines[:strayMachines] {
		m.endpoint.stray = func() []byte {
			if !on.Load() || rand.Float64() >= strayShare {
				return nil
			}
			return []byte("HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: 32\r\n\r\n" + strayText)
		}
	}
	g.publish(1, []route{{"bids", "/bids/", "non_idempotent", "floor"}}, "floor")
	if err := g.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wait := g.load(5, 40*time.Millisecond, http.MethodPost, "/bids/1", 300, stop)
	time.Sleep(calmBefore)
	on.Store(trouble)
	time.Sleep(strayFor)
	on.Store(false)
	time.Sleep(calmBefore)
	close(stop)
	answers := wait()
	served, foreign, ranWell := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.status == http.StatusOK && a.echoed == a.id:
			served++
		case strings.Contains(a.body, strayText):
			foreign++
			if len(g.record.runsOf(a.id)) > 0 {
				ranWell++
			}
			rec.add("MIXED: the client got %d %q as the answer to %s", a.status, a.body, a.id)
		}
	}
	rec.say("%d requests, %d served, %d answered with bytes that belong to no request, of which %d had run", len(answers), served, foreign, ranWell)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return foreign > 0, nil
}
