package even

import (
	"time"

	"siskingw/evenload"
)

// Policy is one way to choose a target.
type Policy struct {
	Name    string
	Random  bool // at random
	Choices int  // candidates drawn at random in the failure domain; 0 for all, and the next failure domains too
	OwnOnly bool // only the caller's own calls in flight count
	Undated bool // news counts in full at any age
	Fleet   bool // own calls since the news count once for every caller of the failure domain
	Subset  int  // targets that each caller uses; 0 for all
	Relay   int  // targets about which each message within a failure domain carries news
	HandOn  handOn
	Budget  float64 // share of the calls, 0..1, that an instance may hand on; 0 for no limit
	Credits bool    // a target's answers grant a call for 100 ms each while it has free slots
	Weighed bool    // candidates are drawn by capacity: slots per stated service time
	Remote  int     // candidates drawn besides in the other failure domains
	Steady  bool    // instances state service times over more calls, corrected by the machine's slowness
	Fill    bool    // by shares that fill all targets to one level, see levelOf
	Ask     float64 // share of the calls, 0..1, before which the caller asks its candidates of the failure domain
}

// handOn says which calls the instance of a full target hands on, each call once.
type handOn int

const (
	handOnNever   handOn = iota
	handOnBlind          // every call that would wait
	handOnKnowing        // calls that would wait while the instance knows of a target with room
)

// Policies are the policies that docs/design/even-load.md compares.
var Policies = []Policy{
	{Name: "random", Random: true},
	{Name: "two by own calls", Choices: 2, OwnOnly: true},
	{Name: "least by undated news", Undated: true},
	{Name: Before},
	{Name: "before, steady", Steady: true},
	{Name: "before, steady, own calls scaled for the fleet", Fleet: true, Steady: true},
	{Name: "before, steady, fixed subset of 3", Subset: 3, Steady: true},
	{Name: "before, steady, credits that lapse", Credits: true, Steady: true},
	{Name: "before, steady, 4 relayed", Relay: 4, Steady: true},
	{Name: "before, steady, hand on blindly", HandOn: handOnBlind, Steady: true},
	{Name: "fill to one level, steady", Fill: true, Steady: true},
	{Name: "fill to one level, steady, 4 relayed, hand on", Fill: true, Relay: 4, HandOn: handOnKnowing, Steady: true},
	{Name: "two, not steady", Choices: 2, Remote: 2},
	{Name: "two, steady", Choices: 2, Remote: 2, Steady: true},
	{Name: "two, steady, a sixth of the calls asks first", Choices: 2, Remote: 2, Steady: true, Ask: 1.0 / 6},
	{Name: "two, steady, 4 relayed", Choices: 2, Remote: 2, Relay: 4, Steady: true},
	{Name: "two by capacity, steady, 4 relayed, hand on", Choices: 2, Remote: 2, Weighed: true, Relay: 4, HandOn: handOnKnowing, Steady: true},
	{Name: "two, steady, hand on blindly", Choices: 2, Remote: 2, HandOn: handOnBlind, Steady: true},
	{Name: "two, steady, 2 relayed, hand on", Choices: 2, Remote: 2, Relay: 2, HandOn: handOnKnowing, Steady: true},
	{Name: "two, steady, 4 relayed, hand on", Choices: 2, Remote: 2, Relay: 4, HandOn: handOnKnowing, Steady: true},
	{Name: "two, steady, 4 relayed, hand on 5%", Choices: 2, Remote: 2, Relay: 4, HandOn: handOnKnowing, Budget: 0.05, Steady: true},
	{Name: Built, Choices: 2, Remote: 2, Relay: evenload.MaxRelayed, HandOn: handOnKnowing, Budget: evenload.HandOnShare, Steady: true},
	{Name: "two, steady, 4 relayed, hand on 20%", Choices: 2, Remote: 2, Relay: 4, HandOn: handOnKnowing, Budget: 0.2, Steady: true},
	{Name: "two, steady, 8 relayed, hand on", Choices: 2, Remote: 2, Relay: 8, HandOn: handOnKnowing, Steady: true},
	{Name: "three, steady, 4 relayed, hand on", Choices: 3, Remote: 2, Relay: 4, HandOn: handOnKnowing, Steady: true},
}

// Names of the policy before the feature and of the one that was built.
const (
	Before = "least by discounted news (before)"
	Built  = "two, steady, 4 relayed, hand on 10% (built)"
)

// PolicyOf returns the policy with the given name.
func PolicyOf(name string) Policy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	return Policy{}
}

// choose returns the target for a call of c.
func (m *model) choose(c *caller, w *work) *target {
	candidates := m.candidates(c)
	if m.policy.Random {
		return candidates[m.rand.IntN(len(candidates))]
	}
	if m.policy.Credits {
		if t := c.spendCredit(m, candidates); t != nil {
			return t
		}
	}
	if m.policy.Ask > 0 && m.rand.Float64() < m.policy.Ask {
		m.ask(c, candidates)
	}
	t := m.least(c, candidates)
	if s := c.state(t); s.news.Fresh(int64(m.now)) {
		m.stats.newsAge(m.now - time.Duration(s.news.At))
	}
	return t
}

// ask gives the caller the state of the candidates in its failure domain as stated
// now, for two messages each.
func (m *model) ask(c *caller, candidates []*target) {
	for _, t := range candidates {
		if t.domain == c.domain {
			s := c.state(t)
			s.news = t.statedAt(m.now-m.cfg.NewsLate).news(m.now, s.own)
			m.stats.messages += 2
		}
	}
}

// candidates returns the targets among which c chooses.
func (m *model) candidates(c *caller) []*target {
	p := m.policy
	own := m.domainTargets(c.domain)
	switch {
	case p.Subset > 0:
		return m.subset(own, c)
	case p.Choices > 0:
		drawn := make([]*target, p.Choices)
		for i := range drawn {
			drawn[i] = m.draw(c, own)
		}
		if m.cfg.Domains > 1 {
			for range p.Remote {
				d := (c.domain + 1 + m.rand.IntN(m.cfg.Domains-1)) % m.cfg.Domains
				if !m.cut(c.domain, d) {
					drawn = append(drawn, m.draw(c, m.domainTargets(d)))
				}
			}
		}
		return drawn
	case m.cfg.Domains == 1 || p.Random:
		return own
	}
	var all []*target
	for d := range m.cfg.Domains {
		if !m.cut(c.domain, d) {
			all = append(all, m.domainTargets(d)...)
		}
	}
	return all
}

// draw returns a random target of one failure domain.
func (m *model) draw(c *caller, targets []*target) *target {
	if !m.policy.Weighed {
		return targets[m.rand.IntN(len(targets))]
	}
	sum := 0.0
	for _, t := range targets {
		sum += m.capacity(c, t)
	}
	at := m.rand.Float64() * sum
	for _, t := range targets {
		if at -= m.capacity(c, t); at < 0 {
			return t
		}
	}
	return targets[0]
}

// capacity returns the calls that the target ends per second as far as c knows.
func (m *model) capacity(c *caller, t *target) float64 {
	serviceTime := float64(m.cfg.Work)
	if s := c.states[t.index]; s != nil && s.news != nil {
		serviceTime = s.news.ServiceTime
	}
	return float64(m.cfg.Slots) / serviceTime
}

// subset returns the targets of a caller with a fixed subset.
func (m *model) subset(own []*target, c *caller) []*target {
	var s []*target
	for i := range min(m.policy.Subset, len(own)) {
		s = append(s, own[(c.index*m.policy.Subset+i)%len(own)])
	}
	return s
}

// least returns the candidate with the least expected time.
func (m *model) least(c *caller, candidates []*target) *target {
	var mean evenload.Mean
	slots := float64(m.cfg.Slots)
	for _, t := range m.domainTargets(c.domain) {
		if s := c.states[t.index]; s != nil && s.news.Fresh(int64(m.now)) && !m.policy.OwnOnly {
			mean.Add(s.news, slots)
		}
	}
	if !mean.Known() {
		mean.ServiceTime = float64(m.cfg.Work)
	}
	if m.policy.Fill {
		return m.fill(c, candidates, &mean)
	}
	var best *target
	var least float64
	for _, t := range candidates {
		expected := float64(m.expected(c, t, &mean))
		if t.domain != c.domain {
			expected += float64(remotePenalty)
		}
		expected *= 1 + 0.02*m.rand.Float64()
		if best == nil || expected < least {
			best, least = t, expected
		}
	}
	return best
}

// fill draws a candidate by the shares that fill all of them to one level.
func (m *model) fill(c *caller, candidates []*target, mean *evenload.Mean) *target {
	loads := make([]load, len(candidates))
	for i, t := range candidates {
		var s targetState
		if known := c.states[t.index]; known != nil {
			s = *known
		}
		loads[i] = loadOf(s, mean, float64(m.cfg.Slots), int64(m.now))
		if t.domain != c.domain {
			loads[i].extra = float64(remotePenalty)
		}
	}
	level, sum := levelOf(loads), 0.0
	for _, l := range loads {
		sum += l.share(level)
	}
	at := m.rand.Float64() * sum
	for i, l := range loads {
		if at -= l.share(level); at < 0 {
			return candidates[i]
		}
	}
	return candidates[0]
}

// expected returns the expected time of a call of c at t.
func (m *model) expected(c *caller, t *target, mean *evenload.Mean) time.Duration {
	var s targetState
	if known := c.states[t.index]; known != nil {
		s = *known
	}
	if m.policy.OwnOnly {
		return time.Duration(1+s.own) * time.Millisecond
	}
	now, own := int64(m.now), s.own
	if m.policy.Undated && s.news != nil {
		n := *s.news
		n.At = now
		s.news = &n
	}
	if m.policy.Fleet && s.news != nil {
		own = s.news.Own + (own-s.news.Own)*int64(m.cfg.Callers)
		own = max(own, s.own)
	}
	slots := float64(m.cfg.Slots)
	return evenload.EstimateOf(s.news, mean, 0, slots, own, now).ExpectedTime(slots, 1)
}

// creditTime is how long a credit is valid.
const creditTime = 100 * time.Millisecond

// spendCredit returns a target whose last answer stated room and is not older than
// creditTime, or nil. Its own calls since then use the credit up.
func (c *caller) spendCredit(m *model, candidates []*target) *target {
	for i := range candidates {
		t := candidates[(c.turn+i)%len(candidates)]
		s := c.states[t.index]
		if t.domain != c.domain || s == nil || s.news == nil || m.now-time.Duration(s.news.At) > creditTime {
			continue
		}
		if s.news.Ahead[0] < float64(m.cfg.Slots) && s.own <= s.news.Own {
			c.turn++
			return t
		}
	}
	return nil
}

// relay exchanges news between the caller and the instance of t: with a request
// from the caller, with an answer from the instance.
func (m *model) relay(t *target, c *caller, request bool) {
	if m.policy.Relay == 0 || t.domain != c.domain {
		return
	}
	peers := m.domainTargets(t.domain)
	if request {
		m.take(m.heardBy(c, t), func(i int, n *evenload.News) {
			if old := t.heard[i]; old == nil || old.At < n.At {
				t.heard[i] = n
			}
		})
		return
	}
	m.take(t.heard, func(i int, n *evenload.News) {
		s := c.state(peers[i])
		if peers[i] != t && (s.news == nil || s.news.At < n.At) {
			copied := *n
			copied.Own = s.own
			s.news = &copied
		}
	})
}

// heardBy returns the caller's news about the other targets of its failure domain.
func (m *model) heardBy(c *caller, t *target) []*evenload.News {
	peers := m.domainTargets(t.domain)
	news := make([]*evenload.News, len(peers))
	for i, p := range peers {
		if s := c.states[p.index]; s != nil && p != t {
			news[i] = s.news
		}
	}
	return news
}

// take passes the newest of the news on, as many as the policy relays.
func (m *model) take(news []*evenload.News, to func(i int, n *evenload.News)) {
	used := make(map[int]bool)
	for range m.policy.Relay {
		best := -1
		for i, n := range news {
			if n != nil && !used[i] && (best < 0 || n.At > news[best].At) && m.now-time.Duration(n.At) < evenload.MaxRelayedAge {
				best = i
			}
		}
		if best < 0 {
			return
		}
		used[best] = true
		to(best, news[best])
	}
}

// handsOn reports whether the instance of t hands a call on that would wait.
func (m *model) handsOn(t *target) bool {
	return m.wantsToHandOn(t) && (m.policy.Budget == 0 || t.budget.Take())
}

// wantsToHandOn reports the same without the budget.
func (m *model) wantsToHandOn(t *target) bool {
	switch m.policy.HandOn {
	case handOnBlind:
		return true
	case handOnKnowing:
		for i, n := range t.heard {
			if n != nil && m.domainTargets(t.domain)[i] != t && evenload.HasRoom(n, 0, float64(m.cfg.Slots), int64(m.now)) {
				return true
			}
		}
	}
	return false
}
