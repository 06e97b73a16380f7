package admit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that do not read their responses and make the target look slow:
// the time that a call keeps its slot for its caller counts for no estimate, neither while
// the call is in flight nor after it, and the time that the target takes still does.
func TestAnsweredCallsAreNotSlow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	g := New(Options{Slots: 4, Now: func() time.Time { return now }})
	work := Work{Class: "page", TargetTime: now.Add(time.Hour)}
	const usual, unread, rest = 100 * time.Millisecond, 10 * time.Second, 50 * time.Millisecond
	admit := func() *Ticket {
		ticket, err := g.Admit(context.Background(), work)
		is.NoErr(err)
		return ticket
	}
	first := admit()
	now = now.Add(usual)
	first.Release()
	tickets := []*Ticket{admit(), admit(), admit()}
	now = now.Add(usual)
	for _, ticket := range tickets {
		ticket.Answered()
	}
	now = now.Add(unread)
	is.Equal(g.Report().ServiceTime, usual)
	is.Equal(g.ClassServiceTime("page"), usual)
	is.Equal(g.Report().CallsAhead[priorityBid], 3) // they occupy slots all the same

	running := admit()
	now = now.Add(4 * usual)
	is.True(g.Report().ServiceTime > usual) // a call without a response still shows a slow target
	now = now.Add(-3 * usual)
	running.Release()

	for _, ticket := range tickets {
		ticket.Received(rest)
		ticket.Release()
	}
	is.Equal(g.Stats().InFlight, 0)
	got := g.Report().ServiceTime
	is.True(got > usual && got < usual+rest)
	is.Equal(g.startTimeSum, time.Duration(0))
	is.Equal(g.expectedSum, time.Duration(0))
	is.Equal(g.answered, 0)
}
