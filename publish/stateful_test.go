package publish

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"siskingw/errdefs"
	"siskingw/object"
	"siskingw/snapshot"
	"siskingw/store/memstore"
)

// machine drives an acceptor, a collector, and a reader with a local copy, and
// compares them with a map of the objects that operators declared.
type machine struct {
	mem        *memstore.Store
	clock      *clockwork.FakeClock
	collector  *Collector
	acceptor   *Acceptor
	stop       func()
	local      *snapshot.Snapshot // snapshot of a node that may be behind
	expected   map[object.Key]*object.Object
	version    uint64
	requests   int
	published  []*snapshot.Delta
	fromDeltas *snapshot.Snapshot // result of applying every delta
}

func newMachine() *machine {
	m := &machine{mem: memstore.New(memstore.Options{}), clock: clockwork.NewFakeClock(),
		expected: make(map[object.Key]*object.Object)}
	m.collector = NewCollector(m.mem, CollectorOptions{Clock: m.clock, KeepCommits: 3})
	m.fromDeltas, _ = snapshot.New(0, nil)
	m.restart()
	return m
}

// restart replaces the acceptor with a new one that has no local snapshot.
func (m *machine) restart() {
	if m.stop != nil {
		m.stop()
	}
	m.acceptor = NewAcceptor(m.mem, new(snapshot.Current), Options{
		BatchWindow: time.Microsecond,
		OnPublish:   func(_ *snapshot.Snapshot, d *snapshot.Delta) { m.published = append(m.published, d) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.acceptor.Run(ctx) }()
	m.stop = func() { cancel(); <-done }
}

// drawObject generates an object from a small name space, so that references
// often resolve and often do not.
func drawObject(t *rapid.T) *object.Object {
	n := func(label string) string { return fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, label)) }
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		return endpointSet(n("name"), n("announce"))
	case 1:
		return service(n("name"), n("set"))
	}
	name := n("name")
	r := &object.Object{Kind: object.KindRoute, Name: name,
		Route: &object.RouteSpec{PathPrefix: "/" + name, Service: n("service")}}
	if rapid.Bool().Draw(t, "falls back") {
		r.Route.Fallback = n("fallback")
	}
	return r
}

// valid is an independent validation of the expected objects: every reference
// resolves and the fallbacks have no cycle.
func valid(set map[object.Key]*object.Object) bool {
	has := func(kind object.Kind, name string) bool { return set[object.Key{Kind: kind, Name: name}] != nil }
	for _, o := range set {
		switch {
		case o.Service != nil && !has(object.KindEndpointSet, o.Service.EndpointSet):
			return false
		case o.Route != nil && !has(object.KindService, o.Route.Service):
			return false
		}
		steps := 0
		for r := o; r.Route != nil && r.Route.Fallback != ""; steps++ {
			if r = set[object.Key{Kind: object.KindRoute, Name: r.Route.Fallback}]; r == nil || steps > len(set) {
				return false
			}
		}
	}
	return true
}

// expect applies the request to a copy of the expected objects and returns the
// expected outcome.
func (m *machine) expect(r Request) (next map[object.Key]*object.Object, changed bool, errType *errorx.Type) {
	next = maps.Clone(m.expected)
	for _, c := range r.Changes {
		old := m.expected[c.Key()]
		switch {
		case c.BasedOn != nil && (old == nil) != (*c.BasedOn == 0),
			c.BasedOn != nil && old != nil && old.Revision != *c.BasedOn:
			errType = errdefs.Conflict
		case c.Delete != nil && old == nil:
			if errType == nil {
				errType = errdefs.NotFound
			}
		case c.Delete != nil:
			delete(next, c.Key())
			changed = true
		case old == nil || !old.SameSpec(c.Object):
			o := *c.Object
			o.Revision, o.Author = m.version+1, r.Author
			next[c.Key()] = &o
			changed = true
		}
	}
	if errType == nil && !valid(next) {
		errType = errdefs.Invalid
	}
	return next, changed, errType
}

func (m *machine) apply(t *rapid.T) {
	m.requests++
	r := Request{OperationID: fmt.Sprint("op", m.requests), Author: "ann", Since: m.version}
	drawn := make(map[object.Key]bool)
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		c := Change{Object: drawObject(t)}
		if k := c.Key(); rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			c = Change{Delete: &k}
		}
		if drawn[c.Key()] {
			continue
		}
		drawn[c.Key()] = true
		switch rapid.IntRange(0, 2).Draw(t, "based on") {
		case 0:
			revision := uint64(0)
			if o := m.expected[c.Key()]; o != nil {
				revision = o.Revision
			}
			c.BasedOn = &revision
		case 1:
			revision := rapid.Uint64Range(0, m.version).Draw(t, "revision")
			c.BasedOn = &revision
		}
		r.Changes = append(r.Changes, c)
	}
	next, changed, wantErr := m.expect(r)
	var res Result
	var err error
	for range 2 { // the second call retries the same operation
		res, err = m.acceptor.Apply(context.Background(), r)
		if wantErr != nil || !changed {
			break
		}
	}
	switch {
	case wantErr != nil:
		// A request may have a conflict and delete an absent object; either
		// error is right.
		if !errorx.IsOfType(err, wantErr) && (wantErr != errdefs.Conflict || !errorx.IsOfType(err, errdefs.NotFound)) {
			t.Fatalf("%+v: got %v, want %s", r, err, wantErr)
		}
		return
	case err != nil:
		t.Fatalf("%+v: %v", r, err)
	case changed:
		m.expected, m.version = next, m.version+1
	}
	if res.Version != m.version || res.Changed != changed {
		t.Fatalf("got %+v, want version %d, changed %t", res, m.version, changed)
	}
}

// check compares the store, the local copy and the result of applying every
// delta with the expected objects.
func (m *machine) check(t *rapid.T) {
	if m.version == 0 {
		return
	}
	r := NewReader(m.mem)
	h, _, err := r.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	full, err := r.Load(context.Background(), h, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := slices.SortedFunc(maps.Values(m.expected),
		func(a, b *object.Object) int { return a.Key().Compare(b.Key()) })
	expected, err := snapshot.New(m.version, want)
	if err != nil {
		t.Fatal(err)
	}
	if full.Version() != m.version || full.Digest() != expected.Digest() {
		t.Fatalf("store has version %d %s, want %d %s", full.Version(), full.Digest(), m.version, expected.Digest())
	}
	if m.local, err = r.Load(context.Background(), h, m.local); err != nil || m.local.Digest() != full.Digest() {
		t.Fatalf("local copy differs: %v", err)
	}
	for _, d := range m.published {
		if m.fromDeltas, err = m.fromDeltas.Apply(d); err != nil {
			t.Fatal(err)
		}
	}
	m.published = nil
	if m.fromDeltas.Version() != m.version || m.fromDeltas.Digest() != full.Digest() {
		t.Fatalf("applying the deltas gives version %d, want %d", m.fromDeltas.Version(), m.version)
	}
}

// Guards against published versions, deltas or garbage collection that deviate
// from what operators declared when responses are lost and acceptors restart.
func TestAcceptorMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		defer func() { m.stop() }()
		t.Repeat(map[string]func(*rapid.T){
			"apply":   m.apply,
			"apply 2": m.apply,
			"restart": func(*rapid.T) { m.restart() },
			"lose answers": func(t *rapid.T) {
				m.mem.SetFaults(memstore.Faults{LoseAnswers: rapid.IntRange(1, 3).Draw(t, "answers")})
			},
			"collect": func(t *rapid.T) {
				m.clock.Advance(defaultMinAge)
				if _, err := m.collector.Collect(context.Background()); err != nil &&
					!errorx.IsOfType(err, errdefs.StoreUnknown) {
					t.Fatal(err)
				}
			},
			"verify": m.check,
		})
		m.check(t)
	})
}
