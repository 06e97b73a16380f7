package idem

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/member"
)

// Guards against retries that wait forever, and against two of them that run:
// every result of the first attempt must release all waiting retries.
func TestEveryEndReleasesWaiters(t *testing.T) {
	ends := map[string]struct {
		end    func(*Ledger, Key)
		run    int // number of waiting retries that run next; the others keep waiting
		action Action
	}{
		"response":                       {end: func(l *Ledger, k Key) { l.RecordResponse(k, &Response{Status: 200}) }, action: Replay},
		"response not stored":            {end: func(l *Ledger, k Key) { l.RecordResponse(k, nil) }, action: RanNotStored},
		"unknown":                        {end: func(l *Ledger, k Key) { l.RecordUnknown(k) }, action: Unknown},
		"not run":                        {end: func(l *Ledger, k Key) { l.RecordNotRun(k) }, action: Closed},
		"withdrawn":                      {end: func(l *Ledger, k Key) { l.Withdraw(k) }, run: 1, action: Unknown},
		"callers time out":               {end: func(*Ledger, Key) { time.Sleep(time.Minute) }, action: Unknown},
		"response after the key expired": {end: func(l *Ledger, k Key) { time.Sleep(keyLifetime); l.RecordResponse(k, nil) }, action: Unknown},
	}
	for name, c := range ends {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := NewLedger("a", 1, Options{Now: time.Now})
				k := Mint(ownerA, time.Now())
				d, _ := l.Begin(t.Context(), k, "")
				is.Equal(d.Action, Run)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				const retries = 5
				got := make(chan Action, retries)
				for range retries {
					go func() {
						d, _ := l.Begin(ctx, k, "")
						got <- d.Action
					}()
				}
				synctest.Wait()
				is.Equal(len(got), 0) // all retries wait
				c.end(l, k)
				synctest.Wait()
				for range c.run {
					is.Equal(<-got, Run)
					is.Equal(len(got), 0)
					l.RecordUnknown(k)
				}
				for range retries - c.run {
					is.Equal(<-got, c.action)
				}
				l.RecordUnknown(k)                    // changes the ledger only if the first attempt never ended
				time.Sleep(keyLifetime + time.Second) // entries expire by whole seconds
				l.Begin(t.Context(), Mint(ownerA, time.Now()), "")
				is.Equal(l.Stats().Keys, 1) // the settled key has expired
				is.Equal(l.Stats().Bytes, entryBytes)
			})
		})
	}
}

// Guards against a large response that fills the ledger, and against losing the
// record that a call with such a response ran.
func TestLargeResponseIsNotStored(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	for _, c := range []struct {
		bytes int
		want  Action
	}{{MaxResponseBytes - 100, Replay}, {MaxResponseBytes + 1, RanNotStored}} {
		k := Mint(ownerA, time.Now())
		l.Begin(t.Context(), k, "")
		l.RecordResponse(k, &Response{Status: 200, Body: make([]byte, c.bytes)})
		d, err := l.Begin(t.Context(), k, "")
		is.NoErr(err)
		is.Equal(d.Action, c.want)
	}
}

// Guards against memory that the ledger does not count: a full ledger must stay
// within its limit on the heap and refuse further keys as not run. The limits are
// chosen to fill the map to sizes shortly before and shortly after it grows.
func TestFullLedgerStaysWithinItsBound(t *testing.T) {
	for _, bound := range []int{3 << 20, 5 << 20, 7 << 20, 10 << 20, DefaultMaxBytes} {
		is := is.New(t)
		before := heapBytes()
		l := NewLedger("a", 1, Options{MaxBytes: bound})
		keys := 0
		for ; ; keys++ {
			k, err := Parse(Mint(ownerA, time.Now()).String())
			is.NoErr(err)
			d, err := l.Begin(t.Context(), k, "")
			if d.Action == Refused {
				is.True(err != nil)
				break
			}
			h := http.Header{"Content-Type": {"text/plain"}, "X-Request-Id": {"0123456789"}}
			l.RecordResponse(k, &Response{Status: 200, Header: h, Body: make([]byte, 100)})
		}
		used := heapBytes() - before
		t.Logf("%d keys, %d bytes counted, %d on the heap", keys, l.Stats().Bytes, used)
		is.True(l.Stats().Bytes <= bound)
		is.True(used <= bound)
		runtime.KeepAlive(l)
	}
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against a delayed attempt that runs after a retry of it was refused as not
// run.
func TestRefusedKeyStaysClosed(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	k := Mint(ownerA, time.Now())
	d, err := l.Begin(t.Context(), k, "")
	is.NoErr(err)
	is.Equal(d.Action, Run)
	l.RecordNotRun(k)
	for range 2 {
		d, err = l.Begin(t.Context(), k, "")
		is.Equal(d.Action, Closed)
		is.True(errorx.IsOfType(err, errdefs.NotRun))
	}
}

// Guards against memory that withdrawn keys leave behind.
func TestWithdrawLeavesNothingBehind(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	k := Mint(ownerA, time.Now())
	for range 100 {
		d, err := l.Begin(t.Context(), k, "")
		is.NoErr(err)
		is.Equal(d.Action, Run)
		l.Withdraw(k)
	}
	is.Equal(l.Stats(), Stats{})
	is.Equal(len(l.expiry.buckets), 0)
}

// Guards against a drain that hands a key over to two owners, or to the draining
// one.
func TestHandOverNamesOneOwner(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	next := ownerB
	l.Drain(func(Key) *member.Record { return next })
	k := Mint(ownerA, time.Now())
	first, err := l.Begin(t.Context(), k, "")
	is.NoErr(err)
	next = &member.Record{ID: "c", Incarnation: 3}
	second, err := l.Begin(t.Context(), k, "")
	is.NoErr(err)
	is.Equal(first, second)
	next = ownerA
	d, err := l.Begin(t.Context(), Mint(ownerA, time.Now()), "")
	is.True(err != nil)
	is.Equal(d.Action, Refused)
}

// Guards against a process that adopts a higher incarnation after its start and
// then returns Unknown for all keys with that incarnation.
func TestAddedIncarnationIsAccepted(t *testing.T) {
	is := is.New(t)
	l := NewLedger("a", 1, Options{})
	for _, incarnation := range []uint64{1, 7} {
		k := Mint(&member.Record{ID: "a", Incarnation: incarnation}, time.Now())
		l.AddIncarnation(incarnation)
		d, err := l.Begin(t.Context(), k, "")
		is.NoErr(err)
		is.Equal(d.Action, Run)
		l.RecordResponse(k, &Response{Status: 200})
		d, err = l.Begin(t.Context(), k, "")
		is.NoErr(err)
		is.Equal(d.Action, Replay)
	}
	d, err := l.Begin(t.Context(), Mint(&member.Record{ID: "a", Incarnation: 5}, time.Now()), "")
	is.True(err != nil)
	is.Equal(d.Action, Unknown)
}

// Guards against a process clock that follows steps of the wall clock: it must
// return times without a monotonic reading and advance by monotonic time only.
func TestMonotonicClockIgnoresWallClockSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := monotonicClock()
		first := now()
		time.Sleep(time.Hour)
		is.Equal(now().Sub(first), time.Hour)
		is.Equal(now(), now().Round(0))
	})
}
