package quota

import (
	"math"
	"time"

	"siskingw/peer/peerpb"
)

// maxWants bounds the organisations of one message, about 60 KB.
const maxWants = 2_000

const centi = 100 // hundredths in a call

// maxEchoUs keeps the conversion to a time.Duration from overflowing.
const maxEchoUs = 1 << 50

func (a Ask) toProto() *peerpb.QuotaAsk {
	p := &peerpb.QuotaAsk{Node: a.Node, Incarnation: a.Incarnation, Number: a.Number, Pledge: a.Pledge, Borrow: a.Borrow,
		EchoIncarnation: a.Echo.Incarnation, EchoUs: uint64(a.Echo.At.Microseconds())}
	for _, w := range a.Wants[:min(len(a.Wants), maxWants)] {
		p.Wants = append(p.Wants, &peerpb.QuotaWant{Organisation: w.Organisation, Centicalls: toCenti(w.Tokens),
			CenticallsPerS: toCenti(w.Rate), Waiting: uint32(w.Waiting)})
	}
	return p
}

func toCenti(v float64) uint32 { return uint32(min(max(v, 0)*centi, math.MaxInt32)) }

// askFromProto returns the Ask in a message to the pool of the node with the ID.
func askFromProto(p *peerpb.QuotaAsk, pool string) Ask {
	a := Ask{Node: p.Node, Incarnation: p.Incarnation, Number: p.Number, Pledge: p.Pledge, Borrow: p.Borrow}
	if p.EchoIncarnation != 0 {
		a.Echo = Stamp{Pool: pool, Incarnation: p.EchoIncarnation, At: time.Duration(min(p.EchoUs, maxEchoUs)) * time.Microsecond}
	}
	for _, w := range p.Wants[:min(len(p.Wants), maxWants)] {
		a.Wants = append(a.Wants, Want{Organisation: w.Organisation, Tokens: float64(w.Centicalls) / centi,
			Rate: float64(w.CenticallsPerS) / centi, Waiting: int(min(w.Waiting, math.MaxInt32))})
	}
	return a
}

func (r Answer) toProto() *peerpb.QuotaAnswer {
	p := &peerpb.QuotaAnswer{Incarnation: r.Stamp.Incarnation, AtUs: uint64(r.Stamp.At.Microseconds()), Closed: r.Closed}
	for _, g := range r.Grants {
		p.Grants = append(p.Grants, &peerpb.QuotaGrant{Organisation: g.Organisation, Calls: uint32(g.Tokens),
			LifeMs: uint32(g.Life.Milliseconds()), Scarce: g.Scarce})
	}
	return p
}

// answerFromProto returns the Answer in a message of the pool of the node with the
// ID.
func answerFromProto(p *peerpb.QuotaAnswer, pool string) Answer {
	r := Answer{Stamp: Stamp{Pool: pool, Incarnation: p.Incarnation, At: time.Duration(p.AtUs) * time.Microsecond}, Closed: p.Closed}
	for _, g := range p.Grants {
		r.Grants = append(r.Grants, Grant{Organisation: g.Organisation, Tokens: int(min(g.Calls, math.MaxInt32)),
			Life: time.Duration(g.LifeMs) * time.Millisecond, Scarce: g.Scarce})
	}
	return r
}
