package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/member"
	"siskingw/peer/peerpb"
)

// restart replaces the processes of the records by new ones without state.
func (f *fleet) restart(records []*member.Record) {
	for _, r := range records {
		f.kill(r)
	}
	for _, r := range records {
		f.start(r, nil)
	}
}

// Guards against a node that starts with the version of one lagging source and
// so has an older version in force than its previous process.
func TestStartTakesHighestOfSeveralSources(t *testing.T) {
	f := newFleet(20, 1, 1, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		lagging, starting := f.at("r0-d0", 0), f.at("r0-d0", 5)
		f.setRules(func() {
			f.isCut = func(a, b Peer) bool {
				return a.ID == lagging.ID && b.ID != starting.ID || b.ID == lagging.ID && a.ID != starting.ID
			}
		})
		f.source.setDown(true)
		f.accept(f.at("r0-d0", 1))
		time.Sleep(time.Second)
		is.Equal(f.proc(lagging).current.Version(), uint64(1))
		f.restart([]*member.Record{starting})
		p := f.proc(starting)
		is.True(!p.node.Ready())
		// The lagging source offers its version before the others were queried.
		is.Equal(p.node.HandleOffer(&peerpb.OfferRequest{Sender: lagging.ID, Version: 1}).Status, peerpb.OfferReply_WANT)
		for !p.node.Ready() {
			time.Sleep(time.Millisecond)
		}
		is.Equal(p.current.Version(), uint64(2)) // the first version that is in force
	})
}

// Guards against a node that stops querying after one source of its failure
// domain, which may be behind.
func TestStartAsksOutsideWhenFewSourcesAnswer(t *testing.T) {
	f := newFleet(25, 1, 2, 2)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		starting, lagging := f.at("r0-d0", 0), f.at("r0-d0", 1)
		f.setRules(func() {
			f.isCut = func(a, b Peer) bool {
				return a.ID == lagging.ID && b.ID != starting.ID || b.ID == lagging.ID && a.ID != starting.ID
			}
		})
		f.source.setDown(true)
		f.kill(starting)
		f.accept(f.at("r0-d1", 0))
		time.Sleep(time.Second)
		p := f.start(starting, nil)
		for !p.node.Ready() {
			time.Sleep(time.Millisecond)
		}
		is.Equal(p.current.Version(), uint64(2))
	})
}

// Guards against a restarting failure domain whose nodes all fetch over a
// metered link, against more transfers than allowed, and against recovery that
// needs the store.
func TestRestartedDomainFetchesAcrossOnce(t *testing.T) {
	f := newFleet(21, 2, 2, 40)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		f.source.setDown(true)
		version := f.accept(f.records[0])
		f.converge(t, version, time.Second)
		f.restart(f.records[40:80])
		took := f.converge(t, version, 20*time.Second)
		t.Logf("took %s", took)
		is.True(took < 10*time.Second)
		is.Equal(f.count("snapshot same-region"), 1)
		is.Equal(f.count("snapshot cross-region"), 0)
	})
}

// Guards against a fleet that does not recover after all nodes restart while
// the store is down, and against a thundering herd on the store after the
// outage.
func TestWholeFleetRestartsDuringStoreOutage(t *testing.T) {
	f := newFleet(22, 3, 2, 20)
	f.run(t, func(t *testing.T) {
		version := f.accept(f.records[0])
		f.converge(t, version, time.Second)
		f.source.setDown(true)
		f.restart(f.records)
		elapse(30 * time.Second)
		if n := len(f.behind(0)); n != 0 {
			t.Errorf("%d nodes are ready without any source", n)
		}
		f.source.setDown(false)
		calls := f.source.total(&f.source.calls)
		took := f.converge(t, version, 30*time.Second)
		t.Logf("took %s after the outage", took)
		if n := f.count("snapshot cross-region"); n != 2 {
			t.Errorf("%d transfers between regions, want one into each of 2", n)
		}
		if took > 15*time.Second {
			t.Errorf("took %s", took)
		}
		if n := f.source.total(&f.source.calls) - calls; n > 100 {
			t.Errorf("%d store calls after the outage", n)
		}
	})
}

// Guards against two transfers into the same region because the second-ranked
// starting node finds the version, and its turn comes, while the first-ranked one
// is between two rounds of queries.
func TestFirstRankedNodeFetchesWhatALaterOneFinds(t *testing.T) {
	f := newFleet(26, 2, 1, maxCandidates+4)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		f.source.setDown(true)
		first, second := f.at("r1-d0", 0), f.at("r1-d0", 1)
		var others []*member.Record
		source := f.at("r0-d0", maxCandidates+3) // no node of another region queries it
		for _, r := range f.records {
			if r != source && r.Region == source.Region {
				f.kill(r)
			} else if r != source {
				others = append(others, r)
			}
		}
		f.restart(others)
		elapse(10 * time.Second) // until the nodes query at their longest interval
		is.Equal(len(f.behind(0)), 1)
		found := time.Now()
		for f.proc(first).current.Version() == 0 {
			is.True(time.Since(found) < defaultCrossStep)
			f.proc(second).node.recovery.addHint(PeerOf(source), 1)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(f.proc(second).current.Version(), uint64(0))
		f.converge(t, 1, 10*time.Second)
		is.Equal(f.count("snapshot cross-region"), 1)
	})
}

// Guards against a starting node that takes itself for the first-ranked one, and
// fetches over a metered link at once, because it learned of a version before the
// first-ranked one had answered its query.
func TestHintDuringQueryLeavesFetchToFirstRankedNode(t *testing.T) {
	f := newFleet(27, 2, 1, 6)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		f.source.setDown(true)
		first, second := f.at("r1-d0", 0), f.at("r1-d0", 1)
		f.setRules(func() {
			f.dropMessage = func(kind string, from, to Peer) bool {
				return kind != "snapshot" && from.Region == "r0" && to.Region == "r1"
			}
			f.delayMessage = func(kind string, from, to Peer) time.Duration {
				if to.ID == first.ID {
					return 25 * time.Millisecond // each way: less than the wait for remaining answers
				}
				return 0
			}
		})
		for _, r := range f.records[:6] {
			f.kill(r)
		}
		f.restart(f.records[6:])
		elapse(5 * time.Second)
		for _, r := range f.records[:6] {
			f.start(r, f.published[1])
		}
		for f.proc(second).current.Version() == 0 {
			f.proc(second).node.recovery.addHint(PeerOf(f.records[0]), 1)
			time.Sleep(time.Millisecond)
		}
		is.Equal(f.proc(first).current.Version(), uint64(1)) // second has its version
		f.converge(t, 1, 10*time.Second)
		is.Equal(f.count("snapshot cross-region"), 1)
	})
}

// Guards against starting nodes that know only themselves and their seeds,
// consider themselves relays and all call the store or fetch over a metered
// link.
func TestUnjoinedNodesDoNotFloodStoreOrCrossDomainLink(t *testing.T) {
	f := newFleet(24, 1, 2, 40)
	for _, i := range []int{0, 1, 2, 40, 41} {
		f.seeds = append(f.seeds, PeerOf(f.records[i]))
	}
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		version := f.accept(f.records[0])
		f.converge(t, version, time.Second)
		elapse(7 * time.Second)
		before := f.source.total(&f.source.calls)
		f.joinDelay = 2 * time.Second
		f.restart(f.records[:40])
		took := f.converge(t, version, 20*time.Second)
		t.Logf("took %s", took)
		elapse(7 * time.Second)
		is.Equal(f.count("snapshot same-region"), 1)
		// Each of the 3 relays of the failure domain reads the head and
		// watches.
		if n := f.source.total(&f.source.calls) - before; n > 3*2 {
			t.Errorf("%d store calls", n)
		}
	})
}

// Guards against a source that serves an unlimited number of concurrent
// transfers.
func TestBusySourceNamesOthers(t *testing.T) {
	f := newFleet(23, 1, 1, 1)
	f.run(t, func(t *testing.T) {
		is := is.New(t)
		n := f.proc(f.records[0]).node
		var releases []func(bool)
		for range maxTransfers {
			data, release, busy := n.HandleFetchSnapshot(caller("a"))
			is.True(len(data) > 0 && busy == nil)
			releases = append(releases, release)
		}
		_, _, busy := n.HandleFetchSnapshot(caller("b"))
		is.True(busy != nil && busy.RetryMs > 0)
		releases[0](true)
		data, release, _ := n.HandleFetchSnapshot(caller("b"))
		is.True(len(data) > 0)
		_, _, busy = n.HandleFetchSnapshot(caller("c"))
		is.Equal(busy.Peers[0].Addr, "a:1")
		release(true)
	})
}

// step is one action of the stateful test.
type step struct {
	kind string
	node int
	wait int // ms after the action
}

// Guards against any sequence of changes, faults, restarts and partitions that
// moves a node to an older version, puts content in force that was never
// published, or leaves nodes at different versions after the faults end.
func TestRandomFaultsKeepVersionsConsistentAndConverge(t *testing.T) {
	kinds := []string{"accept", "accept", "accept", "acceptThenCrash", "kill", "start",
		"partition", "heal", "messageFaults", "noMessageFaults", "storeDown", "storeUp", "replay"}
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 8).Draw(t, "node"),
			rapid.IntRange(0, 1200).Draw(t, "wait")}
	}), 1, 25)
	rapid.Check(t, func(rt *rapid.T) {
		regions, domains := rapid.IntRange(1, 3).Draw(rt, "regions"), rapid.IntRange(1, 2).Draw(rt, "domains")
		nodes := max(1, rapid.IntRange(5, 9).Draw(rt, "nodes")/(regions*domains))
		f := newFleet(rapid.Uint64().Draw(rt, "seed"), regions, domains, nodes)
		sequence := steps.Draw(rt, "steps")
		failure := ""
		f.run(t, func(t *testing.T) {
			for _, s := range sequence {
				f.perform(s)
				time.Sleep(time.Duration(s.wait) * time.Millisecond)
				if failure = f.firstViolation(); failure != "" {
					return
				}
			}
			failure = f.settle()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// perform applies one step to the fleet.
func (f *fleet) perform(s step) {
	r := f.records[s.node%len(f.records)]
	switch s.kind {
	case "accept":
		f.accept(r)
	case "acceptThenCrash": // the acceptor crashes before it pushes
		f.publishChange()
		f.kill(r)
	case "kill":
		f.kill(r)
	case "start":
		if f.proc(r) == nil {
			f.start(r, nil)
		}
	case "partition":
		f.setRules(func() { f.isCut = func(a, b Peer) bool { return (a.ID < r.ID) != (b.ID < r.ID) } })
	case "heal":
		f.setRules(func() { f.isCut = nil })
	case "messageFaults":
		f.setRules(func() { f.lossRate, f.duplicateRate, f.corruptRate, f.delayRate = 0.2, 0.2, 0.2, 0.2 })
	case "noMessageFaults":
		f.setRules(func() { f.lossRate, f.duplicateRate, f.corruptRate, f.delayRate = 0, 0, 0, 0 })
	case "storeDown":
		f.source.setDown(true)
	case "storeUp":
		f.source.setDown(false)
	case "replay": // a relay that was paused at version 1 resumes
		if p := f.proc(r); p != nil {
			p.node.HandleOffer(p.node.offerFor(PeerOf(r), f.published[1], 0, offerInfo{asRoot: true, asHead: true}))
		}
	}
}

func (f *fleet) setRules(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
}

// firstViolation returns the first broken invariant. Each advance is checked
// when it happens; this checks the versions that are in force now.
func (f *fleet) firstViolation() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.violations) > 0 {
		return f.violations[0]
	}
	for addr, p := range f.procs {
		s := p.current.Load()
		if s == nil {
			continue
		}
		if want := f.published[s.Version()]; want == nil || want.Digest() != s.Digest() || s.Version() < p.highest {
			return fmt.Sprintf("%s has version %d with digest %s in force", addr, s.Version(), s.Digest())
		}
	}
	return ""
}

// settle ends all faults, starts every node and waits for convergence.
func (f *fleet) settle() string {
	for _, kind := range []string{"heal", "noMessageFaults", "storeUp"} {
		f.perform(step{kind: kind})
	}
	for i := range f.records {
		f.perform(step{kind: "start", node: i})
	}
	version := f.source.latest().Version()
	for range 60 {
		time.Sleep(time.Second)
		if len(f.behind(version)) == 0 {
			return f.firstViolation()
		}
	}
	return fmt.Sprintf("not at version %d after 60 s without faults: %v", version, f.behind(version))
}

func caller(id string) *peerpb.FetchSnapshotRequest {
	return &peerpb.FetchSnapshotRequest{Caller: &peerpb.Source{Id: id, Addr: id + ":1"}}
}
