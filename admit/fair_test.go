package admit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// One organisation sends ten times its share, another one its own, at 2.2 times the
// capacity together. Guards against an organisation that is starved by another, and
// against capacity that is withheld from the busy one.
func TestOrganisationWithinItsShareIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		busy := newLoadGenerator(10, 100*time.Millisecond, 400*time.Millisecond)
		small := newLoadGenerator(10, 100*time.Millisecond, 400*time.Millisecond)
		small.gate = busy.gate
		const length = 6 * time.Second
		go busy.startEvery(5*time.Millisecond, length, Work{Organisation: "busy", Weight: 1})
		small.startEvery(50*time.Millisecond, length, Work{Organisation: "small", Weight: 1})
		time.Sleep(time.Second)
		inTime, _, _ := countOutcomes(small.waitOutcomes()[0], 400*time.Millisecond)
		is.True(inTime > 110) // of 120
		inTime, _, _ = countOutcomes(busy.waitOutcomes()[0], 400*time.Millisecond)
		is.True(inTime > 400) // of 480 that fit beside them
	})
}

// Guards against a large organisation that counts as over its share, and against a share
// that stays exceeded when its organisation has become quiet.
func TestSharesAreByWeightAndFade(t *testing.T) {
	is := is.New(t)
	g := New(Options{})
	now := time.Unix(0, 0)
	g.organisations.add("busy", 1, 2*time.Second, now)
	g.organisations.add("small", 1, 400*time.Millisecond, now)
	g.organisations.add("large", 100, 10*time.Second, now)
	is.True(g.organisations.exceeded("busy", now))
	is.True(!g.organisations.exceeded("small", now))
	is.True(!g.organisations.exceeded("large", now)) // by its weight
	is.True(!g.organisations.exceeded("", now))
	is.True(!g.organisations.exceeded("busy", now.Add(time.Hour)))
}

// Guards against a queue that the calls of one organisation fill, so that those of others
// are refused or wait behind them, at the same priority.
func TestOrganisationOverItsShareGoesBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New(Options{Slots: 1, QueueLength: 2})
		now := time.Now()
		g.organisations.add("busy", 1, 2*time.Second, now)
		g.organisations.add("small", 1, 10*time.Millisecond, now)
		target := now.Add(time.Second)
		running, err := g.Admit(t.Context(), Work{TargetTime: target})
		is.NoErr(err)
		order := make(chan string, 3)
		enter := func(organisation string) {
			go func() {
				ticket, err := g.Admit(t.Context(), Work{TargetTime: target, Organisation: organisation, Weight: 1})
				if err != nil {
					order <- organisation + ": " + Cause(err)
					return
				}
				order <- organisation
				ticket.Release()
			}()
			synctest.Wait()
		}
		enter("busy")
		enter("busy")
		enter("small") // takes the place of the second call of the busy one
		is.Equal(<-order, "busy: displaced")
		running.Release()
		synctest.Wait()
		is.Equal(<-order, "small")
		is.Equal(<-order, "busy")
	})
}
