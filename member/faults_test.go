package member

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// announceWithTimeout runs announce with a short timeout.
func announceWithTimeout(announce func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	announce(ctx)
}

// Guards against a draining or departed node whose announcement, made while its
// link was cut in one or both directions, is never learned after the link is
// restored, and against keeping a node that dies while it is draining.
func TestDrainAndLeaveAcrossCuts(t *testing.T) {
	for name, cuts := range map[string][][2]string{
		"towards the others": {{"alone", "rest"}},
		"from the others":    {{"rest", "alone"}},
		"both":               {{"alone", "rest"}, {"rest", "alone"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for i := range 6 {
				c.start(fmt.Sprintf("n%d", i), "fd", "region", "rest")
			}
			n := c.start("drains", "fd", "region", "alone")
			c.waitFor(4*time.Second, "join", hasLive(7))
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], true)
			}
			announceWithTimeout(n.service.Drain)
			time.Sleep(300 * time.Millisecond)
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], false)
			}
			t.Logf("draining known after %s", c.waitFor(4*time.Second, "drain", hasState("drains", Draining)))
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], true)
			}
			announceWithTimeout(n.service.Leave)
			n.stop()
			delete(c.nodes, "drains")
			t.Logf("departure known after %s", c.waitFor(6*time.Second, "leave", func(n *testNode) string {
				if r := n.dir.Lookup("drains"); !r.Departed() {
					return r.State.String()
				}
				return ""
			}))
		})
	}
}

// Guards against a node that dies or becomes unreachable while it is draining
// and stays listed as draining, and against an unreachable node that is alive
// instead of draining when it is reachable again.
func TestDrainingNodeDiesOrFallsSilent(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent %t", silent), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for i := range 6 {
				c.start(fmt.Sprintf("n%d", i), "fd", "region", "rest")
			}
			n := c.start("drains", "fd", "region", "alone")
			c.waitFor(4*time.Second, "join", hasLive(7))
			announceWithTimeout(n.service.Drain)
			c.waitFor(2*time.Second, "drain", hasState("drains", Draining))
			if !silent {
				n.stop()
				delete(c.nodes, "drains")
				c.waitFor(6*time.Second, "death", hasState("drains", Dead))
				return
			}
			for _, cut := range [][2]string{{"alone", "rest"}, {"rest", "alone"}} {
				c.links.set(cut[0], cut[1], true)
			}
			deadOnOtherNodes := func(n *testNode) string {
				if n.dir.Self().ID == "drains" {
					return ""
				}
				return hasState("drains", Dead)(n)
			}
			c.waitFor(6*time.Second, "declared dead", deadOnOtherNodes)
			for _, cut := range [][2]string{{"alone", "rest"}, {"rest", "alone"}} {
				c.links.set(cut[0], cut[1], false)
			}
			c.waitFor(6*time.Second, "refutation", hasState("drains", Draining))
		})
	}
}

// Guards against a join that fails because the only seed in the local failure
// domain is unreachable in one direction.
func TestJoinOverLinkCutInOneDirection(t *testing.T) {
	for name, cut := range map[string][2]string{"from the joiner": {"joiner", "first"}, "to the joiner": {"first", "joiner"}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.start("n0", "fd-0", "region", "first")
			c.start("n1", "fd-0", "region", "second")
			c.start("n2", "fd-1", "region", "second")
			c.links.set(cut[0], cut[1], true)
			c.start("joins", "fd-0", "region", "joiner")
			c.waitFor(4*time.Second, "join", hasLive(4))
		})
	}
}

// Guards against a departed member that becomes alive again, and against
// tombstones of other nodes that are dropped or kept wrongly, when the wall
// clock of one node steps.
func TestTombstonesAcrossClockSteps(t *testing.T) {
	is := is.New(t)
	for _, step := range []time.Duration{-24 * time.Hour, 24 * time.Hour} {
		clock, steady := clockwork.NewFakeClock(), clockwork.NewFakeClock()
		stepped := NewDirectory(Record{ID: "a", Incarnation: 1, FailureDomain: "fd"}, DirectoryOptions{Clock: clock})
		other := NewDirectory(Record{ID: "b", Incarnation: 1, FailureDomain: "fd"}, DirectoryOptions{Clock: steady})
		left := Record{ID: "m", Incarnation: 1, Sequence: 3, State: Left, FailureDomain: "fd"}
		send := func(from, to *Directory, at, now time.Time) {
			batch, err := codec{at}.encode(from.All())
			is.NoErr(err)
			records, err := codec{now}.decode(batch)
			is.NoErr(err)
			to.Merge(records)
		}
		stepped.Merge([]Record{left})
		send(stepped, other, clock.Now(), steady.Now())
		clock.Advance(step)
		for range 2 {
			send(other, stepped, steady.Now(), clock.Now())
			send(stepped, other, clock.Now(), steady.Now())
		}
		for _, d := range []*Directory{stepped, other} {
			old := left
			old.Sequence, old.State = 2, Alive
			d.Merge([]Record{old}) // a late copy from before the departure
			is.Equal(d.Lookup("m").State, Left)
		}
	}
}
