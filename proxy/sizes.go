package proxy

import (
	"math"
	"sync/atomic"
)

const (
	// exchangeOverheadBytes is the expected size of the request and response
	// headers together.
	exchangeOverheadBytes = 700
	// responseSizeWeight is the weight of a new response in the moving average, from
	// 0 to 1.
	responseSizeWeight = 0.1
)

// responseSize is an exponentially weighted moving average of the size of a
// route's response bodies.
type responseSize struct {
	averageBits atomic.Uint64 // average body size in bytes, as float64 bits
}

// observe records the body size of one response, in bytes.
func (s *responseSize) observe(n int) {
	old := math.Float64frombits(s.averageBits.Load())
	if old == 0 {
		old = float64(n)
	}
	s.averageBits.Store(math.Float64bits(old + responseSizeWeight*(float64(n)-old)))
}

// expectedBytes returns the expected size of a call and its response, in bytes.
func (s *responseSize) expectedBytes(c *call) int {
	n := exchangeOverheadBytes + int(math.Float64frombits(s.averageBits.Load()))
	if c.r.ContentLength > 0 {
		n += int(c.r.ContentLength)
	}
	return n
}

// responseSizeOf returns the average response size of a route; the first use
// creates it.
func (o *Outbound) responseSizeOf(route string) *responseSize {
	if s, ok := o.responseSizes.Load(route); ok {
		return s.(*responseSize)
	}
	s, _ := o.responseSizes.LoadOrStore(route, new(responseSize))
	return s.(*responseSize)
}
