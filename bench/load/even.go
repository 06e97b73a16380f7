package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"siskingw/bench/even"
)

// evenSeeds is the number of seeds of each run of the model of even load.
const evenSeeds = 5

// evenBase is a failure domain of a deployment with many small targets.
var evenBase = even.Config{Domains: 1, Callers: 12, Targets: 6, Slots: 13, Work: 140 * time.Millisecond, Load: 0.8,
	Speeds: []float64{0.6, 1, 1.4}, Noise: true, Length: 22 * time.Second}

var evenCases = []struct {
	name  string
	setup func(*even.Config)
}{
	{"many choose at once, load 0.6", func(c *even.Config) { c.Load = 0.6 }},
	{"many choose at once, load 0.75", func(c *even.Config) { c.Load = 0.75 }},
	{"many choose at once, load 0.85", func(c *even.Config) { c.Load = 0.85 }},
	{"equal targets, load 0.85", func(c *even.Config) { c.Load, c.Speeds, c.Noise = 0.85, nil, false }},
	{"statements 50 ms late", func(c *even.Config) { c.NewsLate = 50 * time.Millisecond }},
	{"statements 200 ms late", func(c *even.Config) { c.NewsLate = 200 * time.Millisecond }},
	{"statements 500 ms late", func(c *even.Config) { c.NewsLate = 500 * time.Millisecond }},
	{"one target in eight slow (5 times)", func(c *even.Config) {
		c.SlowOne, c.Targets, c.Callers, c.Speeds, c.Load = 5, 8, 16, nil, 0.75
	}},
	{"a third restarts cold", func(c *even.Config) { c.ColdAt = 6 * time.Second }},
	{"one failure domain at twice the load", func(c *even.Config) { c.Domains, c.Domain0, c.Load = 6, 2, 0.6 }},
	{"half of the fleet cut off", func(c *even.Config) { c.Domains, c.Domain0, c.CutAt, c.Load = 6, 2, 6*time.Second, 0.6 }},
}

// even runs the model of even load: each policy in each case, with several seeds.
func (c *Command) even(ctx context.Context) error {
	t := newTable(c.out, fmt.Sprintf("Even load by model: %d callers, %d targets with %d slots, work %v, %d seeds (spread of the seeds)",
		evenBase.Callers, evenBase.Targets, evenBase.Slots, evenBase.Work, evenSeeds),
		"case", "policy", "spread of load %", "waited beside a free target %", "mean wait ms", "p99 wait ms", "mean time ms", "messages per call", "news age ms")
	for _, k := range evenCases {
		for _, p := range even.Policies {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if !strings.Contains(k.name+", "+p.Name, c.caseFilter) {
				continue
			}
			cfg := evenBase
			k.setup(&cfg)
			t.row(append([]any{k.name, p.Name}, evenCells(cfg, p)...)...)
		}
	}
	return nil
}

// evenCells returns the means over the seeds, and of the unfair waits the range.
func evenCells(cfg even.Config, p even.Policy) []any {
	var spread, unfair, wait, p99, total, messages, age float64
	lowest, highest := 100.0, 0.0
	for seed := range uint64(evenSeeds) {
		cfg.Seed = seed + 1
		r := even.Run(cfg, p)
		spread += 100 * r.Spread / evenSeeds
		unfair += 100 * r.Unfair / evenSeeds
		lowest, highest = min(lowest, 100*r.Unfair), max(highest, 100*r.Unfair)
		wait += inMs(r.MeanWait) / evenSeeds
		p99 += inMs(r.P99Wait) / evenSeeds
		total += inMs(r.MeanTime) / evenSeeds
		messages += r.Messages / evenSeeds
		age += inMs(r.NewsAge) / evenSeeds
	}
	return []any{spread, fmt.Sprintf("%.1f (%.1f to %.1f)", unfair, lowest, highest), wait, p99, total,
		fmt.Sprintf("%.2f", messages), age}
}

func inMs(d time.Duration) float64 { return d.Seconds() * 1000 }
