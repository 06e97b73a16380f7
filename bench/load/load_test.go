package load

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"siskingw/admit"
	"siskingw/object"
)

// Guards against a generator that loses calls or counts them under a wrong kind.
func TestGeneratorCountsEveryCall(t *testing.T) {
	is := is.New(t)
	g := generator{rate: 5000, duration: 100 * time.Millisecond, mix: defaultMix, deadline: time.Second}
	g.call = func(_ context.Context, kind object.WorkKind) Outcome {
		if kind == object.WorkBid {
			return Refused
		}
		return Good
	}
	r := g.run(t.Context())
	is.True(r.Offered[0] > 0)
	is.Equal(r.Counts[0][Refused], r.Offered[0])
	is.Equal(r.Total(Good)+r.Total(Refused)+r.Dropped, r.Offered[0]+r.Offered[1]+r.Offered[2])
}

// Guards against a simulated target that executes calls which its gate refused.
func TestWorkerRunsOnlyAdmittedCalls(t *testing.T) {
	is := is.New(t)
	gate := admit.New(admit.Options{Slots: 1})
	w := newWorker(1, time.Millisecond, gate)
	is.Equal(w.call(t.Context(), object.WorkBid), Good)
	gate.Drain()
	is.Equal(w.call(t.Context(), object.WorkBid), Refused)
	is.Equal(w.calls.Load(), int64(1))
}

// Guards against retries that multiply along a chain of services: with a retry
// budget of 10% and 10 free retries for each of the 2 nodes of a level, 400 calls
// may cause at most 1 + 0.1 + 2*10/400 attempts per call at the last service.
func TestRetriesDoNotMultiply(t *testing.T) {
	is := is.New(t)
	for _, f := range leafFailures {
		leaf, highest, err := retryRun(t.Context(), 4, object.PolicySpec{}, f)
		is.NoErr(err)
		is.True(leaf <= 1.15)
		is.True(highest <= 1.15)
	}
}

// Guards against late or failed calls through proxies, and against calls that do
// not reach the targets, while the targets have free slots.
func TestProxiesAnswerBelowCapacity(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	c := Command{out: &out, duration: 300 * time.Millisecond}
	r, reached, err := c.proxyRun(t.Context(), true, 100)
	is.NoErr(err)
	is.True(r.Total(Good) > 0)
	is.Equal(r.Total(Failed)+r.Total(Late), 0)
	is.True(reached > 0)
}

// Guards against three faults of overflow: cross-region calls, which cost money,
// while the callers' region has free slots; calls to other regions that leave
// the near failure domains idle; and other regions that receive calls out of
// proportion to their slots. The clock is virtual, so the results do not depend
// on the machine.
func TestOverflow(t *testing.T) {
	const capacity = 3600.0 // calls/s of the callers' failure domain, half of the region's
	for _, load := range []float64{0.6, 1.2, 2.5} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := Command{duration: 3 * time.Second, callers: 10}
			f := newFleet()
			r := c.overflowRun(t.Context(), f, load*capacity)
			calls := make(map[string]float64)
			for domain, n := range f.admittedCalls {
				calls[domain] = float64(n.Load()) / r.Duration.Seconds()
			}
			near, far := calls["sask-1"]+calls["sask-2"], calls["alta-1"]+calls["mani-1"]
			t.Logf("load %g: %.0f good/s, %.0f refused/s, %v", load, r.Rate(Good), r.Rate(Refused), calls)
			is.True(r.Rate(Good) >= 0.95*load*capacity*0.98) // the random arrivals vary the rate by 2%
			if load < 2 {
				is.True(far <= 0.02*load*capacity)
			} else {
				is.True(near >= 0.8*2*capacity*0.98)
				is.True(calls["mani-1"] > 1.5*calls["alta-1"] && calls["mani-1"] < 2.5*calls["alta-1"])
			}
			is.True(calls["sask-1"] >= 0.75*min(load, 1)*capacity)
		})
	}
}
