//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	rollbackMs  = 5 * time.Second // bound rollback_ms
	badAnswers  = 50              // answers from which rollback_ms counts
	loadPerSec  = 300
	badAbove    = 36              // runs a second of a new endpoint: it fails under load
	drainsAfter = 9 * time.Second // "some seconds" after rolled_back
)

// versionAgain: a version has been judged bad and rolled back. Before its endpoints
// drain, the nodes beside them are killed and start again.
func versionAgain(r *rig, trouble bool) (verdict, error) {
	front, _, err := startShop(r)
	if err != nil {
		return verdict{}, err
	}
	v2, err := addShop(r, "v2", false, badAbove)
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	bad := 0
	var fiftieth time.Time // when the new version gave its 50th bad answer
	var late []string      // requests sent later than rollback_ms after it that the version ran
	sent := make(map[string]time.Time)
	for _, i := range v2 {
		i.endpoint.onRun = func(id string, failed bool) {
			mu.Lock()
			defer mu.Unlock()
			if failed {
				if bad++; bad == badAnswers {
					fiftieth = time.Now()
					r.rec.log("judge", "the 50th bad answer of v2")
				}
			}
			if !fiftieth.IsZero() && time.Since(fiftieth) > rollbackMs {
				late = append(late, id)
			}
		}
	}
	r.onSend = func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = at
	}
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	r.load(front, shopHost, shopPath+"x", loadPerSec, stop, done, nil)
	defer done.Wait()
	defer close(stop)
	at := orderVersion(r, "v2", 16*time.Second)
	if s := waitState(r, "v2", at.Add(18*time.Second), "rolled_back", "completed"); s != "rolled_back of v2" {
		return verdict{}, fmt.Errorf("the bad version was not rolled back: %s", s)
	}
	rolledBack := time.Now()
	mu.Lock()
	f, n := fiftieth, bad
	mu.Unlock()
	if f.IsZero() {
		return verdict{}, fmt.Errorf("the version gave only %d bad answers", n)
	}
	time.Sleep(time.Until(f.Add(rollbackMs)))
	if trouble {
		for _, i := range v2 {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, i := range v2 {
			_ = i.cmd.Wait()
			r.rec.log("rig", "the node of %s was killed", i.name)
		}
		time.Sleep(500 * time.Millisecond)
		for _, i := range v2 {
			if err := r.start(i); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(time.Until(rolledBack.Add(drainsAfter)))
	mu.Lock()
	defer mu.Unlock()
	count := 0
	for _, id := range late {
		if s, ok := sent[id]; ok && s.After(f.Add(rollbackMs)) {
			count++
		}
	}
	return verdict{broken: count > 0, text: fmt.Sprintf(
		"the version was rolled back %.1f s after its 50th bad answer; requests sent more than %v after that answer that it ran: %d",
		rolledBack.Sub(f).Seconds(), rollbackMs, count)}, nil
}
