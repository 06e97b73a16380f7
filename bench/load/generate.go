// Package load measures how the proxy handles load: the queue of the gate, the
// selection of targets, the overflow to other failure domains, and retries. Some
// experiments simulate the targets without HTTP, the others send calls through
// real proxies in the same process. It is part of meshbench, not of a node.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskingw/object"
)

// Outcome is the result of a generated call.
type Outcome int

// The outcomes.
const (
	Good    Outcome = iota // success response within the deadline
	Refused                // refused and not executed
	Late                   // response after the deadline, or none
	Failed                 // error response, or outcome unknown
	numOutcomes
)

// kinds are the kinds of work, in the order of the table columns.
var kinds = [...]object.WorkKind{object.WorkBid, object.WorkUpload, object.WorkPage}

// defaultMix is the share of calls of each kind in percent: few bids, many pages.
var defaultMix = [len(kinds)]int{20, 20, 60}

// Result holds the measurements of one run.
type Result struct {
	Offered  [len(kinds)]int              // calls by kind, including dropped ones
	Counts   [len(kinds)][numOutcomes]int // calls by kind and outcome
	Dropped  int                          // calls not started because maxOutstanding was reached
	Duration time.Duration                // from the start of the run to that of the last call

	latency        *hdrhistogram.Histogram // in µs, of good calls
	refusalLatency *hdrhistogram.Histogram // in µs, of refused calls
}

const (
	maxLatencyUs    = 60_000_000
	latencyDigits   = 3
	maxOutstanding  = 20_000 // calls; bounds the memory of a run
	microsPerSecond = 1e6
)

func newResult() *Result {
	return &Result{
		latency:        hdrhistogram.New(1, maxLatencyUs, latencyDigits),
		refusalLatency: hdrhistogram.New(1, maxLatencyUs, latencyDigits),
	}
}

// Total returns the number of calls with the outcome, over all kinds.
func (r *Result) Total(o Outcome) int {
	n := 0
	for k := range kinds {
		n += r.Counts[k][o]
	}
	return n
}

// Rate returns the calls per second with the outcome.
func (r *Result) Rate(o Outcome) float64 { return float64(r.Total(o)) / r.Duration.Seconds() }

// percent returns the percentage of the calls of a kind that had the outcome.
// kind is an index of kinds.
func (r *Result) percent(kind int, o Outcome) float64 {
	return 100 * float64(r.Counts[kind][o]) / float64(max(r.Offered[kind], 1))
}

// latencyMs returns a percentile, 0 to 100, of the latency of good calls in ms.
func (r *Result) latencyMs(p float64) float64 { return float64(r.latency.ValueAtQuantile(p)) / 1000 }

// generator is an open-loop load generator: it starts calls as a Poisson process,
// independently of the completion of earlier calls, like many independent
// callers.
type generator struct {
	rate     float64 // calls per second
	duration time.Duration
	mix      [len(kinds)]int
	call     func(ctx context.Context, kind object.WorkKind) Outcome
	deadline time.Duration // of each call
}

// run generates calls until the duration is over or ctx ends, and waits for
// their completion.
func (g *generator) run(ctx context.Context) *Result {
	r := newResult()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var outstanding atomic.Int64
	random := rand.New(rand.NewPCG(1, uint64(g.rate)))
	start := time.Now()
	for next := time.Duration(0); next < g.duration && ctx.Err() == nil; {
		next += time.Duration(random.ExpFloat64() / g.rate * float64(time.Second))
		time.Sleep(time.Until(start.Add(next)))
		kind := g.drawKind(random)
		mu.Lock()
		r.Offered[kind]++
		if outstanding.Load() >= maxOutstanding {
			r.Dropped++
			mu.Unlock()
			continue
		}
		mu.Unlock()
		outstanding.Add(1)
		wg.Go(func() {
			defer outstanding.Add(-1)
			g.runCall(ctx, kind, r, &mu)
		})
	}
	r.Duration = time.Since(start)
	wg.Wait()
	return r
}

// runCall makes one call and records its outcome and latency.
func (g *generator) runCall(ctx context.Context, kind int, r *Result, mu *sync.Mutex) {
	ctx, cancel := context.WithTimeout(ctx, g.deadline)
	defer cancel()
	start := time.Now()
	o := g.call(ctx, kinds[kind])
	took := time.Since(start)
	if o == Good && took > g.deadline {
		o = Late
	}
	mu.Lock()
	defer mu.Unlock()
	r.Counts[kind][o]++
	us := min(max(took.Microseconds(), 1), maxLatencyUs)
	switch o {
	case Good:
		_ = r.latency.RecordValue(us) // us is in the histogram's range
	case Refused:
		_ = r.refusalLatency.RecordValue(us)
	}
}

// drawKind draws an index of kinds according to the mix.
func (g *generator) drawKind(random *rand.Rand) int {
	draw := random.IntN(100)
	for k, percent := range g.mix {
		if draw -= percent; draw < 0 {
			return k
		}
	}
	return len(kinds) - 1
}
