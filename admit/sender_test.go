package admit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against downloads that share a slow link until all of them are late, and
// against small responses that wait behind large ones.
func TestLargeResponsesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSender(1e6, nil) // 100 KB take 100 ms
		start := time.Now()
		send := func(class string, size int64) time.Duration {
			p, err := s.Promise(Work{Class: class, TargetTime: start.Add(time.Second)}, start.Add(time.Second), 0)
			is.NoErr(err)
			defer p.Release()
			is.NoErr(p.Send(t.Context(), size, start.Add(time.Second)))
			return time.Since(start)
		}
		is.Equal(send("file", 100e3), time.Duration(0))
		is.Equal(send("file", 100e3), 100*time.Millisecond-sendAhead)
		is.Equal(send("page", 1e3), 100*time.Millisecond-sendAhead) // at once
		is.Equal(send("file", 100e3), 201*time.Millisecond-sendAhead)
	})
}

// Guards against downloads that run although their response cannot leave in time:
// the responses of the calls admitted before must count, and must stop counting
// when the calls end without one.
func TestSenderRefusesWhatWouldLeaveTooLate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewSender(1e6, func() time.Time { return now })
	work := Work{Class: "file", TargetTime: now.Add(500 * time.Millisecond)}
	deadline := now.Add(2 * time.Second)
	first, err := s.Promise(work, deadline, 0)
	is.NoErr(err)
	is.NoErr(first.Send(t.Context(), 100e3, deadline)) // now the size is known
	var promises []*Promise
	for err == nil && len(promises) < 5 {
		var p *Promise
		if p, err = s.Promise(work, deadline, 10*time.Millisecond); err == nil {
			promises = append(promises, p)
		}
	}
	is.Equal(Cause(err), "link_busy")
	is.True(len(promises) >= 1 && len(promises) < 4) // 500 ms hold 5 responses at most
	late := work
	late.Late = true
	_, err = s.Promise(late, deadline, 10*time.Millisecond)
	is.Equal(Cause(err), "link_busy") // although its deadline leaves time
	_, err = s.Promise(late, deadline, time.Second)
	is.NoErr(err) // the link is free when it has run
	promises[0].Release()
	promises[0].Release()
	_, err = s.Promise(Work{Class: "page", TargetTime: work.TargetTime}, deadline, 0)
	is.NoErr(err) // small
	var unlimited *Sender
	p, err := unlimited.Promise(work, deadline, 0)
	is.NoErr(err)
	is.NoErr(p.Send(t.Context(), 1<<40, deadline))
	is.Equal(unlimited.Backlog(), time.Duration(0))
}

// Guards against a link that stays reserved for a response whose caller has left,
// and against a response that waits for its turn until after its deadline.
func TestCanceledResponseFreesTheLink(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewSender(1e6, func() time.Time { return now })
	p := &Promise{sender: s, class: "file"}
	is.NoErr(p.Send(t.Context(), 1e6, time.Time{}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(p.Send(ctx, 1e6, time.Time{}) != nil)
	is.Equal(s.Backlog(), time.Second)
	is.Equal(p.Send(t.Context(), 1e6, now.Add(time.Second/2)), errSendTooLate)
}

// Guards against calls that are refused for the link while it is free: the service
// time of their class was high once, and without admitted calls it stays so.
func TestFreeLinkRefusesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewSender(1e6, func() time.Time { return now })
	work := Work{Class: "file", TargetTime: now.Add(500 * time.Millisecond)}
	first, err := s.Promise(work, now.Add(time.Second), 0)
	is.NoErr(err)
	is.NoErr(first.Send(t.Context(), 100e3, now.Add(time.Second)))
	now = now.Add(100 * time.Millisecond) // the link is free again
	_, err = s.Promise(work, now.Add(time.Second), 2*time.Second)
	is.NoErr(err)
}
