package targets

import (
	"math"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"siskingw/errdefs"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func announcement(id string, started time.Duration, sequence uint64) Announcement {
	return Announcement{ID: id, Service: "floor", Address: "10.0.0.1:80",
		Started: epoch.Add(started), Sequence: sequence, Slots: 9}
}

func currentID(r *Registry) string {
	if t := r.Current(); t != nil {
		return t.ID
	}
	return ""
}

// Guards against a delayed announcement that makes a departed target current
// again, or replaces a later start at the same address.
func TestDelayedAnnouncementsAreIgnored(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	is.NoErr(r.Announce(announcement("a", 0, 4), epoch))
	is.True(errorx.IsOfType(r.Announce(announcement("a", 0, 3), epoch), errdefs.Stale))
	is.Equal(currentID(r), "a")

	is.NoErr(r.Announce(announcement("b", time.Second, 1), epoch))
	is.Equal(currentID(r), "b")
	is.NoErr(r.Announce(announcement("a", 0, 5), epoch)) // in flight when a crashed
	is.Equal(currentID(r), "b")

	leaving := announcement("b", time.Second, 2)
	leaving.Leaving = true
	is.NoErr(r.Announce(leaving, epoch))
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("b", time.Second, 3), epoch)) // announces the state ready again
	is.NoErr(r.Announce(announcement("a", 0, 6), epoch))
	is.Equal(currentID(r), "")
}

// Guards against using a departed target: its departure is the first message that
// the registry receives, and a delayed announcement follows.
func TestLeaveAppliesToItsStartOnly(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	r.Leave("a", epoch, epoch)
	is.NoErr(r.Announce(announcement("a", 0, 7), epoch))
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("a", time.Second, 1), epoch)) // restarted under the same ID
	is.Equal(currentID(r), "a")
	r.Leave("a", time.Time{}, epoch)
	is.Equal(currentID(r), "")
}

// Guards against a restarted node that acknowledges the departure of a target
// unknown to it, and then uses that target because of an announcement that was
// still in flight.
func TestDepartureOfUnknownTargetIsKept(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	r.Leave("a", time.Time{}, epoch.Add(time.Second))
	is.NoErr(r.Announce(announcement("a", 0, 7), epoch.Add(2*time.Second)))
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("a", 3*time.Second, 1), epoch.Add(3*time.Second))) // a new start
	is.Equal(currentID(r), "a")
}

// Guards against a silent target that stays current, and against one that
// announces itself again after a silence and is not used.
func TestSilentTargetExpiresAndReturns(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	var changes []string
	r.OnChange(func(t *Target, _ Loss) {
		if t == nil {
			changes = append(changes, "")
			return
		}
		changes = append(changes, t.ID)
	})
	is.NoErr(r.Announce(announcement("a", 0, 1), epoch))
	r.Expire(epoch.Add(4 * time.Second))
	r.Expire(epoch.Add(6 * time.Second))
	is.NoErr(r.Announce(announcement("a", 0, 2), epoch.Add(7*time.Second)))
	is.Equal(changes, []string{"a", "", "a"})
}

// Guards against using a target whose address another one has taken over.
func TestGoneTargetIsNotUsed(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	is.NoErr(r.Announce(announcement("a", 0, 1), epoch))
	r.RecordGone(r.Current(), epoch)
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("a", 0, 2), epoch))
	is.Equal(currentID(r), "")
}

// Guards against a log line for a lost target that does not name the target, or
// gives silence as the reason for a departure.
func TestLossNamesTargetAndReason(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	var losses []Loss
	r.OnChange(func(_ *Target, l Loss) { losses = append(losses, l) })
	is.NoErr(r.Announce(announcement("a", 0, 1), epoch))
	r.Expire(epoch.Add(6 * time.Second))
	is.NoErr(r.Announce(announcement("a", 0, 2), epoch.Add(7*time.Second)))
	is.NoErr(r.Announce(announcement("b", 3*time.Second, 1), epoch.Add(8*time.Second)))
	r.Leave("b", time.Time{}, epoch.Add(9*time.Second))
	var got []string
	for _, l := range losses {
		if l.Target != nil {
			got = append(got, l.Target.ID+" "+l.Reason)
		}
	}
	is.Equal(got, []string{"a " + LostSilent, "a " + LostReplaced, "b " + LostLeaving})
	is.Equal(losses[1].Silent, 6*time.Second)
}

// Guards against an announcement with impossible values, written by another
// program, that replaces the target, never expires, or makes the target's own
// later announcements count as stale.
func TestImpossibleAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	const expiry = 5 * time.Second
	r := NewRegistry(expiry)
	now := epoch.Add(time.Minute)
	is.NoErr(r.Announce(announcement("a", 0, 40), now))
	for _, change := range []func(*Announcement){
		func(a *Announcement) { a.Sequence = math.MaxUint64 },
		func(a *Announcement) { a.Sequence = 1 << 53 },
		func(a *Announcement) { a.Slots = math.MaxInt },
		func(a *Announcement) { a.Slots = 1 << 32 }, // 0 as the 32-bit number of a membership record
		func(a *Announcement) { a.Slots = 0 },
		func(a *Announcement) { a.WarmupLeft = math.MaxInt64 },
		func(a *Announcement) { a.WarmupLeft = math.MinInt64 },
		func(a *Announcement) { a.Started = time.UnixMilli(math.MaxInt64) },
		func(a *Announcement) { a.ID, a.Started = "b", now.Add(24*time.Hour) },
	} {
		odd := announcement("a", 0, 41)
		change(&odd)
		is.True(errorx.IsOfType(r.Announce(odd, now), errdefs.Invalid))
	}
	is.Equal(r.Current().Slots, 9)
	now = now.Add(expiry - time.Second)
	is.NoErr(r.Announce(announcement("a", 0, 41), now)) // the target's own announcement still counts
	r.Expire(now.Add(expiry))
	is.Equal(currentID(r), "a")
}

// Guards against a registry that uses a target from before its own time because of
// announcements that were delayed: a predecessor may have acknowledged its
// departure.
func TestStartFromBeforeTheRegistryNeedsConfirmation(t *testing.T) {
	is := is.New(t)
	const expiry = 5 * time.Second
	now := epoch.Add(time.Minute)
	r := NewRegistry(expiry)
	r.RequireConfirmation(now)
	is.NoErr(r.Announce(announcement("a", 0, 4), now))
	is.Equal(currentID(r), "")
	is.Equal(r.Candidate(now).ID, "a")
	is.NoErr(r.Announce(announcement("a", 0, 5), now.Add(expiry)))
	is.Equal(currentID(r), "")
	r.Confirm("b", now.Add(expiry))
	is.Equal(currentID(r), "")
	r.Confirm("a", now.Add(expiry))
	is.Equal(currentID(r), "a")
	is.True(r.Candidate(now.Add(expiry)) == nil)

	is.NoErr(r.Announce(announcement("b", time.Minute, 1), now.Add(expiry))) // started after the registry
	is.Equal(currentID(r), "b")
}

// Guards against a target that is never used because its health check fails for
// another reason than its departure: it goes on announcing itself.
func TestSteadyAnnouncementsConfirm(t *testing.T) {
	is := is.New(t)
	const expiry, beat = 5 * time.Second, 1500 * time.Millisecond
	now := epoch.Add(time.Minute)
	r := NewRegistry(expiry)
	r.RequireConfirmation(now)
	is.NoErr(r.Announce(announcement("a", 0, 1), now))
	now = now.Add(expiry + beat) // a gap, after which the time counts anew
	for i := range uint64(4) {
		is.NoErr(r.Announce(announcement("a", 0, 2+i), now.Add(time.Duration(i)*beat)))
		is.Equal(currentID(r), "")
	}
	is.NoErr(r.Announce(announcement("a", 0, 6), now.Add(4*beat)))
	is.Equal(currentID(r), "a")
}

// Guards against using a target whose departure another registry has acknowledged,
// and against refusing its next start.
func TestAdoptedDeparture(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(5 * time.Second)
	is.NoErr(r.AddProbed(Target{ID: "a", Address: "10.0.0.1:80", Slots: 9}, epoch))
	is.Equal(currentID(r), "a")
	r.AddDeparture("a", epoch, epoch)
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("a", 0, 7), epoch))
	is.Equal(currentID(r), "")
	is.NoErr(r.Announce(announcement("a", time.Second, 1), epoch))
	is.Equal(currentID(r), "a")
}
