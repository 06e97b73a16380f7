package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Options configures the run of one seed.
type Options struct {
	Seed      uint64
	Instances int
	Length    time.Duration // duration of the fault injection
	BinDir    string        // directory of the siskingw binary
	WorkDir   string        // for settings and logs, must exist
	// Base is the second octet of the instances' loopback addresses, 2 to 100.
	// Concurrent runs need different values.
	Base    int
	Planned bool // inject only planned operations: node stops, changes, target replacements
	Log     func(format string, args ...any)
}

// Result summarizes one run.
type Result struct {
	Calls, Answered, Refused, Lost int
	Arrivals, StoreCalls           int
	Faults                         map[string]int
	Violations                     []Violation
}

const (
	// startTime is the limit for the start of a fleet, recoverTime the limit for
	// its recovery after the last fault.
	startTime   = 15 * time.Second
	recoverTime = 15 * time.Second
	// servedShare is the share (0 to 1) of one second's calls that must get status
	// 200 for the fleet to count as recovered.
	servedShare = 0.9
	settleTime  = time.Second // for calls in flight at the end
)

// Run starts a fleet, sends it calls while it injects the faults of the seed, and
// returns the violations. It returns an error if the fleet does not start.
func Run(opts Options) (Result, error) {
	seen := newRecord()
	s, err := newSite(opts, seen)
	if err == nil {
		err = s.waitReady(startTime)
	}
	if err != nil {
		if s != nil {
			s.stop()
		}
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	s.callers(ctx, opts.Seed, &wg)
	j := &injector{site: s, random: rand.New(rand.NewPCG(opts.Seed, 0)), planned: opts.Planned, counts: make(map[string]int), log: opts.Log}
	faulty, end := context.WithTimeout(ctx, opts.Length)
	j.run(faulty)
	end()
	recovered := seen.recovers(time.Now())
	cancel()
	wg.Wait()
	time.Sleep(settleTime)
	s.stop()
	r := seen.result()
	r.StoreCalls, r.Faults = int(s.store.calls.Load()), j.counts
	r.Violations = seen.check()
	if !recovered {
		r.Violations = append(r.Violations, Violation{"recovery", fmt.Sprintf("less than %.0f%% of the calls got status 200 in each second of the %v after the last fault", 100*servedShare, recoverTime)})
	}
	return r, nil
}

// recovers waits, recoverTime at most, for one second in which servedShare of the
// calls that ended got status 200, and reports whether there was one.
func (r *record) recovers(from time.Time) bool {
	for time.Since(from) < recoverTime {
		began := time.Now()
		time.Sleep(time.Second)
		calls, answered := 0, 0
		r.mu.Lock()
		for _, a := range r.attempts {
			if a.ended.After(began) && a.left.IsZero() {
				calls++
				if a.status == http.StatusOK {
					answered++
				}
			}
		}
		r.mu.Unlock()
		if calls > 0 && float64(answered) >= servedShare*float64(calls) {
			return true
		}
	}
	return false
}

// result counts the recorded calls by their outcome.
func (r *record) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := Result{Calls: len(r.attempts), Arrivals: len(r.arrivals)}
	for _, a := range r.attempts {
		switch {
		case a.status == http.StatusOK:
			res.Answered++
		case a.status == http.StatusServiceUnavailable:
			res.Refused++
		case a.status == 0 && a.left.IsZero():
			res.Lost++
		}
	}
	return res
}
