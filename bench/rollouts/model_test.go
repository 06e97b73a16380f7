package rollouts

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// small is a service of 40 instances with targets of different speed.
var small = Config{Instances: 40, Targets: 32, CallsPerS: 700, Duration: 15 * time.Second, News: 300 * time.Millisecond}

// Guards against a model whose results can't be repeated.
func TestRunRepeats(t *testing.T) {
	is := is.New(t)
	c := small
	c.Seed, c.Version = 3, Fault{Failing: 0.2}
	is.Equal(Run(c), Run(c))
}

// Guards against a bad version that gets more calls than permitted, is completed, or is
// used for more than 5 s after its 50th bad answer, and against a good version that is
// rolled back, also while a fifth of the targets of both versions fails.
func TestVersions(t *testing.T) {
	const seeds, slack, leave = 30, 50, 5 * time.Second
	for name, c := range map[string]struct {
		trouble, version Fault
		wrong            int // tolerated wrong results
	}{
		"good":                           {wrong: 1},
		"good, targets fail":             {trouble: Fault{Failing: 1}, wrong: 2},
		"good, targets fail at times":    {trouble: Fault{Failing: 0.4}, wrong: 2},
		"good, targets slow":             {trouble: Fault{Slowing: 1, Factor: 8}, wrong: 2},
		"failing":                        {version: Fault{Failing: 0.4}},
		"slow":                           {version: Fault{Slowing: 1, Factor: 5}},
		"failing, targets fail":          {trouble: Fault{Failing: 1}, version: Fault{Failing: 0.4}},
		"failing, targets slow":          {trouble: Fault{Slowing: 1, Factor: 8}, version: Fault{Failing: 0.4}},
		"failing, targets fail at times": {trouble: Fault{Failing: 0.4}, version: Fault{Failing: 0.8}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			good, wrong, late := c.version == Fault{}, 0, 0
			for seed := range uint64(seeds) {
				cfg := small
				cfg.Seed, cfg.Version, cfg.Trouble, cfg.TroubleShare = seed, c.version, c.trouble, 0.2
				r := Run(cfg)
				if r.Completed != good {
					wrong++
				}
				if !good && r.AfterFifty > leave {
					late++
				}
				is.New(t).True(r.Excess <= slack)
			}
			t.Logf("%d of %d wrong, %d late", wrong, seeds, late)
			is.New(t).True(wrong <= c.wrong && late == 0)
		})
	}
}
