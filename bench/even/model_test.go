package even

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// domain is one failure domain of many small targets that differ in speed, near
// its capacity.
var domain = Config{Seed: 1, Domains: 1, Callers: 12, Targets: 6, Slots: 13, Work: 140 * time.Millisecond, Load: 0.75,
	Speeds: []float64{0.6, 1, 1.4}, Noise: true, Length: 12 * time.Second}

// patterns are the situations in which targets were overrun in turns. Each one
// guards against a choice that sends calls to a full target while others are idle.
var patterns = map[string]func(c *Config){
	"many choose at once":               func(*Config) {},
	"news 50 ms late":                   func(c *Config) { c.NewsLate = 50 * time.Millisecond },
	"news 200 ms late":                  func(c *Config) { c.NewsLate = 200 * time.Millisecond },
	"news 500 ms late":                  func(c *Config) { c.NewsLate = 500 * time.Millisecond },
	"one target slow in eight":          func(c *Config) { c.Targets, c.Callers, c.Speeds, c.SlowOne = 8, 16, nil, 5 },
	"cold after a restart":              func(c *Config) { c.ColdAt = 4 * time.Second },
	"one failure domain at twice":       func(c *Config) { c.Domains, c.Domain0, c.Load = 6, 2, 0.6 },
	"half of the fleet cut off":         func(c *Config) { c.Domains, c.Domain0, c.Load, c.CutAt = 6, 2, 0.6, 4*time.Second },
	"hundreds of callers and targets":   func(c *Config) { c.Callers, c.Targets, c.Length = 200, 100, 4*time.Second },
	"a handful of callers and targets":  func(c *Config) { c.Callers, c.Targets = 3, 3 },
	"many callers, few calls from each": func(c *Config) { c.Callers = 120 },
}

func TestEvenLoadInEachPattern(t *testing.T) {
	for name, change := range patterns {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := domain
			change(&cfg)
			before, built := Run(cfg, PolicyOf(Before)), Run(cfg, PolicyOf(Built))
			t.Logf("before %+v", before)
			t.Logf("built  %+v", built)
			is.True(built.Spread < 0.75*before.Spread)
			is.True(built.MeanWait < before.MeanWait)
			is.True(built.P99Wait < before.P99Wait)
			is.True(built.Messages < 3.2) // 2 without handing on, 4 if every call were handed on
		})
	}
}

// Guards against a model whose runs cannot be repeated.
func TestOneSeedGivesOneRun(t *testing.T) {
	is := is.New(t)
	cfg := domain
	cfg.Length = 4 * time.Second
	is.Equal(Run(cfg, PolicyOf(Built)), Run(cfg, PolicyOf(Built)))
	other := cfg
	other.Seed = 2
	is.True(Run(cfg, PolicyOf(Built)) != Run(other, PolicyOf(Built)))
}
