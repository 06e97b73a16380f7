package spread

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/member"
	"siskingw/object"
	"siskingw/peer/peerpb"
	"siskingw/snapshot"
)

// Guards against nodes that a change does not reach, and against a change that
// is sent more than once to the same other region.
func TestChangeReachesAllAndCrossesEachRegionOnce(t *testing.T) {
	f := newFleet(1, 3, 2, 12)
	f.run(t, func(t *testing.T) {
		for i, r := range []*[2]int{{0, 0}, {1, 7}, {3, 11}} {
			before, deltas := f.count("push cross-region")+f.count("announce cross-region"), f.count("delta cross-region")
			domain := []string{"r0-d0", "r0-d1", "r1-d0", "r1-d1"}[r[0]]
			took := f.converge(t, f.accept(f.at(domain, r[1])), time.Second)
			if took > 300*time.Millisecond {
				t.Errorf("change %d took %s", i, took)
			}
			time.Sleep(3 * time.Second)
			if n := f.count("push cross-region") + f.count("announce cross-region") - before; n != 2 {
				t.Errorf("change %d crossed regions %d times, want 2", i, n)
			}
			if n := f.count("delta cross-region") - deltas; n != 2 {
				t.Errorf("%d deltas crossed regions for change %d, want 2", n, i)
			}
		}
		if f.source.total(&f.source.loads) != 0 {
			t.Errorf("%d loads from the store although every change was pushed", f.source.total(&f.source.loads))
		}
	})
}

// Guards against large deltas that are pushed without a request, and against
// nodes that fetch whole snapshots instead of them.
func TestLargeDeltaIsAnnouncedAndFetched(t *testing.T) {
	f := newFleet(11, 2, 2, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		base := f.source.latest()
		var routes []*object.Object
		for i := range 2500 {
			name := fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))[:60]
			routes = append(routes, &object.Object{Kind: object.KindRoute, Name: name,
				Route: &object.RouteSpec{PathPrefix: "/" + name, Service: "s1"}})
		}
		next, err := base.WithChanges(2, routes, nil)
		is.NoErr(err)
		f.publish(next)
		f.proc(f.records[3]).node.Offer(next, snapshot.Diff(base, next))
		f.converge(t, 2, time.Second)
		is.Equal(f.count("deltas cross-region"), 1)
		for _, class := range []string{"same-domain", "same-region", "cross-region"} {
			is.Equal(f.count("push "+class), 0)
			is.Equal(f.count("snapshot "+class), 0)
		}
	})
}

// Guards against messages that the network loses, duplicates, delays, reorders
// (by delay) or corrupts.
func TestConvergesUnderMessageFaults(t *testing.T) {
	for name, setFaults := range map[string]func(f *fleet){
		"lost":      func(f *fleet) { f.lossRate = 0.3 },
		"doubled":   func(f *fleet) { f.duplicateRate = 0.5 },
		"reordered": func(f *fleet) { f.delayRate = 0.5 },
		"corrupted": func(f *fleet) { f.corruptRate = 0.4 },
		"all":       func(f *fleet) { f.lossRate, f.duplicateRate, f.delayRate, f.corruptRate = 0.1, 0.2, 0.2, 0.2 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 2, 2, 6)
			setFaults(f)
			f.run(t, func(t *testing.T) {
				var last uint64
				for i := range 10 {
					last = f.accept(f.records[i*2])
					time.Sleep(100 * time.Millisecond)
				}
				f.converge(t, last, 60*time.Second)
			})
		})
	}
}

// Guards against a delta that is applied to another base, and against a lagging
// node that fetches a whole snapshot although a chain of deltas suffices.
func TestLaggingNodeFetchesChainThenSnapshot(t *testing.T) {
	f := newFleet(3, 1, 1, 5)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		lagging := f.at("r0-d0", 4)
		f.setRules(func() { f.isCut = func(a, b Peer) bool { return a.ID == lagging.ID || b.ID == lagging.ID } })
		for range 3 {
			f.convergeExcept(t, f.accept(f.at("r0-d0", 0)), lagging)
		}
		is.Equal(f.proc(lagging).current.Version(), uint64(1))
		f.setRules(func() { f.isCut = nil })
		f.converge(t, 4, 3*time.Second)
		is.Equal(f.count("snapshot same-domain"), 0)

		f.setRules(func() { f.isCut = func(a, b Peer) bool { return a.ID == lagging.ID || b.ID == lagging.ID } })
		for range maxChainDeltas + 1 {
			f.convergeExcept(t, f.accept(f.at("r0-d0", 0)), lagging)
		}
		f.setRules(func() { f.isCut = nil })
		f.converge(t, 4+maxChainDeltas+1, 3*time.Second)
		is.Equal(f.count("snapshot same-domain"), 1)
	})
}

// convergeExcept is converge for all nodes but one.
func (f *fleet) convergeExcept(t *testing.T, version uint64, but *member.Record) {
	t.Helper()
	for i := 0; len(f.behind(version)) > 1; i++ {
		if i > 2000 {
			t.Fatalf("not at version %d without %s: %v", version, but.ID, f.behind(version))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against corrupt, inconsistent or older offers that change a node, and
// against refusals that are not counted.
func TestRefusedOffersAreCountedByCause(t *testing.T) {
	f := newFleet(4, 1, 1, 1)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		p := f.proc(f.records[0])
		v2, d2 := f.publishChange()
		v3, d3 := f.publishChange()
		wrong := *d3
		wrong.Digest[0] ^= 1
		dangling := *d2
		dangling.Deletes = []object.Key{{Kind: object.KindEndpointSet, Name: "s1"}}
		offer := func(version uint64, d *snapshot.Delta) peerpb.OfferReply_Status {
			data, err := snapshot.EncodeDelta(d)
			is.NoErr(err)
			return p.node.HandleOffer(&peerpb.OfferRequest{Sender: "x", Version: version, Deltas: [][]byte{data}}).Status
		}
		is.Equal(offer(2, &dangling), peerpb.OfferReply_REFUSED)
		is.Equal(offer(3, d3), peerpb.OfferReply_WANT) // base 2 is not in force
		is.Equal(p.current.Version(), uint64(1))
		is.Equal(offer(2, d2), peerpb.OfferReply_APPLIED)
		is.Equal(offer(2, d2), peerpb.OfferReply_HAVE)
		is.Equal(offer(3, &wrong), peerpb.OfferReply_REFUSED)
		half := p.node.HandleOffer(&peerpb.OfferRequest{Version: 3, Deltas: [][]byte{{1, 2, 3}}})
		is.Equal(half.Status, peerpb.OfferReply_REFUSED)
		is.Equal(p.current.Load().Digest(), v2.Digest())
		is.Equal(offer(3, d3), peerpb.OfferReply_APPLIED)
		is.Equal(offer(2, d2), peerpb.OfferReply_HAVE) // a paused relay resumes and repeats an old offer
		digest := v2.Digest()
		is.Equal(len(p.node.HandleFetchDeltas(&peerpb.FetchDeltasRequest{Version: 2, Digest: digest[:]}).Deltas), 1)
		digest[0] ^= 1 // a caller whose base has other content
		is.True(p.node.HandleFetchDeltas(&peerpb.FetchDeltasRequest{Version: 2, Digest: digest[:]}).NeedSnapshot)
		is.Equal(p.current.Load().Digest(), v3.Digest())
		for c, want := range map[string]uint64{"dangling": 1, "base_mismatch": 1, "corrupt": 2, "stale": 1} {
			got := p.node.stats.set.GetOrCreateCounter(`siskingw_spread_refused_total{cause="` + c + `"}`).Get()
			if got != want {
				t.Errorf("cause %s counted %d times, want %d", c, got, want)
			}
		}
	})
}

// Guards against stopped or unreachable tree roots, region heads and inner
// nodes that delay a change for longer than a takeoverTimeout and a heartbeat.
func TestDeadRelaysAreBypassed(t *testing.T) {
	for name, unreachable := range map[string]bool{"stopped": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, 3, 2, 9)
			f.run(t, func(t *testing.T) {
				stopped := make(map[string]bool)
				for _, d := range []string{"r0-d0", "r1-d0", "r2-d1"} {
					for _, rank := range []int{0, 4} {
						r := f.at(d, rank)
						stopped[r.ID] = true
						f.kill(r)
					}
				}
				if unreachable {
					f.setRules(func() { f.isCut = func(a, b Peer) bool { return stopped[a.ID] || stopped[b.ID] } })
				}
				for _, origin := range []int{8, 10, 30, 50} {
					version := f.accept(f.records[origin])
					took := f.converge(t, version, 10*time.Second)
					if limit := 1300 * time.Millisecond; took > limit {
						t.Errorf("change accepted at %s took %s, limit %s", f.records[origin].ID, took, limit)
					}
					elapse(5 * time.Second)
				}
			})
		})
	}
}

// Guards against an unreachable head or inner node that delays a change by more
// than one takeoverTimeout: its parent must reach the nodes below it, and the
// next relay must take over its roles in the tree and between regions, even if
// that relay already has the version.
func TestUnreachableNodeDelaysByOneTakeoverTimeout(t *testing.T) {
	for rank := range 3 {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			f := newFleet(12, 2, 2, 12)
			f.run(t, func(t *testing.T) {
				unreachable := f.at("r0-d0", rank)
				f.setRules(func() { f.isCut = func(a, b Peer) bool { return a.ID == unreachable.ID || b.ID == unreachable.ID } })
				f.kill(unreachable)
				for _, origin := range []*member.Record{f.at("r0-d0", 11), f.at("r0-d1", 5), f.at("r1-d1", 0)} {
					took := f.converge(t, f.accept(origin), 10*time.Second)
					if limit := takeoverTimeout + 100*time.Millisecond; took > limit {
						t.Errorf("change accepted at %s took %s, limit %s", origin.ID, took, limit)
					}
					elapse(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a version that waits for the comparisons between relays because it was
// offered to a starting root or head: that node counted as having the version, but takes
// over no role until its recovery ends.
func TestStartingNodeDelaysByOneTakeoverTimeout(t *testing.T) {
	for _, tc := range []struct {
		domain string
		rank   int
	}{{"r0-d0", 0}, {"r0-d0", 1}, {"r0-d1", 0}, {"r1-d0", 0}, {"r1-d1", 0}, {"r1-d1", 1}} {
		t.Run(fmt.Sprint(tc.domain, " rank ", tc.rank), func(t *testing.T) {
			f := newFleet(15, 2, 2, 12)
			f.run(t, func(t *testing.T) {
				starting := f.at(tc.domain, tc.rank)
				f.setRules(func() { // it gets offers but can fetch nothing
					f.dropMessage = func(_ string, from, _ Peer) bool { return from.ID == starting.ID }
				})
				rejecting := &rejectableSource{fakeSource: f.source}
				rejecting.rejecting.Store(true)
				f.sourceFor = func(*member.Record) Source { return rejecting }
				f.restart([]*member.Record{starting})
				for _, origin := range []*member.Record{f.at("r0-d0", 11), f.at("r0-d1", 5), f.at("r1-d1", 3)} {
					version, start := f.accept(origin), time.Now()
					for len(f.behind(version)) > 1 {
						if took := time.Since(start); took > takeoverTimeout+100*time.Millisecond {
							t.Fatalf("change accepted at %s is not at %v after %s", origin.ID, f.behind(version), took)
						}
						time.Sleep(5 * time.Millisecond)
					}
					elapse(5 * time.Second)
				}
				f.setRules(func() { f.dropMessage = nil })
				f.converge(t, f.source.latest().Version(), targetTime)
			})
		})
	}
}

// Guards against a region that gets a version only from the comparisons between relays,
// up to 5 s later, because its head is reached from other regions but reaches no node of
// its own: the head counted as having distributed the version.
func TestHeadThatReachesNoNodeOfItsRegion(t *testing.T) {
	for _, size := range []struct{ domains, nodes int }{{1, 2}, {2, 1}, {2, 4}, {2, 12}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(16, 3, size.domains, size.nodes)
			f.run(t, func(t *testing.T) {
				elapse(7 * time.Second)
				head := f.at("r2-d0", 0)
				f.setRules(func() { f.isCut = func(a, b Peer) bool { return a.ID == head.ID && b.Region == head.Region } })
				for range 3 {
					if took := f.converge(t, f.accept(f.at("r0-d0", 0)), targetTime); took > takeoverTimeout+100*time.Millisecond {
						t.Errorf("took %s", took)
					}
					elapse(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a failure domain that gets no change while its membership has
// not yet replaced relays that all crashed at once.
func TestDomainWithoutRelaysIsReached(t *testing.T) {
	f := newFleet(13, 2, 2, 10)
	f.run(t, func(t *testing.T) {
		for rank := range member.RelayCount {
			f.kill(f.at("r0-d0", rank))
			f.kill(f.at("r1-d1", rank))
		}
		for _, origin := range []*member.Record{f.at("r0-d1", 9), f.at("r1-d0", 0), f.at("r1-d1", 7)} {
			if took := f.converge(t, f.accept(origin), 10*time.Second); took > takeoverTimeout {
				t.Errorf("change accepted at %s took %s", origin.ID, took)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against a region's head that applies a version and crashes before it
// forwards it.
func TestNextRelayTakesOverDistribution(t *testing.T) {
	f := newFleet(6, 3, 2, 5)
	f.run(t, func(t *testing.T) {
		head := f.at("r0-d0", 0)
		f.setRules(func() {
			f.dropMessage = func(kind string, from, to Peer) bool {
				return kind == "push" && from.ID == head.ID && from.FailureDomain != to.FailureDomain
			}
		})
		version := f.accept(head)
		time.Sleep(10 * time.Millisecond)
		f.kill(head)
		if took := f.converge(t, version, 10*time.Second); took > 800*time.Millisecond {
			t.Errorf("took %s", took)
		}
	})
}

// Guards against halves of a partition that do not converge after it heals, or
// that exchange snapshots although deltas suffice.
func TestPartitionHealsThroughDeltas(t *testing.T) {
	f := newFleet(7, 3, 2, 5)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		f.setRules(func() { f.isCut = func(a, b Peer) bool { return (a.Region == "r2") != (b.Region == "r2") } })
		f.source.setDown(true)
		var version uint64
		for range 3 {
			version = f.accept(f.records[0])
			time.Sleep(time.Second)
		}
		is.Equal(len(f.behind(version)), 10)
		f.setRules(func() { f.isCut = nil })
		f.converge(t, version, 5*time.Second)
		for _, class := range []string{"same-domain", "same-region", "cross-region"} {
			is.Equal(f.count("snapshot "+class), 0)
		}
	})
}

// Guards against an acceptor that crashes before it pushes its version: the
// store readers must find it, the second one if the first has stopped.
func TestStoreReadersFindVersionThatNobodyPushed(t *testing.T) {
	f := newFleet(8, 2, 2, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		time.Sleep(2 * readerSettleTime)
		next, _ := f.publishChange()
		is.True(f.converge(t, next.Version(), 5*time.Second) < 500*time.Millisecond)
		is.Equal(f.source.total(&f.source.loads), 1)
		f.kill(f.at("r0-d0", 0))
		next, _ = f.publishChange()
		is.True(f.converge(t, next.Version(), 5*time.Second) < time.Second)
	})
}

// Guards against versions that are lost in a gap of the watch or accepted while
// the readers cannot reach the store, and against store calls that increase
// during an outage.
func TestStoreOutageAndWatchGap(t *testing.T) {
	f := newFleet(9, 2, 2, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		f.source.setDown(true)
		next, _ := f.publishChange()
		before := f.source.total(&f.source.calls)
		elapse(60 * time.Second)
		is.Equal(len(f.behind(next.Version())), len(f.records))
		if n := f.source.total(&f.source.calls) - before; n > 60*3 {
			t.Errorf("%d store calls in an outage of 60 s", n)
		}
		f.source.setDown(false)
		f.converge(t, next.Version(), storeRetryMax+2*time.Second)

		elapse(20 * time.Second)
		f.source.setGap(true)
		next, _ = f.publishChange()
		time.Sleep(time.Second)
		f.source.setGap(false)
		f.source.compact()
		f.converge(t, next.Version(), storeRetryMax+2*time.Second)

		f.source.setGap(true) // a watch that stalls without an error
		for range 2 {
			next, _ = f.publishChange()
			f.converge(t, next.Version(), headPollInterval*12/10)
		}
	})
}

// Guards against regions that get no change when the store's region is down.
func TestOtherRegionsWatchWhenStoreRegionIsDown(t *testing.T) {
	f := newFleet(10, 2, 2, 5)
	f.run(t, func(t *testing.T) {
		elapse(5 * time.Second)
		if n := f.source.watches(); n != 6 {
			t.Errorf("%d watches, want those of the 6 relays of the store's region", n)
		}
		for _, r := range f.records[:10] {
			f.kill(r)
		}
		elapse(15 * time.Second)
		next, _ := f.publishChange()
		f.converge(t, next.Version(), 2*time.Second)
	})
}
