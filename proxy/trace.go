package proxy

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Tracer records one span for each hop of a call. A nil *Tracer records nothing
// and forwards the trace headers unchanged.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TraceContext
}

// NewTracer returns a Tracer that records with the given provider.
func NewTracer(p trace.TracerProvider) *Tracer {
	return &Tracer{tracer: p.Tracer("siskingw/proxy")}
}

// startSpan starts the span of a hop as a child of the one in the request's W3C trace
// context headers, and returns the function that ends it.
func (t *Tracer) startSpan(c *call, name string) (end func()) {
	if t == nil {
		return noopEnd
	}
	parent := t.propagator.Extract(c.ctx, propagation.HeaderCarrier(c.r.Header))
	ctx, span := t.tracer.Start(parent, name, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("http.request.method", c.r.Method)))
	c.ctx, c.tracer = ctx, t
	return func() {
		span.SetAttributes(attribute.String("siskingw.kind", string(c.kind)),
			attribute.Int("http.response.status_code", c.status))
		if f := c.refused; f != nil {
			span.SetAttributes(attribute.String("siskingw.outcome", f.outcome))
			span.SetStatus(codes.Error, f.reason)
		}
		span.End()
	}
}

func noopEnd() {}

// inject adds the trace context headers to the request to the next hop.
func (t *Tracer) inject(c *call) {
	if t != nil {
		t.propagator.Inject(c.ctx, propagation.HeaderCarrier(c.outHeader))
	}
}
