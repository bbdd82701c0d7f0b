// Package observe sets up a daemon's metrics and traces.
package observe

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.37.0"

	promclient "github.com/prometheus/client_golang/prometheus"

	"primroseward/setting"
)

const reportInterval = time.Second

// Metrics is the root scope of the metrics with the HTTP handler that exports it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// NewMetrics returns new metrics.
func NewMetrics() *Metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "primrose",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler()}
}

// StartTraces sets up tracing: each hop has a span, and the spans of a request are linked by
// traceparent headers. They are exported if the settings name a collector. The returned
// function sends the spans that are still buffered and shuts the export down.
func StartTraces(set *setting.Setting) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if set.Trace.Endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(set.Trace.Endpoint))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewTracerProvider(
		sdk.WithBatcher(exporter),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(set.Trace.Share))),
		sdk.WithResource(resource.NewSchemaless(semconv.ServiceName("primrosed"), semconv.ServiceInstanceID(set.Name))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}
