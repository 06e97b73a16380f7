//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	shopHost  = "shop.example"
	shopPath  = "/lots/"
	contactMs = 3000 * time.Millisecond // bound contact_ms
	converge  = 2500 * time.Millisecond // bound converge_ms
	recoverS  = 15 * time.Second        // bound recover_s
	readEvery = 200 * time.Millisecond  // how often the operator reads a status
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// startShop starts two instances of the service front and three of version v1 of shop, and
// a configuration that routes to shop.
func startShop(r *rig) (front, v1 []*instance, err error) {
	r.store.put("op/config", config(1, []string{"front", "shop"}, []route{{"lots", shopHost, shopPath, "idempotent", "shop"}}))
	for n := range 5 {
		service, version := "shop", "v1"
		if n < 2 {
			service = "front"
		}
		i, err := r.add(service, version, zones[n%len(zones)], false, 0)
		if err != nil {
			return nil, nil, err
		}
		if service == "front" {
			front = append(front, i)
		} else {
			v1 = append(v1, i)
		}
	}
	if err := r.waitReady(20 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	for n := range 20 {
		if a := r.get(front[n%2], shopHost, shopPath+"first", 3*time.Second); n == 19 && a.status != 200 {
			return nil, nil, fmt.Errorf("shop does not answer: %d %v", a.status, a.err)
		}
	}
	return front, v1, nil
}

// addShop starts three instances of a further version of shop.
func addShop(r *rig, version string, bad bool, badAbove int) (added []*instance, err error) {
	for _, zone := range zones {
		i, err := r.add("shop", version, zone, bad, badAbove)
		if err != nil {
			return nil, err
		}
		added = append(added, i)
		time.Sleep(heartbeat / 3) // their heartbeats come at different times
	}
	if err := r.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // all nodes know the new endpoints
	return added, nil
}

// orderVersion orders a roll-out of shop as the operator does.
func orderVersion(r *rig, version string, within time.Duration) (at time.Time) {
	key, value := order("shop", version, within)
	rev := r.store.put(key, value)
	r.rec.log("operator", "orders %s of shop within %v: revision %d", version, within, rev)
	return time.Now()
}

// waitState reads the status of the roll-out of shop until it has one of the states for a
// version, or until a time. It returns the state that was read last.
func waitState(r *rig, version string, until time.Time, states ...string) string {
	last := "(none)"
	for {
		state, of := r.rolloutState("shop")
		now := state + " of " + of
		if state == "" {
			now = "(none)"
		}
		if now != last {
			last = now
			r.rec.log("operator", "reads the status of shop: %s", now)
		}
		for _, want := range states {
			if state == want && of == version {
				return now
			}
		}
		if time.Now().After(until) {
			return last
		}
		time.Sleep(readEvery)
	}
}

// rolloutUndone: a roll-out has completed and the old endpoints have stopped. The store
// comes back from a copy that is older than the final status, and later all processes are
// killed.
//
// TROUBLE=drill and TROUBLE=kill leave out the other one of the two.
func rolloutUndone(r *rig, trouble bool) (verdict, error) {
	drill, kill := trouble && os.Getenv("TROUBLE") != "kill", trouble && os.Getenv("TROUBLE") != "drill"
	front, v1, err := startShop(r)
	if err != nil {
		return verdict{}, err
	}
	v2, err := addShop(r, "v2", false, 0)
	if err != nil {
		return verdict{}, err
	}
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	defer done.Wait()
	var once sync.Once
	end := func() { once.Do(func() { close(stop) }) }
	defer end()
	var from, all, ok atomic.Int64 // requests sent after from, in ns since 1970
	var before, beforeOK atomic.Int64
	r.load(front, shopHost, shopPath+"x", 120, stop, done, func(a answer) {
		served := a.status == 200 && a.seal != ""
		switch f := from.Load(); {
		case f == 0:
			before.Add(1)
			if served {
				beforeOK.Add(1)
			}
		case a.sentAt.UnixNano() > f:
			all.Add(1)
			if served {
				ok.Add(1)
			}
		}
	})
	const within = 16 * time.Second
	at := orderVersion(r, "v2", within)
	if s := waitState(r, "v2", at.Add(within), "completed", "rolled_back"); s != "completed of v2" {
		return verdict{}, fmt.Errorf("the good version was not completed before the disruption: %s", s)
	}
	for _, i := range v1 { // at completed, the old endpoints stop immediately
		r.remove(i)
	}
	time.Sleep(500 * time.Millisecond)
	if drill {
		r.writeAgain(r.store.drill(time.Now().Add(-3*time.Second), 500*time.Millisecond))
	}
	time.Sleep(8 * time.Second) // the store is back and undisturbed, and all are in touch
	share := float64(beforeOK.Load()) / float64(max(before.Load(), 1))
	from.Store(time.Now().Add(time.Hour).UnixNano())
	running := append(append([]*instance{}, front...), v2...)
	if kill {
		r.rec.log("rig", "all processes are killed")
		for _, i := range running {
			_ = i.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, i := range running {
			_ = i.cmd.Wait()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, i := range running {
			if err := r.start(i); err != nil {
				return verdict{}, err
			}
		}
	}
	backAt := time.Now()
	from.Store(backAt.Add(recoverS).UnixNano())
	// The operator and the platform act on the status as the pages say.
	state := waitState(r, "v2", backAt.Add(recoverS), "rolled_back")
	if state == "rolled_back of v2" {
		r.rec.log("operator", "the new endpoints drain, some seconds after rolled_back")
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		for _, i := range v2 {
			wg.Go(func() {
				i.endpoint.drain()
				r.remove(i)
			})
		}
		wg.Wait()
	}
	time.Sleep(time.Until(backAt.Add(recoverS + 8*time.Second)))
	end()
	done.Wait()
	after := float64(ok.Load()) / float64(max(all.Load(), 1))
	return verdict{broken: after < 0.25 && share >= 0.25, text: fmt.Sprintf(
		"the status went from completed to %s; served before: %.2f of %d; sent later than %v after the start: %d, served %d (%.2f)",
		state, share, before.Load(), recoverS, all.Load(), ok.Load(), after)}, nil
}

// orderIgnored: the store comes back from a copy that is older than an order, which the
// operator writes again; a later order for the same service gets a lower revision than
// the first one had before.
func orderIgnored(r *rig, trouble bool) (verdict, error) {
	front, _, err := startShop(r)
	if err != nil {
		return verdict{}, err
	}
	v2, err := addShop(r, "v2", true, 0)
	if err != nil {
		return verdict{}, err
	}
	stop, done := make(chan struct{}), new(sync.WaitGroup)
	r.load(front, shopHost, shopPath+"x", 120, stop, done, nil)
	defer done.Wait()
	defer close(stop)
	copyAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	for n := range 25 { // configurations come in quick succession
		rev := r.store.put("op/config", config(2+n, []string{"front", "shop"}, []route{
			{"lots", shopHost, shopPath, "idempotent", "shop"}, {"more", shopHost, fmt.Sprintf("/v%d/", 2+n), "idempotent", "shop"}}))
		r.rec.log("operator", "writes version %d of the configuration: revision %d", 2+n, rev)
		time.Sleep(60 * time.Millisecond)
	}
	at := orderVersion(r, "v2", 12*time.Second)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		r.writeAgain(r.store.drill(copyAt, 500*time.Millisecond))
	}
	if s := waitState(r, "v2", at.Add(14*time.Second), "rolled_back"); s != "rolled_back of v2" {
		return verdict{}, fmt.Errorf("the bad version was not rolled back: %s", s)
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	for _, i := range v2 {
		wg.Go(func() {
			i.endpoint.drain()
			r.remove(i)
		})
	}
	wg.Wait()
	v3, err := addShop(r, "v3", false, 0)
	if err != nil {
		return verdict{}, err
	}
	const within = 16 * time.Second
	at = orderVersion(r, "v3", within)
	last := waitState(r, "v3", at.Add(within+4*time.Second), "completed")
	var runs int64
	for _, i := range v3 {
		runs += i.endpoint.runs.Load()
	}
	return verdict{broken: last != "completed of v3", text: fmt.Sprintf(
		"%.1f s after the order of the good version v3, with a deadline of %v, the status is: %s; v3 ran %d requests",
		time.Since(at).Seconds(), within, last, runs)}, nil
}

// configNotHeard: the store is away for a moment while the nodes that watch it pause
// between two watches, and gives out the revisions again.
func configNotHeard(r *rig, trouble bool) (verdict, error) {
	r.store.put("op/config", config(1, []string{"front", "shop"}, []route{{"lots", shopHost, shopPath, "idempotent", "shop"}}))
	front, _, err := startShop(r)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	services := []string{"front", "shop"}
	version := func(n int, service string) []byte {
		return config(n, services, []route{{"lots", shopHost, shopPath, "idempotent", service}, {"more", shopHost, fmt.Sprintf("/v%d/", n), "idempotent", "shop"}})
	}
	publish := func(n int, service string) {
		rev := r.store.put("op/config", version(n, service))
		r.rec.log("operator", "writes version %d, /lots/ to %s: revision %d", n, service, rev)
	}
	copyAt := time.Now()
	time.Sleep(2 * time.Second)
	publish(2, "shop")
	time.Sleep(100 * time.Millisecond)
	publish(3, "shop")
	time.Sleep(250 * time.Millisecond)
	if trouble {
		r.writeAgain(r.store.drill(copyAt, 60*time.Millisecond))
	}
	time.Sleep(20 * time.Millisecond)
	publish(4, "front")
	acked := time.Now()
	time.Sleep(contactMs + converge)
	stale, all := 0, 0
	for n := range 40 {
		a := r.get(front[n%2], shopHost, shopPath+"late", 3*time.Second)
		all++
		if a.status == 200 && len(a.body) > 4 && a.body[:4] == "shop" {
			stale++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return verdict{broken: stale > 0, text: fmt.Sprintf(
		"version 4 moved the route to front; of %d requests sent %.1f s and more after its acknowledgement, shop ran %d",
		all, (time.Since(acked) - 40*50*time.Millisecond).Seconds(), stale)}, nil
}
