package telemetry

import (
	"context"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"go.opentelemetry.io/otel/attribute"

	"siskingw/errdefs"
)

// TraceOptions configures tracing.
type TraceOptions struct {
	SampleRatio float64 // share of new traces that are sampled, 0..1; 0 disables tracing
	Endpoint    string  // OTLP gRPC collector; empty writes spans to standard error
	NodeID      string
}

// StartTraces sets the global tracer provider and propagator and returns the
// provider's shutdown function. With a sample ratio of 0 it does nothing. It
// returns an Internal error when the exporter cannot be created.
func StartTraces(ctx context.Context, opts TraceOptions) (func(context.Context) error, error) {
	if opts.SampleRatio == 0 {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := newExporter(ctx, opts.Endpoint)
	if err != nil {
		return nil, errdefs.Internal.Wrap(err, "trace exporter for %q cannot be created", opts.Endpoint)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(opts.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "siskingw"),
			attribute.String("service.instance.id", opts.NodeID),
		)),
	)
	otel.SetTracerProvider(provider)
	otel.SetTextMapPropagator(propagation.TraceContext{})
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, endpoint string) (sdktrace.SpanExporter, error) {
	if endpoint == "" {
		return stdouttrace.New(stdouttrace.WithWriter(os.Stderr))
	}
	return otlptracegrpc.New(ctx, otlptracegrpc.WithEndpoint(endpoint), otlptracegrpc.WithInsecure())
}

// MountMetrics registers /metrics with mux.
func MountMetrics(mux *http.ServeMux) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
}

// Mount registers /metrics, /healthz and /readyz with mux. ready returns nil when
// the node has a configuration in force, and the reason otherwise; /readyz then
// responds with status 503 and the text of the error.
func Mount(mux *http.ServeMux, ready func() error) {
	MountMetrics(mux)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
}
