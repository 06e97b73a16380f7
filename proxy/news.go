package proxy

import (
	"net/http"
	"sync"
	"time"

	"siskingw/evenload"
	"siskingw/member"
)

// HeaderNews carries news about the targets of the called service between two
// instances of one failure domain, see evenload.Encode: in a request from the
// caller's node, and in the response to such a request from the target's node.
// Nodes that do not know it ignore it.
const HeaderNews = "Siskingw-News"

// flagHandOn in a HeaderWork value allows the target's node to hand the call on.
const flagHandOn = "h"

// EvenLoad is what the node of a target measures and hears for an even load of the
// targets. A nil *EvenLoad does nothing.
type EvenLoad struct {
	self  func() string // ID of the node
	start time.Time
	share float64 // of the arriving calls that may be handed on, 0..1

	mu       sync.Mutex
	instance string // identity of the target that the board belongs to
	board    *evenload.Board
	budget   evenload.HandOnBudget
}

// NewEvenLoad returns the state of the node with the ID that self returns, which hands
// on the given share of the calls, 0..1, at most.
func NewEvenLoad(self func() string, share float64) *EvenLoad {
	return &EvenLoad{self: self, share: share, start: time.Now(), board: &evenload.Board{}}
}

func (l *EvenLoad) now() int64 { return int64(time.Since(l.start)) }

// of returns the news that belongs to the current target. Another target than before
// starts anew.
func (l *EvenLoad) of(b *Backend) *evenload.Board {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b != nil && b.Instance != l.instance {
		l.instance, l.board = b.Instance, &evenload.Board{}
	}
	return l.board
}

// receive takes the news from a request of another node.
func (l *EvenLoad) receive(c *call) {
	v := c.r.Header[HeaderNews]
	if l == nil || len(v) == 0 {
		return
	}
	c.newsWanted = true
	board := l.of(nil)
	board.Learn(evenload.Decode(v[0]), l.now())
}

// newsFor returns the HeaderNews value for the response to a call, or "" when the
// call came without news or there is none.
func (l *EvenLoad) newsFor(c *call) string {
	if l == nil || !c.newsWanted {
		return ""
	}
	board := l.of(nil)
	return evenload.Encode(board.Newest(l.self(), l.now()))
}

// minWait is the wait at the gate from which an arrival counts as one that waited.
const minWait = time.Millisecond

// observeArrival counts a call that asked the gate for admission and waited.
func (l *EvenLoad) observeArrival(m *Metrics, c *call, b *Backend, waited time.Duration) {
	if l == nil {
		return
	}
	board := l.of(b)
	m.observeSpread(board.Spread(b.Gate.Load(), float64(b.Gate.Slots()), l.now()))
	if waited < minWait {
		m.countArrival(arrivalAtOnce)
		return
	}
	result := arrivalWaited
	if l.roomElsewhere(c, b) {
		result = arrivalWaitedBesideRoom
	}
	m.countArrival(result)
}

// roomElsewhere reports whether the news shows another target of the failure
// domain with room for the call.
func (l *EvenLoad) roomElsewhere(c *call, b *Backend) bool {
	board := l.of(b)
	return board.RoomElsewhere(l.self(), c.admissionWork().Rank(), float64(b.Gate.Slots()), l.now())
}

// budgetFor adds the credit of a call that arrived, and reports whether the call may
// be handed on.
func (l *EvenLoad) budgetFor(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Arrived(l.share)
	return c.work.mayHandOn && !c.work.allowLate && !c.body.streamed
}

// takeBudget pays for one call that is handed on, or reports false.
func (l *EvenLoad) takeBudget() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take()
}

// handOn returns a refusal for a call that would wait although another target of
// the failure domain has room, or nil. The caller's node sends such a call once
// more, to any target, and that attempt is not handed on.
func (in *Inbound) handOn(c *call, b *Backend) *refusal {
	l := in.opts.EvenLoad
	if l == nil || !l.budgetFor(c) || b.Gate.HasRoom() || !l.roomElsewhere(c, b) || !l.takeBudget() {
		return nil
	}
	in.opts.Metrics.countArrival(arrivalHandedOn)
	return notRun(causeElsewhere, "the target is full and another one has room", nil)
}

// maySendOn reports whether a call that was handed on is sent once more.
func (t *retryState) maySendOn(c *call, f *refusal) bool {
	return f.cause == causeElsewhere && c.work.mayHandOn && noRetryReasonOf(c, t.policy, f) == ""
}

// addNews adds news to the request to the node of an endpoint in the own failure
// domain.
func (o *Outbound) addNews(c *call, rec *member.Record) {
	if !o.opts.RelayNews || c.work.targetTime.IsZero() || rec.FailureDomain != o.opts.View.Self().FailureDomain {
		return
	}
	c.outHeader[HeaderNews] = []string{evenload.Encode(o.opts.Balancer.Newest(c.work.service, rec.ID))}
}

// learnNews takes the news from a response of the node of an endpoint.
func (o *Outbound) learnNews(c *call, rec *member.Record, h http.Header) {
	v := h[HeaderNews]
	if len(v) == 0 || rec.FailureDomain != o.opts.View.Self().FailureDomain {
		return
	}
	o.opts.Balancer.Learn(c.work.service, evenload.Decode(v[0]))
}
