package node

import (
	"context"
	"sync"
	"time"

	"siskingw/kernel"
	"siskingw/member"
	"siskingw/proxy"
	"siskingw/rollout"
	"siskingw/spread"
	"siskingw/store"
	"siskingw/telemetry"
)

const (
	// rolloutTick is the interval at which a node judges evidence, decides and
	// updates its note.
	rolloutTick = 200 * time.Millisecond
	// settleTime is how long a starting node learns of other nodes before it holds on
	// to the version that it takes for the one in force.
	settleTime = 2 * time.Second
	// deciderSettleTime is how long a node must watch the store before it decides.
	// Each node that starts watches it until it knows others; when all nodes of a
	// deployment were restarted, 48 of them read the status of an old roll-out.
	deciderSettleTime = time.Second
	// evidenceInterval is the minimum time between two statements of evidence by the
	// node of a target. It bounds the bytes for records: a few dozen nodes state
	// evidence while a roll-out runs.
	evidenceInterval = 400 * time.Millisecond
)

// rolloutService takes part in the roll-outs of target versions: it learns of their
// state from the notes of other nodes, counts the answers of its own target, judges
// the version, and decides while this node watches the store.
type rolloutService struct {
	node     *Node
	book     *rollout.Book
	traffic  *rollout.Traffic
	recorder *rollout.Recorder
	store    store.Store  // nil without a store endpoint
	spread   *spread.Node // set by Start

	mu       sync.Mutex
	orders   map[string]*orderState     // by service
	read     map[string]*rollout.Orders // by service
	history  map[string]*rollout.History
	verdicts map[string]rollout.Verdict
	notes    noteCache
	// unstatedSince is since when no other node states the directive of a service.
	unstatedSince map[string]time.Time

	startedAt   time.Time // when a configuration was in force; zero before
	readerSince time.Time // since when this node watches the store; zero if it does not
	stated      []byte    // last note
	evidenceAt  time.Time // when evidence was last stated
}

func newRolloutService(n *Node) *rolloutService {
	s := &rolloutService{
		node: n, book: rollout.NewBook(), recorder: new(rollout.Recorder),
		orders: make(map[string]*orderState), read: make(map[string]*rollout.Orders), history: make(map[string]*rollout.History),
		verdicts: make(map[string]rollout.Verdict), unstatedSince: make(map[string]time.Time),
	}
	s.traffic = rollout.NewTraffic(s.book, rollout.TrafficOptions{
		Share: n.settings.Platform.CanaryShare, Targets: s.targets, Generation: n.dir.Generation,
	})
	n.dir.OnChange(s.learnFrom)
	return s
}

func (s *rolloutService) Name() string    { return nameRollout }
func (s *rolloutService) Needs() []string { return []string{nameSpread, nameStore} }

func (s *rolloutService) Start(_ context.Context, k *kernel.Kernel) error {
	st, err := kernel.Lookup[*storeService](k, nameStore)
	if err != nil {
		return err
	}
	sp, err := kernel.Lookup[*spreadService](k, nameSpread)
	if err != nil {
		return err
	}
	s.store, s.spread = st.store, sp.spread
	s.node.storeEra.onChange(s.onEra)
	exportRollouts(s)
	return nil
}

// Run judges and decides until ctx ends.
func (s *rolloutService) Run(ctx context.Context) error {
	tick := time.NewTicker(rolloutTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.step(ctx, time.Now())
		}
	}
}

func (s *rolloutService) Stop(context.Context) error { return nil }

// step makes one round.
func (s *rolloutService) step(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, d := range s.book.All() {
		if d.Active() {
			s.judge(service, d, now)
		}
	}
	if s.startedAt.IsZero() && s.node.current.Load() != nil {
		s.startedAt = now
	}
	if !s.startedAt.IsZero() && now.Sub(s.startedAt) >= settleTime {
		s.traffic.Settle()
	}
	index, reader := s.spread.Reader()
	if !reader {
		s.readerSince = time.Time{}
	} else if s.readerSince.IsZero() {
		s.readerSince = now
	}
	if reader && s.store != nil && now.Sub(s.readerSince) >= deciderSettleTime {
		for _, o := range s.orders {
			s.decide(ctx, o, index, now)
		}
	}
	s.state(reader, index, now)
}

// targets returns the targets of a service in rank order.
func (s *rolloutService) targets(service string) []rollout.Target {
	records := s.node.dir.Endpoints(service)
	list := make([]rollout.Target, len(records))
	for i, r := range records {
		list[i] = rollout.Target{Node: r.ID, Version: r.Version(), Slots: int(r.Slots), Usable: r.State == member.Alive}
	}
	return list
}

// learnFrom learns the directives in the notes of changed records.
func (s *rolloutService) learnFrom(changed []*member.Record) {
	for _, r := range changed {
		if len(r.TargetNote) == 0 || !r.Live() {
			continue
		}
		note, err := rollout.DecodeNote(r.TargetNote)
		if err != nil {
			continue // of a later release; the other readers' notes hold as well
		}
		for _, d := range note.Directives {
			s.learn(d, r.ID)
		}
	}
}

// learn records a directive and logs it if it is new.
func (s *rolloutService) learn(d rollout.Directive, from string) {
	if !s.book.Learn(d) {
		return
	}
	s.node.log.Info(telemetry.EventRolloutState, "service", d.Service, "order", d.Order, "phase", d.Phase.String(),
		"percent", d.SharePercent, "target", d.Target, "base", d.Base, "reason", d.Reason, "from", from)
}

// judge compares the evidence of the new version with that of the old one. A node
// that finds the version bad stops using it at once, whatever the deciders do.
func (s *rolloutService) judge(service string, d rollout.Directive, now time.Time) {
	h := s.history[service]
	if h == nil {
		h = new(rollout.History)
		s.history[service] = h
	}
	h.Add(d.Order, s.evidence(service, d), now)
	v := h.Judge()
	old := s.verdicts[service]
	s.verdicts[service] = v
	if suspects := v.Suspects(); len(suspects) > 0 {
		s.traffic.Suspect(service, suspects)
	}
	if v.Outcome == rollout.Bad && old.Outcome != rollout.Bad {
		s.traffic.Veto(service, d.Order)
		s.node.log.Info(telemetry.EventRolloutVetoed, "service", service, "order", d.Order, "version", d.Target,
			"answers", v.Answers, "bad", v.Bad, "worst", v.Worst.String())
	}
}

// evidence returns the evidence that nodes have stated about the targets of a
// service since the order.
func (s *rolloutService) evidence(service string, d rollout.Directive) []rollout.TargetEvidence {
	var list []rollout.TargetEvidence
	for _, r := range s.node.dir.Endpoints(service) {
		if len(r.TargetNote) == 0 || r.Version() != d.Target && r.Version() != d.Base {
			continue
		}
		if e := s.notes.of(r).Evidence; e.Order.Same(d.Order) {
			list = append(list, rollout.TargetEvidence{Node: r.ID, New: r.Version() == d.Target, Evidence: e})
		}
	}
	return list
}

// noteCache holds the decoded notes of records, which are immutable.
type noteCache struct {
	byRecord map[*member.Record]rollout.Note
}

// maxCachedNotes bounds the cache; all notes are dropped when it is reached.
const maxCachedNotes = 4096

func (c *noteCache) of(r *member.Record) rollout.Note {
	if n, ok := c.byRecord[r]; ok {
		return n
	}
	if c.byRecord == nil || len(c.byRecord) >= maxCachedNotes {
		c.byRecord = make(map[*member.Record]rollout.Note)
	}
	n, err := rollout.DecodeNote(r.TargetNote)
	if err != nil {
		n = rollout.Note{}
	}
	c.byRecord[r] = n
	return n
}

// onAnswer returns the function that counts the answers of this node's target, or
// nil without roll-outs.
func (n *Node) onAnswer() func(proxy.Answer) {
	if n.rollouts == nil {
		return nil
	}
	return n.rollouts.recordAnswer
}

func (s *rolloutService) recordAnswer(a proxy.Answer) {
	now := time.Now()
	b := s.node.target.backend.Load()
	s.recorder.Record(rollout.Answer{
		Target: a.Instance, Route: a.Route, Failed: a.Failed, Duration: a.Duration, Ignored: a.Ignored,
		WarmUp: b != nil && now.Before(b.target.WarmupEnd),
	}, now)
}
