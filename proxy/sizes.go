package proxy

import (
	"math"
	"sync/atomic"
)

const (
	// exchangeOverhead is the size of the headers of a call and its answer.
	exchangeOverhead = 700 // bytes
	// sizeWeight is the weight of a new answer in the average.
	sizeWeight = 0.1
)

// sizes estimates the size of a route's answers.
type sizes struct {
	answer atomic.Uint64 // float64 bits, bytes
}

// add takes the size of one answer.
func (s *sizes) add(n int) {
	old := math.Float64frombits(s.answer.Load())
	if old == 0 {
		old = float64(n)
	}
	s.answer.Store(math.Float64bits(old + sizeWeight*(float64(n)-old)))
}

// of returns the expected bytes of a call and its answer.
func (s *sizes) of(c *call) int {
	n := exchangeOverhead + int(math.Float64frombits(s.answer.Load()))
	if c.r.ContentLength > 0 {
		n += int(c.r.ContentLength)
	}
	return n
}

// sizeOf returns the estimate for a route.
func (o *Outbound) sizeOf(route string) *sizes {
	if s, ok := o.sizes.Load(route); ok {
		return s.(*sizes)
	}
	s, _ := o.sizes.LoadOrStore(route, new(sizes))
	return s.(*sizes)
}
