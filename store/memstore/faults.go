package memstore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"siskingw/errdefs"
)

// Faults configures the failures and limits that a Store simulates.
type Faults struct {
	Down           bool          // every call fails without effect
	Latency        time.Duration // added to every call
	LoseAnswers    int           // number of next writes that take effect but return StoreUnknown
	WritesPerSec   int           // writes above the rate fail without effect; 0 for no limit
	ReadsPerSec    int           // reads above the rate fail without effect; 0 for no limit
	HangUntilDone  bool          // calls block until their context is done
	FailNextWrites int           // number of next writes that fail without effect
}

// Counts holds the number of reads and writes that the store served and of calls
// that it refused because of Faults.
type Counts struct {
	Reads, Writes, Refused uint64
	Watching               int64 // open watches; each counts as one read per second
}

// injector injects Faults into calls and counts the calls.
type injector struct {
	clock    clockwork.Clock
	watching atomic.Int64
	reads    atomic.Uint64
	writes   atomic.Uint64
	refused  atomic.Uint64

	mu         sync.Mutex
	faults     Faults
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
}

// SetFaults replaces the injected faults and resets the rate limits. Down also
// ends every watch.
func (s *Store) SetFaults(f Faults) {
	i := &s.injector
	i.mu.Lock()
	i.faults = f
	i.writeLimit, i.readLimit = newLimiter(f.WritesPerSec), newLimiter(f.ReadsPerSec)
	i.mu.Unlock()
	if f.Down {
		s.BreakWatches()
	}
}

// Counts returns the calls since the store was created.
func (s *Store) Counts() Counts {
	i := &s.injector
	return Counts{Reads: i.reads.Load(), Writes: i.writes.Load(), Refused: i.refused.Load(), Watching: i.watching.Load()}
}

func newLimiter(perSec int) *rate.Limiter {
	if perSec == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSec), perSec)
}

func (i *injector) beforeRead(ctx context.Context) error {
	i.mu.Lock()
	f, limit := i.faults, i.readLimit
	i.mu.Unlock()
	if err := i.admit(ctx, f, limit); err != nil {
		return err
	}
	i.reads.Add(1)
	return nil
}

func (i *injector) beforeWrite(ctx context.Context) error {
	i.mu.Lock()
	f, limit := i.faults, i.writeLimit
	if i.faults.FailNextWrites > 0 {
		i.faults.FailNextWrites--
		f.Down = true
	}
	i.mu.Unlock()
	if err := i.admit(ctx, f, limit); err != nil {
		return err
	}
	i.writes.Add(1)
	return nil
}

// admit delays a call and returns an error if the call must fail without effect.
func (i *injector) admit(ctx context.Context, f Faults, limit *rate.Limiter) error {
	if f.Latency > 0 {
		select {
		case <-i.clock.After(f.Latency):
		case <-ctx.Done():
		}
	}
	if f.HangUntilDone {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return errdefs.StoreUnavailable.Wrap(ctx.Err(), "store call ended before it was sent")
	}
	if f.Down {
		i.refused.Add(1)
		return errdefs.StoreUnavailable.New("store is down")
	}
	if limit != nil && !limit.Allow() {
		i.refused.Add(1)
		return errdefs.StoreLimited.New("store is at its limit of %v calls a second", limit.Limit())
	}
	return nil
}

// afterWrite returns a StoreUnknown error for a write that took effect if its
// response is to be lost.
func (i *injector) afterWrite() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseAnswers == 0 {
		return nil
	}
	i.faults.LoseAnswers--
	return errdefs.StoreUnknown.New("answer of the store was lost")
}
