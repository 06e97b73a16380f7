package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskingw/admit"
)

// Parameters of a simulated target: those of one endpoint of auction-floor.
const (
	targetSlots  = 9
	targetWork   = 10 * time.Millisecond
	callDeadline = 500 * time.Millisecond
)

// offeredLoads are the offered rates, as multiples of the capacity.
var offeredLoads = []float64{0.5, 1, 2, 5}

// longQueueLength is a queue length at which calls wait for up to 240 ms, so that
// the queueing discipline makes a difference.
const longQueueLength = 216

// gatePolicy is a gate configuration under test.
type gatePolicy struct {
	name    string
	newGate func() *admit.Gate
}

func newGateWith(queue int, timeout time.Duration, d admit.Discipline) func() *admit.Gate {
	return func() *admit.Gate {
		return admit.New(admit.Options{Slots: targetSlots, QueueLength: queue, QueueTimeout: timeout, Discipline: d})
	}
}

var gatePolicies = []gatePolicy{
	{"no gate", func() *admit.Gate { return nil }},
	{"FIFO, 18 places", newGateWith(0, 0, admit.FIFO)},
	{"LIFO, 18 places", newGateWith(0, 0, admit.LIFO)},
	{"CoDel, 18 places", newGateWith(0, 0, admit.CoDel)},
	{"FIFO, 216 places", newGateWith(longQueueLength, callDeadline, admit.FIFO)},
	{"LIFO, 216 places", newGateWith(longQueueLength, callDeadline, admit.LIFO)},
	{"CoDel, 216 places", newGateWith(longQueueLength, callDeadline, admit.CoDel)},
}

// gates measures goodput and refusals of each gate configuration at each load.
// All configurations run concurrently, each with its own target; the targets
// only sleep and so do not compete for CPU time.
func (c *Command) gates(ctx context.Context) error {
	capacity := targetSlots / targetWork.Seconds()
	columns := append([]string{"queue", "load"}, goodputColumns...)
	t := newTable(c.out, fmt.Sprintf("Gate without HTTP: %d slots, %v work, capacity %.0f/s, deadline %v, %v per run",
		targetSlots, targetWork, capacity, callDeadline, c.duration), columns...)
	results := make([][]*Result, len(gatePolicies))
	for _, load := range offeredLoads {
		var wg sync.WaitGroup
		for i, p := range gatePolicies {
			results[i] = append(results[i], nil)
			at := len(results[i]) - 1
			wg.Go(func() {
				w := newWorker(targetSlots, targetWork, p.newGate())
				g := generator{rate: load * capacity, duration: c.duration, mix: defaultMix, call: w.call, deadline: callDeadline}
				results[i][at] = g.run(ctx)
			})
		}
		wg.Wait()
	}
	for i, p := range gatePolicies {
		for j, load := range offeredLoads {
			t.row(append([]any{p.name, load}, goodputCells(results[i][j])...)...)
		}
		goodAtCapacity, goodAtFiveTimes := results[i][1].Rate(Good), results[i][3].Rate(Good)
		fmt.Fprintf(c.out, "<!-- %s: goodput at 5 times is %.1f%% of that at 1 times -->\n",
			p.name, 100*goodAtFiveTimes/goodAtCapacity)
	}
	return ctx.Err()
}
