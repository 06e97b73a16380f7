//go:build review

package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

// converge is `converge_ms` of the deployment.
const converge = 2500 * time.Millisecond

// routeName plays a change of the configuration that moves a route and adds one whose
// name has an underscore.
func routeName(dir string, rec *record, trouble bool) (bool, error) {
	g, err := newRig(dir, rec, "floor", "floor", "house")
	if err != nil {
		return false, err
	}
	defer g.stop()
	added := "lot-photos"
	if trouble {
		added = "lot_photos"
	}
	return g.change(rec, func() {}, added)
}

// storeMoves plays a change of the settings file: the platform's store gets another
// address. Both serve the same data until the old one is closed.
func storeMoves(dir string, rec *record, trouble bool) (bool, error) {
	g, err := newRig(dir, rec, "floor", "floor", "house", "floor", "house")
	if err != nil {
		return false, err
	}
	defer g.stop()
	const firstRound = 3 // of 5 machines, a share of 0.6
	return g.change(rec, func() {
		if !trouble {
			return
		}
		old := g.storeStop
		g.storeAddr = g.subnet + ".201:" + g.storeAddr[len(g.subnet+".200:"):]
		if g.storeStop, err = g.store.listen(g.storeAddr); err != nil {
			return
		}
		for i, m := range g.machines {
			if i == firstRound {
				time.Sleep(2 * time.Second)
			}
			if err = g.writeSettings(m); err != nil {
				return
			}
			_ = m.cmd.Process.Signal(syscall.SIGHUP)
			rec.say("the settings of %s name the store's new address %s; SIGHUP is sent", m.name, g.storeAddr)
		}
		time.Sleep(4 * time.Second)
		old()
		rec.say("the store's old address is closed")
		time.Sleep(4 * time.Second) // longer than contact_ms
	}, "lot-photos")
}

// change publishes a version that moves /bids/ from one service to another and adds a
// route, and reports whether requests that are sent later than converge_ms after its
// acknowledgement are handled as only the older version allows.
func (g *rig) change(rec *record, before func(), added string) (bool, error) {
	g.publish(1, []route{{"bids", "/bids/", "non_idempotent", "floor"}}, "floor", "house")
	if err := g.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	wait := g.load(2, 60*time.Millisecond, http.MethodPost, "/bids/1", 300, stop)
	time.Sleep(2 * time.Second)
	before()
	acknowledged := g.publish(2, []route{{"bids", "/bids/", "non_idempotent", "house"}, {added, "/photos/", "idempotent", "house"}}, "floor", "house")
	time.Sleep(8 * time.Second)
	close(stop)
	answers := wait()
	served, stale := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		for _, run := range rec.runsOf(a.id) {
			if late := a.sent.Sub(acknowledged) - converge; late > 0 && run.service == "floor" {
				stale++
				rec.add("CONFIG: %s, sent %v after the bound, was run by the old service", a.id, late.Round(time.Millisecond))
			}
		}
	}
	rec.say("%d requests, %d served, %d sent after the bound and run by the old service", len(answers), served, stale)
	if served == 0 {
		return false, errors.New("nothing was served")
	}
	return stale > 0, nil
}
