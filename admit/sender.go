package admit

import (
	"context"
	"sync"
	"time"

	"siskingw/errdefs"
	"siskingw/lateness"
)

const (
	// LargeResponse is the size in bytes from which a response waits for its turn
	// on the link. Smaller ones take a few milliseconds even on a slow link and
	// must not wait behind large ones.
	LargeResponse = 32 << 10
	// sendAhead is how long before its turn a response is handed to the
	// connection, so that the link is not idle in between.
	sendAhead = 15 * time.Millisecond
	// maxSendMissProbability is the probability, 0..1, of missing the target
	// latency above which the response would queue for the link in vain. It is
	// above maxOverloadMissProbability, because the bytes ahead are known and not
	// estimated from service times.
	maxSendMissProbability = 0.25
)

var (
	errLinkBusy    = errdefs.NotRun.New("response would wait too long for the link")
	errSendTooLate = errdefs.Timeout.New("response cannot leave over the link before the deadline")
)

// Sender shares an instance's network link, in the direction away from it, among
// the responses of its target. On a slow link the bandwidth and not the target's
// slots limits how many downloads the instance can answer, and responses that are
// all written at once delay one another and every other call of the instance. A
// Sender admits calls by the bytes ahead of their responses, and lets large
// responses leave one after the other. A nil Sender stands for an unlimited link.
// It is safe for concurrent use.
type Sender struct {
	rate float64 // bytes per second
	now  func() time.Time

	mu       sync.Mutex
	freeAt   time.Time        // when the responses that were granted have left
	promised float64          // bytes expected of the large responses of admitted calls
	sizes    map[string]*ewma // size of the responses in bytes, by class
}

// NewSender returns a sender for a link with the given rate in bytes per second;
// nil if it is 0, which means unlimited. A nil now selects time.Now.
func NewSender(rate float64, now func() time.Time) *Sender {
	if rate <= 0 {
		return nil
	}
	if now == nil {
		now = time.Now
	}
	return &Sender{rate: rate, now: now, sizes: make(map[string]*ewma)}
}

// Promise is the share of the link that an admitted call has been promised for its
// response. A nil Promise is valid and never waits.
type Promise struct {
	sender   *Sender
	class    string
	expected float64 // bytes still counted in Sender.promised
}

// Promise reserves the link for the response of a call, which the target is
// expected to complete after serviceTime. It returns a NotRun error when the
// response would probably leave too late: after the deadline, or after the target
// latency while the link is busy with others. Otherwise late responses would keep
// it busy until the deadline, and all others would be late too. Release must be
// called on the promise.
func (s *Sender) Promise(work Work, deadline time.Time, serviceTime time.Duration) (*Promise, error) {
	if s == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &Promise{sender: s, class: work.Class}
	size := 0.0
	if e := s.sizes[work.Class]; e != nil {
		size = e.value
	}
	if size < LargeResponse {
		return p, nil
	}
	now := s.now()
	backlog := s.backlog(now)
	finish := backlog + s.duration(size)
	late := work.Late || lateness.Probability(finish, work.TargetTime.Sub(now)) > maxSendMissProbability
	// Only the link may be a reason here. The service time is learned from admitted
	// calls: refusing for it while the link is free would never end.
	if backlog > serviceTime && (late || lateness.Probability(finish, deadline.Sub(now)) > maxSendMissProbability) {
		return nil, errLinkBusy
	}
	p.expected = size
	s.promised += size
	return p, nil
}

// Send waits until a response of size bytes may be written. It returns a Timeout
// error when that would be after the deadline, and the error of ctx when it ends
// first.
func (p *Promise) Send(ctx context.Context, size int64, deadline time.Time) error {
	if p == nil {
		return nil
	}
	s := p.sender
	s.mu.Lock()
	now := s.now()
	s.addSize(p.class, size)
	s.promised -= p.expected
	p.expected = 0
	start := s.freeAt
	if start.Before(now) {
		start = now
	}
	if size >= LargeResponse && !deadline.IsZero() && start.After(deadline) {
		s.mu.Unlock()
		return errSendTooLate
	}
	s.freeAt = start.Add(s.duration(float64(size)))
	s.mu.Unlock()
	wait := start.Sub(now) - sendAhead
	if size < LargeResponse || wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		s.freeAt = s.freeAt.Add(-s.duration(float64(size)))
		s.mu.Unlock()
		return ctx.Err()
	}
}

// Release ends the promise. Only the first call has an effect.
func (p *Promise) Release() {
	if p == nil || p.expected == 0 {
		return
	}
	p.sender.mu.Lock()
	p.sender.promised -= p.expected
	p.expected = 0
	p.sender.mu.Unlock()
}

// Backlog returns the time until the link has sent the responses that were granted
// or promised to admitted calls; 0 for an unlimited link.
func (s *Sender) Backlog() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backlog(s.now())
}

// backlog is Backlog at now. s.mu must be held.
func (s *Sender) backlog(now time.Time) time.Duration {
	return max(s.freeAt.Sub(now), 0) + s.duration(max(s.promised, 0))
}

// duration returns the time that the link takes for a number of bytes.
func (s *Sender) duration(bytes float64) time.Duration {
	return time.Duration(bytes / s.rate * float64(time.Second))
}

// addSize records the size of a response. s.mu must be held.
func (s *Sender) addSize(class string, size int64) {
	e := s.sizes[class]
	if e == nil {
		if len(s.sizes) >= maxClasses {
			clear(s.sizes)
		}
		e = new(ewma)
		s.sizes[class] = e
	}
	e.add(float64(size))
}
