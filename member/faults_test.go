package member

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// announceIn lets a node announce a state within a bounded time.
func announceIn(announce func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	announce(ctx)
}

// Guards against a node whose draining or departure, stated while its link was
// cut in one direction or both, stays unknown after the cut, and against one
// that dies while it drains and is kept.
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
			c.within(4*time.Second, "join", holdsLive(7))
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], true)
			}
			announceIn(n.service.Drain)
			time.Sleep(300 * time.Millisecond)
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], false)
			}
			t.Logf("draining known after %s", c.within(4*time.Second, "drain", holdsState("drains", Draining)))
			for _, cut := range cuts {
				c.links.set(cut[0], cut[1], true)
			}
			announceIn(n.service.Leave)
			n.stop()
			delete(c.nodes, "drains")
			t.Logf("departure known after %s", c.within(6*time.Second, "leave", func(n *testNode) string {
				if r := n.dir.Lookup("drains"); !r.Departed() {
					return r.State.String()
				}
				return ""
			}))
		})
	}
}

// Guards against a node that dies, or is paused, while it drains: it must not
// stay as draining, and after a pause it is draining and not alive again.
func TestDrainingNodeDiesOrPauses(t *testing.T) {
	for _, pause := range []bool{false, true} {
		t.Run(fmt.Sprintf("pause %t", pause), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for i := range 6 {
				c.start(fmt.Sprintf("n%d", i), "fd", "region", "rest")
			}
			n := c.start("drains", "fd", "region", "alone")
			c.within(4*time.Second, "join", holdsLive(7))
			announceIn(n.service.Drain)
			c.within(2*time.Second, "drain", holdsState("drains", Draining))
			if !pause {
				n.stop()
				delete(c.nodes, "drains")
				c.within(6*time.Second, "death", holdsState("drains", Dead))
				return
			}
			for _, cut := range [][2]string{{"alone", "rest"}, {"rest", "alone"}} { // to others a pause is silence
				c.links.set(cut[0], cut[1], true)
			}
			others := func(n *testNode) string {
				if n.dir.Self().ID == "drains" {
					return ""
				}
				return holdsState("drains", Dead)(n)
			}
			c.within(6*time.Second, "burial", others)
			for _, cut := range [][2]string{{"alone", "rest"}, {"rest", "alone"}} {
				c.links.set(cut[0], cut[1], false)
			}
			c.within(6*time.Second, "refutation", holdsState("drains", Draining))
		})
	}
}

// Guards against a join that fails because the only seed of the own failure
// domain cannot be reached in one direction.
func TestJoinOverLinkCutInOneDirection(t *testing.T) {
	for name, cut := range map[string][2]string{"from the joiner": {"joiner", "first"}, "to the joiner": {"first", "joiner"}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.start("n0", "fd-0", "region", "first")
			c.start("n1", "fd-0", "region", "second")
			c.start("n2", "fd-1", "region", "second")
			c.links.set(cut[0], cut[1], true)
			c.start("joins", "fd-0", "region", "joiner")
			c.within(4*time.Second, "join", holdsLive(4))
		})
	}
}
