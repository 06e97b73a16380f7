package admit

import "time"

// Answered states that the target has begun a response that is passed on while the call
// keeps its slot. How long that takes depends on how fast the caller reads, so that the
// age of the call says nothing about the target from now on. It must be called before
// Release, at most once.
func (t *Ticket) Answered() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.answeredAt = g.opts.Now()
	g.answered++
	g.forgetAge(t)
}

// Received adds time for which the node waited for the rest of the response. With the
// time until Answered it is the service time of the call.
func (t *Ticket) Received(d time.Duration) { t.received += d }

// forgetAge removes a call from the sums over the calls in flight. g.mu must be held.
func (g *Gate) forgetAge(t *Ticket) {
	g.startTimeSum -= t.admittedAt.Sub(g.epoch)
	g.expectedSum -= t.expected
}

// serviceTime returns the service time of a call that ends at now.
func (t *Ticket) serviceTime(now time.Time) time.Duration {
	if !t.answeredAt.IsZero() {
		now = t.answeredAt
	}
	return now.Sub(t.admittedAt) + t.received
}

// unanswered returns the number of calls in flight whose response has not begun. g.mu
// must be held.
func (g *Gate) unanswered() int { return g.inFlight - g.answered }
