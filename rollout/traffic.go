package rollout

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"siskingw/store"
)

// TrafficOptions configures a Traffic.
type TrafficOptions struct {
	Share float64 // share of a service's calls, 0 to 1, that an unproven version may get
	// Targets returns the targets of a service in the same order on every node. The
	// result may be kept until Generation changes.
	Targets    func(service string) []Target
	Generation func() uint64
}

// Traffic decides which versions the calls of this node may use. It is safe for
// concurrent use.
type Traffic struct {
	book     *Book
	opts     TrafficOptions
	services sync.Map // service name to *serviceTraffic
	settled  atomic.Bool
}

// Settle states that this node knows the targets of the fleet. Until then the
// version in force of a service without an order may change with the targets that
// the node learns of; it knows few when it starts.
func (t *Traffic) Settle() { t.settled.Store(true) }

// NewTraffic returns the traffic under the directives of a book.
func NewTraffic(book *Book, opts TrafficOptions) *Traffic { return &Traffic{book: book, opts: opts} }

// serviceTraffic is the state of one service.
type serviceTraffic struct {
	credit Credit
	vetoed atomic.Pointer[store.Position] // order whose version this node has judged bad
	// suspects are nodes of new targets that seem faulty by themselves.
	suspects atomic.Pointer[map[string]bool]
	state    atomic.Pointer[trafficState]
	// newCalls counts the calls that tried the new version, calls all that reached
	// the service, both since the order.
	newCalls, calls atomic.Uint64

	mu    sync.Mutex     // held while the state is replaced
	order store.Position // that the credit and the counts belong to
}

// trafficState is what a plan depends on. It is immutable.
type trafficState struct {
	generation uint64
	directive  Directive // zero for none
	survey     Survey
	base, new  Rule
	tries      bool    // calls may try the new version
	share      float64 // share of the calls that try it, 0 to 1
	inForce    string  // version in force if there is no directive
}

// Plan states which versions one attempt of a call may use.
type Plan struct {
	Rule        Rule
	Trial       bool // the attempt tries the new version
	HasFallback bool // Fall may be called
	fallback    Rule
	service     *serviceTraffic
	share       float64
}

// Plan returns the plan of an attempt. A retry never tries an unproven version.
func (t *Traffic) Plan(service string, retry bool) Plan {
	s := t.service(service)
	st := t.current(service, s)
	p := Plan{Rule: st.base, service: s, share: st.share}
	switch {
	case !st.tries:
	case st.share >= 1:
		p.Rule, p.fallback, p.HasFallback = st.new, st.base, true
	case retry && st.directive.Phase == Moving:
		p.Rule = Rule{}
	case !retry && s.credit.Take():
		p.Rule, p.Trial = st.new, true
		p.fallback, p.HasFallback = st.base, true
	case st.directive.Phase == Moving:
		p.fallback, p.HasFallback = st.new, true
	}
	return p
}

// Fall returns the plan for when no target of the permitted versions can take the
// call.
func (p Plan) Fall() Plan {
	if p.Trial {
		p.service.credit.Return()
	}
	p.Rule, p.Trial, p.HasFallback = p.fallback, false, false
	return p
}

// Sent records whether the attempt reached a target of the service, and whether it is
// the first of the call that did: a call counts once, however often it is sent.
func (p Plan) Sent(reached, first bool) {
	if p.service == nil {
		return
	}
	if p.Trial && reached {
		p.service.newCalls.Add(1)
	} else if p.Trial {
		p.service.credit.Return()
	}
	if !first {
		return
	}
	p.service.calls.Add(1)
	if p.share > 0 && p.share < 1 {
		p.service.credit.Add(p.share)
	}
}

// ProvenRule returns the rule for calls of a service that do not try a new version.
// It takes no credit.
func (t *Traffic) ProvenRule(service string) Rule { return t.current(service, t.service(service)).base }

// Veto records that this node has judged the version of an order bad. It gets no
// further calls of this node unless a later order names it.
func (t *Traffic) Veto(service string, order store.Position) {
	s := t.service(service)
	s.vetoed.Store(&order)
	s.state.Store(nil)
}

// Suspect records nodes of targets that seem faulty by themselves. They get no trial
// calls until the next order.
func (t *Traffic) Suspect(service string, nodes []string) {
	s := t.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	next, added := make(map[string]bool), false
	if old := s.suspects.Load(); old != nil {
		maps.Copy(next, *old)
	}
	for _, n := range nodes {
		added = added || !next[n]
		next[n] = true
	}
	if added {
		s.suspects.Store(&next)
		s.state.Store(nil)
	}
}

// Counts returns the calls of this node that reached the service and those that
// tried the new version, since the last order.
func (t *Traffic) Counts(service string) (calls, tried uint64) {
	s := t.service(service)
	return s.calls.Load(), s.newCalls.Load()
}

// Survey returns the targets of a service by their part in its roll-out.
func (t *Traffic) Survey(service string) Survey { return t.current(service, t.service(service)).survey }

func (t *Traffic) service(name string) *serviceTraffic {
	if s, ok := t.services.Load(name); ok {
		return s.(*serviceTraffic)
	}
	s, _ := t.services.LoadOrStore(name, new(serviceTraffic))
	return s.(*serviceTraffic)
}

// current returns the state for the current targets and directive.
func (t *Traffic) current(name string, s *serviceTraffic) *trafficState {
	generation := t.opts.Generation()
	d, _ := t.book.Get(name)
	if st := s.state.Load(); st != nil && st.generation == generation && st.directive == d {
		return st
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := t.newState(name, s, d, generation)
	s.state.Store(st)
	return st
}

func (t *Traffic) newState(name string, s *serviceTraffic, d Directive, generation uint64) *trafficState {
	old := s.state.Load()
	st := &trafficState{generation: generation, directive: d}
	targets := t.opts.Targets(name)
	if d.Phase == 0 {
		if old != nil && t.settled.Load() {
			st.inForce = old.inForce
		}
		st.inForce = InForce(targets, st.inForce)
		st.base = ruleWithoutOrder(targets, st.inForce)
		return st
	}
	if s.order != d.Order {
		s.order = d.Order
		s.credit.Reset()
		s.calls.Store(0)
		s.newCalls.Store(0)
		s.suspects.Store(nil)
	}
	effective := d
	if v := s.vetoed.Load(); v != nil && v.Same(d.Order) && d.Active() {
		effective.Phase = Reverted
	}
	var suspects map[string]bool
	if p := s.suspects.Load(); p != nil {
		suspects = *p
	}
	st.survey = NewSurvey(effective, targets, t.opts.Share, suspects)
	st.base = BaseRule(effective, st.survey)
	st.share = effective.Share(t.opts.Share)
	st.new, st.tries = NewRule(effective, st.survey)
	return st
}

// ruleWithoutOrder permits only the version in force while it has a target: an order
// for another one may exist that this node has not learned of. Targets whose version
// is not known yet get no calls meanwhile.
func ruleWithoutOrder(targets []Target, inForce string) Rule {
	mixed := slices.ContainsFunc(targets, func(t Target) bool { return t.Usable && t.Version != "" && t.Version != inForce })
	present := slices.ContainsFunc(targets, func(t Target) bool { return t.Usable && t.Version == inForce })
	if !mixed || !present {
		return Rule{}
	}
	return only(inForce).orUnknown()
}
