package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskingw/organisation"
)

// Guards against a new process that spends credit which its earlier process has
// pledged or spent.
func TestNewProcessHasNoCredit(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 2, newRandom())
	f.play(3*time.Second, func(int) float64 { return 1 })
	f.restart(1)
	f.now = f.now.Add(PledgeTime)
	is.Equal(f.call(1, true), Refused)
	is.Equal(f.nodes[1].ledger.Pledged(f.now), "")
	f.restart(1)
	f.exchange(1, 0)
	is.Equal(f.nodes[1].ledger.NewAsk("n0", f.set, f.now).Pledge, 0.0)
	f.now = f.now.Add(PledgeTime)
	is.Equal(f.nodes[1].ledger.NewAsk("n0", f.set, f.now).Pledge, 0.5)
}

// Guards against credit that is spent or returned after the end of its life.
func TestCreditLapses(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	l, ann := f.nodes[0].ledger, f.set.Get("ann")
	l.SetInstances(0)
	life := testBounds.grantLife(ann)
	grant := Answer{Stamp: Stamp{Pool: "n0", Incarnation: 1}, Grants: []Grant{{Organisation: "ann", Tokens: 3, Life: life}}}
	l.Take(ann, true, true, f.now)
	l.Apply(Ask{}, grant, f.now, f.now.Add(100*time.Millisecond))
	d := l.Take(ann, true, true, f.now.Add(life-1))
	is.Equal(d.Verdict, Allowed)
	l.Return(d.Credit, f.now.Add(life-1))
	is.Equal(l.accounts["ann"].held(f.now.Add(life-1)), 3)
	d = l.Take(ann, true, true, f.now.Add(life-1))
	is.Equal(l.Take(ann, false, false, f.now.Add(life)).Verdict, Refused)
	l.Return(d.Credit, f.now.Add(life))
	is.Equal(l.Take(ann, false, false, f.now.Add(life)).Verdict, Refused)
}

// Guards against a pool that uses a pledge longer than it binds the node, or one that
// was withdrawn or made to an earlier process.
func TestPoolUsesPledgesWhileTheyBind(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	p, start := f.nodes[0].pool, f.now
	ask := func(number uint64, incarnation uint64, echo, at time.Duration, pledge float64) {
		p.Answer(Ask{Node: "x", Incarnation: 7, Number: number, Pledge: pledge,
			Echo: Stamp{Pool: "n0", Incarnation: incarnation, At: echo}}, f.set, start.Add(at))
	}
	pledged := func(at time.Duration) float64 { return p.Pledged(start.Add(at)) }
	ask(1, 9, 0, 0, 0.5) // to another process
	is.Equal(pledged(0), 0.0)
	late := PledgeTime - 200*time.Millisecond
	ask(2, 1, 0, late, 0.5) // the message took up to this time
	is.Equal(pledged(late), 0.5)
	is.Equal(pledged(PledgeTime+1), 0.0)
	is.True(p.accrued < 0.11) // half of 0.2 s
	ask(4, 1, 2*time.Second, 2*time.Second, 0)
	ask(3, 1, 2*time.Second, 2*time.Second, 0.5) // overtaken by the withdrawal
	is.Equal(pledged(2*time.Second), 0.0)
	ask(5, 1, time.Hour, 3*time.Second, 0.5) // an echo of the future
	is.Equal(pledged(3*time.Second+PledgeTime+1), 0.0)
}

// Guards against refused callers that come back at the same moment, or later than
// they are told that credit will be there.
func TestReturnTimesAreSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 40, 40), 20, newRandom())
	f.play(3*time.Second, func(int) float64 { return 0 })
	f.play(5*time.Second, func(int) float64 { return 15 })
	seen := make(map[time.Duration]bool)
	for range 100 {
		if d := f.nodes[3].ledger.Take(f.set.Get("ann"), false, false, f.now); d.Verdict == Refused {
			is.True(d.After >= minReturn && d.After <= maxReturn+minReturn)
			seen[d.After.Round(time.Millisecond)] = true
		}
	}
	is.True(len(seen) > 80)
}

// Guards against an instance that refuses an organisation for good because one answer said
// that its credit was scarce: an organisation of which the instance holds nothing is not asked
// for again unless a call may wait.
func TestScarcityEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	l, ann := f.nodes[0].ledger, f.set.Get("ann")
	l.SetInstances(0)
	answer := Answer{Stamp: Stamp{Pool: "n0", Incarnation: 1}, Grants: []Grant{{Organisation: "ann", Scarce: true}}}
	l.Take(ann, true, true, f.now)
	l.Apply(Ask{}, answer, f.now, f.now)
	is.Equal(l.Take(ann, true, true, f.now.Add(scarceTime-1)).Cause, CauseOver)
	answer.Grants = nil
	f.now = f.now.Add(scarceTime)
	l.Apply(Ask{}, answer, f.now, f.now)
	is.Equal(l.Take(ann, true, true, f.now).Verdict, Pending)
	is.Equal(len(l.NewAsk("n0", f.set, f.now).Wants), 1)
}

// Guards against borrowed credit that lives longer than credit of the own region, and
// against questions for what was asked for already.
func TestBorrowedCredit(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	l, ann, life := f.nodes[0].ledger, f.set.Get("ann"), testBounds.grantLife(f.set.Get("ann"))
	l.SetInstances(0)
	home := Answer{Stamp: Stamp{Pool: "n0", Incarnation: 1}}
	l.Take(ann, true, true, f.now)
	l.Apply(Ask{}, home, f.now, f.now)
	is.Equal(l.Take(ann, true, true, f.now).Verdict, Pending)
	a := l.NewAsk("n0", f.set, f.now)
	is.Equal(len(l.NewBorrows(a, home, 0, f.now)), 0)
	b := l.NewBorrows(a, home, 2, f.now)
	is.Equal(len(b), 1)
	is.True(b[0].Borrow && b[0].Pledge == 0)
	is.Equal(b[0].Wants[0].Waiting, 1)
	is.Equal(len(l.NewBorrows(a, home, 2, f.now)), 0) // one is in flight
	lent := Answer{Stamp: Stamp{Pool: "n9", Incarnation: 1}, Grants: []Grant{{Organisation: "ann", Tokens: 100, Life: life}}}
	l.Apply(b[0], lent, f.now, f.now.Add(50*time.Millisecond))
	is.Equal(l.Take(ann, false, true, f.now.Add(life-1)).Verdict, Allowed)
	is.Equal(l.Take(ann, true, false, f.now.Add(life)).Verdict, Refused)
	is.Equal(l.NewAsk("n9", f.set, f.now).Echo, Stamp{}) // nothing was pledged to n9
}

// Guards against an organisation that is taken for scarce while another region has credit of
// it, and against questions to the other regions for each call of one that is scarce.
func TestScarceInAllRegions(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	l, ann := f.nodes[0].ledger, f.set.Get("ann")
	l.SetInstances(0)
	home := Answer{Stamp: Stamp{Pool: "n0", Incarnation: 1}, Grants: []Grant{{Organisation: "ann", Scarce: true}}}
	borrow := func() map[int]Ask {
		a := l.NewAsk("n0", f.set, f.now)
		l.Apply(a, home, f.now, f.now)
		return l.NewBorrows(a, home, 2, f.now)
	}
	l.Take(ann, true, true, f.now)
	l.Apply(Ask{}, Answer{Stamp: home.Stamp}, f.now, f.now)
	l.NewBorrows(Ask{}, home, 2, f.now)
	is.Equal(l.Take(ann, true, true, f.now).Verdict, Pending)
	for lender := range 2 {
		b := borrow()
		is.Equal(len(b), 1)
		is.Equal(l.Take(ann, true, true, f.now).Verdict, Pending) // the other regions may have some
		l.Unanswered(b[lender], f.now)
	}
	is.Equal(l.Take(ann, true, true, f.now).Cause, CauseOver)
	is.Equal(len(borrow()), 0)
	f.now = f.now.Add(exhaustedTime)
	is.Equal(len(borrow()), 1)
}

// Guards against an organisation beyond its quota whose credit goes to calls that are late
// already while those that can be in time are refused, and against credit that lapses
// for want of calls that can be in time.
func TestLateCallsGetWhatOthersLeave(t *testing.T) {
	for _, tc := range []struct {
		inTime, late     int // calls every 20 ms
		lateMin, lateMax float64
	}{
		{inTime: 40, late: 20, lateMin: 0, lateMax: 0.05},  // 2,000/s of 600
		{inTime: 2, late: 60, lateMin: 0.75, lateMax: 0.9}, // 100/s in time
	} {
		is := is.New(t)
		f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
		l, ann := f.nodes[0].ledger, f.set.Get("ann")
		made, late := 0, 0
		for k := range 500 {
			f.now = f.now.Add(20 * time.Millisecond)
			if k%10 == 0 {
				f.exchange(0, 0)
			}
			for range tc.inTime {
				if l.Take(ann, true, false, f.now).Verdict == Allowed && k > 250 {
					made++
				}
			}
			for range tc.late {
				if l.TakeLate(ann, false, f.now).Verdict == Allowed && k > 250 {
					made++
					late++
				}
			}
		}
		t.Logf("%d calls in 5 s, %d of them late", made, late)
		is.True(float64(made) > 0.9*5*600)
		is.True(float64(late) >= tc.lateMin*float64(made) && float64(late) <= tc.lateMax*float64(made))
	}
}

// Guards against a look at the state of an organisation that spends credit or counts as a
// call, and against one that differs from the next decision.
func TestPeekChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 3, newRandom())
	l, ann := f.nodes[1].ledger, f.set.Get("ann")
	f.play(3*time.Second, func(int) float64 { return 0 })
	seen := make(map[Verdict]int)
	for k := range 2000 {
		f.now = f.now.Add(2 * time.Millisecond)
		if k%200 == 199 {
			f.exchange(1, 0)
		}
		before := l.Peek(ann, f.now)
		for range 3 {
			s := l.Peek(ann, f.now)
			is.Equal(s.Held, before.Held)
			is.Equal(s.Verdict, before.Verdict)
		}
		d := l.Take(ann, true, true, f.now)
		is.Equal(d.Verdict, before.Verdict)
		if d.Verdict == Pending {
			l.Take(ann, false, false, f.now)
		}
		seen[d.Verdict]++
	}
	is.True(seen[Allowed] > 0 && seen[Pending] > 0)
	is.Equal(l.Peek(ann, f.now).Pool, "n0")
	is.Equal(len(l.accounts), 1)
}

// Guards against a pool that loses its credit between two questions when few instances
// ask it.
func TestPoolThatIsSeldomAsked(t *testing.T) {
	is := is.New(t)
	f := newFleet(testSet(t, 1, 600, 600), 1, newRandom())
	f.now = f.now.Add(3 * time.Second)
	for k := range 2500 { // 10 s, 500 calls/s
		f.now = f.now.Add(4 * time.Millisecond)
		if k%100 == 0 {
			f.exchange(0, 0)
		}
		for range 2 {
			if f.call(0, true) == Pending {
				f.call(0, false)
			}
		}
	}
	t.Logf("%d calls in 10 s", len(f.allowed))
	is.True(len(f.allowed) > 5000*80/100) // credit of the pool lapses after 0.38 s
}

// Guards against a pool that takes credit for valid that has lapsed: its record of when
// credit came into being must never be too late.
func TestAccruedAtIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		p := NewPool("n0", 1, testBounds, start, func() float64 { return 0 })
		exact := NewPool("n0", 1, testBounds, start, func() float64 { return 0 }) // is looked at every ms
		var at []float64                                                          // exact value of accrued in each ms
		for number := uint64(1); len(at) < 2500; number++ {
			for range rapid.IntRange(1, 300).Draw(t, "ms") {
				exact.accrue(start.Add(time.Duration(len(at)) * time.Millisecond))
				at = append(at, exact.accrued)
			}
			now := time.Duration(len(at)) * time.Millisecond
			a := Ask{Node: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "node"), Incarnation: 1, Number: number,
				Pledge: rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "pledge"),
				Echo:   Stamp{Pool: "n0", Incarnation: 1, At: now - time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Millisecond}}
			p.Answer(a, new(organisation.Set), start.Add(now))
			exact.Answer(a, new(organisation.Set), start.Add(now))
			for ms := max(len(at)-1000, 0); ms < len(at); ms += 7 {
				if got := p.accruedAt(start.Add(time.Duration(ms) * time.Millisecond)); got < at[ms]-1e-9 {
					t.Fatalf("%v at %d ms, exactly %v; it is %v", got, ms, at[ms], now)
				}
			}
		}
	})
}
