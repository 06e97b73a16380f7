package proxy

import (
	"net/http"
	"strings"
)

// relay passes the answer on and ends the exchange.
func (x *exchange) relay(c *call) *refusal {
	complete := false
	defer func() { x.finish(complete) }()
	h := c.w.Header()
	copyHeader(h, x.resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	for k := range x.resp.Header {
		if strings.HasPrefix(k, headerPrefix) {
			delete(h, k)
		}
	}
	c.answered = true
	c.w.WriteHeader(x.resp.StatusCode)
	if err := x.relayBody(c.w); err != nil {
		return &refusal{status: http.StatusBadGateway, outcome: OutcomeUnknown, reason: err.Error(), aborted: true}
	}
	complete = true
	return nil
}
