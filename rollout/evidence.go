package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskingw/store"
)

const (
	// Buckets is the number of buckets of answer times. Bucket i ends at
	// firstBucket x 2^(i/bucketsPerOctave), the last one has no end.
	Buckets          = 28
	firstBucket      = 4 * time.Millisecond
	bucketsPerOctave = 2
)

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(int(math.Ceil(bucketsPerOctave*math.Log2(float64(d)/float64(firstBucket)))), Buckets-1)
}

// Counts are the answers of one target to the calls of one route.
type Counts struct {
	Failed  uint32          // failures
	Answers [Buckets]uint32 // other answers by duration
}

// Total returns the number of answers, failures included.
func (c Counts) Total() int { return int(c.Failed) + c.answered() }

func (c Counts) answered() int {
	n := 0
	for _, a := range c.Answers {
		n += int(a)
	}
	return n
}

// slower returns the number of answers from a bucket on.
func (c Counts) slower(from int) int {
	n := 0
	for _, a := range c.Answers[min(from, Buckets):] {
		n += int(a)
	}
	return n
}

func (c *Counts) add(o Counts) {
	c.Failed += o.Failed
	for i, n := range o.Answers {
		c.Answers[i] += n
	}
}

// With returns the counts with one more answer, which takes d unless it failed.
func (c Counts) With(failed bool, d time.Duration) Counts {
	if failed {
		c.Failed++
	} else {
		c.Answers[bucketOf(d)]++
	}
	return c
}

// RouteHash returns the hash that stands for a route in the evidence.
func RouteHash(route string) uint32 { return uint32(xxhash.Sum64String(route)) }

// Evidence is what the node beside a target has seen of its answers since an order.
type Evidence struct {
	Order  store.Position
	Target string // id of the target
	Idle   bool   // the target runs no call and has got none for some time
	Routes map[uint32]Counts
}

// Total returns the number of answers and of failures.
func (e Evidence) Total() (answers, failed int) {
	for _, c := range e.Routes {
		answers += c.Total()
		failed += int(c.Failed)
	}
	return answers, failed
}

// busiest returns the n routes with the most answers.
func (e Evidence) busiest(n int) []uint32 {
	routes := slices.SortedFunc(maps.Keys(e.Routes), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(e.Routes[b].Total(), e.Routes[a].Total()), cmp.Compare(a, b))
	})
	return routes[:min(n, len(routes))]
}

// maxEvidenceRoutes bounds the memory of a recorder; a configuration may have
// thousands of routes. Answers on further routes are not counted.
const maxEvidenceRoutes = 256

// Recorder counts the answers of the target beside a node. It is safe for
// concurrent use.
type Recorder struct {
	mu       sync.Mutex
	evidence Evidence
	lastCall time.Time
	moving   bool
	began    time.Time // only calls that began later count; zero for all
}

// Start begins new counts if the order or the target differs from those of the
// current counts. Once the traffic moves, calls that began before do not count: a
// canary target then gets fewer calls than before, and the slow ones of the many
// before would come in beside the few.
func (r *Recorder) Start(d Directive, target string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evidence.Order != d.Order || r.evidence.Target != target {
		r.evidence = Evidence{Order: d.Order, Target: target, Routes: make(map[uint32]Counts)}
		r.moving, r.began = d.Phase != Canary, time.Time{}
	}
	if d.Phase != Canary && !r.moving {
		r.moving, r.began = true, now
	}
}

// Answer is one answer of the target.
type Answer struct {
	Target   string // id of the target
	Route    string
	Failed   bool          // a failure of the target, not of the caller
	Duration time.Duration // time at the target
	Ignored  bool          // says nothing about the version: the call did not run or its caller left
	WarmUp   bool          // the target is slow because it has just started
}

// Record counts an answer. Durations during warm-up do not count.
func (r *Recorder) Record(a Answer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCall = now
	if r.evidence.Order.IsZero() || a.Target != r.evidence.Target || a.Ignored || a.WarmUp && !a.Failed ||
		now.Add(-a.Duration).Before(r.began) {
		return
	}
	route := RouteHash(a.Route)
	c, known := r.evidence.Routes[route]
	if !known && len(r.evidence.Routes) >= maxEvidenceRoutes {
		return
	}
	r.evidence.Routes[route] = c.With(a.Failed, a.Duration)
}

// idleTime is how long a target must have got no call to count as idle. It covers
// calls of nodes that have not learned yet that the traffic has moved.
const idleTime = 400 * time.Millisecond

// Evidence returns a copy of the counts. inFlight is the number of calls at the
// target.
func (r *Recorder) Evidence(inFlight int, now time.Time) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.evidence
	e.Routes = maps.Clone(e.Routes)
	e.Idle = inFlight == 0 && now.Sub(r.lastCall) >= idleTime
	return e
}
