package even

import (
	"math"
	"slices"
	"time"
)

const (
	warmUp      = 2 * time.Second // not measured
	sampleEvery = 20 * time.Millisecond
)

// stats collects the measurements of one run.
type stats struct {
	arrivals, unfair int
	waits, times     []time.Duration
	spreadSum        float64
	spreads          int
	messages         int
	ageSum           time.Duration
	ages             int
	warm             bool
}

// sample measures the spread of work in progress at intervals.
func (m *model) sample() {
	m.after(sampleEvery, func() {
		m.sample()
		if !m.stats.warm {
			if m.now >= warmUp {
				m.stats = stats{warm: true}
			}
			return
		}
		for d := range m.cfg.Domains {
			m.stats.spreadSum += m.spread(d)
			m.stats.spreads++
		}
	})
}

// spread returns the standard deviation of the work in progress per slot, weighted
// by speed, between the targets of a failure domain.
func (m *model) spread(domain int) float64 {
	var sum, squares float64
	targets := m.domainTargets(domain)
	for _, t := range targets {
		load := float64(t.running+len(t.queue)) / float64(m.cfg.Slots)
		sum += load
		squares += load * load
	}
	n := float64(len(targets))
	return math.Sqrt(max(squares/n-sum/n*sum/n, 0))
}

// arrival counts a call that arrives at t.
func (s *stats) arrival(m *model, t *target) {
	s.arrivals++
	if t.running < m.cfg.Slots {
		return
	}
	for _, o := range m.domainTargets(t.domain) {
		if o.running < m.cfg.Slots {
			s.unfair++
			return
		}
	}
}

func (s *stats) wait(d time.Duration) { s.waits = append(s.waits, d) }

func (s *stats) end(d time.Duration) { s.times = append(s.times, d) }

func (s *stats) newsAge(d time.Duration) {
	s.ageSum += d
	s.ages++
}

func (s *stats) result() Result {
	n := max(s.arrivals, 1)
	r := Result{Calls: s.arrivals, Spread: s.spreadSum / float64(max(s.spreads, 1)), Unfair: float64(s.unfair) / float64(n),
		Messages: float64(s.messages) / float64(n), NewsAge: s.ageSum / time.Duration(max(s.ages, 1))}
	r.MeanWait, r.P99Wait = meanAndP99(s.waits)
	r.MeanTime, r.P99Time = meanAndP99(s.times)
	return r
}

// meanAndP99 returns the mean and the 99th percentile. It sorts d.
func meanAndP99(d []time.Duration) (mean, p99 time.Duration) {
	if len(d) == 0 {
		return 0, 0
	}
	var sum time.Duration
	for _, v := range d {
		sum += v
	}
	slices.Sort(d)
	return sum / time.Duration(len(d)), d[len(d)*99/100]
}
