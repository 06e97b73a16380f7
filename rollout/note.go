package rollout

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"siskingw/errdefs"
	"siskingw/peer/peerpb"
	"siskingw/store"
)

// Note is what a node states about roll-outs in its membership record.
type Note struct {
	Directives []Directive // of a node that watches the store
	Evidence   Evidence    // of the target beside the node; Order is zero for none
}

// maxNoteRoutes is the number of routes in a note at first. Fewer are stated where
// they do not fit.
const maxNoteRoutes = 32

// Encode returns the encoded note in at most limit bytes: the routes with the
// fewest answers are left out first, then the reasons, then the directives of the
// oldest orders. It returns nil for an empty note and an Internal error if the note
// cannot be encoded.
func (n Note) Encode(limit int) ([]byte, error) {
	for routes, reasons := maxNoteRoutes, true; len(n.Directives) > 0 || !n.Evidence.Order.IsZero(); {
		b, err := proto.Marshal(n.message(routes, reasons))
		if err != nil {
			return nil, errdefs.Internal.Wrap(err, "note about roll-outs")
		}
		switch {
		case len(b) <= limit:
			return b, nil
		case routes > 0:
			routes--
		case reasons:
			reasons = false
		case len(n.Directives) == 0:
			return nil, errdefs.Internal.New("a note without routes and directives has %d bytes", len(b))
		default:
			n.Directives = n.withoutOldest()
		}
	}
	return nil, nil
}

// withoutOldest returns the directives but that of the oldest order.
func (n Note) withoutOldest() []Directive {
	byAge := slices.SortedFunc(slices.Values(n.Directives), func(a, b Directive) int { return b.Order.Compare(a.Order) })
	return byAge[:len(byAge)-1]
}

// message returns the wire form with the busiest routes, which is the same for notes
// that say the same.
func (n Note) message(routes int, reasons bool) *peerpb.RolloutNote {
	m := new(peerpb.RolloutNote)
	byService := slices.SortedFunc(slices.Values(n.Directives), func(a, b Directive) int { return cmp.Compare(a.Service, b.Service) })
	for _, d := range byService {
		w := &peerpb.RolloutDirective{Service: d.Service, Revision: d.Order.Revision(), Era: d.Order.Era(), Target: d.Target, Base: d.Base,
			Phase: uint32(d.Phase), SharePercent: uint32(d.SharePercent), Distinct: d.Distinct}
		if reasons {
			w.Reason = d.Reason
		}
		m.Directives = append(m.Directives, w)
	}
	if n.Evidence.Order.IsZero() {
		return m
	}
	m.Evidence = &peerpb.RolloutEvidence{Revision: n.Evidence.Order.Revision(), Era: n.Evidence.Order.Era(), Idle: n.Evidence.Idle, Target: n.Evidence.Target}
	for _, r := range n.Evidence.busiest(routes) {
		c := n.Evidence.Routes[r]
		first, last := 0, Buckets
		for last > 0 && c.Answers[last-1] == 0 {
			last--
		}
		for first < last && c.Answers[first] == 0 {
			first++
		}
		m.Evidence.Routes = append(m.Evidence.Routes, &peerpb.RolloutRoute{Route: r, Failed: c.Failed,
			FirstBucket: uint32(first), Buckets: c.Answers[first:last]})
	}
	return m
}

// DecodeNote decodes a note; an empty one is valid. It returns a Corrupt error for
// bytes that are no note.
func DecodeNote(b []byte) (Note, error) {
	var m peerpb.RolloutNote
	if err := proto.Unmarshal(b, &m); err != nil {
		return Note{}, errdefs.Corrupt.Wrap(err, "note about roll-outs")
	}
	var n Note
	for _, d := range m.Directives {
		n.Directives = append(n.Directives, Directive{Service: d.Service, Order: store.At(d.Era, d.Revision), Target: d.Target, Base: d.Base,
			Phase: Phase(d.Phase), SharePercent: int(d.SharePercent), Reason: d.Reason, Distinct: d.Distinct})
	}
	if e := m.Evidence; e != nil {
		n.Evidence = Evidence{Order: store.At(e.Era, e.Revision), Idle: e.Idle, Target: e.Target, Routes: make(map[uint32]Counts, len(e.Routes))}
		for _, r := range e.Routes {
			c := Counts{Failed: r.Failed}
			copy(c.Answers[min(r.FirstBucket, Buckets):], r.Buckets)
			n.Evidence.Routes[r.Route] = c
		}
	}
	return n, nil
}
