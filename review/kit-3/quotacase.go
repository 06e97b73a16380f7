//go:build review

package main

import (
	"bytes"
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

const (
	quotaRate   = 100
	quotaBurst  = 100
	quotaWindow = 5 * time.Second // bound quota_window_s
	quotaOver   = 0.1             // bound quota_over
	quotaSlack  = 20              // bound quota_slack
	tenantKey   = "ruddedev3nax7u27gxpr"
	usualLoad   = 62  // requests a second of the tenant; its quota is 1.6 times that
	hotLoad     = 465 // 7.5 times that
)

// quotaTwice: a tenant asks for more than its quota while some machines are cut off from
// the others, and all processes are killed and start again.
func quotaTwice(r *rig, trouble bool) (verdict, error) {
	r.relay()
	r.key = tenantKey
	c := config(1, []string{"shop"}, []route{{"lots", shopHost, shopPath, "idempotent", "shop"}})
	c = bytes.Replace(c, []byte(`"limits"`), fmt.Appendf(nil,
		`"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[["pulo780",[%q],1,%d,%d]]},"limits"`,
		tenantKey, quotaRate, quotaBurst), 1)
	r.store.put("op/config", c)
	var mu sync.Mutex
	sent, ran := make(map[string]time.Time), make(map[string]time.Time)
	r.onSend = func(id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = at
	}
	for n := range 6 {
		i, err := r.add("shop", "v1", zones[n%len(zones)], false, 0)
		if err != nil {
			return verdict{}, err
		}
		i.endpoint.onRun = func(id string, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			if _, again := ran[id]; !again {
				ran[id] = time.Now()
			}
		}
	}
	if err := r.waitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	r.load(r.instances, shopHost, shopPath+"x", usualLoad, stop, done, nil)
	time.Sleep(3 * time.Second)
	start := time.Now()
	cut := r.instances[4:] // two of six
	if trouble {
		for _, i := range cut {
			r.rec.log("rig", "%s is cut off from all other machines", i.name)
			r.links.Isolate(i.name)
		}
		time.Sleep(200 * time.Millisecond)
		r.rec.log("rig", "all processes are killed")
		for _, i := range r.instances {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, i := range r.instances {
			_ = i.cmd.Wait()
		}
		time.Sleep(time.Second)
		for _, i := range r.instances {
			if err := r.start(i); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(time.Until(start.Add(4 * time.Second)))
	hot := make(chan struct{})
	r.rec.log("client", "the tenant sends %d requests a second more", hotLoad-usualLoad)
	r.load(r.instances, shopHost, shopPath+"hot", hotLoad-usualLoad, hot, done, nil)
	time.Sleep(8 * time.Second)
	close(hot)
	if trouble {
		for _, i := range cut {
			r.rec.log("rig", "%s is no longer cut off", i.name)
			r.links.Rejoin(i.name)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, at := mostInWindow(sent, ran)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	return verdict{broken: float64(most) > limit, text: fmt.Sprintf(
		"in the %v from %.1f s on, %d requests of the tenant were sent and run; allowed %.0f", quotaWindow, at.Sub(r.rec.start).Seconds(), most, limit)}, nil
}

// mostInWindow returns the highest number of requests that were both sent and run in one
// window, and the begin of that window.
func mostInWindow(sent, ran map[string]time.Time) (most int, at time.Time) {
	type request struct{ sent, ran time.Time }
	var all []request
	for id, run := range ran {
		if s, ok := sent[id]; ok {
			all = append(all, request{s, run})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	for i := range all {
		n := 0
		end := all[i].sent.Add(quotaWindow)
		for _, q := range all[i:] {
			if q.sent.After(end) {
				break
			}
			if !q.ran.After(end) {
				n++
			}
		}
		if n > most {
			most, at = n, all[i].sent
		}
	}
	return most, at
}
