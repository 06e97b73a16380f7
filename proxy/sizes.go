package proxy

import (
	"math"
	"sync/atomic"
)

const (
	// exchangeOverhead is the expected size of the request and response headers.
	exchangeOverhead = 700 // bytes
	// sizeWeight is the weight of a new response in the moving average, from 0 to 1.
	sizeWeight = 0.1
)

// sizes is an exponentially weighted moving average of a route's response sizes.
type sizes struct {
	answer atomic.Uint64 // average body size in bytes, as float64 bits
}

// add records the body size of one response, in bytes.
func (s *sizes) add(n int) {
	old := math.Float64frombits(s.answer.Load())
	if old == 0 {
		old = float64(n)
	}
	s.answer.Store(math.Float64bits(old + sizeWeight*(float64(n)-old)))
}

// of returns the expected size of a call and its response, in bytes.
func (s *sizes) of(c *call) int {
	n := exchangeOverhead + int(math.Float64frombits(s.answer.Load()))
	if c.r.ContentLength > 0 {
		n += int(c.r.ContentLength)
	}
	return n
}

// sizeOf returns the estimate of a route.
func (o *Outbound) sizeOf(route string) *sizes {
	if s, ok := o.sizes.Load(route); ok {
		return s.(*sizes)
	}
	s, _ := o.sizes.LoadOrStore(route, new(sizes))
	return s.(*sizes)
}
