package budget

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testLimits = Limits{Bytes: 1 << 20, MinRate: 1000, StallTime: 3 * time.Second, MaxStalled: 8, MaxStalledPerOwner: 4}

// Guards against a budget that is exceeded, that leaks what ended calls held, or whose
// last part large bodies take from small ones.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		b := New(testLimits)
		held := make(map[*Hold]int64)
		var order []*Hold
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action == 0 || len(order) == 0:
				h := b.Open("a", func(Direction) {})
				order, held[h] = append(order, h), 0
			case action == 1:
				h := order[rapid.IntRange(0, len(order)-1).Draw(t, "closed")]
				h.Close()
				delete(held, h)
			default:
				h := order[rapid.IntRange(0, len(order)-1).Draw(t, "grown")]
				n := rapid.SampledFrom([]int{1, 1000, smallBytes - 1, smallBytes, 100<<10 + 1, 301 << 10}).Draw(t, "bytes")
				if _, open := held[h]; !open {
					break
				}
				before := b.Used()
				if h.Grow(n) {
					held[h] += int64(n)
					is.True(held[h] <= smallBytes || before+int64(n) <= testLimits.Bytes*3/4) // large ones leave a quarter
				}
				if rapid.IntRange(0, 3).Draw(t, "shrunk") == 0 {
					h.Shrink(n)
					held[h] = max(held[h]-int64(n), 0)
				}
			}
			sum := int64(0)
			for _, n := range held {
				sum += n
			}
			is.Equal(b.Used(), sum)
			is.True(b.Used() <= testLimits.Bytes)
		}
	})
}

// Guards against a hold that counts again after its call has ended.
func TestClosedHoldCountsNothing(t *testing.T) {
	is := is.New(t)
	b := New(testLimits)
	h := b.Open("a", func(Direction) {})
	is.True(h.TakeSlot(1))
	h.Close()
	is.True(!h.Grow(10))
	is.True(!h.TakeSlot(1))
	h.Close()
	is.Equal(b.Used(), int64(0))
	is.True(b.Open("a", func(Direction) {}).TakeSlot(1)) // the slot is free again
}

// client is a call whose client sends rate bytes each second.
type client struct {
	hold    *Hold
	evicted chan Direction
}

func open(b *Budget, owner string) *client {
	c := &client{evicted: make(chan Direction, 1)}
	c.hold = b.Open(owner, func(d Direction) { c.evicted <- d })
	return c
}

// send moves n bytes at a time, every interval, until the test ends or the client is
// evicted.
func (c *client) send(n int, interval time.Duration) {
	for begin := time.Now(); !c.hold.Evicted() && time.Since(begin) < time.Minute; {
		c.hold.BeginWait(Receive)
		time.Sleep(interval)
		c.hold.EndWait(Receive, n)
	}
}

// Guards against stalled clients that keep the memory which others need, against clients
// that are evicted in calm, and against the eviction of clients that send or whose body
// has arrived.
func TestOnlyStalledClientsAreEvictedAndOnlyUnderPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(testLimits)
		stopped, dripping, sending, arrived := open(b, "a"), open(b, "b"), open(b, "c"), open(b, "d")
		for _, c := range []*client{stopped, dripping, sending, arrived} {
			is.True(c.hold.Grow(190 << 10))
		}
		stopped.hold.BeginWait(Receive)
		arrived.hold.BeginWait(Receive)
		arrived.hold.EndWait(Receive, 190<<10)
		time.Sleep(time.Second) // the stopped client has waited for longest
		var wg sync.WaitGroup
		wg.Go(func() { dripping.send(100, time.Second) })
		wg.Go(func() { sending.send(1500, time.Second) })
		const calm = 10*time.Second + time.Millisecond // of the bubble's clock
		time.Sleep(calm)
		is.Equal(b.Evicted(), int64(0)) // calm
		other := open(b, "e")
		is.True(!other.hold.Grow(100 << 10))
		is.True(stopped.hold.Evicted())
		stopped.hold.Close()
		is.True(!other.hold.Evicted())
		time.Sleep(sweepInterval)
		is.True(other.hold.Grow(100 << 10)) // the stopped one has made room
		is.True(!other.hold.Grow(200 << 10))
		is.True(dripping.hold.Evicted())
		dripping.hold.Close()
		time.Sleep(sweepInterval)
		is.True(!other.hold.Grow(1 << 20))
		is.Equal(b.Evicted(), int64(2)) // neither the one that sends nor the one that arrived
		sending.hold.evicted.Store(true)
		wg.Wait()
	})
}

// Guards against clients that occupy the target's slots without sending or reading, and
// against calls at the target that are evicted though their clients do.
func TestStalledClientsLeaveTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(testLimits)
		upload, download, elsewhere, fresh := open(b, "a"), open(b, "a"), open(b, "a"), open(b, "a")
		is.True(upload.hold.TakeSlot(1))
		is.True(upload.hold.TakeSlot(1)) // the same call, at another try
		download.hold.MarkSlot()
		upload.hold.BeginWait(Receive)
		download.hold.BeginWait(Send)
		elsewhere.hold.BeginWait(Receive)
		time.Sleep(4 * time.Second)
		fresh.hold.BeginWait(Receive)
		is.True(!fresh.hold.TakeSlot(1))
		is.Equal(<-upload.evicted, Receive)
		is.Equal(<-download.evicted, Send)
		is.Equal(b.Evicted(), int64(2))
		upload.hold.Close()
		is.True(fresh.hold.TakeSlot(1))
	})
}

// Guards against one address, or all of them, with any number of stalled bodies.
func TestStalledBodiesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(testLimits)
		var clients []*client
		for _, owner := range []string{"a", "a", "a", "a", "a", "a", "b", "b", "b", "c", "c", "c"} {
			c := open(b, owner)
			c.hold.BeginWait(Receive)
			clients = append(clients, c)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		is.Equal(b.Evicted(), int64(0))
		open(b, "d")
		is.Equal(b.Evicted(), int64(4)) // of 12, 8 remain
		left := make(map[string]int)
		for i, owner := range []string{"a", "a", "a", "a", "a", "a", "b", "b", "b", "c", "c", "c"} {
			if !clients[i].hold.Evicted() {
				left[owner]++
			}
		}
		is.True(left["a"] <= testLimits.MaxStalledPerOwner)
	})
}

// Guards against one address with more stalled bodies than it may have, while there are
// few of them in all.
func TestStalledBodiesOfOneClientAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(testLimits)
		var clients []*client
		for range testLimits.MaxStalledPerOwner + 1 {
			clients = append(clients, open(b, "a"))
		}
		clients = append(clients, open(b, "b"))
		for _, c := range clients {
			c.hold.BeginWait(Receive)
			time.Sleep(time.Millisecond)
		}
		is.True(len(clients) < testLimits.MaxStalled)
		time.Sleep(4 * time.Second)
		open(b, "c")
		is.Equal(b.Evicted(), int64(1))
		is.True(clients[0].hold.Evicted()) // the longest stalled of the address
	})
}

// Guards against a process without a budget that fails.
func TestNilBudgetHasNoLimits(t *testing.T) {
	is := is.New(t)
	var b *Budget
	h := b.Open("a", nil)
	is.True(h.Grow(1 << 40))
	is.True(h.TakeSlot(0))
	h.MarkSlot()
	h.BeginWait(Receive)
	h.EndWait(Receive, 1)
	h.Shrink(1)
	h.Close()
	is.True(!h.Evicted())
	b.EvictStalled()
	b.EvictFromSlots()
}
