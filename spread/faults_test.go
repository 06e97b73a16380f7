package spread

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
	"siskingw/snapshot"
)

// targetTime is the time within which a change must be in force everywhere.
const targetTime = 10 * time.Second

// Guards against an age of the contact with the store's region that follows the
// wall clock: after a step back, no node would watch the store for the duration
// of the step.
func TestStoreContactAgeIsMonotonic(t *testing.T) {
	f := newFleet(40, 2, 1, 1)
	// The clock of a synctest bubble has no monotonic reading.
	outside := New(Options{View: fakeView{f, f.records[0]}, Current: new(snapshot.Current)})
	defer outside.cancel()
	is.New(t).True(outside.started != outside.started.Round(0))
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		n := f.proc(f.at("r1-d0", 0)).node
		n.recordPeerContact(PeerOf(f.at("r0-d0", 0)), 0)
		f.kill(f.at("r0-d0", 0))
		is.Equal(n.storeContactAge(), uint32(1))
		elapse(time.Minute)
		is.Equal(n.storeContactAge(), uint32(60_001))
	})
}

// Guards against a version that is lost when a store reader crashes between the
// event and its read, or between its read and its first push.
func TestReaderCrashesAroundItsRead(t *testing.T) {
	for name, afterRead := range map[string]bool{"before the read": false, "after the read": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(41, 2, 2, 6)
			f.run(t, func(t *testing.T) {
				is := is.New(t)
				time.Sleep(2 * readerSettleTime)
				reader := f.at("r0-d0", 0)
				f.setRules(func() {
					f.dropMessage = func(kind string, from, _ Peer) bool {
						return from.ID == reader.ID && (kind == "push" || kind == "announce")
					}
				})
				next, _ := f.publishChange()
				for afterRead && f.proc(reader).current.Version() < next.Version() {
					time.Sleep(time.Millisecond)
				}
				is.Equal(f.source.total(&f.source.loads), map[bool]int{false: 0, true: 1}[afterRead])
				f.kill(reader)
				took := f.converge(t, next.Version(), targetTime)
				is.True(took < time.Second) // one takeoverTimeout and the time through the tree
			})
		})
	}
}

// Guards against events that arrive repeatedly, late or out of order and cause
// further reads or an older version on a node.
func TestWatchEventsRepeatedLateAndOutOfOrder(t *testing.T) {
	f := newFleet(42, 2, 1, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		time.Sleep(2 * readerSettleTime)
		old := f.source.latest()
		var next *snapshot.Snapshot
		for i := range 3 {
			next, _ = f.publishChange()
			for range 3 {
				f.source.redeliver(next)
				f.source.redeliver(old)
			}
			f.converge(t, next.Version(), targetTime)
			is.Equal(f.source.total(&f.source.loads), i+1)
			old = next
		}
		elapse(time.Minute)
		is.Equal(len(f.behind(next.Version())), 0)
		is.Equal(f.source.total(&f.source.loads), 3)
	})
}

// Guards against a version that is lost when the store goes down after its
// event and before the read, while the first reader crashes as well.
func TestStoreGoesDownBetweenEventAndRead(t *testing.T) {
	for name, dies := range map[string]bool{"reader keeps running": false, "reader crashes too": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(43, 2, 2, 6)
			f.run(t, func(t *testing.T) {
				is := is.New(t)
				time.Sleep(2 * readerSettleTime)
				next, _ := f.publishChange()
				time.Sleep(time.Millisecond) // the event has arrived
				f.source.setDown(true)
				if dies {
					f.kill(f.at("r0-d0", 0))
				}
				elapse(20 * time.Second)
				is.Equal(f.source.total(&f.source.loads), 0)
				f.source.setDown(false)
				f.converge(t, next.Version(), storeRetryMax+2*time.Second)
			})
		})
	}
}

// testRelayCrash lets a relay apply a version that is accepted in another
// failure domain and crash before any of its messages about it arrives. One
// takeoverTimeout and one heartbeat later all others must have the version
// (design 10).
func testRelayCrash(t *testing.T, regions int, domain string) {
	for seed := uint64(44); seed < 50; seed++ {
		f := newFleet(seed, regions, 2, 9)
		f.run(t, func(t *testing.T) {
			relay := f.at(domain, 0)
			f.setRules(func() {
				f.dropMessage = func(kind string, from, _ Peer) bool {
					return from.ID == relay.ID && (kind == "push" || kind == "announce")
				}
			})
			version := f.accept(f.at("r0-d0", 0))
			for f.proc(relay).current.Version() < version {
				time.Sleep(time.Millisecond)
			}
			f.kill(relay)
			took := f.converge(t, version, targetTime)
			t.Logf("seed %d took %s", seed, took)
			if took > 1300*time.Millisecond {
				t.Errorf("seed %d took %s", seed, took)
			}
		})
	}
}

// Guards against the root of a failure domain that applies a version and
// crashes before it forwards it.
func TestRootCrashesBeforeForwarding(t *testing.T) { testRelayCrash(t, 2, "r1-d1") }

// Guards against the head of another region that applies a version and crashes
// before it forwards it.
func TestRegionHeadCrashesBeforeForwarding(t *testing.T) { testRelayCrash(t, 2, "r1-d0") }

// Guards against nodes that a change does not reach while messages and answers
// are lost in one direction only: another region, or other nodes of the failure
// domain, must forward it, also while the store is down.
func TestLinksCutInOneDirection(t *testing.T) {
	for name, cut := range map[string]func(f *fleet, a, b Peer) bool{
		"from the accepting region": func(_ *fleet, a, b Peer) bool { return a.Region == "r0" && b.Region == "r1" },
		"to the accepting region":   func(_ *fleet, a, b Peer) bool { return a.Region == "r1" && b.Region == "r0" },
		"from the root":             func(f *fleet, a, b Peer) bool { return a.ID == f.at("r1-d0", 0).ID && b.ID == f.at("r1-d0", 1).ID },
		"to the root":               func(f *fleet, a, b Peer) bool { return b.ID == f.at("r1-d0", 0).ID && a.ID == f.at("r1-d0", 1).ID },
	} {
		for _, down := range []bool{false, true} {
			t.Run(name+map[bool]string{true: " with the store down"}[down], func(t *testing.T) {
				f := newFleet(45, 3, 2, 6)
				f.run(t, func(t *testing.T) {
					time.Sleep(2 * readerSettleTime)
					f.setRules(func() { f.isCut = func(a, b Peer) bool { return cut(f, a, b) } })
					f.source.setDown(down)
					for range 3 {
						t.Log(f.converge(t, f.accept(f.at("r0-d0", 3)), targetTime))
					}
				})
			})
		}
	}
}

// Guards against a version that does not reach the fleet although a slow store
// answers each call in time, and against a lost version or too many calls after
// calls hang until their timeout and the store recovers.
func TestReadersOfSlowStore(t *testing.T) {
	for name, slow := range map[string]time.Duration{"answers late": storeTimeout - time.Second, "hangs": time.Hour} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(46, 2, 2, 6)
			f.run(t, func(t *testing.T) {
				is := is.New(t)
				time.Sleep(2 * readerSettleTime)
				f.source.setSlow(slow)
				next, _ := f.publishChange()
				if slow < storeTimeout {
					f.converge(t, next.Version(), targetTime)
					return
				}
				elapse(time.Minute)
				is.Equal(f.source.total(&f.source.loads), 0)
				f.source.setSlow(0)
				f.converge(t, next.Version(), storeRetryMax+2*storeTimeout+2*time.Second)
				is.True(f.source.total(&f.source.loads) <= 3*member.RelayCount) // at most one by each relay
			})
		})
	}
}
