package admit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskingw/errdefs"
	"siskingw/object"
)

// Guards against a refusal without a name for metrics and logs.
func TestEveryRefusalHasACause(t *testing.T) {
	is := is.New(t)
	is.Equal(Cause(errdefs.NotRun.New("other")), "")
	is.Equal(len(Causes()), len(causeOf))
	g := New(Options{Slots: 1, QueueLength: 1, QueueTimeout: time.Millisecond})
	ticket, err := g.Enter(context.Background(), object.WorkBid)
	is.NoErr(err)
	_, err = g.Enter(context.Background(), object.WorkBid)
	is.Equal(Cause(err), "queue_timeout")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = g.Enter(ctx, object.WorkBid)
	is.Equal(Cause(err), "caller_gone")
	ticket.Release()
	g.Drain()
	_, err = g.Admit(context.Background(), Work{TargetTime: time.Now()})
	is.Equal(Cause(err), "draining")
}
